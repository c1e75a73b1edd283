"""Tests of the slot broker: target choice, queue, refusals, retries, poison, floor, takeover."""

import dataclasses
import itertools
import random
from collections import deque
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_entry.broker.activetargetfloor import ActiveTargetFloor
from toucanspindle_entry.broker.poisontracker import ANSWER_EXEMPTION_S, PoisonTracker
from toucanspindle_entry.broker.retrycredit import RetryCreditSource
from toucanspindle_entry.broker.slotbroker import MAX_PASSED_OVER, SlotBroker
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Grant,
    Queued,
    RefusalReason,
    Refused,
)
from toucanspindle_entry.broker.targetchoice import (
    AVOID_MIN_UNHEALTHY,
    AVOIDED_PROBE_INTERVAL_S,
    NEW_TARGET_DELAY_RETRYABLE_S,
    NEW_TARGET_DELAY_S,
)
from toucanspindle_entry.model import TargetState
from toucanspindle_entry.targets.targethealth import (
    PRIOR_UNHEALTHY_PROBABILITY,
    AttemptOutcome,
    HealthEstimate,
)

from tests.entrycase import BOUNDS, granted_target, make_broker, slot_request, target


class FloorMemoryTests(TestCase):
    def test_results_stay_bounded_without_an_eligible_target(self) -> None:
        """Nothing is evaluated while all requests are refused, and results used to pile up."""
        broker = make_broker(target("a", state=TargetState.DRAINING))
        for n in range(300):
            request = dataclasses.replace(slot_request(str(n)), rejected_before=2)
            self.assertIsInstance(broker.request_slot(request, n * 0.1), Refused)
        self.assertLessEqual(len(broker._active_floor._results), 21)
        self.assertLessEqual(len(broker._active_floor._rejected), 42)


class BlockedBodyTests(TestCase):
    def test_bodies_without_room_do_not_block_other_requests(self) -> None:
        """Waiting bodies kept new requests from free slots, and ended the search for grants."""
        broker = make_broker(target("a", slots=3))

        def ask(id_: str, body_bytes: int = 0) -> object:
            request = slot_request(id_, time_left_s=60.0, goal_left_s=50.0)
            return broker.request_slot(dataclasses.replace(request, body_bytes=body_bytes), 0.0)

        self.assertIsInstance(ask("large", 60 << 20), Grant)
        for n in range(MAX_PASSED_OVER + 5):
            self.assertIsInstance(ask(f"body{n}", 60 << 20), Queued)
        self.assertIsInstance(ask("1"), Grant)
        self.assertIsInstance(ask("2"), Grant)
        self.assertIsInstance(ask("3"), Queued)
        decisions = broker.record_attempt(attempt_report("1", "a", AttemptOutcome.ANSWERED), 0.1)
        self.assertEqual(["3"], [decision.slot_request_id for decision in decisions])
        decisions = broker.record_attempt(
            attempt_report("large", "a", AttemptOutcome.ANSWERED), 0.2
        )
        self.assertEqual(["body0"], [decision.slot_request_id for decision in decisions])


def attempt_report(
    slot_request_id: str,
    name: str,
    outcome: AttemptOutcome,
    work_s: float = 0.1,
    fingerprint: str = "",
) -> AttemptReport:
    return AttemptReport(slot_request_id, name, outcome, work_s, fingerprint)


def broker_with_unhealthy_target(
    answers: int = 3, work_s: float = 0.1, now: float = 0.0
) -> SlotBroker:
    """Return a broker with two targets.

    `good` has one slot and has answered `answers` requests, `sick` has four and has just failed.
    """
    broker = make_broker(target("good", slots=1), target("sick", slots=4))
    for n in range(answers):
        broker.request_slot(slot_request(f"g{n}", excluded=("sick",)), now)
        broker.record_attempt(attempt_report(f"g{n}", "good", AttemptOutcome.ANSWERED, work_s), now)
    granted_target(broker.request_slot(slot_request("s", excluded=("good",)), now))
    broker.record_attempt(attempt_report("s", "sick", AttemptOutcome.FAILED), now)
    return broker


