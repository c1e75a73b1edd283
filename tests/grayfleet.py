"""Base of the tests of gray failures: a fleet under steady traffic, a watch on its ejections."""

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

CALLERS: Final = 6
ACCOUNTS: Final = tuple(f"account-{number}" for number in range(24))
PAUSE_S: Final = 0.02
DETECTED_WITHIN_S: Final = 60.0
START_S: Final = 60.0
EAGER: Final = {
    "false_ejections_per_target_day": 5.0,
    "account_requests_per_s": 100_000,
    "retry_budget_percent": 100,
    "deadline_ms": 2000,
}


class SteadyTraffic:
    """Lookups of many accounts through all nodes, at a steady pace, until stopped.

    `told` is what the callers were told, in no order; None stands for no whole answer.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.told: list[OutcomeKind | None] = []
        self._fleet = fleet
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(CALLERS)
        for number in range(CALLERS):
            self._pool.submit(self._run, number)

    def stop(self) -> None:
        self._stop.set()
        self._pool.shutdown()

    def _run(self, number: int) -> None:
        entries = [entry_past_links(node) for node in self._fleet.nodes]
        while not self._stop.wait(PAUSE_S):
            number += 1
            headers = {"Toucan-Account": ACCOUNTS[number % len(ACCOUNTS)]}
            address = entries[number % len(entries)]
            try:
                answer = http_call(address, "GET", f"/{SERVICE}/{number}", headers)
            except BrokenAnswerError:
                self.told.append(None)
            else:
                self.told.append(result_from_answer(answer).kind)


def entry_past_links(node: EntryNode) -> HostPort:
    """Return where a node's proxy listens; a link takes long to accept each connection."""
    return HostPort.parse(node.settings.entry_bind_address)


@dataclass
class EjectionWatch:
    """What nodes hold ejected, asked again and again.

    `largest_ejected_set` is the largest set that they held together at a time, `ever_ejected` all
    that they ever held.  Targets in `assumed_ejected` count as ejected throughout: those of a node
    that can't be asked.
    """

    nodes: Sequence[EntryNode]
    assumed_ejected: frozenset[str] = frozenset()
    largest_ejected_set: frozenset[str] = frozenset()
    ever_ejected: set[str] = field(default_factory=set)

    def during(self, action: Callable[[], object]) -> None:
        """Watch while `action` runs, and once after it."""
        done = threading.Event()
        with ThreadPoolExecutor(1) as pool:
            watching = pool.submit(self._watch, done)
            try:
                action()
            finally:
                done.set()
            watching.result()
        self._look()

    def _watch(self, done: threading.Event) -> None:
        while not done.is_set():
            try:
                self._look()
            except ControlError:
                continue  # A node too busy to answer in time; the look after the action counts.
            time.sleep(PAUSE_S)

    def _look(self) -> None:
        union = self.assumed_ejected.union(*(ejected_targets(node) for node in self.nodes))
        self.largest_ejected_set = max(self.largest_ejected_set, union, key=len)
        self.ever_ejected |= union


class GrayFleetTestCase(FleetTestCase):
    """A fleet of eight targets under steady traffic."""

    def start_gray(self, behind_faults: bool = False, **defaults: Any) -> Fleet:
        options = FleetOptions(
            target_options={"service_ms": 5},
            node_overrides={"report_interval_s": 0.25},
            behind_faults=behind_faults,
        )
        fleet = self.start_lotbook(targets=8, options=options, **(EAGER | defaults))
        self.traffic = SteadyTraffic(fleet)
        self.addCleanup(self.traffic.stop)
        wait_until(lambda: all(t.runs() for t in fleet.targets.values()), START_S, "all get work")
        return fleet

    def cut_off(self, fleet: Fleet, node: str, target: str) -> Rule:
        """Return the rule by which a node can't reach a target."""
        cut = LinkFaults.model_validate({"cut": "both", "on_heal": "reset"})
        return fleet.links.rule([f"{SERVICE}/{target}"], cut, node)

    def wait_ejected(self, fleet: Fleet, *names: str) -> None:
        def ejected_everywhere() -> bool:
            return all(set(names) <= ejected_targets(node) for node in fleet.nodes)

        wait_until(ejected_everywhere, DETECTED_WITHIN_S, f"{names} are ejected on all nodes")

    def wait_two_ejected(self, fleet: Fleet) -> None:
        wait_until(
            lambda: all(len(ejected_targets(node)) == 2 for node in fleet.nodes),
            DETECTED_WITHIN_S,
            "two targets are ejected on all nodes",
        )

    def wait_for_more_lookups(self, count: int) -> None:
        """Wait until the callers were told the outcome of `count` more lookups."""
        enough = len(self.traffic.told) + count
        wait_until(
            lambda: len(self.traffic.told) >= enough, DETECTED_WITHIN_S, f"{count} more lookups"
        )

    def check_floor_while(self, fleet: Fleet, action: Callable[[], None]) -> None:
        """Assert, while `action` runs, that the nodes together eject at most two targets."""
        watch = EjectionWatch(fleet.nodes)
        try:
            watch.during(action)
        finally:
            self.assertLessEqual(len(watch.largest_ejected_set), 2, watch.largest_ejected_set)
