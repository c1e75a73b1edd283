"""Grants of a service's slots: choice, queue, refusals, retries, poison, and takeover."""

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_entry.model import TargetState
from toucanspindle_entry.posterior import USUAL_SICK_SHARE, AttemptEnd
from toucanspindle_entry.slotbroker import (
    HOLD_BACK_SICK,
    JOINER_TRY_ANY_S,
    JOINER_TRY_S,
    PROBE_S,
    SlotBroker,
)
from toucanspindle_entry.slottypes import AttemptReport, Grant, Queued, RefusalReason, Refused

from tests.entrycase import BOUNDS, ask, broker, granted, target


def end(
    ask_id: str, name: str, how: AttemptEnd, work_s: float = 0.1, fp: str = ""
) -> AttemptReport:
    return AttemptReport(ask_id, name, how, work_s, fp)


def good_beside_sick(answers: int = 3, work_s: float = 0.1, now: float = 0.0) -> SlotBroker:
    """Return a broker of `good`, which has one slot and answered, and `sick`, which just failed."""
    made = broker(target("good", slots=1), target("sick", slots=4))
    for n in range(answers):
        made.ask(ask(f"g{n}", excluded=("sick",)), now)
        made.report(end(f"g{n}", "good", AttemptEnd.ANSWERED, work_s), now)
    granted(made.ask(ask("s", excluded=("good",)), now))
    made.report(end("s", "sick", AttemptEnd.FAILED), now)
    return made


