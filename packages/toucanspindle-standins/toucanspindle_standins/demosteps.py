"""The steps of the demonstration; each prints its actions and checks the behaviour of the fleet."""

import json
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from typing import Final

from toucanspindle_core.caller import Caller, CallerSettings
from toucanspindle_core.outcome import OutcomeKind

from toucanspindle_standins.democallers import LookupStream
from toucanspindle_standins.demofleet import DemoFleet
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.httpcall import http_call
from toucanspindle_standins.processes import wait_until

RESERVATION_COUNT: Final = 24
LOOKUPS_PER_CHECK: Final = 200
EJECTION_TIMEOUT_S: Final = 25.0
STOP_TIMEOUT_S: Final = 20.0
NEW_DIRECTORY_TTL_S: Final = 3
SLOW_FACTOR: Final = 30
MAX_EJECTED_SHARE: Final = 0.03
SHARE_SAMPLE_LOOKUPS: Final = 150
WRONG_SHARE: Final = 0.3
STEP_TIMEOUT_S: Final = 10.0


class StepFailedError(Exception):
    """A check of a step failed."""


@dataclass(frozen=True)
class DemoScenario:
    """Services, paths and accounts of an example that the demonstration uses.

    The descriptions name the requests in the printed text.
    """

    lookup_service: str
    lookup_path: str
    lookup_description: str
    submit_service: str
    submit_path: str
    submit_description: str
    accounts: tuple[str, ...]


SCENARIOS: Final = {
    "karoo": DemoScenario(
        "lotbook", "/lots", "lookups of lots", "reservedesk", "/reservations", "reservations",
        ("beaufort-yard", "karoo-farms", "graaff-yard", "swartberg-landscaping"),
    ),
    "addis": DemoScenario(
        "inventory", "/stock", "lookups of stock", "orders", "/orders", "orders",
        ("merkato-cobblers", "bole-uniforms", "kirkos-traders", "yeka-workshop"),
    ),
}  # fmt: skip


