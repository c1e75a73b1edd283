"""Tests of the service emulator: repeatable runs, the ideal queue, and the policies compared."""

from dataclasses import replace

from testtools import TestCase

from bench.fanin import ideal_wait
from bench.serviceemulator import Emulator, LoadResult, ServiceShape

ORDERS = ServiceShape("orders", 6, 2, 0.16, 20.0, 0.6, 4.0, idempotent=False)
LOOKUPS = replace(ORDERS, name="lookups", idempotent=True)


def run_load(shape: ServiceShape, policy: str, seed: int = 1, seconds: float = 40.0) -> LoadResult:
    return Emulator(shape, seed, policy).run(seconds)


class EmulatorTests(TestCase):
    def test_same_seed_gives_the_same_outcome(self) -> None:
        self.assertEqual(run_load(ORDERS, "broker"), run_load(ORDERS, "broker"))

    def test_every_request_has_one_outcome(self) -> None:
        for policy in ("blind", "told", "broker"):
            for shape in (ORDERS, LOOKUPS):
                result = run_load(shape, policy)
                self.assertAlmostEqual(800, result.total_requests, delta=120)
                self.assertGreaterEqual(result.attempts, result.within_goal + result.late)

    def test_ideal_wait_equals_known_values_for_one_and_two_servers(self) -> None:
        """The mean wait is load / (1 - load) work times in M/M/1, 1/3 in M/M/2 at half load."""
        self.assertAlmostEqual(0.25, 0.25 * ideal_wait(1, 0.5), places=6)
        self.assertAlmostEqual(1 / 3, ideal_wait(2, 0.5), places=6)


class PolicyTests(TestCase):
    def test_broker_fails_fewer_requests_than_per_host_choice(self) -> None:
        """Gray failures at low load: a failure at one host must divert all hosts."""
        blind, broker = run_load(ORDERS, "blind"), run_load(ORDERS, "broker")
        self.assertLess(broker.failed, 0.7 * blind.failed)

    def test_broker_keeps_goodput_beyond_capacity(self) -> None:
        """Load of three times the capacity: the number of answers within the goal is kept."""
        at_full_load = replace(LOOKUPS, rate=6 * 2 / 0.16)
        at_capacity = run_load(at_full_load, "broker").within_goal
        beyond = run_load(replace(at_full_load, rate=3 * at_full_load.rate), "broker").within_goal
        self.assertGreater(beyond, 0.8 * at_capacity)

    def test_broker_wait_is_close_to_an_ideal_queue(self) -> None:
        """40 hosts without failures at a load of 0.8: at most twice the wait of M/M/c."""
        shape = replace(
            ORDERS,
            rate=0.8 * 12 / 0.16,
            spread=None,
            sick_share=0.0,
            error_share=0.0,
            goal_s=1e6,
            deadline_s=1e6,
        )
        result = run_load(shape, "broker", seconds=120.0)
        self.assertLess(result.mean_wait_s, 2 * 0.16 * ideal_wait(12, 0.8) + 0.004)
