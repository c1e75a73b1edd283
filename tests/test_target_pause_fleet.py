"""Tests of targets that turn requests away and want none from that host for some seconds."""

import asyncio
import dataclasses
import os
from typing import Final

from toucanspindle_entry.hosts.brokerchoice import rank_brokers

from tests.emulatedfleet import SERVICE, EmulatedFleet, FleetShape
from tests.test_retry_budget_fleet import FleetCase, Scenario, set_cut_off

SEEDS: Final = int(os.environ.get("TOUCANSPINDLE_FLEET_SEEDS", "2"))
FIRST_SEED: Final = int(os.environ.get("TOUCANSPINDLE_FLEET_FIRST_SEED", "1"))
MAX_UNWANTED: Final = 2  # The stated bound, for each host and pause.
PAUSE_S: Final = 6.0
# Few hosts, so that each sees a target often.
SHAPE: Final = FleetShape(
    hosts=4, targets=12, rate=80.0, shed_share=0.05, fail_share=0.0, unreachable_share=0.0
)


class TargetPauseTests(FleetCase):
    """Requests that reach a target from a host from which it wants none."""

    def check(self, scenario: Scenario, shape: FleetShape = SHAPE) -> None:
        async def pause_and_fail(fleet: EmulatedFleet) -> None:
            fleet.pause_s = PAUSE_S
            await scenario(fleet)

        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            fleet = self.play(pause_and_fail, shape, seed)
            self.assertGreater(len(fleet.record.paused_until), 10, f"seed {seed}")
            worst = max(fleet.record.unwanted.values(), default=0)
            self.assertLessEqual(worst, MAX_UNWANTED, f"seed {seed}")

    # Guards against hosts that send on to a target that has turned them away with Retry-After.
    def test_target_gets_nothing_from_a_host_that_it_has_turned_away(self) -> None:
        async def do_nothing(fleet: EmulatedFleet) -> None:
            return

        self.check(do_nothing)

    # Guards against a pause that only the broker knows, and that ends with it.
    def test_pause_holds_while_brokers_are_killed_and_cut_off(self) -> None:
        async def fail_brokers(fleet: EmulatedFleet) -> None:
            while True:
                await asyncio.sleep(fleet.rng.uniform(1.0, 3.0))
                ip = rank_brokers(SERVICE, fleet.ips)[fleet.rng.randrange(2)]
                if fleet.rng.random() < 0.5:
                    fleet.disturb(ip, set_cut_off, 2.0)
                elif fleet.hosts[ip].is_running:
                    fleet.kill(ip, 0.5)

        self.check(fail_brokers)

    # Guards against requests that wait for a target which refuses this host alone.
    def test_request_is_refused_at_once_if_every_target_has_turned_the_host_away(self) -> None:
        shape = dataclasses.replace(SHAPE, hosts=1, targets=2, shed_share=1.0, rate=20.0)

        async def do_nothing(fleet: EmulatedFleet) -> None:
            fleet.pause_s = 60.0

        fleet = self.play(do_nothing, shape, FIRST_SEED)
        self.assertEqual({503}, set(fleet.statuses))
        self.assertLessEqual(len(fleet.record.arrivals), shape.targets * (1 + MAX_UNWANTED))