class ChoiceTests(TestCase):
    def test_failed_target_is_avoided_by_all_hosts_at_once(self) -> None:
        """One failure reported by one host keeps all hosts away from a gray-failing target."""
        broker = make_broker(target("a"), target("b"), target("c"))
        broker.request_slot(slot_request("1"), 0.0)
        first = granted_target(broker.request_slot(slot_request("1"), 0.0))
        broker.record_attempt(attempt_report("1", first, AttemptOutcome.FAILED), 0.1)
        chosen = {
            granted_target(broker.request_slot(slot_request(f"x{n}", host=f"10.0.0.{n}"), 0.1))
            for n in range(4)
        }
        self.assertNotIn(first, chosen)

    def test_failed_target_is_used_again_when_the_failure_episode_may_be_over(self) -> None:
        broker = make_broker(target("a"), target("b"))
        granted_target(broker.request_slot(slot_request("1"), 0.0))
        broker.record_attempt(attempt_report("1", "a", AttemptOutcome.FAILED), 0.0)
        unhealthy_at_once = broker.unhealthy_probabilities(0.0)["a"]
        unhealthy_later = broker.unhealthy_probabilities(12.0)["a"]
        self.assertGreater(unhealthy_at_once, 0.8)
        self.assertLess(unhealthy_later, AVOID_MIN_UNHEALTHY)

    def test_draining_target_gets_no_requests(self) -> None:
        broker = make_broker(target("a", state=TargetState.DRAINING), target("b", slots=5))
        chosen = {granted_target(broker.request_slot(slot_request(str(n)), 0.0)) for n in range(5)}
        self.assertEqual({"b"}, chosen)

    def test_target_in_own_failure_domain_is_preferred(self) -> None:
        broker = make_broker(target("far", domain="graaff"), target("near"))
        self.assertEqual("near", granted_target(broker.request_slot(slot_request("1"), 0.0)))

    def test_new_incarnation_starts_with_no_history(self) -> None:
        broker = make_broker(target("a"))
        granted_target(broker.request_slot(slot_request("1"), 0.0))
        broker.record_attempt(attempt_report("1", "a", AttemptOutcome.CONNECTION_LOST), 0.1)
        broker.set_targets([target("a", started_ms=2)], frozenset(), 0.2)
        self.assertEqual(PRIOR_UNHEALTHY_PROBABILITY, broker.unhealthy_probabilities(0.2)["a"])

    def test_one_slow_answer_does_not_divert_requests_from_a_healthy_target(self) -> None:
        """A target of unknown health fails more often than a healthy one that was slow once."""
        broker = make_broker(target("a", slots=4), target("b", slots=4))
        for n in range(12):
            name = granted_target(broker.request_slot(slot_request(f"a{n}", excluded=("b",)), 0.0))
            broker.record_attempt(attempt_report(f"a{n}", name, AttemptOutcome.ANSWERED, 0.3), 0.0)
        granted_target(broker.request_slot(slot_request("long", excluded=("b",)), 0.0))
        broker.record_attempt(attempt_report("long", "a", AttemptOutcome.ANSWERED, 5.0), 0.0)
        self.assertEqual("a", granted_target(broker.request_slot(slot_request("next"), 0.0)))

    def test_first_failure_of_a_long_healthy_target_diverts_requests(self) -> None:
        """Half of the first failures of healthy targets begin a failure episode."""
        broker = make_broker(target("a", slots=4), target("b", slots=4))
        for n in range(40):
            name = granted_target(
                broker.request_slot(slot_request(f"a{n}", excluded=("b",)), n * 0.1)
            )
            broker.record_attempt(attempt_report(f"a{n}", name, AttemptOutcome.ANSWERED), n * 0.1)
        granted_target(broker.request_slot(slot_request("bad", excluded=("b",)), 4.0))
        broker.record_attempt(attempt_report("bad", "a", AttemptOutcome.FAILED), 4.0)
        self.assertEqual("b", granted_target(broker.request_slot(slot_request("next"), 4.0)))

    def test_timeout_shorter_than_the_work_is_no_evidence_against_a_target(self) -> None:
        """A route with a too short timeout gets no answers from healthy targets either."""
        broker = make_broker(target("a", slots=9))
        broker.request_slot(slot_request("1"), 0.0)
        broker.record_attempt(attempt_report("1", "a", AttemptOutcome.TIMED_OUT, 0.4), 0.4)
        self.assertEqual(PRIOR_UNHEALTHY_PROBABILITY, broker.unhealthy_probabilities(0.4)["a"])
        broker.request_slot(slot_request("2"), 0.4)
        broker.record_attempt(attempt_report("2", "a", AttemptOutcome.TIMED_OUT, 4.0), 4.4)
        self.assertGreater(broker.unhealthy_probabilities(4.4)["a"], 0.7)

    def test_request_waits_for_a_healthy_target_instead_of_an_unhealthy_one(self) -> None:
        """Gray failure at peak load: waiting 100 ms is better than a failure without retry."""
        broker = broker_with_unhealthy_target()
        self.assertEqual("good", granted_target(broker.request_slot(slot_request("1"), 0.0)))
        self.assertIsInstance(broker.request_slot(slot_request("2"), 0.0), Queued)
        decisions = broker.record_attempt(attempt_report("1", "good", AttemptOutcome.ANSWERED), 0.1)
        self.assertEqual("good", granted_target(decisions[0]))

    def test_unhealthy_target_is_used_when_there_is_no_time_to_wait(self) -> None:
        broker = make_broker(target("good", slots=1), target("sick", slots=4))
        broker.request_slot(slot_request("s", excluded=("good",)), 0.0)
        broker.record_attempt(attempt_report("s", "sick", AttemptOutcome.FAILED), 0.0)
        broker.request_slot(slot_request("1", excluded=("sick",)), 0.0)
        self.assertEqual(
            "sick", granted_target(broker.request_slot(slot_request("2", goal_left_s=0.1), 0.0))
        )

    def test_avoided_target_is_probed_while_requests_wait_for_other_targets(self) -> None:
        """Without a probe, a recovered target stays unused at peak load.  One request probes."""
        broker = broker_with_unhealthy_target()
        broker.request_slot(slot_request("busy", excluded=("sick",)), 0.1)
        self.assertIsInstance(
            broker.request_slot(slot_request("early", can_retry=True), 0.2), Queued
        )
        decisions_after_interval = broker.tick(AVOIDED_PROBE_INTERVAL_S + 0.1)
        self.assertEqual(
            ["sick"], [granted_target(decision) for decision in decisions_after_interval]
        )
        self.assertIsInstance(
            broker.request_slot(
                slot_request("next", can_retry=True), AVOIDED_PROBE_INTERVAL_S + 0.1
            ),
            Queued,
        )

    def test_non_retryable_request_probes_only_after_it_has_waited(self) -> None:
        broker = broker_with_unhealthy_target(work_s=0.3)
        broker.request_slot(slot_request("busy", excluded=("sick",)), 0.1)
        self.assertIsInstance(
            broker.request_slot(slot_request("final"), AVOIDED_PROBE_INTERVAL_S + 0.1), Queued
        )
        self.assertEqual([], broker.tick(AVOIDED_PROBE_INTERVAL_S + 0.15))
        self.assertEqual(
            ["sick"], [granted_target(d) for d in broker.tick(AVOIDED_PROBE_INTERVAL_S + 0.3)]
        )

    def test_late_retry_waits_for_a_healthy_target(self) -> None:
        broker = broker_with_unhealthy_target(answers=40, work_s=0.3, now=5.0)
        broker.request_slot(slot_request("busy", excluded=("sick",)), 5.1)
        late_retry = slot_request(
            "late", is_retry=True, goal_left_s=0.0, time_left_s=3.0, retry_credit=1.0
        )
        self.assertIsInstance(broker.request_slot(late_retry, 5.2), Queued)
        decisions = broker.record_attempt(
            attempt_report("busy", "good", AttemptOutcome.ANSWERED, 0.3), 5.4
        )
        self.assertEqual("good", granted_target(decisions[0]))

    def test_new_target_gets_a_request_while_others_have_free_slots(self) -> None:
        """Scale-out at low load: a new target costs more than healthy ones and would stay idle."""
        existing = [target(name) for name in "abc"]
        broker = make_broker(*existing)
        broker.set_targets([*existing, target("new", slots=1)], frozenset(), 1.0)
        used: list[str] = []
        for step in range(100):
            now = 1.0 + step * 0.05
            name = granted_target(broker.request_slot(slot_request(str(step)), now))
            used.append(name)
            broker.record_attempt(
                attempt_report(str(step), name, AttemptOutcome.ANSWERED, 0.01), now
            )
        self.assertEqual(1, used.count("new"))
        tried_at = used.index("new") * 0.05
        self.assertAlmostEqual(NEW_TARGET_DELAY_S, tried_at, delta=0.1)

    def test_retryable_request_uses_a_new_target_sooner(self) -> None:
        broker = make_broker(target("a"))
        broker.set_targets([target("a"), target("new")], frozenset(), 1.0)
        broker.record_attempt(attempt_report("x", "a", AttemptOutcome.ANSWERED, 0.01), 1.0)
        after_delay = 1.1 + NEW_TARGET_DELAY_RETRYABLE_S
        self.assertEqual(
            "a", granted_target(broker.request_slot(slot_request("final"), after_delay))
        )
        self.assertEqual(
            "new",
            granted_target(
                broker.request_slot(slot_request("repeatable", can_retry=True), after_delay)
            ),
        )

    def test_target_registered_again_with_running_attempts_keeps_its_limit(self) -> None:
        """An entry lapses in a store outage and returns while the target still runs an attempt."""
        broker = make_broker(target("a", slots=9), target("b", slots=1))
        granted_target(
            broker.request_slot(slot_request("runs", excluded=("a",), time_left_s=20.0), 0.0)
        )
        broker.set_targets([target("a", slots=9)], frozenset(), 1.0)
        broker.set_targets([target("a", slots=9), target("b", slots=1)], frozenset(), 2.0)
        self.assertEqual(
            "a", granted_target(broker.request_slot(slot_request("next"), 3.0 + NEW_TARGET_DELAY_S))
        )


