"""Tests of retries while targets shed: the estimate, the saved credit, and who is sent when."""

import dataclasses
import random
from typing import Final

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_entry.broker.budgetwindow import BUCKET_S, BudgetWindow
from toucanspindle_entry.broker.recentretries import RecentRetries
from toucanspindle_entry.broker.sheddingcontrol import MIN_SAMPLES, SheddingControl
from toucanspindle_entry.broker.slotbroker import SlotBroker
from toucanspindle_entry.broker.slotmessages import decode_slot_request, encode_slot_request
from toucanspindle_entry.broker.slotqueue import PendingRequest
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    Queued,
    RefusalReason,
    Refused,
)
from toucanspindle_entry.targets.targethealth import AttemptOutcome
from toucanspindle_entry.targets.targetnotices import TargetNotice

from bench.serviceemulator import Emulator, LoadResult, ServiceShape
from tests.entrycase import granted_target, make_broker, slot_request, target

WINDOW_S: Final = 10.0
SPELL_S: Final = (12.0, 20.5)
NOTICED_WITHIN_S: Final = 0.3  # "Some tenths of a second".
# The load of a deployment: 230 requests per second on 118 targets of 6 slots, mean work 0.41 s.
GROWN: Final = ServiceShape(
    "grown",
    118,
    6,
    0.41,
    230.0,
    2.0,
    6.0,
    idempotent=False,
    error_share=0.002,
    sick_share=0.0,
    hosts=114,
    retry_burst=176.0,
    shed_share=0.55,
    shed_from_s=SPELL_S[0],
    shed_until_s=SPELL_S[1],
)


def play(shape: ServiceShape, seconds: float = 30.0) -> LoadResult:
    return Emulator(shape, 1, "broker").run(seconds)


class SheddingLoadTests(TestCase):
    """All targets, or some, reject a share of what arrives, at once and with free slots."""

    def check_budget(self, result: LoadResult, shape: ServiceShape) -> None:
        excess = result.worst_repeat_excess(shape.retry_ratio, shape.retry_burst, WINDOW_S)
        self.assertLessEqual(excess, 0)

    def check_spell(self, shape: ServiceShape, savable: float) -> None:
        """Check a spell of 8.5 s; `savable` requests can wait for its end until their deadline.

        At least as many are served as by a budget of one window that is used after the spell.
        """
        result = play(shape)
        self.check_budget(result, shape)
        budget = shape.retry_ratio * shape.rate * WINDOW_S + shape.retry_burst
        rejected = sum(SPELL_S[0] <= at < SPELL_S[1] for at in result.arrivals_s) * shape.shed_share
        self.assertLessEqual(result.unserved, rejected - 0.97 * min(budget, savable))
        begun_at, ended_at = result.shedding_s  # Guards against oscillation.
        self.assertLess(begun_at - SPELL_S[0], NOTICED_WITHIN_S)
        self.assertLess(ended_at - SPELL_S[1], NOTICED_WITHIN_S)

    def test_half_of_the_attempts_are_shed_for_8_s_with_6_s_to_the_deadline(self) -> None:
        """Two rejections within 5 ms used to end a request that had nearly 6 s left."""
        self.check_spell(GROWN, (6.0 - 1.5 * 0.41) * 230 * 0.55)

    def test_half_of_the_attempts_are_shed_for_8_s_with_4_s_to_the_deadline(self) -> None:
        shape = dataclasses.replace(GROWN, deadline_s=4.0, goal_s=2.037)
        self.check_spell(shape, (4.0 - 1.5 * 0.41) * 230 * 0.55)

    def test_budget_holds_in_a_long_spell_in_a_deep_one_and_at_a_low_rate(self) -> None:
        for change in (
            {"shed_until_s": 32.0},
            {"shed_share": 0.9},
            {"shed_share": 0.2},
            {"targets": 6, "rate": 10.0},
        ):
            shape = dataclasses.replace(GROWN, **change)  # type: ignore[arg-type]
            self.check_budget(play(shape, 45.0), shape)

    def test_nearly_all_are_served_while_a_fifth_of_the_attempts_are_shed(self) -> None:
        """The budget suffices for this, so saving must not cost anything."""
        result = play(dataclasses.replace(GROWN, shed_share=0.2))
        self.assertLess(result.unserved, 0.01 * len(result.arrivals_s))

    def test_one_of_many_targets_that_sheds_is_no_shedding_of_the_service(self) -> None:
        result = play(dataclasses.replace(GROWN, shed_targets=1, shed_share=0.9))
        self.assertEqual([], result.shedding_s)

    def test_full_targets_are_no_shedding(self) -> None:
        """Guards against saved retries that make others late while the targets are overloaded."""
        shape = dataclasses.replace(
            GROWN, shed_share=0.0, targets=20, rate=310.0, target_queue=0, real_slots=4
        )
        result = play(shape)
        self.check_budget(result, shape)
        self.assertEqual([], result.shedding_s)


