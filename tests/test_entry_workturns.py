"""Tests of the turns of caller connections in the event loop, without a network."""

import asyncio

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.callers.workturns import (
    STEPS_PER_CONNECTION,
    STEPS_PER_TURN,
    WorkTurns,
)


class FakeWorker:
    def __init__(self, name: str, steps_wanted: int, order: list[str]) -> None:
        self.name = name
        self.steps_left = steps_wanted
        self.order = order

    @property
    def has_work(self) -> bool:
        return self.steps_left > 0

    def work(self, max_steps: int) -> int:
        steps = min(max_steps, self.steps_left)
        self.steps_left -= steps
        self.order += [self.name] * steps
        return steps


class WorkTurnsTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.order: list[str] = []

    def test_ordinary_request_waits_for_few_steps_of_a_crowd(self) -> None:
        """Guards against 300 connections of endless requests that keep other callers waiting."""

        async def run() -> int:
            turns = WorkTurns(MonotonicClock())
            crowd = [FakeWorker("crowd", 1000, self.order) for _ in range(300)]
            for worker in crowd:
                turns.request(worker)
            for _ in range(100):
                await asyncio.sleep(0)
            worked_before = len(self.order)
            ordinary = FakeWorker("ordinary", 2, self.order)
            turns.request(ordinary)
            while ordinary.has_work:
                await asyncio.sleep(0)
            for worker in crowd:
                worker.steps_left = 0
            return self.order.index("ordinary") - worked_before

        self.assertLessEqual(asyncio.run(run()), STEPS_PER_TURN)

    def test_work_of_one_turn_is_bounded(self) -> None:
        async def run() -> None:
            turns = WorkTurns(MonotonicClock())
            workers = [FakeWorker(f"w{n}", 20, self.order) for n in range(30)]
            for worker in workers:
                turns.request(worker)
            self.assertLessEqual(len(self.order), STEPS_PER_TURN)
            self.assertEqual(STEPS_PER_CONNECTION, self.order.count("w0"))
            done = len(self.order)
            while any(worker.has_work for worker in workers):
                await asyncio.sleep(0)
                self.assertLessEqual(len(self.order) - done, STEPS_PER_TURN)
                done = len(self.order)
            self.assertEqual(600, done)

        asyncio.run(run())

    def test_busy_connections_go_on_beside_many_others(self) -> None:
        """Guards against requests that wait for ever while new connections keep coming."""

        async def run() -> None:
            turns = WorkTurns(MonotonicClock())
            busy = FakeWorker("busy", 50, self.order)
            turns.request(busy)
            for turn in range(100):
                for n in range(STEPS_PER_TURN):
                    turns.request(FakeWorker(f"n{turn}.{n}", 2, self.order))
                await asyncio.sleep(0)
            self.assertFalse(busy.has_work)

        asyncio.run(run())

    def test_connection_that_has_ended_gets_no_turn(self) -> None:
        async def run() -> None:
            turns = WorkTurns(MonotonicClock())
            worker = FakeWorker("ended", 50, self.order)
            turns.request(worker)
            turns.forget(worker)
            done = len(self.order)
            for _ in range(5):
                await asyncio.sleep(0)
            self.assertEqual(done, len(self.order))

        asyncio.run(run())