class QueueTests(TestCase):
    def test_slots_are_never_granted_twice(self) -> None:
        broker = make_broker(target("a", slots=2))
        decisions = [broker.request_slot(slot_request(str(n)), 0.0) for n in range(4)]
        kinds = [type(decision) for decision in decisions]
        self.assertEqual([Grant, Grant, Queued, Queued], kinds)

    def test_urgent_request_is_granted_before_others(self) -> None:
        broker = make_broker(target("a", slots=1))
        broker.request_slot(slot_request("held"), 0.0)
        broker.request_slot(slot_request("usual", priority=2), 0.0)
        broker.request_slot(slot_request("urgent", priority=0), 0.0)
        decisions = broker.record_attempt(attempt_report("held", "a", AttemptOutcome.ANSWERED), 0.1)
        self.assertEqual(["urgent"], [decision.slot_request_id for decision in decisions])

    def test_burst_beyond_capacity_is_refused_at_once(self) -> None:
        """With one slot and 300 ms of work, the last of 40 requests can't meet its latency goal."""
        broker = make_broker(target("a", slots=1))
        decisions = [broker.request_slot(slot_request(str(n)), 0.0) for n in range(40)]
        refused = [decision for decision in decisions if isinstance(decision, Refused)]
        self.assertGreater(len(refused), 20)
        self.assertTrue(all(d.reason is RefusalReason.OVERLOADED for d in refused))

    def test_new_broker_learns_the_work_time_from_its_first_answers(self) -> None:
        """A wrong initial work time would refuse callers that all return after an outage."""
        broker = make_broker(target("a", slots=4))
        for n in range(12):
            broker.request_slot(slot_request(f"f{n}", goal_left_s=0.0, time_left_s=2.0), 0.0)
            broker.record_attempt(attempt_report(f"f{n}", "a", AttemptOutcome.ANSWERED, 0.1), 0.0)
        self.assertAlmostEqual(0.15, broker.mean_work_s, delta=0.05)

    def test_retry_after_times_are_spread(self) -> None:
        broker = make_broker(target("a", slots=1))
        decisions = [broker.request_slot(slot_request(str(n)), 0.0) for n in range(60)]
        waits = {d.retry_after_s for d in decisions if isinstance(d, Refused)}
        self.assertGreater(len(waits), 10)

    def test_request_that_cannot_finish_is_refused_before_its_deadline(self) -> None:
        broker = make_broker(target("a", slots=1))
        broker.request_slot(slot_request("held", time_left_s=30.0), 0.0)
        broker.request_slot(slot_request("waits", time_left_s=2.0, goal_left_s=2.0), 0.0)
        decisions = broker.tick(1.9)
        self.assertEqual(
            ["waits"], [d.slot_request_id for d in decisions if isinstance(d, Refused)]
        )

    def test_resent_request_gets_the_same_answer(self) -> None:
        """A host resends a slot request when the answer is lost."""
        broker = make_broker(target("a", slots=1), target("b", slots=1))
        first = granted_target(broker.request_slot(slot_request("1"), 0.0))
        self.assertEqual(first, granted_target(broker.request_slot(slot_request("1"), 0.01)))
        self.assertEqual(1, broker.slots_in_use)

    def test_withdrawn_request_frees_its_slot(self) -> None:
        broker = make_broker(target("a", slots=1))
        broker.request_slot(slot_request("left"), 0.0)
        broker.request_slot(slot_request("waits"), 0.0)
        decisions = broker.record_attempt(
            attempt_report("left", "a", AttemptOutcome.WITHDRAWN), 0.1
        )
        self.assertEqual(["waits"], [decision.slot_request_id for decision in decisions])

    def test_request_withdrawn_by_a_host_that_missed_the_grant_frees_its_slot(self) -> None:
        """A host that skips a slow broker doesn't know the target, so slots could leak."""
        broker = make_broker(target("a", slots=1))
        broker.request_slot(slot_request("skipped"), 0.0)
        broker.request_slot(slot_request("waits"), 0.0)
        decisions = broker.record_attempt(
            attempt_report("skipped", "", AttemptOutcome.WITHDRAWN), 0.1
        )
        self.assertEqual(["waits"], [decision.slot_request_id for decision in decisions])

    def test_late_duplicate_of_a_request_takes_no_slot(self) -> None:
        broker = make_broker(target("a", slots=1))
        broker.request_slot(slot_request("1"), 0.0)
        broker.record_attempt(attempt_report("1", "a", AttemptOutcome.ANSWERED), 0.1)
        self.assertIsInstance(broker.request_slot(slot_request("1"), 0.2), Refused)
        self.assertEqual(0, broker.slots_in_use)

    def test_lost_report_frees_the_slot_after_the_deadline(self) -> None:
        broker = make_broker(target("a", slots=1))
        broker.request_slot(slot_request("lost", time_left_s=1.0), 0.0)
        broker.tick(2.0)
        self.assertEqual(0, broker.slots_in_use)