class AdoptedRetriesTests(TestCase):
    def test_new_broker_keeps_the_window_after_a_spell(self) -> None:
        """Waiting retries used to be refused, and later ones sent beyond the window's bound."""
        broker = make_broker(target("a", slots=500))
        broker.adopt_retries(600, -0.5)
        for n in range(300):
            retry = slot_request(f"w{n}", time_left_s=20.0, is_retry=True)
            self.assertIsInstance(broker.request_slot(retry, 0.0), Queued)
        sent = 0
        for n in range(400):
            request = slot_request(f"f{n}", retry_credit=0.2)
            broker.request_slot(request, n * 0.01)
            again = slot_request(f"r{n}", is_retry=True, retry_credit=0.0)
            sent += isinstance(broker.request_slot(again, n * 0.01), Grant)
        self.assertEqual(0, sent)

    def test_few_adopted_retries_leave_the_usual_rule(self) -> None:
        broker = make_broker(target("a"))
        broker.adopt_retries(20, -0.5)
        broker.adopt_retries(16, -0.4)
        self.assertIsInstance(broker.request_slot(slot_request("r", is_retry=True), 0.0), Refused)


class StrandedRetryTests(TestCase):
    def held_retry(self) -> SlotBroker:
        """Return a broker that holds a retry back, which only target `a` may get."""
        broker = make_broker(target("a"), target("b"))
        broker.adopt_retries(600, -0.5)
        retry = slot_request("r", time_left_s=60.0, is_retry=True)
        decision = broker.request_slot(dataclasses.replace(retry, allowed_targets=("a",)), 0.0)
        self.assertIsInstance(decision, Queued)
        return broker

    def check_refused(self, decisions: list[Decision]) -> None:
        refused = [(d.slot_request_id, d.reason) for d in decisions if isinstance(d, Refused)]
        self.assertEqual([("r", RefusalReason.NO_TARGET)], refused)

    def test_held_retry_is_refused_when_its_targets_are_gone(self) -> None:
        """It used to wait until its deadline for a target that no longer exists."""
        self.check_refused(self.held_retry().set_targets([target("b")], frozenset(), 0.1))

    def test_held_retry_is_refused_when_its_targets_leave(self) -> None:
        broker = self.held_retry()
        broker.adopt_notice(TargetNotice("a", 1, is_leaving=True), 0.1)
        self.check_refused(broker.tick(0.2))


class BudgetWindowTests(TestCase):
    def test_window_that_is_only_added_to_stays_bounded(self) -> None:
        """Without shedding nothing asks for a balance, and buckets used to pile up."""
        window = BudgetWindow(WINDOW_S, 0.2)
        for step in range(2000):
            window.deposit(0.2, step * 0.1)
            window.spend(0.1, step * 0.1)
        for kept in (window._deposits, window._recent_deposits, window._spent):
            self.assertLessEqual(len(kept._buckets), round(WINDOW_S / BUCKET_S) + 2)

    @given(st.lists(st.tuples(st.floats(0.0, 0.7), st.floats(0.0, 3.0), st.booleans())))
    def test_no_window_before_any_moment_has_more_spent_than_deposited(
        self, steps: list[tuple[float, float, bool]]
    ) -> None:
        window = BudgetWindow(WINDOW_S)
        deposits: list[tuple[float, float]] = []
        spent: list[float] = []
        now = 0.0
        for wait_s, credit, spends in steps:
            now += wait_s
            window.deposit(credit, now)
            deposits.append((now, credit))
            while spends and window.balance(now) >= 1:
                window.spend(1.0, now)
                spent.append(now)
            given_credit = sum(c for at, c in deposits if at >= now - WINDOW_S)
            self.assertLessEqual(sum(at > now - WINDOW_S for at in spent), given_credit + 1e-6)

    def test_refund_is_credit_again(self) -> None:
        window = BudgetWindow(WINDOW_S)
        window.deposit(1.0, 0.0)
        window.spend(1.0, 0.5)
        window.refund(1.0, 0.5)
        self.assertEqual(1.0, window.balance(0.6))

    def test_saved_credit_ends_with_the_deposits(self) -> None:
        """Guards against a broker that spends what it saved after its hosts use another one."""
        window = BudgetWindow(WINDOW_S)
        for tenth in range(80):
            window.deposit(2.0, tenth / 10)
        self.assertLess(100, window.balance(8.0))
        self.assertGreater(5, window.balance(10.1))

    def test_retries_that_an_earlier_broker_granted_count(self) -> None:
        """Guards against two brokers that each spend the budget of the same window."""
        hosts = RecentRetries(WINDOW_S)
        for n in range(30):
            hosts.record("orders", n / 10)
        window = BudgetWindow(WINDOW_S)
        for count, age_ms in hosts.of_service("orders", 4.0):
            window.adopt_spent(count, 4.0 - age_ms / 1000)
        for tenth in range(40, 60):
            window.deposit(1.0, tenth / 10)
        self.assertEqual(-10, window.balance(6.0))
        self.assertEqual([], hosts.of_service("orders", 14.0))