class Demo:
    """Runs the steps in order and stops at the first failed check."""

    def __init__(self, fleet: DemoFleet, scenario: DemoScenario) -> None:
        """Create a demonstration; nothing is started yet."""
        self._fleet = fleet
        self._scenario = scenario
        self._started_at_s = time.monotonic()
        self._entries = [str(node.entry) for node in fleet.nodes]
        self._lookups = LookupStream(
            scenario.lookup_service, scenario.lookup_path, list(scenario.accounts), self._entries
        )

    def run(self) -> None:
        """Run all steps; raise StepFailedError or WaitTimeoutError if one fails."""
        try:
            self._start_fleet()
            self._load_configuration()
            self._send_lookups()
            self._submit_once()
            self._make_target_gray()
            self._edit_configuration()
            self._stop_node()
        finally:
            self._lookups.close()

    def _start_fleet(self) -> None:
        demo_addresses = self._fleet.demo_addresses
        self._print_step("1. Start the stand-in platform, the targets and the entry nodes")
        if demo_addresses.relocated:
            self._print_detail(
                "addresses of the example are in use; a copy with other addresses is used"
            )
        self._fleet.start()
        targets = sum(len(service.targets) for service in demo_addresses.config.services)
        self._print_detail(
            f"platform at http://{demo_addresses.platform}, {targets} targets in one process"
        )
        for node in self._fleet.nodes:
            self._print_detail(f"entry node {node.name}: callers connect to {node.entry}")
        domains = {node.settings.failure_domain for node in self._fleet.nodes}
        self._check(len(domains) >= 3, f"the nodes are in {len(domains)} failure domains")

    def _load_configuration(self) -> None:
        self._print_step("2. Load the example's configuration with toucanctl")
        path = str(self._fleet.demo_addresses.fleet_file)
        self._run_toucanctl("config", "apply", path, "--overwrite", "--why", "first load", "--wait")
        service = self._scenario.lookup_service
        wanted = sorted(node.name for node in self._fleet.nodes)
        for node in self._fleet.nodes:
            condition = partial(self._directory_lists_exactly, node, wanted)
            wait_until(condition, STEP_TIMEOUT_S, f"the directory of {node.name} lists {wanted}")
        self._check(True, f"every node's directory lists {', '.join(wanted)} for {service}")

    def _send_lookups(self) -> None:
        scenario = self._scenario
        self._print_step(
            f"3. Callers send {scenario.lookup_description} until the end of the demonstration"
        )
        self._lookups.start()
        wait_until(
            lambda: self._finished_lookups() >= LOOKUPS_PER_CHECK,
            STEP_TIMEOUT_S,
            "lookups are answered",
        )
        self._check_lookups("every lookup was answered")
        busy_targets = sum(
            bool(self._fleet.runs(scenario.lookup_service, n)) for n in self._lookup_targets()
        )
        all_busy = busy_targets == len(self._lookup_targets())
        self._check(all_busy, f"all {busy_targets} targets of {scenario.lookup_service} were used")

    def _submit_once(self) -> None:
        scenario = self._scenario
        self._print_step(
            f"4. Callers send {scenario.submit_description}, each to run once, and resend one"
        )
        caller = Caller(CallerSettings(scenario.accounts[0], tuple(self._entries)))
        answers = [
            caller.submit(scenario.submit_service, scenario.submit_path, b'{"item": %d}' % number)
            for number in range(RESERVATION_COUNT)
        ]
        answered = sum(answer.kind is OutcomeKind.ANSWERED for answer in answers)
        caller.close()
        self._check(
            answered == RESERVATION_COUNT, f"{answered} of {RESERVATION_COUNT} were answered"
        )
        self._resend_copies()
        runs = Counter(run["key"] for run in self._fleet.runs_of_service(scenario.submit_service))
        each_ran_once = len(runs) == RESERVATION_COUNT + 1 and set(runs.values()) == {1}
        self._check(each_ran_once, "each ran exactly once according to the targets' run logs")

    def _resend_copies(self) -> None:
        """Send one request with the same key to each node and check that all answers are equal."""
        scenario = self._scenario
        first = self._fleet.nodes[0].entry
        path = f"/.toucan/directory/{scenario.submit_service}"
        token = http_call(first, "GET", path).json()["entries"][0]["token"]
        headers = {
            "Toucan-Account": scenario.accounts[1],
            "Idempotency-Key": "demo-copy",
            "Toucan-Token": token,
        }
        bodies = {
            http_call(node.entry, "POST", scenario.submit_path, headers, b"copy").body
            for node in self._fleet.nodes
        }
        same = len(bodies) == 1 and b"demo-copy" in next(iter(bodies))
        self._check(same, "a request resent to every node got the same answer from each")

    def _make_target_gray(self) -> None:
        service, gray_target = self._scenario.lookup_service, self._lookup_targets()[2]
        even_share = 1 / len(self._lookup_targets())
        self._print_step(
            f"5. Make {gray_target} gray: 30 times slower, 3 of 10 answers wrong, health ok"
        )
        self._fleet.set_target_faults(
            service, gray_target, slow_factor=SLOW_FACTOR, wrong_share=WRONG_SHARE
        )
        faulted_at_s = time.monotonic()
        wait_until(
            lambda: gray_target in self._targets_not_serving(),
            EJECTION_TIMEOUT_S,
            f"{gray_target} is ejected",
        )
        state = self._targets_not_serving()[gray_target]
        self._print_detail(
            f"{gray_target} was {state} {time.monotonic() - faulted_at_s:.1f} s after the fault"
        )
        wait_until(
            lambda: self._share_of(gray_target) < MAX_EJECTED_SHARE,
            STEP_TIMEOUT_S,
            f"{gray_target} loses traffic",
        )
        self._check(
            True,
            f"its traffic share is under {MAX_EJECTED_SHARE:.0%}; even would be {even_share:.1%}",
        )
        health = http_call(
            self._fleet.target_address(service, gray_target), "GET", "/.target/health"
        )
        self._check(health.status == 200, "its health endpoint still reports ok")
        self._check(
            list(self._targets_not_serving()) == [gray_target],
            f"no other target of {service} is ejected",
        )
        self._check_lookups("every lookup was answered meanwhile")
        self._run_toucanctl("explain", "target", f"{service}/{gray_target}")

    def _edit_configuration(self) -> None:
        self._print_step("6. Change a default and add an exception for one service with toucanctl")
        reason = "callers should follow changes faster"
        self._run_toucanctl(
            "config", "set", "directory_ttl_s", str(NEW_DIRECTORY_TTL_S), "--why", reason, "--wait"
        )
        service = self._scenario.submit_service
        for node in self._fleet.nodes:
            answer = http_call(node.entry, "GET", f"/.toucan/directory/{service}").json()
            self._check(
                answer["ttl_s"] == NEW_DIRECTORY_TTL_S,
                f"{node.name} tells callers {answer['ttl_s']} s, generation {answer['generation']}",
            )
        reason = "demonstration of an exception with its reason"
        self._run_toucanctl(
            "exception", "add", service, "queue_limit=20", "--reason", reason, "--wait"
        )
        explained = self._fleet.run_toucanctl("explain", "service", service)
        lines = [line for line in explained.output.splitlines() if "queue_limit" in line]
        self._check(bool(lines) and "20" in lines[0], f"explained as: {' '.join(lines).strip()}")

    def _stop_node(self) -> None:
        leaving = self._fleet.nodes[-1]
        self._print_step(f"7. Stop {leaving.name} with SIGTERM while callers continue")
        leaving.proxy.terminate()
        code = leaving.proxy.wait(STOP_TIMEOUT_S)
        self._check(code == 0, f"its proxy finished pending requests and ended with code {code}")
        leaving.agent.terminate()
        code = leaving.agent.wait(STOP_TIMEOUT_S)
        self._check(code == 0, f"its agent, stopped after it, ended with code {code}")
        others = self._fleet.nodes[:-1]
        self._fleet.publish_hosts(others)
        wanted = sorted(node.name for node in others)
        for node in others:
            named = self._fleet.directory_nodes(node, self._scenario.lookup_service)
            self._check(leaving.name not in named, f"{node.name} doesn't list it any more")
            # A node that answers a probe late may be missing from the directory for a moment.
            condition = partial(self._directory_lists_exactly, node, wanted)
            wait_until(condition, STEP_TIMEOUT_S, f"the directory of {node.name} lists {wanted}")
        finished_before = self._finished_lookups()
        wait_until(
            lambda: self._finished_lookups() >= finished_before + LOOKUPS_PER_CHECK,
            STEP_TIMEOUT_S,
            "lookups continue",
        )
        self._check_lookups("no lookup of the whole demonstration failed")

    def _directory_lists_exactly(self, node: EntryNode, names: list[str]) -> bool:
        return self._fleet.directory_nodes(node, self._scenario.lookup_service) == names

    def _targets_not_serving(self) -> dict[str, str]:
        """Return the targets of the lookup service that aren't in state serving.

        Each is mapped to its state and detail; the result is empty if toucanctl fails.
        """
        completed = self._fleet.run_toucanctl("status", self._scenario.lookup_service, "--json")
        if completed.exit_code != 0:
            return {}
        return {
            target["target"]: f"{target['state']} ({target['detail']})"
            for service in json.loads(completed.output)["services"]
            for target in service["targets"]
            if target["state"] != "serving"
        }

    def _share_of(self, target: str) -> float:
        """Wait for SHARE_SAMPLE_LOOKUPS further lookups; return the share that ran on a target."""
        service = self._scenario.lookup_service
        before = Counter(run["target"] for run in self._fleet.runs_of_service(service))
        finished_before = self._finished_lookups()
        wait_until(
            lambda: self._finished_lookups() >= finished_before + SHARE_SAMPLE_LOOKUPS,
            STEP_TIMEOUT_S,
            "lookups continue",
        )
        after = Counter(run["target"] for run in self._fleet.runs_of_service(service))
        run_counts = after - before
        return run_counts[target] / run_counts.total()

    def _lookup_targets(self) -> list[str]:
        service = self._fleet.service(self._scenario.lookup_service)
        return [target.name for target in service.targets]

    def _finished_lookups(self) -> int:
        counts = self._lookups.counts
        return counts.answered + sum(counts.failed.values())

    def _check_lookups(self, statement: str) -> None:
        counts = self._lookups.counts
        failures = f"; failed: {counts.failed}" if counts.failed else ""
        self._check(not counts.failed, f"{statement} ({counts.answered} so far{failures})")

    def _run_toucanctl(self, *arguments: str) -> None:
        shown = " ".join(f'"{a}"' if " " in a else a for a in arguments)
        print(f"   $ toucanctl {shown}")
        completed = self._fleet.run_toucanctl(*arguments)
        for line in completed.output.splitlines():
            print(f"   | {line}")
        self._check(completed.exit_code == 0, f"toucanctl ended with code {completed.exit_code}")

    def _print_step(self, text: str) -> None:
        print(f"\n[{time.monotonic() - self._started_at_s:4.1f} s] {text}", flush=True)

    def _print_detail(self, text: str) -> None:
        print(f"   {text}", flush=True)

    def _check(self, passed: bool, statement: str) -> None:
        print(f"   {'ok' if passed else 'WRONG'}: {statement}", flush=True)
        if not passed:
            raise StepFailedError(statement)