class ChoiceTests(TestCase):
    def test_failed_target_is_avoided_by_all_hosts_at_once(self) -> None:
        """Gray spell: after one failure, reported by one host, no host is sent there."""
        made = broker(target("a"), target("b"), target("c"))
        made.ask(ask("1"), 0.0)
        first = granted(made.ask(ask("1"), 0.0))
        made.report(end("1", first, AttemptEnd.FAILED), 0.1)
        chosen = {granted(made.ask(ask(f"x{n}", host=f"10.0.0.{n}"), 0.1)) for n in range(4)}
        self.assertNotIn(first, chosen)

    def test_failed_target_is_used_again_when_the_spell_may_be_over(self) -> None:
        made = broker(target("a"), target("b"))
        granted(made.ask(ask("1"), 0.0))
        made.report(end("1", "a", AttemptEnd.FAILED), 0.0)
        sick_at_once = made.beliefs(0.0)["a"]
        sick_later = made.beliefs(12.0)["a"]
        self.assertGreater(sick_at_once, 0.8)
        self.assertLess(sick_later, HOLD_BACK_SICK)

    def test_draining_target_gets_nothing(self) -> None:
        made = broker(target("a", state=TargetState.DRAINING), target("b", slots=5))
        chosen = {granted(made.ask(ask(str(n)), 0.0)) for n in range(5)}
        self.assertEqual({"b"}, chosen)

    def test_own_failure_domain_goes_first(self) -> None:
        made = broker(target("far", domain="graaff"), target("near"))
        self.assertEqual("near", granted(made.ask(ask("1"), 0.0)))

    def test_new_incarnation_starts_with_no_history(self) -> None:
        made = broker(target("a"))
        granted(made.ask(ask("1"), 0.0))
        made.report(end("1", "a", AttemptEnd.BROKEN), 0.1)
        made.set_targets([target("a", started_ms=2)], frozenset(), 0.2)
        self.assertEqual(USUAL_SICK_SHARE, made.beliefs(0.2)["a"])

    def test_one_long_answer_is_no_reason_to_leave_a_well_target(self) -> None:
        """Exploring costs a failure where the other targets' state is unknown."""
        made = broker(target("a", slots=4), target("b", slots=4))
        for n in range(12):
            name = granted(made.ask(ask(f"a{n}", excluded=("b",)), 0.0))
            made.report(end(f"a{n}", name, AttemptEnd.ANSWERED, 0.3), 0.0)
        granted(made.ask(ask("long", excluded=("b",)), 0.0))
        made.report(end("long", "a", AttemptEnd.ANSWERED, 5.0), 0.0)
        self.assertEqual("a", granted(made.ask(ask("next"), 0.0)))

    def test_failure_of_a_long_trusted_target_is_heeded(self) -> None:
        """Onset of a spell: half of the first failures of good targets are followed by more."""
        made = broker(target("a", slots=4), target("b", slots=4))
        for n in range(40):
            name = granted(made.ask(ask(f"a{n}", excluded=("b",)), n * 0.1))
            made.report(end(f"a{n}", name, AttemptEnd.ANSWERED), n * 0.1)
        granted(made.ask(ask("bad", excluded=("b",)), 4.0))
        made.report(end("bad", "a", AttemptEnd.FAILED), 4.0)
        self.assertEqual("b", granted(made.ask(ask("next"), 4.0)))

    def test_short_time_out_of_a_route_says_nothing_of_the_target(self) -> None:
        """A route whose time-out is shorter than the work ends all its requests unanswered."""
        made = broker(target("a", slots=9))
        made.ask(ask("1"), 0.0)
        made.report(end("1", "a", AttemptEnd.SILENT, 0.4), 0.4)
        self.assertEqual(USUAL_SICK_SHARE, made.beliefs(0.4)["a"])
        made.ask(ask("2"), 0.4)
        made.report(end("2", "a", AttemptEnd.SILENT, 4.0), 4.4)
        self.assertGreater(made.beliefs(4.4)["a"], 0.7)

    def test_sick_target_is_no_refuge_while_good_ones_come_free(self) -> None:
        """Peak load in a gray spell: waiting 100 ms is better than a failure that is final."""
        made = good_beside_sick()
        self.assertEqual("good", granted(made.ask(ask("1"), 0.0)))
        self.assertIsInstance(made.ask(ask("2"), 0.0), Queued)
        decisions = made.report(end("1", "good", AttemptEnd.ANSWERED), 0.1)
        self.assertEqual("good", granted(decisions[0]))

    def test_sick_target_is_used_when_there_is_no_time_to_wait(self) -> None:
        made = broker(target("good", slots=1), target("sick", slots=4))
        made.ask(ask("s", excluded=("good",)), 0.0)
        made.report(end("s", "sick", AttemptEnd.FAILED), 0.0)
        made.ask(ask("1", excluded=("sick",)), 0.0)
        self.assertEqual("sick", granted(made.ask(ask("2", goal_left_s=0.1), 0.0)))

    def test_recovered_target_is_found_while_requests_wait_for_the_others(self) -> None:
        """Gray spell at peak: one repeatable request tries the held-back target, the rest wait."""
        made = good_beside_sick()
        made.ask(ask("busy", excluded=("sick",)), 0.1)
        self.assertIsInstance(made.ask(ask("early", may_repeat=True), 0.2), Queued)
        tries = made.tick(PROBE_S + 0.1)
        self.assertEqual(["sick"], [granted(decision) for decision in tries])
        self.assertIsInstance(made.ask(ask("next", may_repeat=True), PROBE_S + 0.1), Queued)

    def test_request_whose_failure_is_final_tries_no_sick_target_before_it_has_waited(self) -> None:
        made = good_beside_sick(work_s=0.3)
        made.ask(ask("busy", excluded=("sick",)), 0.1)
        self.assertIsInstance(made.ask(ask("final"), PROBE_S + 0.1), Queued)
        self.assertEqual([], made.tick(PROBE_S + 0.15))
        self.assertEqual(["sick"], [granted(d) for d in made.tick(PROBE_S + 0.3)])

    def test_retry_rather_comes_late_than_from_a_sick_target(self) -> None:
        made = good_beside_sick(answers=40, work_s=0.3, now=5.0)
        made.ask(ask("busy", excluded=("sick",)), 5.1)
        late = ask("late", is_retry=True, goal_left_s=0.0, time_left_s=3.0)
        self.assertIsInstance(made.ask(late, 5.2), Queued)
        decisions = made.report(end("busy", "good", AttemptEnd.ANSWERED, 0.3), 5.4)
        self.assertEqual("good", granted(decisions[0]))

    def test_joiner_gets_a_request_though_the_others_suffice(self) -> None:
        """Scale-out at a quiet hour: an untried target costs more than those that are trusted."""
        old = [target(name) for name in "abc"]
        made = broker(*old)
        made.set_targets([*old, target("new", slots=1)], frozenset(), 1.0)
        used: list[str] = []
        for step in range(100):
            now = 1.0 + step * 0.05
            name = granted(made.ask(ask(str(step)), now))
            used.append(name)
            made.report(end(str(step), name, AttemptEnd.ANSWERED, 0.01), now)
        self.assertEqual(1, used.count("new"))
        tried_at = used.index("new") * 0.05
        self.assertAlmostEqual(JOINER_TRY_ANY_S, tried_at, delta=0.1)

    def test_repeatable_request_tries_a_joiner_sooner(self) -> None:
        made = broker(target("a"))
        made.set_targets([target("a"), target("new")], frozenset(), 1.0)
        made.report(end("x", "a", AttemptEnd.ANSWERED, 0.01), 1.0)
        later = 1.1 + JOINER_TRY_S
        self.assertEqual("a", granted(made.ask(ask("final"), later)))
        self.assertEqual("new", granted(made.ask(ask("repeatable", may_repeat=True), later)))

    def test_target_that_returns_with_its_attempts_gets_no_more_than_its_slots(self) -> None:
        """An entry that lapsed while the store was away comes back beside what still runs there."""
        made = broker(target("a", slots=9), target("b", slots=1))
        granted(made.ask(ask("runs", excluded=("a",), time_left_s=20.0), 0.0))
        made.set_targets([target("a", slots=9)], frozenset(), 1.0)
        made.set_targets([target("a", slots=9), target("b", slots=1)], frozenset(), 2.0)
        self.assertEqual("a", granted(made.ask(ask("next"), 3.0 + JOINER_TRY_ANY_S)))


