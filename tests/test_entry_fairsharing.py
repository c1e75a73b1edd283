"""Tests of the sharing of slots by client accounts, and of the order without accounts."""

import dataclasses
import random
from collections import defaultdict
from itertools import count
from typing import Final

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_entry.broker import slotbroker
from toucanspindle_entry.broker.slotqueue import PendingRequest, SlotQueue
from toucanspindle_entry.broker.slottypes import AttemptReport, Decision, Grant, Refused
from toucanspindle_entry.targets.targethealth import AttemptOutcome

from tests.entrycase import make_broker, slot_request, target

WORK_S: Final = 0.41
SURGE_S: Final = (10.0, 18.0)
DURATION_S: Final = 30.0
MAX_MEAN_WAIT_S: Final = 0.1 * WORK_S  # Of a light account: some slots become free, 278 a second.


def waits_under_surge(with_accounts: bool, surge: float = 7.0) -> dict[str, list[float | None]]:
    """Return the waits of the requests that came in a surge, by account; None if refused.

    19 targets of 6 slots run 200 requests a second by 10 accounts of equal weight.  One of them
    sends `surge` times its rate for 8 s.
    """
    rng = random.Random(1)
    broker = make_broker(*(target(f"t{n}", slots=6) for n in range(19)))
    arrivals: list[tuple[float, str]] = []
    for number in range(10):
        at = 0.0
        while at < DURATION_S:
            in_surge = number == 0 and SURGE_S[0] <= at < SURGE_S[1]
            at += rng.expovariate(20.0 * (surge if in_surge else 1.0))
            arrivals.append((at, f"a{number}"))
    arrivals.sort(reverse=True)
    waits: dict[str, list[float | None]] = defaultdict(list)
    asked: dict[str, tuple[float, str]] = {}
    ends: list[tuple[float, str, str]] = []
    ids = count()
    next_tick = 0.0

    def take(decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            at, account = asked.get(decision.slot_request_id, (0.0, ""))
            in_surge = SURGE_S[0] <= at < SURGE_S[1]
            if isinstance(decision, Grant):
                end_at = now + rng.expovariate(1 / WORK_S)
                ends.append((end_at, decision.slot_request_id, decision.target))
                ends.sort(reverse=True)
                if in_surge:
                    waits[account].append(now - at)
            elif isinstance(decision, Refused) and in_surge:
                waits[account].append(None)

    while arrivals or ends:
        now = min(
            next_tick,
            arrivals[-1][0] if arrivals else float("inf"),
            ends[-1][0] if ends else float("inf"),
        )
        if now == next_tick:
            next_tick += 0.1
            take(broker.tick(now), now)
        elif ends and now == ends[-1][0]:
            _, slot_request_id, name = ends.pop()
            work_s = now - asked[slot_request_id][0]
            report = AttemptReport(
                slot_request_id, name, AttemptOutcome.ANSWERED, min(work_s, WORK_S), ""
            )
            take(broker.record_attempt(report, now), now)
        else:
            at, account = arrivals.pop()
            request = slot_request(str(next(ids)), time_left_s=6.0, goal_left_s=2.0)
            if with_accounts:
                request = dataclasses.replace(request, account=account, account_weight=20.0)
            asked[request.id] = at, account
            take([broker.request_slot(request, now)], now)
    return waits


class SurgeTests(TestCase):
    """One account at 7 times its rate, on 19 targets of 6 slots with 0.41 s of work."""

    def test_surge_of_one_account_neither_delays_nor_starves_the_others(self) -> None:
        waits = waits_under_surge(with_accounts=True)
        others = [wait for name, found in waits.items() if name != "a0" for wait in found]
        served = [wait for wait in others if wait is not None]
        self.assertEqual(len(others), len(served))
        self.assertLess(sum(served) / len(served), MAX_MEAN_WAIT_S)

    def test_account_in_surge_gets_what_the_others_leave(self) -> None:
        """Guards against slots that stay unused while requests wait."""
        heavy = [wait for wait in waits_under_surge(with_accounts=True)["a0"] if wait is not None]
        capacity = 19 * 6 / WORK_S * (SURGE_S[1] - SURGE_S[0])
        others = 9 * 20.0 * (SURGE_S[1] - SURGE_S[0])
        self.assertGreater(len(heavy), 0.9 * (capacity - others))

    def test_load_without_accounts_does_delay_the_others(self) -> None:
        """The load of the other tests is one that needs sharing."""
        waits = waits_under_surge(with_accounts=False)
        others = [wait for name, found in waits.items() if name != "a0" for wait in found]
        delayed = [wait for wait in others if wait is None or wait > 5 * MAX_MEAN_WAIT_S]
        self.assertGreater(len(delayed), 0.5 * len(others))


def pending_request(
    slot_request_id: str,
    account: str = "",
    weight: float = 1.0,
    account_priority: int = 0,
    priority: int = 1,
) -> PendingRequest:
    request = dataclasses.replace(
        slot_request(slot_request_id, priority=priority),
        account=account,
        account_weight=weight,
        account_priority=account_priority,
    )
    return PendingRequest(request, 0.0, 10.0, 10.0)


def served_order(*pending: PendingRequest) -> str:
    """Return the ids of requests that were added in order, as a queue serves them."""
    queue = SlotQueue()
    for request in pending:
        queue.add(request, 0.0, 1.0)
    order = ""
    while queue:
        first = next(iter(queue)).slot_request.id
        queue.remove_granted(first)
        order += first
    return order


class OrderTests(TestCase):
    def test_accounts_share_by_their_weights(self) -> None:
        light = [pending_request(name, "light", 1.0) for name in "xyz"]
        heavy = [pending_request(name, "heavy", 2.0) for name in "abcdef"]
        self.assertEqual("axbcydezf", served_order(*light, *heavy))

    def test_account_without_a_limit_weighs_as_much_as_the_heaviest(self) -> None:
        limited = [pending_request(name, "limited", 50.0) for name in "abc"]
        unlimited = [pending_request(name, "unlimited", 0.0) for name in "xyz"]
        public = [pending_request(name) for name in "pqr"]
        self.assertEqual("apxbqycrz", served_order(*limited, *unlimited, *public))

    def test_priority_of_the_account_goes_before_that_of_the_route(self) -> None:
        self.assertEqual(
            "uvw",
            served_order(
                pending_request("w", "b", account_priority=2, priority=0),
                pending_request("v", "a", account_priority=1, priority=5),
                pending_request("u", "a", account_priority=1, priority=3),
            ),
        )

    def test_shares_of_a_priority_do_not_depend_on_those_of_others(self) -> None:
        """An urgent account of small weight put a light one behind a heavy one's backlog."""
        queue = SlotQueue()
        for name in "uvw":
            queue.add(pending_request(name, "urgent", 0.1), 0.0, 1.0)
        for name in "abc":
            queue.add(pending_request(name, "heavy", priority=2), 0.0, 1.0)
        for name in "uvw":
            queue.remove_granted(name)
        queue.add(pending_request("x", "light", priority=2), 0.0, 1.0)
        order = [pending.slot_request.id for pending in queue]
        self.assertEqual(["a", "x", "b", "c"], order)

    def test_account_without_a_limit_is_charged_as_the_heaviest_when_nobody_waits(self) -> None:
        """It was charged as of weight 1, and waited behind a heavy backlog for that."""
        queue = SlotQueue()
        for account, weight in (("limited", 50.0), ("unlimited", 0.0), ("", 0.0)):
            queue.charge(pending_request("g", account, weight).slot_request, 1.0)
        for name, account in (("a", "limited"), ("x", "unlimited"), ("p", "")):
            queue.add(pending_request(name, account, 50.0 if name == "a" else 0.0), 0.0, 1.0)
        self.assertEqual({1.0 / 50.0}, {pending.start_tag for pending in queue})

    def test_withdrawn_request_takes_nothing_from_its_account(self) -> None:
        queue = SlotQueue()
        for request in (pending_request("a", "one"), pending_request("b", "one")):
            queue.add(request, 0.0, 1.0)
        queue.remove("a")
        queue.remove("b")
        queue.add(pending_request("x", "two"), 0.0, 1.0)
        queue.add(pending_request("c", "one"), 0.0, 1.0)
        self.assertEqual({0.0}, {pending.start_tag for pending in queue})

    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.integers(0, 3), st.floats(0.0, 2.0), st.booleans()),
            max_size=30,
        )
    )
    def test_without_accounts_the_order_and_the_waits_are_those_of_priority_and_arrival(
        self, requests: list[tuple[int, int, float, bool]]
    ) -> None:
        """A plan without accounts must give the same decisions as before there were any."""
        queue = SlotQueue()
        now, work_s = 0.0, 0.4
        expected: list[tuple[int, bool, float, str]] = []
        for number, (priority, step, goal_left_s, leaves) in enumerate(requests):
            now += step / 10
            request = slot_request(f"{number:02}", priority=priority)
            pending = PendingRequest(request, now, now + 4.0, now + goal_left_s)
            ahead = sum(key[0] <= priority for key in expected)
            self.assertEqual(ahead, queue.count_ahead_of(pending, now, work_s))
            queue.charge(slot_request("granted"), work_s)
            queue.add(pending, now, work_s)
            expected.append((priority, goal_left_s < work_s / 2, now, request.id))
            expected.sort()
            if leaves:
                queue.remove_granted(expected.pop(0)[-1])
        self.assertEqual(
            [key[-1] for key in expected], [pending.slot_request.id for pending in queue]
        )