class BrokerLoadTests(TestCase):
    """A broker that takes long for each message answers too late, and hosts use several brokers."""

    def estimates_for_a_report(self, waiting: int, open_targets: int) -> int:
        """Return how often health estimates are evaluated for one report.

        `waiting` requests are queued; `open_targets` unhealthy targets have free slots.
        """
        busy = [target(f"busy{n}", slots=1) for n in range(40)]
        unhealthy = [target(f"sick{n}", slots=1) for n in range(open_targets)]
        broker = make_broker(*busy, *unhealthy)
        names = tuple(entry.name for entry in unhealthy)
        for n in range(len(busy)):
            granted_target(broker.request_slot(slot_request(f"b{n}", excluded=names), 0.0))
        for entry in unhealthy:
            report = attempt_report("none", entry.name, AttemptOutcome.FAILED)
            broker.record_attempt(report, 0.0)
            broker.record_attempt(report, 0.0)
        for n in range(waiting):
            queued = slot_request(f"q{n}", goal_left_s=9.0, time_left_s=9.0)
            self.assertIsInstance(broker.request_slot(queued, 0.1), Queued)
        with mock.patch.object(
            HealthEstimate, "unhealthy_at", autospec=True, side_effect=HealthEstimate.unhealthy_at
        ) as unhealthy_at:
            report = attempt_report("b0", "busy0", AttemptOutcome.ANSWERED)
            self.assertEqual(1, len(broker.record_attempt(report, 0.2)))
        return unhealthy_at.call_count

    def test_work_for_a_report_does_not_grow_with_the_queue(self) -> None:
        """At peak load with failing targets, hundreds of requests wait beside free bad slots."""
        for open_targets in (0, 10):
            short = self.estimates_for_a_report(10, open_targets)
            long = self.estimates_for_a_report(200, open_targets)
            self.assertLessEqual(long, short + 50, f"{open_targets} open targets")

    def estimates_at_high_rate(self, targets: int) -> int:
        """Return how often targets are evaluated for 200 requests within a tenth of a second."""
        broker = make_broker(*(target(f"t{n}", slots=6) for n in range(targets)))
        with mock.patch.object(
            HealthEstimate, "unhealthy_at", autospec=True, side_effect=HealthEstimate.unhealthy_at
        ) as unhealthy_at:
            for n in range(200):
                now = n / 2000
                name = granted_target(broker.request_slot(slot_request(f"r{n}"), now))
                report = attempt_report(f"r{n}", name, AttemptOutcome.ANSWERED)
                broker.record_attempt(report, now)
        return unhealthy_at.call_count

    # Guards against a broker whose work for a decision grows with the targets of its service: in a
    # burst it falls behind, and late answers make hosts ask again.
    def test_work_for_a_decision_hardly_grows_with_the_targets(self) -> None:
        """A burst at a service with many targets."""
        few, many = self.estimates_at_high_rate(20), self.estimates_at_high_rate(400)
        # All targets are evaluated at most once in 25 ms.
        self.assertLessEqual(many - few, 5 * 380)

    def test_queued_requests_that_no_free_target_suits_are_passed_over(self) -> None:
        """A report grants the freed slot although many requests ahead can't use it."""
        broker = make_broker(target("a", slots=1), target("b", slots=1))
        granted_target(broker.request_slot(slot_request("1", excluded=("b",)), 0.0))
        granted_target(broker.request_slot(slot_request("2", excluded=("a",)), 0.0))
        for n in range(10):
            broker.request_slot(slot_request(f"q{n}", excluded=("a",), goal_left_s=3.0), 0.0)
        broker.request_slot(slot_request("z", goal_left_s=3.0), 0.0)
        decisions = broker.record_attempt(attempt_report("1", "a", AttemptOutcome.ANSWERED), 0.1)
        self.assertEqual(["z"], [decision.slot_request_id for decision in decisions])

    def test_tick_serves_requests_behind_many_that_no_free_target_suits(self) -> None:
        broker = make_broker(target("a", slots=1), target("b", slots=1))
        granted_target(broker.request_slot(slot_request("1", excluded=("b",)), 0.0))
        granted_target(broker.request_slot(slot_request("2", excluded=("a",)), 0.0))
        for n in range(MAX_PASSED_OVER * 2):
            queued = slot_request(f"q{n}", excluded=("a",), goal_left_s=30.0, time_left_s=30.0)
            self.assertIsInstance(broker.request_slot(queued, 0.0), Queued)
        broker.request_slot(slot_request("z", goal_left_s=30.0, time_left_s=30.0), 0.0)
        report = attempt_report("1", "a", AttemptOutcome.ANSWERED)
        self.assertEqual([], broker.record_attempt(report, 0.1))
        self.assertEqual(["z"], [d.slot_request_id for d in broker.tick(0.2)])

    # Guards against a lost report: its target has registered another failure domain meanwhile.
    def test_report_of_a_target_that_moved_to_another_failure_domain_frees_its_slot(self) -> None:
        broker = make_broker(target("a", slots=1), target("b", slots=1, domain="graaff"))
        granted_target(broker.request_slot(slot_request("1", excluded=("b",)), 0.0))
        granted_target(broker.request_slot(slot_request("2", excluded=("a",)), 0.0))
        broker.record_attempt(attempt_report("1", "a", AttemptOutcome.ANSWERED), 0.01)
        moved = [target("a", slots=1, domain="deaar"), target("b", slots=1, domain="deaar")]
        broker.set_targets(moved, frozenset(), 0.02)
        broker.record_attempt(attempt_report("1", "a", AttemptOutcome.ANSWERED), 0.03)
        broker.record_attempt(attempt_report("2", "b", AttemptOutcome.ANSWERED), 0.03)
        names = {granted_target(broker.request_slot(slot_request(n), 0.04)) for n in "34"}
        self.assertEqual({"a", "b"}, names)