class QueueTests(TestCase):
    def test_slots_are_never_granted_twice(self) -> None:
        made = broker(target("a", slots=2))
        decisions = [made.ask(ask(str(n)), 0.0) for n in range(4)]
        kinds = [type(decision) for decision in decisions]
        self.assertEqual([Grant, Grant, Queued, Queued], kinds)

    def test_urgent_request_overtakes(self) -> None:
        made = broker(target("a", slots=1))
        made.ask(ask("held"), 0.0)
        made.ask(ask("usual", priority=2), 0.0)
        made.ask(ask("urgent", priority=0), 0.0)
        decisions = made.report(end("held", "a", AttemptEnd.ANSWERED), 0.1)
        self.assertEqual(["urgent"], [decision.ask_id for decision in decisions])

    def test_burst_beyond_what_can_be_served_is_refused_at_once(self) -> None:
        """Burst: with one slot and 300 ms of work, the 40th request can't make its goal."""
        made = broker(target("a", slots=1))
        decisions = [made.ask(ask(str(n)), 0.0) for n in range(40)]
        refused = [decision for decision in decisions if isinstance(decision, Refused)]
        self.assertGreater(len(refused), 20)
        self.assertTrue(all(d.reason is RefusalReason.OVERLOADED for d in refused))

    def test_mass_return_after_an_outage_isnt_refused_on_a_guess(self) -> None:
        """Herd of returning callers: a new broker learns the work time from its first answers."""
        made = broker(target("a", slots=4))
        for n in range(12):
            made.ask(ask(f"f{n}", goal_left_s=0.0, time_left_s=2.0), 0.0)
            made.report(end(f"f{n}", "a", AttemptEnd.ANSWERED, 0.1), 0.0)
        self.assertAlmostEqual(0.15, made.mean_work_s, delta=0.05)

    def test_retry_after_spreads_returns(self) -> None:
        made = broker(target("a", slots=1))
        decisions = [made.ask(ask(str(n)), 0.0) for n in range(60)]
        waits = {d.retry_after_s for d in decisions if isinstance(d, Refused)}
        self.assertGreater(len(waits), 10)

    def test_hopeless_request_is_refused_before_its_deadline(self) -> None:
        made = broker(target("a", slots=1))
        made.ask(ask("held", time_left_s=30.0), 0.0)
        made.ask(ask("waits", time_left_s=2.0, goal_left_s=2.0), 0.0)
        decisions = made.tick(1.9)
        self.assertEqual(["waits"], [d.ask_id for d in decisions if isinstance(d, Refused)])

    def test_same_ask_gets_the_same_answer(self) -> None:
        """An answer may be lost, and the host asks again."""
        made = broker(target("a", slots=1), target("b", slots=1))
        first = granted(made.ask(ask("1"), 0.0))
        self.assertEqual(first, granted(made.ask(ask("1"), 0.01)))
        self.assertEqual(1, made.in_use)

    def test_withdrawn_ask_frees_its_slot(self) -> None:
        made = broker(target("a", slots=1))
        made.ask(ask("left"), 0.0)
        made.ask(ask("waits"), 0.0)
        decisions = made.report(end("left", "a", AttemptEnd.WITHDRAWN), 0.1)
        self.assertEqual(["waits"], [decision.ask_id for decision in decisions])

    def test_late_copy_of_an_ask_takes_no_slot(self) -> None:
        made = broker(target("a", slots=1))
        made.ask(ask("1"), 0.0)
        made.report(end("1", "a", AttemptEnd.ANSWERED), 0.1)
        self.assertIsInstance(made.ask(ask("1"), 0.2), Refused)
        self.assertEqual(0, made.in_use)

    def test_lost_report_frees_the_slot_after_the_deadline(self) -> None:
        made = broker(target("a", slots=1))
        made.ask(ask("lost", time_left_s=1.0), 0.0)
        made.tick(2.0)
        self.assertEqual(0, made.in_use)


