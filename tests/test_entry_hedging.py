"""Tests of hedged requests: when a broker allows them, and what a host does with the attempts."""

import asyncio
import dataclasses
import random

from testtools import TestCase
from toucanspindle_entry.broker.hedging import MIN_SAMPLES, HedgePolicy
from toucanspindle_entry.broker.slotbroker import SlotBroker
from toucanspindle_entry.broker.slottypes import AttemptReport, Grant, RefusalReason, Refused
from toucanspindle_entry.callers.hedgedattempts import HedgedAttempts, RepeatableRequest
from toucanspindle_entry.model import Route, WeightedService
from toucanspindle_entry.targets.targethealth import AttemptOutcome

from tests.entrycase import BOUNDS, slot_request, target

SHARE = 0.05
ROUTE = Route("r", "h", "/", True, 4.0, 1.0, 2, 1, (WeightedService("s", 1.0),))


class BrokerTests(TestCase):
    """A broker of 20 targets of 6 slots; one request in 25 ms, an attempt takes 0.4 s."""

    def setUp(self) -> None:
        super().setUp()
        bounds = dataclasses.replace(BOUNDS, hedge_share=SHARE)
        self.broker = SlotBroker("s", bounds, random.Random(3))
        self.broker.set_targets([target(f"t{n}", slots=6) for n in range(20)], frozenset(), 0.0)
        self.now = 0.0
        self.requests = 0
        self.hedges = 0

    def play(self, seconds: float, slow_share: float, outcome: str = "answered") -> int:
        """Play requests of which a share takes ten times as long; return the hedges sent."""
        rng = random.Random(4)
        hedges_before, end_at = self.hedges, self.now + seconds
        due: list[tuple[float, int, str, str]] = []
        while self.now < end_at:
            self.now += 0.025
            for item in sorted(due):
                if item[0] <= self.now:
                    due.remove(item)
                    self._end(item, outcome)
            self.requests += 1
            request = slot_request(str(self.requests), time_left_s=9.0, goal_left_s=9.0)
            request = dataclasses.replace(request, can_retry=True, retry_credit=0.2)
            grant = self.broker.request_slot(request, self.now)
            if not isinstance(grant, Grant):
                continue
            work_s = 4.0 if rng.random() < slow_share else rng.uniform(0.3, 0.5)
            due.append((self.now + work_s, self.requests, request.id, grant.target))
            if grant.hedge_after_s is not None and work_s > grant.hedge_after_s:
                self._hedge(grant)
        return self.hedges - hedges_before

    def _hedge(self, grant: Grant) -> None:
        hedge = dataclasses.replace(
            slot_request(f"h{grant.slot_request_id}", time_left_s=9.0, goal_left_s=9.0),
            excluded=(grant.target,),
            is_retry=True,
            is_hedge=True,
        )
        decision = self.broker.request_slot(hedge, self.now)
        if isinstance(decision, Grant):
            self.hedges += 1
            self.assertNotEqual(grant.target, decision.target)
            self._report(decision.slot_request_id, decision.target, AttemptOutcome.ANSWERED, 0.4)

    def _end(self, item: tuple[float, int, str, str], outcome: str) -> None:
        self._report(item[2], item[3], AttemptOutcome(outcome), 0.4)

    def _report(self, id_: str, name: str, outcome: AttemptOutcome, work_s: float) -> None:
        self.broker.record_attempt(AttemptReport(id_, name, outcome, work_s, ""), self.now)

    # Guards against a tail that is never cut.
    def test_slow_tail_is_hedged_within_the_share(self) -> None:
        self.play(10.0, slow_share=0.03)
        hedges = self.play(10.0, slow_share=0.03)
        self.assertGreater(hedges, 0.5 * 0.03 * 400)
        self.assertLessEqual(hedges, SHARE * 400 + 1)

    # Guards against a storm of extra work when a whole service turns slow.
    def test_service_that_turns_slow_gets_no_more_than_the_share(self) -> None:
        self.play(10.0, slow_share=0.0)
        hedges = self.play(10.0, slow_share=0.5)
        self.assertLessEqual(hedges, SHARE * 400 + 1)

    # Guards against extra work at targets that already reject a part of it.
    def test_shedding_service_gets_no_hedges(self) -> None:
        self.play(10.0, slow_share=0.0)
        self.play(0.5, slow_share=0.0, outcome="shed")
        self.assertEqual(0, self.play(1.0, slow_share=1.0, outcome="shed"))

    # Guards against hedges that use up what retries after a failure need.
    def test_empty_retry_budget_refuses_hedges(self) -> None:
        self.play(10.0, slow_share=0.0)
        self.now += 2.0  # Credit expires.
        request = dataclasses.replace(slot_request("first", time_left_s=9.0), can_retry=True)
        grant = self.broker.request_slot(request, self.now)
        assert isinstance(grant, Grant)
        hedge = dataclasses.replace(slot_request("h"), is_retry=True, is_hedge=True)
        refused = self.broker.request_slot(hedge, self.now)
        assert isinstance(refused, Refused)
        self.assertEqual(RefusalReason.RETRY_BUDGET_EXHAUSTED, refused.reason)

    # Guards against hedges in fleets whose operators didn't ask for them.
    def test_share_of_zero_hedges_nothing(self) -> None:
        policy = HedgePolicy(0.0)
        for _ in range(MIN_SAMPLES):
            policy.record_request(0.0)
            policy.record_attempt(0.4)
        self.assertIsNone(policy.delay_s)
        self.assertFalse(policy.may_hedge(waiting=0, is_shedding=False, retry_credit=9.0, now=0.0))