class RetryTests(TestCase):
    def test_new_broker_grants_no_retry_that_its_predecessor_may_have_spent(self) -> None:
        broker = make_broker(target("a", slots=50))
        decision = broker.request_slot(slot_request("1", is_retry=True), 0.0)
        self.assertEqual(RefusalReason.RETRY_BUDGET_EXHAUSTED, getattr(decision, "reason", None))

    @given(
        seed=st.integers(0, 10_000),
        per_s=st.integers(1, 200),
        failure_share=st.floats(0.05, 1.0),
        takeover_at=st.floats(1.0, 25.0),
    )
    def test_retry_budget_holds_in_every_window_across_a_takeover(
        self, seed: int, per_s: int, failure_share: float, takeover_at: float
    ) -> None:
        """Many retries and a broker that is killed: no window has more retries than allowed."""
        rng = random.Random(seed)
        broker = make_broker(target("a", slots=100_000))
        source = RetryCreditSource(BOUNDS.retry_ratio, BOUNDS.retry_burst, BOUNDS.retry_window_s)
        requests: list[float] = []
        retries: list[float] = []
        taken_over = False
        for step in range(30 * per_s):
            now = step / per_s
            if not taken_over and now >= takeover_at:
                broker = SlotBroker("orders", BOUNDS, random.Random(seed))
                broker.set_targets([target("a", slots=100_000)], frozenset(), now)
                taken_over = True
            requests.append(now)
            credit = source.take(True, 1, now)
            broker.request_slot(slot_request(f"r{step}", retry_credit=credit), now)
            if rng.random() < failure_share:
                retry_decision = broker.request_slot(slot_request(f"s{step}", is_retry=True), now)
                if isinstance(retry_decision, Grant):
                    retries.append(now)
        for window_start in itertools.chain([0.0], retries):
            window_end = window_start + BOUNDS.retry_window_s
            retries_granted = sum(1 for at in retries if window_start <= at < window_end)
            first_attempts = sum(1 for at in requests if window_start <= at < window_end)
            allowed = BOUNDS.retry_ratio * first_attempts + BOUNDS.retry_burst
            # First attempts late in the window may come after its last retry.
            self.assertLessEqual(retries_granted, allowed + BOUNDS.retry_ratio * per_s)