class RetryTests(TestCase):
    def test_new_broker_grants_no_retry_that_its_predecessor_may_have_spent(self) -> None:
        made = broker(target("a", slots=50))
        decision = made.ask(ask("1", is_retry=True), 0.0)
        self.assertEqual(RefusalReason.NO_RETRY, getattr(decision, "reason", None))

    @given(
        seed=st.integers(0, 10_000),
        per_s=st.integers(1, 200),
        failing=st.floats(0.05, 1.0),
        takeover_at=st.floats(1.0, 25.0),
    )
    def test_budget_holds_on_every_window_over_a_takeover(
        self, seed: int, per_s: int, failing: float, takeover_at: float
    ) -> None:
        """Retry abuse and a killed broker: no window holds more retries than allowed."""
        rng = random.Random(seed)
        made = broker(target("a", slots=100_000))
        requests: list[float] = []
        retries: list[float] = []
        taken_over = False
        for step in range(30 * per_s):
            now = step / per_s
            if not taken_over and now >= takeover_at:
                made = SlotBroker("orders", BOUNDS, now, random.Random(seed))
                made.set_targets([target("a", slots=100_000)], frozenset(), now)
                taken_over = True
            requests.append(now)
            made.ask(ask(f"r{step}"), now)
            if rng.random() < failing:
                again = made.ask(ask(f"s{step}", is_retry=True), now)
                if isinstance(again, Grant):
                    retries.append(now)
        for start in itertools.chain([0.0], retries):
            until = start + BOUNDS.retry_window_s
            spent = sum(1 for at in retries if start <= at < until)
            asked = sum(1 for at in requests if start <= at < until)
            allowed = BOUNDS.retry_ratio * asked + BOUNDS.retry_burst
            # The window's last requests may come after its last retry.
            self.assertLessEqual(spent, allowed + BOUNDS.retry_ratio * per_s)


class PoisonTests(TestCase):
    def test_request_that_broke_three_targets_is_refused(self) -> None:
        made = broker(*(target(name, slots=4) for name in "abcdef"))
        for n in range(3):
            name = granted(made.ask(ask(str(n), fingerprint="bad"), n * 1.0))
            made.report(end(str(n), name, AttemptEnd.BROKEN, fp="bad"), n * 1.0)
        decision = made.ask(ask("again", fingerprint="bad"), 3.0)
        self.assertEqual(RefusalReason.POISON, getattr(decision, "reason", None))

    def test_popular_lookup_that_is_answered_elsewhere_is_no_poison(self) -> None:
        made = broker(*(target(name, slots=4) for name in "abcdef"))
        made.ask(ask("ok", fingerprint="popular"), 0.0)
        made.report(end("ok", "a", AttemptEnd.ANSWERED, fp="popular"), 0.1)
        for n in range(5):
            name = granted(made.ask(ask(str(n), fingerprint="popular"), n * 1.0))
            made.report(end(str(n), name, AttemptEnd.BROKEN, fp="popular"), n * 1.0)
        granted(made.ask(ask("again", fingerprint="popular"), 6.0))