def report(slot_request_id: str, name: str, outcome: AttemptOutcome) -> AttemptReport:
    return AttemptReport(slot_request_id, name, outcome, 0.005, "")


def shedding_broker() -> SlotBroker:
    """Return a broker without credit whose targets have shed all requests until time 0."""
    started_at = -0.03 * (MIN_SAMPLES + 2)  # The broker skips a target for 0.02 s after a shed.
    broker = make_broker(target("a", slots=40), target("b", slots=40), now=started_at)
    for n in range(MIN_SAMPLES + 2):
        now = started_at + 0.03 * n
        request = slot_request(f"s{n}")
        name = granted_target(broker.request_slot(request, now))
        broker.record_attempt(report(f"s{n}", name, AttemptOutcome.SHED), now)
    return broker


class HeldRetryTests(TestCase):
    def test_retries_without_credit_wait_while_the_service_sheds(self) -> None:
        broker = shedding_broker()
        self.assertTrue(broker.is_shedding)
        decision = broker.request_slot(slot_request("r", is_retry=True), 0.05)
        self.assertIsInstance(decision, Queued)

    def test_first_attempts_pass_retries_that_are_held_back(self) -> None:
        """First attempts cost no budget, and each tells whether the shedding has ended."""
        broker = shedding_broker()
        broker.request_slot(slot_request("r", is_retry=True, priority=0), 0.05)
        self.assertIsInstance(broker.request_slot(slot_request("n", priority=5), 0.1), Grant)

    def test_retry_that_cannot_end_in_time_is_refused_with_a_retry_after(self) -> None:
        broker = shedding_broker()
        broker.request_slot(slot_request("r", is_retry=True, time_left_s=1.0), 0.05)
        self.assertEqual([], broker.tick(0.1))
        (refusal,) = broker.tick(1.05 - 0.9 * broker.mean_work_s)
        assert isinstance(refusal, Refused)
        self.assertLess(0, refusal.retry_after_s)

    def test_after_the_shedding_the_most_urgent_goes_first_then_the_least_time_left(self) -> None:
        broker = shedding_broker()
        for name, priority, time_left_s in (("x", 1, 4.0), ("y", 1, 3.0), ("z", 0, 6.0)):
            request = slot_request(name, priority=priority, time_left_s=time_left_s, is_retry=True)
            self.assertIsInstance(broker.request_slot(request, 0.05), Queued)
        granted: list[str] = []
        for n in range(40):
            now = 0.1 + n * 0.02
            broker.request_slot(slot_request(f"n{n}", retry_credit=0.5), now)
            found = broker.tick(now) if n % 5 == 0 else broker.grant_queued(now)
            granted += [d.slot_request_id for d in found if isinstance(d, Grant)]
        self.assertFalse(broker.is_shedding)
        self.assertEqual(["z", "y", "x"], granted)

    def test_withdrawn_retry_is_no_longer_held(self) -> None:
        broker = shedding_broker()
        broker.request_slot(slot_request("r", is_retry=True), 0.05)
        broker.record_attempt(report("r", "", AttemptOutcome.WITHDRAWN), 0.1)
        self.assertEqual(0, broker.queue_length)

    def test_retry_goes_only_to_the_targets_that_are_allowed(self) -> None:
        """`MaxAttempts` bounds the targets that get a request, so later ones go to the same."""
        broker = make_broker(*(target(name) for name in "abcd"))
        for n in range(2):
            request = dataclasses.replace(slot_request(str(n)), allowed_targets=("c",))
            _, request = decode_slot_request("10.0.0.1", encode_slot_request("orders", request))
            self.assertEqual("c", granted_target(broker.request_slot(request, 0.0)))
        request = dataclasses.replace(slot_request("2"), allowed_targets=("c",))
        self.assertIsInstance(broker.request_slot(request, 0.0), Queued)

    def test_retries_of_an_ended_host_are_dropped(self) -> None:
        control = SheddingControl(0.2, WINDOW_S)
        rng = random.Random(1)
        for n in range(20):
            request = slot_request(f"r{n}", host=rng.choice(["h1", "h2"]), is_retry=True)
            control.hold(PendingRequest(request, 0.0, rng.random(), 0.0))
        control.remove_host("h1")
        self.assertEqual({"h2"}, {pending.slot_request.host for pending in control})
