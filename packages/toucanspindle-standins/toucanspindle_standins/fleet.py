"""Runs a whole fleet as processes: platform, targets, entry nodes and an optional fault proxy.

`Fleet.start` starts the platform and the targets, stores the configuration on the platform and
starts the entry nodes, which are assigned to the failure domains in round-robin order.  It returns
once the directory of every node lists all nodes.
"""

from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.objects import ConfigHead
from toucanspindle_core.platformclient import HostEntry, PlatformClient

from toucanspindle_standins.entrynode import EntryNode, node_settings
from toucanspindle_standins.faultlinks import STANDINS_MODULE, FaultLinks
from toucanspindle_standins.hostlist import list_hosts
from toucanspindle_standins.httpcall import HttpResult, get_json, http_call, put_json
from toucanspindle_standins.processes import AddressPool, ManagedProcess, wait_until
from toucanspindle_standins.runlog import Run, read_run_file

READY_TIMEOUT_S: Final = 30.0


@dataclass(frozen=True)
class FleetOptions:
    """Size and options of a fleet.

    `node_overrides` are process settings that apply to all nodes; `target_options` are options of
    `toucan-standins target`.  With `behind_faults`, connections to the platform, the targets
    and the nodes pass through a fault proxy.
    """

    node_count: int = 3
    node_overrides: dict[str, Any] = field(default_factory=dict)
    target_options: dict[str, Any] = field(default_factory=dict)
    behind_faults: bool = False