class PlaceInOrderTests(TestCase):
    def test_refused_requests_are_not_ahead_of_later_ones(self) -> None:
        """Requests that could be served were refused for the wait behind refused ones."""
        broker = make_broker(target("t", slots=1))

        def ask(id_: str, priority: int, time_left_s: float, goal_left_s: float) -> None:
            request = slot_request(
                id_, priority=priority, time_left_s=time_left_s, goal_left_s=goal_left_s
            )
            decision = broker.request_slot(dataclasses.replace(request, account="a"), 0.0)
            self.assertNotIsInstance(decision, Refused)

        ask("granted", 1, 60.0, 30.0)
        for name in ("q0", "q1", "q2"):
            ask(name, 2, 4.0, 3.0)
        ask("z", 3, 4.5, 3.0)
        for number in range(13):
            ask(f"urgent{number}", 1, 60.0, 30.0)
        refused = [d.slot_request_id for d in broker.tick(0.0) if isinstance(d, Refused)]
        self.assertEqual(["q0", "q1", "q2"], refused)


class FullQueueTests(TestCase):
    def test_last_request_of_the_heaviest_account_makes_room_in_a_full_queue(self) -> None:
        """A light account isn't refused because of the backlog of a heavy one."""
        self.patch(slotbroker, "MAX_QUEUE_LENGTH", 3)
        broker = make_broker(target("t", slots=1))
        for number in range(4):
            request = dataclasses.replace(slot_request(str(number)), account="heavy")
            broker.request_slot(dataclasses.replace(request, goal_left_s=30.0), 0.0)
        request = dataclasses.replace(slot_request("new"), account="light", goal_left_s=30.0)
        self.assertNotIsInstance(broker.request_slot(request, 0.0), Refused)
        refused = [d.slot_request_id for d in broker.tick(0.1) if isinstance(d, Refused)]
        self.assertEqual(["3"], refused)

    def test_request_that_is_refused_itself_takes_no_place_in_a_full_queue(self) -> None:
        """A waiting request was evicted for a newcomer that was then refused for its wait."""
        self.patch(slotbroker, "MAX_QUEUE_LENGTH", 3)
        broker = make_broker(target("t", slots=1))
        for number in range(4):
            request = dataclasses.replace(slot_request(str(number)), account="heavy")
            broker.request_slot(dataclasses.replace(request, goal_left_s=30.0), 0.0)
        request = slot_request("new", time_left_s=0.4, goal_left_s=0.2)
        decision = broker.request_slot(dataclasses.replace(request, account="light"), 0.0)
        self.assertIsInstance(decision, Refused)
        self.assertEqual([], [d for d in broker.tick(0.0) if isinstance(d, Refused)])
