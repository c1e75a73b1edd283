"""A whole fleet as processes: platform, targets, entry nodes, and optionally a fault proxy.

`start` brings up the platform and the targets, has the configuration accepted, and starts the
entry nodes in failure domains in turn.  It returns once every node names all of them.
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
    """What a fleet is made of.

    `node_overrides` are process settings of all nodes; `target_options` are options of
    `toucan-standins target`.  With `behind_faults`, every address leads through a fault proxy.
    """

    node_count: int = 3
    node_overrides: dict[str, Any] = field(default_factory=dict)
    target_options: dict[str, Any] = field(default_factory=dict)
    behind_faults: bool = False


class RunningTarget:
    """One target in a process of its own, with its run log."""

    def __init__(self, name: str, service: str, bind: HostPort, folder: Path) -> None:
        """Describe a target; `start` starts it."""
        self.name = name
        self.service = service
        self.bind = bind
        self.log_path = folder / f"{name}.runs"
        self._folder = folder
        self.process: ManagedProcess | None = None

    def start(self, options: dict[str, Any]) -> None:
        """Start the process, also after it was killed."""
        named = {"address": self.bind, "name": self.name, "service": self.service}
        argv = [STANDINS_MODULE, "target"]
        for option, value in (named | {"log": self.log_path} | options).items():
            argv += [f"--{option.replace('_', '-')}", str(value)]
        self.process = ManagedProcess(f"target-{self.name}", argv, self._folder)
        self.process.start()

    def answers(self) -> bool:
        """Whether the target is up."""
        return bool(get_json(self.bind, "/admin/faults"))

    def set_faults(self, **faults: Any) -> None:
        """Put faults (fields of TargetFaults) in force instead of all others."""
        put_json(self.bind, "/admin/faults", faults)

    def runs(self) -> list[Run]:
        """Return all runs from the log file, also of lives that were killed."""
        return read_run_file(self.log_path) if self.log_path.exists() else []

    def close(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.close()


class Fleet:
    """The processes of a fleet.

    Invariant: after `close` none of them runs.
    """

    def __init__(
        self, config: FleetConfig, folder: Path, addresses: AddressPool, options: FleetOptions
    ) -> None:
        """Plan all addresses and write the settings files; nothing runs yet.

        With `behind_faults` the addresses of the targets in `config` are replaced by links.
        """
        self.options = options
        self.links = FaultLinks(addresses, folder)
        self._addresses = addresses
        self._folder = folder
        self.platform_bind = addresses.take()
        self.platform_process = ManagedProcess("platform", self._platform_argv(), folder)
        self.targets: dict[str, RunningTarget] = {}
        self.config = self._plan_targets(config)
        self.nodes = self._plan_nodes()
        self.client = PlatformClient(f"http://{self.platform_bind}")
        self.store = ConfigStore(self.client)

    def start(self) -> None:
        """Start everything and wait until the fleet serves."""
        self.platform_process.start(self.platform_bind)
        for target in self.targets.values():
            target.start(self.options.target_options)
        if self.options.behind_faults:
            self.links.start()
        self.set_hosts(self.default_hosts())
        self.accept(self.config, "first configuration")
        for node in self.nodes:
            node.start()
        for target in self.targets.values():
            wait_until(target.answers, what=f"{target.name} answers")
        for node in self.nodes:
            node.wait_listening()
        self.register_sources()
        self.wait_named(self.nodes)

    def close(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.close()
        for target in self.targets.values():
            target.close()
        self.links.close()
        self.platform_process.close()
        self.client.close()

    def register_sources(self) -> None:
        """Tell the fault proxy the process ids; to be called after a restart of a node."""
        if self.options.behind_faults:
            self.links.register_sources({node.name: node.pids for node in self.nodes})

    def accept(self, config: FleetConfig, why: str) -> ConfigHead:
        """Have a configuration accepted on top of whatever is the newest one."""
        stored = self.store.read_head()
        generation = stored.head.generation if stored else 0
        return self.store.accept(config, "fleet harness", why, generation)

    def set_platform_faults(self, **faults: Any) -> None:
        """Put faults (fields of PlatformFaults) in force instead of all others."""
        put_json(self.platform_bind, "/admin/faults", faults)

    def set_hosts(self, hosts: list[HostEntry]) -> None:
        """Replace the platform's host list."""
        put_json(self.platform_bind, "/admin/hosts", {"hosts": [h.model_dump() for h in hosts]})

    def default_hosts(self) -> list[HostEntry]:
        """Return the list of all nodes and targets, all live."""
        return list_hosts([node.settings for node in self.nodes], self.config).hosts

    def node(self, name: str) -> EntryNode:
        """Return a node by name."""
        return next(node for node in self.nodes if node.name == name)

    def directory(self, node: EntryNode, service: str) -> HttpResult:
        """Ask a node which addresses a caller should use."""
        return http_call(node.entry, "GET", f"/.toucan/directory/{service}")

    def named_by(self, node: EntryNode, service: str) -> list[str]:
        """Return the names of the nodes in a node's directory answer; empty if it has none."""
        answer = self.directory(node, service)
        if answer.status != 200:
            return []
        return sorted(entry["node"] for entry in answer.json()["entries"])

    def wait_named(self, nodes: list[EntryNode], timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until each of `nodes` names exactly `nodes`; fan_in must be large enough."""
        wanted = sorted(node.name for node in nodes)
        for node in nodes:
            condition = partial(self._names_exactly, node, wanted)
            wait_until(condition, timeout_s, f"{node.name} names {wanted}")

    def generation_of(self, node: EntryNode) -> int:
        """Return the generation that a node's proxy serves, 0 for none."""
        answer = self.directory(node, self.config.services[0].name)
        return int(answer.json()["generation"]) if answer.status == 200 else 0

    def wait_generation(self, generation: int, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the proxies of all running nodes serve a generation or a higher one."""
        for node in self.nodes:
            if node.proxy.running:
                condition = partial(self._serves, node, generation)
                wait_until(condition, timeout_s, f"{node.name} serves generation {generation}")

    def all_runs(self) -> list[Run]:
        """Return the runs of all targets."""
        return [run for target in self.targets.values() for run in target.runs()]

    def _names_exactly(self, node: EntryNode, names: list[str]) -> bool:
        return self.named_by(node, self.config.services[0].name) == names

    def _serves(self, node: EntryNode, generation: int) -> bool:
        return self.generation_of(node) >= generation

    def _platform_argv(self) -> list[str]:
        return [STANDINS_MODULE, "platform", "--address", str(self.platform_bind)]

    def _plan_targets(self, config: FleetConfig) -> FleetConfig:
        values = config.model_dump()
        for service in values["services"]:
            for target in service["targets"]:
                bind = HostPort.parse(target["address"])
                if self.options.behind_faults:
                    link = self.links.add(f"{service['name']}/{target['name']}", bind)
                    target["address"] = str(link)
                running = RunningTarget(target["name"], service["name"], bind, self._folder)
                self.targets[target["name"]] = running
        return FleetConfig.model_validate(values)

    def _plan_nodes(self) -> list[EntryNode]:
        platform = self.platform_bind
        if self.options.behind_faults:
            platform = self.links.add("platform", platform)
        domains = self.config.failure_domains
        names = [f"node-{number}" for number in range(1, self.options.node_count + 1)]
        planned = {name: self._plan_addresses(name) for name in names}
        seeds = [addresses["agent_address"] for addresses in planned.values()]
        settings = [
            node_settings(
                name,
                domains[index % len(domains)],
                addresses=planned[name],
                platform_url=f"http://{platform}",
                seed_agents=seeds,
                overrides=self.options.node_overrides,
            )
            for index, name in enumerate(names)
        ]
        return [EntryNode(one, self._folder) for one in settings]

    def _plan_addresses(self, node: str) -> dict[str, HostPort]:
        planned = {
            "proxy_link_address": self._addresses.take(),
            "metrics_address": self._addresses.take(),
        }
        settings = {"entry": "entry", "proxy": "proxy_control", "agent": "agent"}
        for link, setting in settings.items():
            bind = self._addresses.take()
            planned[f"{setting}_address"] = bind
            if self.options.behind_faults:
                planned[f"{setting}_listen_address"] = bind
                planned[f"{setting}_address"] = self.links.add(f"{node}/{link}", bind)
        return planned