class FloorTests(TestCase):
    def test_service_under_stress_keeps_its_floor_in_use(self) -> None:
        """Gray spell at peak: a fifth of all answers are failures, and two targets look best.

        In every 2 s, 70% of the targets get requests.
        """
        rng = random.Random(5)
        names = "abcdefghij"
        made = broker(*(target(name, slots=4) for name in names))
        uses: list[tuple[float, str]] = []
        for step in range(800):
            now = step * 0.02
            name = granted(made.ask(ask(str(step), time_left_s=9.0, goal_left_s=9.0), now))
            uses.append((now, name))
            fails = name not in "ab" or rng.random() < 0.1
            how = AttemptEnd.FAILED if fails else AttemptEnd.ANSWERED
            made.report(end(str(step), name, how, 0.01), now)
        for start in range(2, 14):
            used = {name for at, name in uses if start <= at < start + 2}
            self.assertGreaterEqual(len(used), 7, start)

    def test_calm_service_has_its_floor_in_use_in_each_second(self) -> None:
        """Power loss of all hosts out of calm: what the last second used is all that counts."""
        rng = random.Random(3)
        made = broker(*(target(name, slots=4) for name in "abcdefghij"))
        uses: list[tuple[float, str]] = []
        for step in range(800):
            now = step * 0.025
            name = granted(made.ask(ask(str(step)), now))
            uses.append((now, name))
            how = AttemptEnd.FAILED if rng.random() < 0.012 else AttemptEnd.ANSWERED
            made.report(end(str(step), name, how, 0.01), now)
        for tenth in range(20, 190):
            used = {name for at, name in uses if tenth / 10 <= at < tenth / 10 + 1.2}
            self.assertGreaterEqual(len(used), 7, tenth / 10)

    def test_calm_service_spends_nothing_on_targets_believed_sick(self) -> None:
        made = broker(*(target(name, slots=4) for name in "abcdefghij"))
        for step, name in enumerate("ij"):
            others = tuple("abcdefghij".replace(name, ""))
            made.ask(ask(f"f{step}", excluded=others), 0.0)
            made.report(end(f"f{step}", name, AttemptEnd.BROKEN), 0.0)
        used = set()
        for step in range(100):
            name = granted(made.ask(ask(str(step)), step * 0.02))
            used.add(name)
            made.report(end(str(step), name, AttemptEnd.ANSWERED, 0.01), step * 0.02)
        self.assertFalse(used & set("ij"))

    def test_failed_attempts_that_are_repeated_are_no_stress(self) -> None:
        """A look-up that a second target answers was served: no sick target is tried for it."""
        made = broker(*(target(name, slots=4) for name in "abcdefghij"))
        for step, name in enumerate("efghij"):
            others = tuple("abcdefghij".replace(name, ""))
            made.ask(ask(f"f{step}", excluded=others, may_repeat=True), 0.0)
            made.report(end(f"f{step}", name, AttemptEnd.FAILED), 0.0)
        used = set()
        for step in range(100):
            now = step * 0.02
            fails = step % 10 == 0
            name = granted(made.ask(ask(str(step), may_repeat=fails), now))
            used.add(name)
            how = AttemptEnd.SHED if fails else AttemptEnd.ANSWERED
            made.report(end(str(step), name, how, 0.01), now)
        self.assertFalse(used & set("efghij"))

    def test_requests_lost_with_their_host_are_stress(self) -> None:
        """Power loss of a third of the hosts: their requests end badly though nobody says so."""
        made = broker(*(target(name, slots=4) for name in "abcdefghij"))
        used: set[str] = set()
        for step in range(300):
            now = step * 0.02
            host = f"10.0.0.{step % 3}"
            name = granted(made.ask(ask(str(step), host=host), now))
            if now > 4.0:
                used.add(name)
            if step % 3:
                made.report(end(str(step), name, AttemptEnd.ANSWERED, 0.01), now)
            elif step % 30 == 0:
                made.drop_host(host, now)
        self.assertGreaterEqual(len(used), 7)


class TakeoverTests(TestCase):
    def test_adopted_attempts_hold_their_slots(self) -> None:
        made = broker(target("a", slots=1))
        made.adopt("10.0.0.9", [("old", "a", 2.0, "")], 0.0)
        self.assertIsInstance(made.ask(ask("new"), 0.0), Queued)

    def test_adopted_failure_is_heeded(self) -> None:
        made = broker(target("a"), target("b"), now=10.0)
        made.adopt_result("a", AttemptEnd.FAILED, 9.5)
        self.assertEqual("b", granted(made.ask(ask("1"), 10.0)))

    def test_ended_host_frees_what_it_held(self) -> None:
        made = broker(target("a", slots=1))
        made.ask(ask("1", host="10.0.0.1"), 0.0)
        made.ask(ask("2", host="10.0.0.2"), 0.0)
        decisions = made.drop_host("10.0.0.1", 0.1)
        self.assertEqual(["2"], [decision.ask_id for decision in decisions])