class HostTests(TestCase):
    """Two attempts of one request; a result is (name, whether it answers the request)."""

    def run_attempts(
        self,
        first: tuple[float, bool],
        second: tuple[float, bool] | None,
        leaves_after_s: float | None = None,
    ) -> tuple[list[tuple[str, bool]], list[str]]:
        """Play attempts of some seconds; return the results and the cancelled attempts."""
        cancelled: list[str] = []

        async def attempt(name: str, work_s: float, answers: bool) -> tuple[str, bool]:
            try:
                await asyncio.sleep(work_s)
            except asyncio.CancelledError:
                cancelled.append(name)
                raise
            return name, answers

        async def run_second() -> tuple[str, bool] | None:
            return await attempt("second", *second) if second is not None else None

        async def main() -> list[tuple[str, bool]]:
            request = RepeatableRequest.of_route(ROUTE)
            assert request is not None
            attempts = HedgedAttempts(
                request, lambda: attempt("first", *first), run_second, lambda result: result[1]
            )
            try:
                async with asyncio.timeout(leaves_after_s):
                    return await attempts.run(0.02)
            except TimeoutError:
                return []

        return asyncio.run(main()), cancelled

    def test_first_answer_wins_and_the_other_attempt_is_cancelled(self) -> None:
        for first, second, winner, cancelled in (
            ((0.0, True), (0.0, True), "first", []),
            ((9.0, True), (0.0, True), "second", ["first"]),
            ((0.06, True), (9.0, True), "first", ["second"]),
        ):
            results, ended = self.run_attempts(first, second)
            self.assertEqual((winner, True), results[-1])
            self.assertEqual(cancelled, ended)

    # Guards against a failure that replaces an answer which is on its way or already there.
    def test_failure_waits_for_the_other_attempt(self) -> None:
        for first, second in (((0.04, False), (0.05, True)), ((0.06, True), (0.0, False))):
            results, cancelled = self.run_attempts(first, second)
            self.assertEqual([False, True], [answers for _, answers in results])
            self.assertEqual([], cancelled)

    def test_both_failures_are_returned(self) -> None:
        results, _ = self.run_attempts((0.04, False), (0.0, False))
        self.assertEqual([False, False], [answers for _, answers in results])

    def test_refused_hedge_leaves_the_first_attempt_alone(self) -> None:
        self.assertEqual(([("first", True)], []), self.run_attempts((0.05, True), None))

    # Guards against attempts that go on after their caller has left.
    def test_caller_that_leaves_ends_both_attempts(self) -> None:
        results, cancelled = self.run_attempts((9.0, True), (9.0, True), leaves_after_s=0.06)
        self.assertEqual(([], {"first", "second"}), (results, set(cancelled)))

    def test_request_that_may_run_only_once_is_not_repeatable(self) -> None:
        route = dataclasses.replace(ROUTE, idempotent=False)
        self.assertIsNone(RepeatableRequest.of_route(route))
