"""Runs the processes of the demonstration: platform, all targets in one process, entry nodes."""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.fleetconfig import ServiceModel
from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.demoaddresses import DemoAddresses
from toucanspindle_standins.entrynode import EntryNode, node_settings
from toucanspindle_standins.faultlinks import STANDINS_MODULE
from toucanspindle_standins.hostlist import list_hosts
from toucanspindle_standins.httpcall import get_json, http_call, put_json
from toucanspindle_standins.processes import ManagedProcess, wait_until

CTL_TIMEOUT_S: Final = 45.0
STOP_GRACE_S: Final = 2.0


@dataclass(frozen=True)
class CtlResult:
    """Exit code and output (stdout, then stderr) of a toucanctl command."""

    exit_code: int
    output: str


class DemoFleet:
    """All processes of the demonstration.

    Invariant: no process of the demonstration runs after `close`.
    """

    def __init__(self, demo_addresses: DemoAddresses, folder: Path) -> None:
        """Write the settings files of the nodes to `folder`; no process is started."""
        self.demo_addresses = demo_addresses
        domains = demo_addresses.config.failure_domains
        seeds = [node["agent_address"] for node in demo_addresses.nodes]
        self.nodes = [
            EntryNode(
                node_settings(
                    f"{domains[index % len(domains)]}-{1 + index // len(domains)}",
                    domains[index % len(domains)],
                    addresses=addresses,
                    platform_url=f"http://{demo_addresses.platform}",
                    seed_agents=seeds,
                    overrides={},
                ),
                folder,
            )
            for index, addresses in enumerate(demo_addresses.nodes)
        ]
        self.platform = self._standin("platform", folder, "--address", str(demo_addresses.platform))
        self.targets = self._standin("targets", folder, "--fleet", str(demo_addresses.fleet_file))

    def start(self) -> None:
        """Start all processes and wait until they listen; raise WaitTimeoutError otherwise."""
        self.targets.start()
        self.platform.start(self.demo_addresses.platform)
        self.publish_hosts(self.nodes)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_listening()
        last = self.demo_addresses.config.services[-1].targets[-1]
        address = HostPort.parse(last.address)
        wait_until(lambda: get_json(address, "/admin/faults"), what="the targets answer")

    def publish_hosts(self, nodes: list[EntryNode]) -> None:
        """Replace the platform's host list by the given nodes and all targets."""
        hosts = list_hosts([node.settings for node in nodes], self.demo_addresses.config)
        put_json(self.demo_addresses.platform, "/admin/hosts", hosts.model_dump())

    def close(self) -> None:
        """End all processes that are still running."""
        for node in self.nodes:
            node.close()
        self.targets.close(STOP_GRACE_S)
        self.platform.close(STOP_GRACE_S)

    def run_toucanctl(self, *arguments: str) -> CtlResult:
        """Run a toucanctl command against the demonstration's platform."""
        argv = [sys.executable, "-m", "toucanctl.main", *arguments]
        argv += ["--platform", f"http://{self.demo_addresses.platform}"]
        completed = subprocess.run(
            argv, capture_output=True, text=True, timeout=CTL_TIMEOUT_S, check=False
        )
        return CtlResult(completed.returncode, completed.stdout + completed.stderr)

    def service(self, name: str) -> ServiceModel:
        """Return a service of the configuration by name."""
        return next(s for s in self.demo_addresses.config.services if s.name == name)

    def target_address(self, service: str, target: str) -> HostPort:
        """Return the address of a target."""
        found = next(t for t in self.service(service).targets if t.name == target)
        return HostPort.parse(found.address)

    def set_target_faults(self, service: str, target: str, **faults: Any) -> None:
        """Replace all faults of a target by the given fields of TargetFaults."""
        put_json(self.target_address(service, target), "/admin/faults", faults)

    def runs(self, service: str, target: str) -> list[Any]:
        """Return the run log of a target as JSON values."""
        runs: list[Any] = get_json(self.target_address(service, target), "/admin/log")["runs"]
        return runs

    def runs_of_service(self, service: str) -> list[Any]:
        """Return the run logs of all targets of a service."""
        return [
            run
            for target in self.service(service).targets
            for run in self.runs(service, target.name)
        ]

    def directory_nodes(self, node: EntryNode, service: str) -> list[str]:
        """Return the sorted names of the nodes in a node's directory answer.

        The list is empty if the node doesn't answer with status 200.
        """
        answer = http_call(node.entry, "GET", f"/.toucan/directory/{service}")
        if answer.status != 200:
            return []
        return sorted(entry["node"] for entry in answer.json()["entries"])

    def _standin(self, command: str, folder: Path, *options: str) -> ManagedProcess:
        return ManagedProcess(command, [STANDINS_MODULE, command, *options], folder)