class PoisonTests(TestCase):
    def test_request_that_crashed_three_targets_is_refused(self) -> None:
        broker = make_broker(*(target(name, slots=4) for name in "abcdef"))
        for n in range(3):
            name = granted_target(
                broker.request_slot(slot_request(str(n), fingerprint="bad"), n * 1.0)
            )
            broker.record_attempt(
                attempt_report(str(n), name, AttemptOutcome.CONNECTION_LOST, fingerprint="bad"),
                n * 1.0,
            )
        decision = broker.request_slot(slot_request("again", fingerprint="bad"), 3.0)
        self.assertEqual(RefusalReason.POISON, getattr(decision, "reason", None))

    def test_answered_request_is_not_poison(self) -> None:
        broker = make_broker(*(target(name, slots=4) for name in "abcdef"))
        broker.request_slot(slot_request("ok", fingerprint="popular"), 0.0)
        broker.record_attempt(
            attempt_report("ok", "a", AttemptOutcome.ANSWERED, fingerprint="popular"), 0.1
        )
        for n in range(5):
            name = granted_target(
                broker.request_slot(slot_request(str(n), fingerprint="popular"), n * 1.0)
            )
            broker.record_attempt(
                attempt_report(str(n), name, AttemptOutcome.CONNECTION_LOST, fingerprint="popular"),
                n * 1.0,
            )
        granted_target(broker.request_slot(slot_request("again", fingerprint="popular"), 6.0))

    def test_past_answer_exempts_a_request_for_a_while_only(self) -> None:
        """Guards against a request that was answered once and crashes targets without end."""
        tracker = PoisonTracker()
        tracker.record_answer("f", 0.0)
        for n in range(5):
            tracker.record_crash("f", f"t{n}", 1.0 + n)
        self.assertFalse(tracker.is_poison("f", 6.0))
        for n in range(3):
            tracker.record_crash("f", f"t{n}", ANSWER_EXEMPTION_S + 1.0 + n)
        self.assertTrue(tracker.is_poison("f", ANSWER_EXEMPTION_S + 4.0))

    def test_verdict_that_hosts_tell_each_other_expires(self) -> None:
        """Guards against hosts that keep a request blocked for ever by forwarding its verdict."""
        trackers = [PoisonTracker(), PoisonTracker()]
        for n in range(3):
            trackers[0].record_crash("f", f"t{n}", float(n))
        for second in range(0, 300, 20):
            for sender, receiver in (trackers, trackers[::-1]):
                for fingerprint, targets in sender.poison_messages(second):
                    receiver.adopt(fingerprint, targets, second)
        self.assertEqual([False, False], [tracker.is_poison("f", 300.0) for tracker in trackers])


