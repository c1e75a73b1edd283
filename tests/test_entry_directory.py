"""Tests of the directory: which hosts are named to callers after other hosts have gone off."""

import asyncio
import os
from collections.abc import Callable, Coroutine
from typing import Any, Final

from testtools import TestCase

from tests.emulatedmembership import EmulatedMembership
from tests.virtualtime import run_in_virtual_time

SEEDS: Final = int(os.environ.get("TOUCANSPINDLE_FLEET_SEEDS", "2"))
FIRST_SEED: Final = int(os.environ.get("TOUCANSPINDLE_FLEET_FIRST_SEED", "1"))
# Callers may keep a directory response for 5 s, so a longer delay makes itself felt.
MAX_OFF_S: Final = 5.0
CALM_S: Final = 3.0  # A host that was disturbed is back in order after this time.
DURATION_S: Final = 30.0
CHECK_INTERVAL_S: Final = 0.25
GRACE_S: Final = 3.0

Scenario = Callable[[EmulatedMembership], Coroutine[Any, Any, None]]


class LongOffHostTests(TestCase):
    """No undisturbed host names a host that has been off for longer than MAX_OFF_S."""

    def check(self, scenario: Scenario, size: int, loss: float = 0.0) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            stale: list[str] = []
            little_named: list[str] = []

            async def main(
                seed: int = seed, stale: list[str] = stale, little_named: list[str] = little_named
            ) -> None:
                fleet = EmulatedMembership(size, loss, seed)
                failures = asyncio.get_running_loop().create_task(scenario(fleet))
                while asyncio.get_running_loop().time() < DURATION_S:
                    await asyncio.sleep(CHECK_INTERVAL_S)
                    stale += fleet.stale_entries(MAX_OFF_S, CALM_S)
                failures.cancel()
                little_named.extend(fleet.little_named(CALM_S))

            run_in_virtual_time(main())
            self.assertEqual([], stale[:5], f"seed {seed}: {len(stale)} stale entries")
            # A directory without the hosts that run would be no use either.
            self.assertEqual([], little_named, f"seed {seed}")

    # Guards against a shutdown message that is lost and never repeated.
    def test_host_that_stopped_on_lossy_links_is_not_named(self) -> None:
        async def stop_hosts(fleet: EmulatedMembership) -> None:
            for host in fleet.running()[5:20]:
                await asyncio.sleep(0.5)
                fleet.stop(host.ip, GRACE_S)

        self.check(stop_hosts, 121, loss=0.05)

    # Guards against dead hosts that are passed on to hosts that start later.
    def test_host_that_starts_later_does_not_name_hosts_off_before(self) -> None:
        async def start_after_losses(fleet: EmulatedMembership) -> None:
            for host in fleet.running()[10:25]:
                fleet.power_off(host.ip)
            await asyncio.sleep(8.0)
            for n in range(10):
                fleet.start(f"10.0.1.{n}")

        self.check(start_after_losses, 40)

    # Guards against reports of dead hosts that a frozen or cut-off host misses.
    def test_host_that_was_frozen_or_cut_off_does_not_name_hosts_off_since_then(self) -> None:
        async def disturb_hosts(fleet: EmulatedMembership) -> None:
            running = fleet.running()
            for host in running[:6]:
                fleet.freeze(host.ip, 8.0)
            for host in running[6:12]:
                fleet.cut_off(host.ip, 8.0)
            await asyncio.sleep(1.0)
            for host in running[20:35]:
                fleet.power_off(host.ip)

        self.check(disturb_hosts, 40)

    # Guards against an order of failures that no single scenario has.
    def test_hosts_off_are_not_named_while_failures_overlap(self) -> None:
        async def disturb_hosts(fleet: EmulatedMembership) -> None:
            next_new = 0
            while True:
                await asyncio.sleep(fleet.rng.uniform(0.1, 1.5))
                calm = [
                    host
                    for host in fleet.running()
                    if host.is_ready and not host.is_frozen and not host.is_cut_off
                ]
                host = fleet.rng.choice(calm)
                action = fleet.rng.choice(("stop", "off", "freeze", "cut", "start", "start"))
                if action == "stop":
                    fleet.stop(host.ip, GRACE_S)
                elif action == "off":
                    fleet.power_off(host.ip)
                elif action == "freeze":
                    fleet.freeze(host.ip, fleet.rng.uniform(0.5, 5.0))
                elif action == "cut":
                    fleet.cut_off(host.ip, fleet.rng.uniform(0.5, 5.0))
                elif fleet.off_since and fleet.rng.random() < 0.5:
                    fleet.start(fleet.rng.choice(list(fleet.off_since)))
                else:
                    next_new += 1
                    fleet.start(f"10.0.1.{next_new}")

        self.check(disturb_hosts, 40, loss=0.03)
