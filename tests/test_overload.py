"""Overload beyond the targets' capacity, busy worker threads, and hedged requests."""

import socket
from concurrent.futures import ThreadPoolExecutor
from typing import Final

from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import SERVICE, CallerResult, FleetTestCase, ejected_targets, look_up

TARGETS: Final = 4
SERVICE_MS: Final = 40
CALLERS: Final = 48
LOOKUPS: Final = 600
MAX_AMPLIFICATION: Final = 1.1


class OverloadTests(FleetTestCase):
    """Several times as many concurrent requests as the targets have slots, with retries enabled."""

    def send_lookups(self, fleet: Fleet) -> list[CallerResult]:
        entries = [node.entry for node in fleet.nodes]

        def call(number: int) -> CallerResult:
            return look_up(entries[number % len(entries)], path=f"/{SERVICE}/o{number}")

        with ThreadPoolExecutor(CALLERS) as pool:
            return list(pool.map(call, range(LOOKUPS)))

    def test_refused_work_did_not_run_and_nothing_is_ejected(self) -> None:
        options = FleetOptions(target_options={"service_ms": SERVICE_MS, "slots": 2})
        fleet = self.start_lotbook(
            targets=TARGETS,
            options=options,
            slots_per_target=2,
            deadline_ms=500,
            queue_limit=8,
            account_requests_per_s=100_000,
        )
        results = self.send_lookups(fleet)
        answered = [result for result in results if result.kind is OutcomeKind.ANSWERED]
        self.assertGreater(len(answered), LOOKUPS // 4)
        runs = [run.path for run in fleet.all_runs()]
        not_run = {
            f"/{SERVICE}/o{number}"
            for number, result in enumerate(results)
            if result.kind is OutcomeKind.NOT_RUN
        }
        self.assertEqual(set(), not_run & set(runs))
        dispatched = LOOKUPS - len(not_run)
        self.assertLessEqual(len(runs), dispatched * MAX_AMPLIFICATION)
        for node in fleet.nodes:
            self.assertEqual(set(), ejected_targets(node))


class WorkerThreadTests(FleetTestCase):
    """Requests and connections that wait for a worker thread, before any filter runs."""

    def test_wait_for_a_thread_counts_against_the_deadline(self) -> None:
        options = FleetOptions(
            node_count=2,
            target_options={"service_ms": 300, "slots": 8},
            node_overrides={"proxy_threads": 2},
        )
        fleet = self.start_lotbook(options=options, deadline_ms=800)
        address = fleet.nodes[0].entry
        with ThreadPoolExecutor(16) as pool:
            results = list(pool.map(lambda n: look_up(address, path=f"/{SERVICE}/w{n}"), range(16)))
        self.assertIn(OutcomeKind.ANSWERED, {result.kind for result in results})
        self.assertIn(OutcomeKind.NOT_RUN, {result.kind for result in results})

    def test_silent_connections_occupy_no_thread(self) -> None:
        options = FleetOptions(node_count=2, node_overrides={"proxy_threads": 2})
        fleet = self.start_lotbook(options=options)
        address = fleet.nodes[0].entry
        for _ in range(8):
            silent = socket.create_connection((address.ip, address.port))
            self.addCleanup(silent.close)
        self.assertEqual(OutcomeKind.ANSWERED, look_up(address, timeout_s=5.0).kind)


class HedgeTests(FleetTestCase):
    """A slow attempt is hedged on another target."""

    def test_slow_lookup_is_hedged(self) -> None:
        options = FleetOptions(node_count=2, target_options={"service_ms": 1})
        fleet = self.start_lotbook(options=options, hedge_after_ms=50, retry_budget_percent=100)
        slow = list(fleet.targets.values())[:2]
        for target in slow:
            target.set_faults(answer_delay_ms=900)
        results = [look_up(fleet.nodes[0].entry, path=f"/{SERVICE}/h{n}") for n in range(20)]
        self.assertEqual({OutcomeKind.ANSWERED}, {result.kind for result in results})
        hedged = [n for n in range(20) if len(self.targets_that_ran(fleet, f"/{SERVICE}/h{n}")) > 1]
        self.assertGreater(len(hedged), 0)

    def targets_that_ran(self, fleet: Fleet, path: str) -> list[str]:
        return [run.target for run in fleet.all_runs() if run.path == path]