class FloorTests(TestCase):
    def test_floor_is_kept_at_a_high_failure_rate(self) -> None:
        """Gray failures at peak load: two of ten targets answer, and a fifth of all attempts fail.

        In each window of 2 s, 70% of the targets still get requests.
        """
        rng = random.Random(5)
        names = "abcdefghij"
        broker = make_broker(*(target(name, slots=4) for name in names))
        grants: list[tuple[float, str]] = []
        for step in range(800):
            now = step * 0.02
            name = granted_target(
                broker.request_slot(slot_request(str(step), time_left_s=9.0, goal_left_s=9.0), now)
            )
            grants.append((now, name))
            fails = name not in "ab" or rng.random() < 0.1
            outcome = AttemptOutcome.FAILED if fails else AttemptOutcome.ANSWERED
            broker.record_attempt(attempt_report(str(step), name, outcome, 0.01), now)
        for window_start in range(2, 14):
            used = {name for at, name in grants if window_start <= at < window_start + 2}
            self.assertGreaterEqual(len(used), 7, window_start)

    # Guards against sound targets that stay unused since enough of all targets are in use: most of
    # those may be disturbed, and operators count only the others.
    def test_recovered_targets_are_used_again_at_a_high_failure_rate(self) -> None:
        """A gray spell ends at 15 of 60 targets while a fifth of all requests still fail."""
        rng = random.Random(5)
        names = [f"t{n}" for n in range(60)]
        recovering, failing = set(names[:15]), set(names[15:25])
        broker = make_broker(*(target(name, slots=4) for name in names))
        grants: list[tuple[float, str]] = []
        running: deque[tuple[float, AttemptReport]] = deque()
        for step in range(1000):
            now = step * 0.012
            while running and running[0][0] <= now:
                ends_at, report = running.popleft()
                broker.record_attempt(report, ends_at)
            request = slot_request(str(step), time_left_s=9.0, goal_left_s=9.0)
            name = granted_target(broker.request_slot(request, now))
            grants.append((now, name))
            is_sick = name in failing or (name in recovering and now < 4.0)
            fails = is_sick or (name not in recovering and rng.random() < 0.2)
            outcome = AttemptOutcome.FAILED if fails else AttemptOutcome.ANSWERED
            running.append((now + 0.5, attempt_report(str(step), name, outcome, 0.5)))
        # A target that failed by itself counts again 2 s later.
        for start in (6.5, 7.5, 8.5, 9.5):
            used = {name for at, name in grants if start <= at < start + 2}
            self.assertGreaterEqual(len(used & recovering), 0.7 * len(recovering), start)

    # Guards against sound targets that stay unused while accounts are over their quota: operators
    # count the rejected requests among those that aren't served.
    def test_requests_rejected_for_a_quota_count_towards_the_failure_rate(self) -> None:
        """An account sends too much: a fifth of all requests is rejected before the broker."""
        names = [f"t{n}" for n in range(60)]
        recovering = set(names[:15])
        broker = make_broker(*(target(name, slots=4) for name in names))
        grants: list[tuple[float, str]] = []
        running: deque[tuple[float, AttemptReport]] = deque()
        for step in range(1000):
            now = step * 0.012
            while running and running[0][0] <= now:
                ends_at, report = running.popleft()
                broker.record_attempt(report, ends_at)
            request = dataclasses.replace(
                slot_request(str(step), time_left_s=9.0, goal_left_s=9.0),
                rejected_before=int(step % 4 == 0),
            )
            name = granted_target(broker.request_slot(request, now))
            grants.append((now, name))
            fails = name in recovering and now < 4.0
            outcome = AttemptOutcome.FAILED if fails else AttemptOutcome.ANSWERED
            running.append((now + 0.5, attempt_report(str(step), name, outcome, 0.5)))
        for start in (6.5, 7.5, 8.5, 9.5):
            used = {name for at, name in grants if start <= at < start + 2}
            self.assertGreaterEqual(len(used & recovering), 0.7 * len(recovering), start)

    # Guards against attempts at sick targets for the floor while it isn't evaluated: in a calm with
    # some rejections each of them may fail a request.
    def test_few_failures_and_rejections_together_leave_sick_targets_alone(self) -> None:
        """4 in 100 requests fail and 5 in 100 are rejected for a quota: under a tenth together."""
        floor = ActiveTargetFloor(0.7)
        names = [f"t{n}" for n in range(10)]
        for n in range(95):
            now = n * 0.02
            floor.record_request_end(n % 25 == 0, now)
            floor.record_rejected(int(n % 19 == 0), now)
        # None of the targets was used; at a high failure rate all would be due.
        self.assertEqual([], floor.targets_due(names, lambda _name: False, 1.9))
        floor.record_rejected(5, 1.9)
        self.assertEqual(names, floor.targets_due(names, lambda _name: False, 1.9))

    def test_floor_is_kept_in_each_second_at_a_normal_failure_rate(self) -> None:
        """All hosts lose power at once: only the targets used in the last second count."""
        rng = random.Random(3)
        broker = make_broker(*(target(name, slots=4) for name in "abcdefghij"))
        grants: list[tuple[float, str]] = []
        for step in range(800):
            now = step * 0.025
            name = granted_target(broker.request_slot(slot_request(str(step)), now))
            grants.append((now, name))
            outcome = AttemptOutcome.FAILED if rng.random() < 0.012 else AttemptOutcome.ANSWERED
            broker.record_attempt(attempt_report(str(step), name, outcome, 0.01), now)
        for tenth in range(20, 190):
            used = {name for at, name in grants if tenth / 10 <= at < tenth / 10 + 1.2}
            self.assertGreaterEqual(len(used), 7, tenth / 10)

    def test_unhealthy_targets_get_no_floor_requests_at_a_normal_failure_rate(self) -> None:
        broker = make_broker(*(target(name, slots=4) for name in "abcdefghij"))
        for step, name in enumerate("ij"):
            others = tuple("abcdefghij".replace(name, ""))
            broker.request_slot(slot_request(f"f{step}", excluded=others), 0.0)
            broker.record_attempt(
                attempt_report(f"f{step}", name, AttemptOutcome.CONNECTION_LOST), 0.0
            )
        used = set()
        for step in range(100):
            name = granted_target(broker.request_slot(slot_request(str(step)), step * 0.02))
            used.add(name)
            broker.record_attempt(
                attempt_report(str(step), name, AttemptOutcome.ANSWERED, 0.01), step * 0.02
            )
        self.assertFalse(used & set("ij"))

    def test_retryable_failures_do_not_raise_the_failure_rate(self) -> None:
        """A request answered by a second target was served, so it requires no floor requests."""
        broker = make_broker(*(target(name, slots=4) for name in "abcdefghij"))
        for step, name in enumerate("efghij"):
            others = tuple("abcdefghij".replace(name, ""))
            broker.request_slot(slot_request(f"f{step}", excluded=others, can_retry=True), 0.0)
            broker.record_attempt(attempt_report(f"f{step}", name, AttemptOutcome.FAILED), 0.0)
        used = set()
        for step in range(100):
            now = step * 0.02
            fails = step % 10 == 0
            name = granted_target(
                broker.request_slot(slot_request(str(step), can_retry=fails), now)
            )
            used.add(name)
            outcome = AttemptOutcome.SHED if fails else AttemptOutcome.ANSWERED
            broker.record_attempt(attempt_report(str(step), name, outcome, 0.01), now)
        self.assertFalse(used & set("efghij"))

    def test_requests_lost_with_their_host_raise_the_failure_rate(self) -> None:
        """A third of the hosts lose power: their requests fail without a report."""
        broker = make_broker(*(target(name, slots=4) for name in "abcdefghij"))
        used: set[str] = set()
        for step in range(300):
            now = step * 0.02
            host = f"10.0.0.{step % 3}"
            name = granted_target(broker.request_slot(slot_request(str(step), host=host), now))
            if now > 4.0:
                used.add(name)
            if step % 3:
                broker.record_attempt(
                    attempt_report(str(step), name, AttemptOutcome.ANSWERED, 0.01), now
                )
            elif step % 30 == 0:
                broker.release_host(host, now)
        self.assertGreaterEqual(len(used), 7)


class TakeoverTests(TestCase):
    def test_adopted_attempts_hold_their_slots(self) -> None:
        broker = make_broker(target("a", slots=1))
        broker.adopt_leases("10.0.0.9", [("old", "a", 2.0, "")], 0.0)
        self.assertIsInstance(broker.request_slot(slot_request("new"), 0.0), Queued)

    def test_adopted_failure_diverts_requests(self) -> None:
        broker = make_broker(target("a"), target("b"), now=10.0)
        broker.adopt_result("a", AttemptOutcome.FAILED, 9.5)
        self.assertEqual("b", granted_target(broker.request_slot(slot_request("1"), 10.0)))

    def test_slots_of_an_ended_host_are_freed(self) -> None:
        broker = make_broker(target("a", slots=1))
        broker.request_slot(slot_request("1", host="10.0.0.1"), 0.0)
        broker.request_slot(slot_request("2", host="10.0.0.2"), 0.0)
        decisions = broker.release_host("10.0.0.1", 0.1)
        self.assertEqual(["2"], [decision.slot_request_id for decision in decisions])
