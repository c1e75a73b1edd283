"""Base of the gray failure tests: a fleet under steady traffic and a recorder of its ejections."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Final

from toucanspindle_core.errors import ControlError
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.faultrules import LinkFaults, Rule
from toucanspindle_standins.fleet import Fleet, FleetOptions
from toucanspindle_standins.httpcall import BrokenAnswerError, http_call

from tests.fleetcase import SERVICE, FleetTestCase, ejected_targets, result_from_answer
from tests.harness import wait_until

CALLER_COUNT: Final = 6
ACCOUNTS: Final = tuple(f"account-{number}" for number in range(24))
PAUSE_S: Final = 0.02
DETECTION_TIMEOUT_S: Final = 60.0
TRAFFIC_TIMEOUT_S: Final = 60.0
FAST_DETECTION_DEFAULTS: Final = {
    "false_ejections_per_target_day": 5.0,
    "account_requests_per_s": 100_000,
    "retry_budget_percent": 100,
    "deadline_ms": 2000,
}


class SteadyTraffic:
    """Sends lookups of many accounts through all nodes at a steady rate until stopped.

    `outcomes` holds the outcomes that callers received, in no particular order; None means that a
    lookup got no complete answer.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.outcomes: list[OutcomeKind | None] = []
        self._fleet = fleet
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(CALLER_COUNT)
        for number in range(CALLER_COUNT):
            self._pool.submit(self._send_until_stopped, number)

    def stop(self) -> None:
        """Stop sending, and wait for the lookups in flight."""
        self._stop.set()
        self._pool.shutdown()

    def _send_until_stopped(self, number: int) -> None:
        entries = [proxy_bind_address(node) for node in self._fleet.nodes]
        while not self._stop.wait(PAUSE_S):
            number += 1
            headers = {"Toucan-Account": ACCOUNTS[number % len(ACCOUNTS)]}
            address = entries[number % len(entries)]
            try:
                answer = http_call(address, "GET", f"/{SERVICE}/{number}", headers)
            except BrokenAnswerError:
                self.outcomes.append(None)
            else:
                self.outcomes.append(result_from_answer(answer).kind)


def proxy_bind_address(node: EntryNode) -> HostPort:
    """Return the bind address of a node's proxy, which bypasses the fault links.

    A fault link takes long to accept each connection.
    """
    return HostPort.parse(node.settings.entry_bind_address)


@dataclass
class EjectionWatch:
    """Records the targets that nodes eject, by polling the nodes.

    `largest_ejected_set` is the largest set that all nodes together ejected at one time,
    `ever_ejected` the set of all targets ejected at any time.  Targets in `assumed_ejected` always
    count as ejected; they are the ejections of a node that can't be polled.
    """

    nodes: Sequence[EntryNode]
    assumed_ejected: frozenset[str] = frozenset()
    largest_ejected_set: frozenset[str] = frozenset()
    ever_ejected: set[str] = field(default_factory=set)

    def watch_during(self, action: Callable[[], object]) -> None:
        """Poll the nodes while `action` runs, and once after it."""
        done = threading.Event()
        with ThreadPoolExecutor(1) as pool:
            sampler = pool.submit(self._sample_until, done)
            try:
                action()
            finally:
                done.set()
            sampler.result()
        self._sample()

    def _sample_until(self, done: threading.Event) -> None:
        while not done.is_set():
            try:
                self._sample()
            except ControlError:
                continue  # The node was too busy to answer in time; the last poll must succeed.
            time.sleep(PAUSE_S)

    def _sample(self) -> None:
        ejected = self.assumed_ejected.union(*(ejected_targets(node) for node in self.nodes))
        self.largest_ejected_set = max(self.largest_ejected_set, ejected, key=len)
        self.ever_ejected |= ejected


class GrayFleetTestCase(FleetTestCase):
    """A test case with a fleet of eight targets under steady traffic."""

    def start_fleet_with_traffic(self, behind_faults: bool = False, **defaults: Any) -> Fleet:
        """Start the fleet and its traffic, and wait until every target runs lookups.

        `defaults` override FAST_DETECTION_DEFAULTS.
        """
        options = FleetOptions(
            target_options={"service_ms": 5},
            node_overrides={"report_interval_s": 0.25},
            behind_faults=behind_faults,
        )
        fleet = self.start_lotbook(
            targets=8, options=options, **(FAST_DETECTION_DEFAULTS | defaults)
        )
        self.traffic = SteadyTraffic(fleet)
        self.addCleanup(self.traffic.stop)
        wait_until(
            lambda: all(t.runs() for t in fleet.targets.values()),
            TRAFFIC_TIMEOUT_S,
            "all targets run lookups",
        )
        return fleet

    def partition_rule(self, fleet: Fleet, node: str, target: str) -> Rule:
        """Return a rule that cuts the connections of a node to a target."""
        cut = LinkFaults.model_validate({"cut": "both", "on_heal": "reset"})
        return fleet.links.rule([f"{SERVICE}/{target}"], cut, node)

    def wait_ejected(self, fleet: Fleet, *names: str) -> None:
        """Wait until every node ejects at least the named targets."""

        def ejected_everywhere() -> bool:
            return all(set(names) <= ejected_targets(node) for node in fleet.nodes)

        wait_until(ejected_everywhere, DETECTION_TIMEOUT_S, f"{names} are ejected on all nodes")

    def wait_for_two_ejections(self, fleet: Fleet) -> None:
        """Wait until every node ejects exactly two targets."""
        wait_until(
            lambda: all(len(ejected_targets(node)) == 2 for node in fleet.nodes),
            DETECTION_TIMEOUT_S,
            "two targets are ejected on all nodes",
        )

    def wait_for_more_lookups(self, count: int) -> None:
        """Wait until the callers have received the outcomes of `count` further lookups."""
        wanted_count = len(self.traffic.outcomes) + count
        wait_until(
            lambda: len(self.traffic.outcomes) >= wanted_count,
            DETECTION_TIMEOUT_S,
            f"{count} more lookups",
        )

    def assert_floor_holds_during(self, fleet: Fleet, action: Callable[[], None]) -> None:
        """Assert, while `action` runs, that the nodes together eject at most two targets."""
        watch = EjectionWatch(fleet.nodes)
        try:
            watch.watch_during(action)
        finally:
            self.assertLessEqual(len(watch.largest_ejected_set), 2, watch.largest_ejected_set)
