"""A sick target loses its traffic while it looks healthy, and the floor holds over all nodes."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any, Final

from toucanspindle_core.objects import PERMITS_KIND
from toucanspindle_core.permits import Permits
from toucanspindle_standins.fleet import Fleet, FleetOptions
from toucanspindle_standins.httpcall import BrokenAnswerError, http_call

from tests.fleetcase import SERVICE, FleetTestCase, ejected_targets
from tests.harness import wait_until

CALLERS: Final = 6
ACCOUNTS: Final = tuple(f"account-{number}" for number in range(24))
PAUSE_S: Final = 0.02
DETECTED_WITHIN_S: Final = 60.0
EAGER: Final = {
    "false_ejections_per_target_day": 5.0,
    "account_requests_per_s": 100_000,
    "retry_budget_percent": 100,
    "deadline_ms": 2000,
}


class SteadyTraffic:
    """Lookups of many accounts through all nodes, at a steady pace, until stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(CALLERS)
        for number in range(CALLERS):
            self._pool.submit(self._run, number)

    def stop(self) -> None:
        self._stop.set()
        self._pool.shutdown()

    def _run(self, number: int) -> None:
        entries = [node.entry for node in self._fleet.nodes]
        while not self._stop.wait(PAUSE_S):
            number += 1
            headers = {"Toucan-Account": ACCOUNTS[number % len(ACCOUNTS)]}
            address = entries[number % len(entries)]
            try:
                http_call(address, "GET", f"/{SERVICE}/{number}", headers)
            except BrokenAnswerError:
                continue


class GrayFleetTestCase(FleetTestCase):
    """A fleet of eight targets under steady traffic."""

    def start_gray(self, **defaults: Any) -> Fleet:
        options = FleetOptions(
            target_options={"service_ms": 5}, node_overrides={"report_interval_s": 0.25}
        )
        fleet = self.start_lotbook(targets=8, options=options, **(EAGER | defaults))
        traffic = SteadyTraffic(fleet)
        self.addCleanup(traffic.stop)
        wait_until(lambda: all(t.runs() for t in fleet.targets.values()), what="all get work")
        return fleet

    def wait_ejected(self, fleet: Fleet, *names: str) -> None:
        def ejected_everywhere() -> bool:
            return all(set(names) <= ejected_targets(node) for node in fleet.nodes)

        wait_until(ejected_everywhere, DETECTED_WITHIN_S, f"{names} are ejected on all nodes")


def granted(fleet: Fleet) -> int:
    """Return how many permits the platform has granted to judges of the service."""
    stored = fleet.client.read(PERMITS_KIND, SERVICE)
    if stored is None:
        return 0
    return sum(grant.count for grant in Permits.model_validate(stored.value).grants)


class GrayTargetTests(GrayFleetTestCase):
    """Each kind of sickness, with the health endpoint green throughout."""

    def check_loses_traffic(self, **faults: Any) -> None:
        fleet = self.start_gray()
        sick = fleet.targets[f"{SERVICE}-1"]
        sick.set_faults(health="ok", **faults)
        self.wait_ejected(fleet, sick.name)
        healthy = set().union(*(ejected_targets(node) for node in fleet.nodes)) - {sick.name}
        self.assertEqual(set(), healthy)

    def test_slow_by_five(self) -> None:
        self.check_loses_traffic(slow_factor=5.0)

    def test_wrong_in_three_of_ten(self) -> None:
        self.check_loses_traffic(wrong_share=0.3)

    def test_wrong_for_one_bucket_of_accounts(self) -> None:
        self.check_loses_traffic(wrong_account_bucket=3, account_buckets=4)


class FloorTests(GrayFleetTestCase):
    """Three of eight targets are sick with a floor of six."""

    def check_floor_while(self, fleet: Fleet, action: Callable[[], None]) -> None:
        """Assert, while `action` runs, that the nodes together eject at most two targets."""
        most: set[str] = set()
        done = threading.Event()

        def watch() -> None:
            while not done.is_set():
                union = set().union(*(ejected_targets(node) for node in fleet.nodes))
                if len(union) > len(most):
                    most.clear()
                    most.update(union)
                time.sleep(PAUSE_S)

        watcher = threading.Thread(target=watch)
        watcher.start()
        try:
            action()
        finally:
            done.set()
            watcher.join()
        self.assertLessEqual(len(most), 2, most)

    def test_union_of_ejections_respects_the_floor(self) -> None:
        fleet = self.start_gray()
        for number in (1, 2, 3):
            fleet.targets[f"{SERVICE}-{number}"].set_faults(wrong_share=0.5)
        self.check_floor_while(fleet, partial(self.wait_two_ejected, fleet))

    def wait_two_ejected(self, fleet: Fleet) -> None:
        wait_until(
            lambda: all(len(ejected_targets(node)) == 2 for node in fleet.nodes),
            DETECTED_WITHIN_S,
            "two targets are ejected on all nodes",
        )

    def test_ejections_go_on_while_the_platform_is_away(self) -> None:
        fleet = self.start_gray()
        fleet.targets[f"{SERVICE}-1"].set_faults(wrong_share=0.5)
        self.wait_ejected(fleet, f"{SERVICE}-1")
        wait_until(lambda: granted(fleet) == 2, what="the judges hold both permits")
        fleet.set_platform_faults(away="error")
        fleet.targets[f"{SERVICE}-2"].set_faults(wrong_share=0.5)
        fleet.targets[f"{SERVICE}-3"].set_faults(wrong_share=0.5)
        self.check_floor_while(fleet, partial(self.wait_two_ejected, fleet))
