"""Tests of retry credit: where it is created, how it is spent, and that it is counted once."""

import dataclasses
import random
from typing import cast

from testtools import TestCase
from toucanspindle_entry.broker.fleetretrybudget import CREDIT_LIFETIME_S, FleetRetryBudget
from toucanspindle_entry.broker.retrycredit import BURST_SHARE, MAX_ACCRUAL_S, RetryCreditSource
from toucanspindle_entry.broker.slotbroker import SlotBroker
from toucanspindle_entry.broker.slotmessages import decode_slot_request, encode_slot_request
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Grant,
    Queued,
    RefusalReason,
    Refused,
)
from toucanspindle_entry.model import TargetState
from toucanspindle_entry.targets.targethealth import AttemptOutcome

from tests.emulatedfleet import SERVICE, EmulatedFleet, FleetShape
from tests.entrycase import BOUNDS, granted_target, make_broker, slot_request, target
from tests.virtualtime import run_in_virtual_time

HOST = "10.0.0.1"


def make_source() -> RetryCreditSource:
    return RetryCreditSource(BOUNDS.retry_ratio, BOUNDS.retry_burst, BOUNDS.retry_window_s)


def refusal_reason(decision: object) -> RefusalReason:
    return cast(Refused, decision).reason


class RetryCreditSourceTests(TestCase):
    def test_only_the_first_slot_request_of_a_request_creates_credit(self) -> None:
        source = make_source()
        self.assertEqual(BOUNDS.retry_ratio, source.take(True, None, 0.0))
        self.assertEqual(0.0, source.take(False, None, 0.1))

    def test_hosts_together_create_their_share_of_the_burst(self) -> None:
        total = 0.0
        for _ in range(30):
            source = make_source()
            for step in range(11):
                total += source.take(False, 30, float(step))
        self.assertAlmostEqual(BURST_SHARE * BOUNDS.retry_burst, total)

    def test_host_without_requests_saves_up_little(self) -> None:
        source = make_source()
        source.take(False, 1, 0.0)
        per_s = BOUNDS.retry_burst * BURST_SHARE / BOUNDS.retry_window_s
        self.assertAlmostEqual(MAX_ACCRUAL_S * per_s, source.take(False, 1, 60.0))

    def test_host_that_does_not_know_the_fleet_creates_no_part_of_the_burst(self) -> None:
        """A host that has just started would take a fleet of many for a fleet of one."""
        source = make_source()
        source.take(False, None, 0.0)
        self.assertEqual(0.0, source.take(False, None, 1.0))
        self.assertEqual(0.0, source.take(False, 5, 2.0))


class FleetRetryBudgetTests(TestCase):
    def test_each_retry_takes_one_credit(self) -> None:
        budget = FleetRetryBudget(0.2, 60.0, 10.0, random.Random(1))
        for _ in range(10):
            budget.deposit(0.25, HOST, 0.0)
        for _ in range(2):
            self.assertTrue(budget.may_admit(0, 0.0))
            budget.spend(0.0)
        self.assertFalse(budget.has_credit(0.0))
        self.assertAlmostEqual(0.5, budget.credit)

    def test_credit_expires(self) -> None:
        """Brokers that take over by turns must not use credit of minutes ago."""
        budget = FleetRetryBudget(0.2, 60.0, 10.0, random.Random(1))
        budget.deposit(5.0, HOST, 0.0)
        self.assertTrue(budget.has_credit(CREDIT_LIFETIME_S))
        self.assertFalse(budget.has_credit(CREDIT_LIFETIME_S + 0.01))

    def test_credit_is_limited_to_the_capacity(self) -> None:
        budget = FleetRetryBudget(0.2, 60.0, 10.0, random.Random(1))
        for _ in range(100):
            budget.deposit(1.0, HOST, 0.0)
        self.assertEqual(15.0, budget.credit)

    def test_capacity_follows_the_share_of_the_hosts_that_ask(self) -> None:
        """The capacities of all brokers must not add up to more than that of one."""
        budget = FleetRetryBudget(0.2, 60.0, 10.0, random.Random(1))
        budget.set_fleet_size(10)
        for n in range(4):
            budget.deposit(15.0, f"10.0.0.{n}", 0.0)
        self.assertEqual(6.0, budget.credit)
        budget.deposit(15.0, HOST, CREDIT_LIFETIME_S + 0.1)
        self.assertEqual(1.5, budget.credit)

    def test_broker_that_does_not_know_the_fleet_saves_up_one_retry(self) -> None:
        budget = FleetRetryBudget(0.2, 60.0, 10.0, random.Random(1))
        budget.set_fleet_size(None)
        budget.deposit(15.0, HOST, 0.0)
        self.assertEqual(1.0, budget.credit)

    def test_stakes_keep_the_mean(self) -> None:
        """A host that decides alone asks often with credit below one retry."""
        budget = FleetRetryBudget(0.2, 60.0, 10.0, random.Random(1))
        spent = 0
        for step in range(20_000):
            budget.deposit(0.05, HOST, step * 10.0)
            for _ in range(5):
                if budget.may_admit(0, step * 10.0):
                    budget.spend(step * 10.0)
                    spent += 1
        self.assertLess(abs(spent - 1000), 120)

    def test_retries_in_the_queue_keep_their_credit(self) -> None:
        budget = FleetRetryBudget(0.2, 60.0, 10.0, random.Random(1))
        budget.deposit(2.5, HOST, 0.0)
        self.assertTrue(budget.may_admit(1, 0.0))
        self.assertFalse(budget.may_admit(2, 0.0))


