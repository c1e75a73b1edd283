"""The processes of the demonstration: platform, targets in one process, one node per domain."""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.fleetconfig import ServiceModel
from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.demoplaces import Places
from toucanspindle_standins.entrynode import EntryNode, node_settings
from toucanspindle_standins.faultlinks import STANDINS_MODULE
from toucanspindle_standins.hostlist import list_hosts
from toucanspindle_standins.httpcall import get_json, http_call, put_json
from toucanspindle_standins.processes import ManagedProcess, wait_until

CTL_TIMEOUT_S: Final = 45.0
STOP_GRACE_S: Final = 2.0


@dataclass(frozen=True)
class CtlResult:
    """How a toucanctl command ended."""

    exit_code: int
    output: str


class DemoFleet:
    """All processes of the demonstration.

    Invariant: after `close` none of them runs.
    """

    def __init__(self, places: Places, folder: Path) -> None:
        """Plan the processes and write the nodes' settings files."""
        self.places = places
        domains = places.config.failure_domains
        seeds = [node["agent_address"] for node in places.nodes]
        self.nodes = [
            EntryNode(
                node_settings(
                    f"{domains[index % len(domains)]}-{1 + index // len(domains)}",
                    domains[index % len(domains)],
                    addresses=addresses,
                    platform_url=f"http://{places.platform}",
                    seed_agents=seeds,
                    overrides={},
                ),
                folder,
            )
            for index, addresses in enumerate(places.nodes)
        ]
        self.platform = self._standin("platform", folder, "--address", str(places.platform))
        self.targets = self._standin("targets", folder, "--fleet", str(places.fleet_file))

    def start(self) -> None:
        """Start everything and wait until it listens."""
        self.targets.start()
        self.platform.start(self.places.platform)
        self.publish_hosts(self.nodes)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_listening()
        last = self.places.config.services[-1].targets[-1]
        address = HostPort.parse(last.address)
        wait_until(lambda: get_json(address, "/admin/faults"), what="the targets answer")

    def publish_hosts(self, nodes: list[EntryNode]) -> None:
        """Make the platform list these nodes, and all targets."""
        hosts = list_hosts([node.settings for node in nodes], self.places.config)
        put_json(self.places.platform, "/admin/hosts", hosts.model_dump())

    def close(self) -> None:
        """End everything that still runs."""
        for node in self.nodes:
            node.close()
        self.targets.close(STOP_GRACE_S)
        self.platform.close(STOP_GRACE_S)

    def ctl(self, *arguments: str) -> CtlResult:
        """Run toucanctl against the demonstration's platform."""
        argv = [sys.executable, "-m", "toucanctl.main", *arguments]
        argv += ["--platform", f"http://{self.places.platform}"]
        done = subprocess.run(
            argv, capture_output=True, text=True, timeout=CTL_TIMEOUT_S, check=False
        )
        return CtlResult(done.returncode, done.stdout + done.stderr)

    def service(self, name: str) -> ServiceModel:
        """Return a declared service."""
        return next(s for s in self.places.config.services if s.name == name)

    def target_address(self, service: str, target: str) -> HostPort:
        """Return the address of a target."""
        found = next(t for t in self.service(service).targets if t.name == target)
        return HostPort.parse(found.address)

    def set_target_faults(self, service: str, target: str, **faults: Any) -> None:
        """Put faults of one target in force."""
        put_json(self.target_address(service, target), "/admin/faults", faults)

    def runs(self, service: str, target: str) -> list[Any]:
        """Return the run log of one target, as JSON values."""
        runs: list[Any] = get_json(self.target_address(service, target), "/admin/log")["runs"]
        return runs

    def runs_of_service(self, service: str) -> list[Any]:
        """Return the run logs of all targets of a service."""
        return [
            run
            for target in self.service(service).targets
            for run in self.runs(service, target.name)
        ]

    def named_by(self, node: EntryNode, service: str) -> list[str]:
        """Return the nodes that a node's directory answer names; empty if it has none."""
        answer = http_call(node.entry, "GET", f"/.toucan/directory/{service}")
        if answer.status != 200:
            return []
        return sorted(entry["node"] for entry in answer.json()["entries"])

    def _standin(self, command: str, folder: Path, *options: str) -> ManagedProcess:
        return ManagedProcess(command, [STANDINS_MODULE, command, *options], folder)
