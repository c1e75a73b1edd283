"""The emulator of a service under load: repetition, the ideal queue, and the ways to spread."""

from dataclasses import replace

from testtools import TestCase

from bench.fanin import ideal_wait
from bench.serviceemulator import Emulator, Outcome, ServiceShape

ORDERS = ServiceShape("orders", 6, 2, 0.16, 20.0, 0.6, 4.0, idempotent=False)
LOOKUPS = replace(ORDERS, name="lookups", idempotent=True)


def play(shape: ServiceShape, spread: str, seed: int = 1, seconds: float = 40.0) -> Outcome:
    return Emulator(shape, seed, spread).run(seconds)


class EmulatorTests(TestCase):
    def test_same_seed_gives_the_same_outcome(self) -> None:
        self.assertEqual(play(ORDERS, "broker"), play(ORDERS, "broker"))

    def test_every_request_has_one_end(self) -> None:
        for spread in ("blind", "told", "broker"):
            for shape in (ORDERS, LOOKUPS):
                seen = play(shape, spread)
                self.assertAlmostEqual(800, seen.asked, delta=120)
                self.assertGreaterEqual(seen.attempts, seen.in_goal + seen.late)

    def test_ideal_queue_of_one_and_two_servers(self) -> None:
        """M/M/1 waits load / (1 - load) times the work; M/M/2 at half load a third of it."""
        self.assertAlmostEqual(0.25, 0.25 * ideal_wait(1, 0.5), places=6)
        self.assertAlmostEqual(1 / 3, ideal_wait(2, 0.5), places=6)


class SpreadTests(TestCase):
    def test_pooled_knowledge_fails_fewer_orders_than_blind_choice(self) -> None:
        """Gray spells at a quiet hour: one host's failure must steer all others."""
        blind, broker = play(ORDERS, "blind"), play(ORDERS, "broker")
        self.assertLess(broker.failed, 0.7 * blind.failed)

    def test_broker_keeps_goodput_beyond_capacity(self) -> None:
        """Burst to three times what can be served: answers in time don't collapse."""
        full = replace(LOOKUPS, rate=6 * 2 / 0.16)
        at_capacity = play(full, "broker").in_goal
        beyond = play(replace(full, rate=3 * full.rate), "broker").in_goal
        self.assertGreater(beyond, 0.8 * at_capacity)

    def test_broker_waits_little_more_than_one_queue(self) -> None:
        """Herd of 40 hosts without spells: within twice M/M/c at a load of 0.8."""
        shape = replace(
            ORDERS,
            rate=0.8 * 12 / 0.16,
            spread=None,
            sick_share=0.0,
            error_share=0.0,
            goal_s=1e6,
            deadline_s=1e6,
        )
        seen = play(shape, "broker", seconds=120.0)
        self.assertLess(seen.mean_wait_s, 2 * 0.16 * ideal_wait(12, 0.8) + 0.004)