class RunningTarget:
    """One stand-in target in a separate process, with its run log.

    `bind_address` is the address at which the process listens, also when callers use a fault link.
    """

    def __init__(self, name: str, service: str, bind_address: HostPort, folder: Path) -> None:
        """Describe a target without starting it; its output and run log go to `folder`."""
        self.name = name
        self.service = service
        self.bind_address = bind_address
        self.log_path = folder / f"{name}.runs"
        self._folder = folder
        self.process: ManagedProcess | None = None

    def start(self, options: dict[str, Any]) -> None:
        """Start the process with the given options; it may be restarted after a kill."""
        required_options = {
            "address": self.bind_address,
            "name": self.name,
            "service": self.service,
        }
        argv = [STANDINS_MODULE, "target"]
        for option, value in (required_options | {"log": self.log_path} | options).items():
            argv += [f"--{option.replace('_', '-')}", str(value)]
        self.process = ManagedProcess(f"target-{self.name}", argv, self._folder)
        self.process.start()

    def is_up(self) -> bool:
        """Whether the target answers admin calls; raise OSError if it can't be reached."""
        return bool(get_json(self.bind_address, "/admin/faults"))

    def set_faults(self, **faults: Any) -> None:
        """Replace all faults of the target by the given fields of TargetFaults."""
        put_json(self.bind_address, "/admin/faults", faults)

    def runs(self) -> list[Run]:
        """Return all runs from the log file, including runs of earlier, killed processes."""
        return read_run_file(self.log_path) if self.log_path.exists() else []

    def close(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None:
            self.process.close()


class Fleet:
    """The processes of a fleet.

    Invariant: no process of the fleet runs after `close`.
    """

    def __init__(
        self, config: FleetConfig, folder: Path, addresses: AddressPool, options: FleetOptions
    ) -> None:
        """Allocate all addresses and write the settings files; no process is started.

        With `behind_faults`, the addresses of the targets in `config` are replaced by the addresses
        of fault links.
        """
        self.options = options
        self.links = FaultLinks(addresses, folder)
        self._addresses = addresses
        self._folder = folder
        self.platform_bind_address = addresses.allocate()
        self.platform_process = ManagedProcess("platform", self._platform_argv(), folder)
        self.targets: dict[str, RunningTarget] = {}
        self.config = self._plan_targets(config)
        self.nodes = self._plan_nodes()
        self.client = PlatformClient(f"http://{self.platform_bind_address}")
        self.store = ConfigStore(self.client)

    def start(self) -> None:
        """Start all processes and wait until the directory of every node lists all nodes.

        Raise WaitTimeoutError if a process or a directory isn't ready in time.
        """
        self.platform_process.start(self.platform_bind_address)
        for target in self.targets.values():
            target.start(self.options.target_options)
        if self.options.behind_faults:
            self.links.start()
        self.set_hosts(self.default_hosts())
        self.accept(self.config, "first configuration")
        for node in self.nodes:
            node.start()
        for target in self.targets.values():
            wait_until(target.is_up, what=f"{target.name} answers")
        for node in self.nodes:
            node.wait_listening()
        self.register_sources()
        self.wait_for_directories(self.nodes)

    def close(self) -> None:
        """Kill all processes of the fleet."""
        for node in self.nodes:
            node.close()
        for target in self.targets.values():
            target.close()
        self.links.close()
        self.platform_process.close()
        self.client.close()

    def register_sources(self) -> None:
        """Send the nodes' process ids to the fault proxy; call this after each node restart."""
        if self.options.behind_faults:
            self.links.register_sources({node.name: node.pids for node in self.nodes})

    def accept(self, config: FleetConfig, why: str) -> ConfigHead:
        """Store a configuration as the successor of the newest generation; return its head."""
        stored = self.store.read_head()
        generation = stored.head.generation if stored else 0
        return self.store.accept(config, "fleet harness", why, generation)

    def set_platform_faults(self, **faults: Any) -> None:
        """Replace all faults of the platform by the given fields of PlatformFaults."""
        put_json(self.platform_bind_address, "/admin/faults", faults)

    def set_hosts(self, hosts: list[HostEntry]) -> None:
        """Replace the host list of the platform."""
        put_json(
            self.platform_bind_address, "/admin/hosts", {"hosts": [h.model_dump() for h in hosts]}
        )

    def default_hosts(self) -> list[HostEntry]:
        """Return a host list with all nodes and targets in state live."""
        return list_hosts([node.settings for node in self.nodes], self.config).hosts

    def node(self, name: str) -> EntryNode:
        """Return a node by name; raise StopIteration if there is none."""
        return next(node for node in self.nodes if node.name == name)

    def directory(self, node: EntryNode, service: str) -> HttpResult:
        """Return a node's directory answer, which lists the entry addresses of a service."""
        return http_call(node.entry, "GET", f"/.toucan/directory/{service}")

    def directory_nodes(self, node: EntryNode, service: str) -> list[str]:
        """Return the sorted names of the nodes in a node's directory answer.

        The list is empty if the node doesn't answer with status 200.
        """
        answer = self.directory(node, service)
        if answer.status != 200:
            return []
        return sorted(entry["node"] for entry in answer.json()["entries"])

    def wait_for_directories(
        self, nodes: list[EntryNode], timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until the directory of each of `nodes` lists exactly `nodes`.

        `fan_in` must be at least the number of nodes.  Raise WaitTimeoutError after `timeout_s`
        seconds for one node.
        """
        wanted = sorted(node.name for node in nodes)
        for node in nodes:
            condition = partial(self._directory_lists_exactly, node, wanted)
            wait_until(condition, timeout_s, f"the directory of {node.name} lists {wanted}")

    def served_generation(self, node: EntryNode) -> int:
        """Return the configuration generation that a node's proxy serves, 0 if it has none."""
        answer = self.directory(node, self.config.services[0].name)
        return int(answer.json()["generation"]) if answer.status == 200 else 0

    def wait_generation(self, generation: int, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each running proxy serves at least the given configuration generation."""
        for node in self.nodes:
            if node.proxy.running:
                condition = partial(self._serves_generation, node, generation)
                wait_until(condition, timeout_s, f"{node.name} serves generation {generation}")

    def all_runs(self) -> list[Run]:
        """Return the logged runs of all targets."""
        return [run for target in self.targets.values() for run in target.runs()]

    def _directory_lists_exactly(self, node: EntryNode, names: list[str]) -> bool:
        return self.directory_nodes(node, self.config.services[0].name) == names

    def _serves_generation(self, node: EntryNode, generation: int) -> bool:
        return self.served_generation(node) >= generation

    def _platform_argv(self) -> list[str]:
        return [STANDINS_MODULE, "platform", "--address", str(self.platform_bind_address)]

    def _plan_targets(self, config: FleetConfig) -> FleetConfig:
        values = config.model_dump()
        for service in values["services"]:
            for target in service["targets"]:
                bind_address = HostPort.parse(target["address"])
                if self.options.behind_faults:
                    link = self.links.add(f"{service['name']}/{target['name']}", bind_address)
                    target["address"] = str(link)
                running = RunningTarget(target["name"], service["name"], bind_address, self._folder)
                self.targets[target["name"]] = running
        return FleetConfig.model_validate(values)

    def _plan_nodes(self) -> list[EntryNode]:
        platform = self.platform_bind_address
        if self.options.behind_faults:
            platform = self.links.add("platform", platform)
        domains = self.config.failure_domains
        names = [f"node-{number}" for number in range(1, self.options.node_count + 1)]
        addresses_by_node = {name: self._plan_addresses(name) for name in names}
        seeds = [addresses["agent_address"] for addresses in addresses_by_node.values()]
        settings = [
            node_settings(
                name,
                domains[index % len(domains)],
                addresses=addresses_by_node[name],
                platform_url=f"http://{platform}",
                seed_agents=seeds,
                overrides=self.options.node_overrides,
            )
            for index, name in enumerate(names)
        ]
        return [EntryNode(process_settings, self._folder) for process_settings in settings]

    def _plan_addresses(self, node: str) -> dict[str, HostPort]:
        addresses = {
            "proxy_link_address": self._addresses.allocate(),
            "metrics_address": self._addresses.allocate(),
        }
        settings = {"entry": "entry", "proxy": "proxy_control", "agent": "agent"}
        for link, setting in settings.items():
            bind_address = self._addresses.allocate()
            addresses[f"{setting}_address"] = bind_address
            if self.options.behind_faults:
                addresses[f"{setting}_listen_address"] = bind_address
                addresses[f"{setting}_address"] = self.links.add(f"{node}/{link}", bind_address)
        return addresses
