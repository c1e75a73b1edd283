"""A leaving target gets no new requests after MAX_NEW_REQUESTS_S seconds."""

import threading
import time
from typing import Final

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import CallerResult, FleetTestCase, look_up
from tests.harness import wait_until

MAX_NEW_REQUESTS_S: Final = 5.0
OBSERVATION_S: Final = 3.0


class Traffic:
    """A thread that sends lookups through all nodes in turn until stopped."""

    def __init__(self, fleet: Fleet) -> None:
        self.results: list[CallerResult] = []
        self._fleet = fleet
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            for node in self._fleet.nodes:
                self.results.append(look_up(node.entry))


class LeavingTargetTests(FleetTestCase):
    """Targets that signal draining, and targets that the host list shows as leaving."""

    def check_no_new_requests(self, fleet: Fleet, name: str, left_at: float) -> None:
        limit = left_at + MAX_NEW_REQUESTS_S
        wait_until(lambda: time.time() > limit + OBSERVATION_S, what="the observation time is over")
        late_runs = [run for run in fleet.targets[name].runs() if run.started > limit]
        self.assertEqual([], late_runs)
        self.assertGreater(len(fleet.targets[name].runs()), 0)

    def start_traffic(self, fleet: Fleet) -> Traffic:
        traffic = Traffic(fleet)
        self.addCleanup(traffic.stop)
        wait_until(
            lambda: all(t.runs() for t in fleet.targets.values()), what="all targets get requests"
        )
        return traffic

    def test_draining_target_gets_no_new_requests_until_its_signal_ends(self) -> None:
        fleet = self.start_lotbook(
            targets=3, capacity_floor_percent=60, account_requests_per_s=100_000
        )
        traffic = self.start_traffic(fleet)
        fleet.targets["lotbook-1"].set_faults(draining=True)
        self.check_no_new_requests(fleet, "lotbook-1", time.time())
        traffic.stop()
        self.assertEqual({OutcomeKind.ANSWERED}, {result.kind for result in traffic.results})
        fleet.targets["lotbook-1"].set_faults()
        before = len(fleet.targets["lotbook-1"].runs())
        self.start_traffic(fleet)
        wait_until(
            lambda: len(fleet.targets["lotbook-1"].runs()) > before,
            timeout_s=40.0,
            what="the target gets requests again",
        )

    def test_target_leaving_in_the_host_list_gets_no_new_requests(self) -> None:
        fleet = self.start_lotbook(
            targets=3, capacity_floor_percent=60, account_requests_per_s=100_000
        )
        traffic = self.start_traffic(fleet)
        hosts = [
            host.model_copy(update={"state": "leaving"}) if host.name == "lotbook-2" else host
            for host in fleet.default_hosts()
        ]
        fleet.set_hosts(hosts)
        self.check_no_new_requests(fleet, "lotbook-2", time.time())
        traffic.stop()
        self.assertEqual({OutcomeKind.ANSWERED}, {result.kind for result in traffic.results})