class BrokerBudgetTests(TestCase):
    """What the broker counts is what the targets see."""

    def test_queued_retries_are_counted_when_they_are_granted(self) -> None:
        """Retries that wait for seconds must not add to those of a later window."""
        broker = make_broker(target("a", slots=1))
        granted_target(broker.request_slot(slot_request("busy"), 0.0))
        for n in range(5):
            retry = slot_request(f"r{n}", is_retry=True, retry_credit=1.0, goal_left_s=4.0)
            self.assertIsInstance(broker.request_slot(retry, 0.0), Queued)
        self.assertEqual([], broker.set_targets([target("a", slots=9)], frozenset(), 3.0))
        broker.request_slot(slot_request("first", retry_credit=2.0), 3.0)
        grants = [decision for decision in broker.tick(3.0) if isinstance(decision, Grant)]
        self.assertEqual(2, len([grant for grant in grants if grant.slot_request_id[0] == "r"]))

    def test_resent_request_deposits_its_credit_once(self) -> None:
        """Slot requests are resent after milliseconds, and datagrams may be duplicated."""
        broker = make_broker(target("a", slots=2), target("b", slots=1))
        for name in ("granted", "granted2", "granted3", "queued"):
            for _ in range(5):
                broker.request_slot(slot_request(name, retry_credit=0.25), 0.0)
        for _ in range(5):
            refused = broker.request_slot(
                slot_request("refused", goal_left_s=0.0, time_left_s=0.1, retry_credit=0.25), 0.0
            )
            self.assertEqual(RefusalReason.OVERLOADED, refusal_reason(refused))
        self.assertAlmostEqual(5 * 0.25, broker.retry_credit)

    def test_retry_that_reaches_no_target_gives_its_credit_back(self) -> None:
        broker = make_broker(target("a"), target("b"))
        broker.request_slot(slot_request("first", retry_credit=1.0), 0.0)
        self.fail_to_connect(broker, "r1", 0.1, 0.2)
        granted_target(broker.request_slot(slot_request("r2", is_retry=True), 0.3))

    def test_credit_of_retries_that_reach_no_target_expires_with_its_first_deposit(self) -> None:
        """Retries that fail to connect one after the other would carry it to a later window."""
        broker = make_broker(*(target(name) for name in "abcdef"))
        broker.request_slot(slot_request("first", retry_credit=1.0), 0.0)
        for n in range(3):
            self.fail_to_connect(broker, f"r{n}", 0.4 * n, 0.4 * n + 0.3)
        late = broker.request_slot(slot_request("late", is_retry=True), 1.2)
        self.assertEqual(RefusalReason.RETRY_BUDGET_EXHAUSTED, refusal_reason(late))

    def fail_to_connect(
        self, broker: SlotBroker, slot_request_id: str, granted_at: float, reported_at: float
    ) -> None:
        """Grant a retry, and report that its target couldn't be reached."""
        decision = broker.request_slot(slot_request(slot_request_id, is_retry=True), granted_at)
        report = AttemptReport(
            slot_request_id, granted_target(decision), AttemptOutcome.CONNECT_FAILED, 0.0, ""
        )
        broker.record_attempt(report, reported_at)

    def test_credit_is_sent_with_a_slot_request(self) -> None:
        request = slot_request("1", retry_credit=0.2345)
        message = encode_slot_request("orders", request)
        self.assertEqual(0.2345, decode_slot_request("10.0.0.1", message)[1].retry_credit)
        self.assertEqual(0.0, decode_slot_request("10.0.0.1", message[:-1])[1].retry_credit)
        self.assertRaises(ValueError, decode_slot_request, "10.0.0.1", [*message[:-1], -1])


class RequestCreditTests(TestCase):
    def test_request_whose_grants_are_not_used_creates_credit_once(self) -> None:
        """A host may get several grants of a target that it knows to be draining."""
        shape = FleetShape(
            hosts=1,
            targets=1,
            shed_share=0,
            fail_share=0,
            unreachable_share=0,
            bounds=dataclasses.replace(BOUNDS, retry_burst=0.0),
        )
        credit: list[float] = []

        async def main() -> None:
            fleet = EmulatedFleet(shape, 1)
            (host,) = fleet.hosts.values()
            fleet.send_request(host)
            await fleet.run_load(0.0)
            host.targets.register(target("t0", slots=8, state=TargetState.DRAINING))
            fleet.send_request(host)
            await fleet.run_load(0.0)
            self.assertEqual([200, 503], fleet.statuses)
            credit.append(host.slots.local_brokers[SERVICE].broker.retry_credit)

        run_in_virtual_time(main())
        self.assertAlmostEqual(2 * BOUNDS.retry_ratio, credit[0])
