"""Soak of the deployed form: real processes under random, overlapping faults.

A short seeded run is part of the suite; by hand, more seeds, hosts and time are set by variables.
"""

import asyncio
import os
from typing import Final

from testtools import TestCase
from toucanspindle_standins.processes import wait_until

from deployedfleet import DeployedFleet
from tests.soakworld import SoakWorld
from tests.tempfolder import temporary_folder

SEEDS: Final = int(os.environ.get("TOUCANSPINDLE_SOAK_SEEDS", "2"))
FIRST_SEED: Final = int(os.environ.get("TOUCANSPINDLE_SOAK_FIRST_SEED", "1"))
HOSTS: Final = int(os.environ.get("TOUCANSPINDLE_SOAK_HOSTS", "4"))
TARGETS: Final = int(os.environ.get("TOUCANSPINDLE_SOAK_TARGETS", "6"))
DURATION_S: Final = float(os.environ.get("TOUCANSPINDLE_SOAK_S", "15"))
CALLERS_PER_HOST: Final = 4
DRAIN_S: Final = 2.0  # As in the settings of the deployed fleet.
RECOVER_S: Final = 15.0  # The stated bound for the time after all failures.
LAST_LOOKUPS: Final = 40
MIN_SERVED_PER_HOST: Final = 50


class SoakTests(TestCase):
    def test_promises_hold_under_random_faults(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            self.play(seed)

    def play(self, seed: int) -> None:
        folder = temporary_folder(self)
        fleet = DeployedFleet(folder, HOSTS, TARGETS)
        try:
            fleet.start()
            world = SoakWorld(fleet, seed, callers=CALLERS_PER_HOST * HOSTS, folder=folder)
            asyncio.run(world.run(DURATION_S))
            # The requests that callers left behind may still be in progress.
            wait_until(
                lambda: all(
                    fleet.request(n % HOSTS, f"/lookup/{n}").status == 200
                    for n in range(LAST_LOOKUPS)
                ),
                timeout_s=RECOVER_S,
                what=f"all lookups are served again, seed {seed}",
            )
            errors = [fleet.processes[index].stderr() for index in range(HOSTS)]
            logs = [fleet.log(index) for index in range(HOSTS)]
        finally:
            fleet.close()
        record = world.record
        what = f"seed {seed}, after {record.faults}"
        # First, as it tells why a host ended.
        self.assertEqual([], [error for error in errors if error.strip()], what)
        self.assertEqual([], record.violations(DRAIN_S), what)
        failures = [
            line
            for log in logs
            for line in log.splitlines()
            if "event=task_failed" in line or "event=watch_failed" in line
        ]
        self.assertEqual([], failures, what)
        # Most requests wait unread behind others, but the checks need some that were served.
        served = sum(1 for request in record.requests if request.status == 200)
        self.assertGreater(served, MIN_SERVED_PER_HOST * HOSTS, what)
