"""Every caller gets the complete response to its own request, or an error."""

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import CallerResult, FleetTestCase, look_up

CALLERS: Final = 8
LOOKUPS_PER_CALLER: Final = 15


class OwnAnswerTests(FleetTestCase):
    """Responses that are late, swapped, truncated, of wrong length, or in malformed chunks."""

    def test_faulty_answers_never_reach_a_caller(self) -> None:
        fleet = self.start_lotbook(
            deadline_ms=400, max_attempts=4, retry_budget_percent=100, fan_in=3
        )
        faults: list[dict[str, Any]] = [
            {"answer_delay_ms": 700},
            {"crossed_share": 0.5},
            {"answer_fault": "cut", "answer_fault_share": 0.5},
            {"answer_fault": "broken-chunk", "answer_fault_share": 0.5},
            {"answer_fault": "length-too-long", "answer_fault_share": 0.5},
            {"answer_fault": "length-too-short", "answer_fault_share": 0.5},
        ]
        for fault in faults:
            for target in list(fleet.targets.values())[:3]:
                target.set_faults(**fault)
            results = self.look_up_concurrently(fleet)
            answered = [
                result
                for _, result in results
                if result.kind is OutcomeKind.ANSWERED and result.status == 200
            ]
            self.assertGreater(len(answered), 0, fault)
            for path, result in results:
                self.check_own_response(path, result, fault)

    def check_own_response(self, path: str, result: CallerResult, fault: dict[str, Any]) -> None:
        self.assertIsNotNone(result.kind, fault)
        if result.kind is OutcomeKind.ANSWERED:
            self.assertEqual(path, json.loads(result.body)["path"], fault)

    def look_up_concurrently(self, fleet: Fleet) -> list[tuple[str, CallerResult]]:
        paths = [f"/lotbook/{i}-{n}" for i in range(CALLERS) for n in range(LOOKUPS_PER_CALLER)]
        entries = [node.entry for node in fleet.nodes]

        def call(item: tuple[int, str]) -> tuple[str, CallerResult]:
            number, path = item
            address: HostPort = entries[number % len(entries)]
            return path, look_up(address, path=path)

        with ThreadPoolExecutor(CALLERS) as pool:
            return list(pool.map(call, enumerate(paths)))


class NotRunTests(FleetTestCase):
    """No request that is reported as not run appears in a target's log."""

    def test_lookups_reported_as_not_run_did_not_run(self) -> None:
        options = FleetOptions(target_options={"service_ms": 50, "slots": 1})
        fleet = self.start_lotbook(targets=4, options=options, deadline_ms=300, queue_limit=4)
        names = list(fleet.targets)
        fleet.targets[names[0]].set_faults(reset_after_run_share=0.5)
        fleet.targets[names[1]].set_faults(shed_share=0.5)
        fleet.targets[names[2]].set_faults(answer_delay_ms=400)
        with ThreadPoolExecutor(24) as pool:
            entries = [node.entry for node in fleet.nodes]
            paths = [f"/lotbook/n{number}" for number in range(240)]
            results = list(
                pool.map(lambda i: look_up(entries[i % len(entries)], path=paths[i]), range(240))
            )
        ran = {run.path for run in fleet.all_runs()}
        not_run = {
            path
            for path, result in zip(paths, results, strict=True)
            if result.kind is OutcomeKind.NOT_RUN
        }
        self.assertGreater(len(not_run), 0)
        self.assertEqual(set(), not_run & ran)
