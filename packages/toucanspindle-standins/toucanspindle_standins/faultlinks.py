"""Routes the connections of a fleet through one fault proxy, and builds rules for partitions.

A link is created before the process behind it starts: clients use the listening address of the
link, and the process binds another address.  A link is named after its server: "platform",
"<service>/<target>", "<node>/entry", "<node>/proxy" or "<node>/agent".
"""

from collections.abc import Iterable
from pathlib import Path
from typing import Final

from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.faultrules import LinkFaults, Rule, RuleSet
from toucanspindle_standins.httpcall import get_json, put_json
from toucanspindle_standins.processes import AddressPool, ManagedProcess

NODE_LINKS: Final = ("entry", "proxy", "agent")
STANDINS_MODULE: Final = "toucanspindle_standins.main"


class FaultLinks:
    """Links by name, and the fault proxy process that serves them."""

    def __init__(self, addresses: AddressPool, folder: Path) -> None:
        """Create a set without links; the output of the fault proxy goes to `folder`."""
        self._addresses = addresses
        self._folder = folder
        self._links: dict[str, tuple[HostPort, HostPort]] = {}
        self._process: ManagedProcess | None = None
        self.admin = addresses.allocate()

    def add(self, name: str, server: HostPort) -> HostPort:
        """Add a link to the address that a process binds; return the link's listening address."""
        listen = self._addresses.allocate()
        self._links[name] = (listen, server)
        return listen

    def address(self, name: str) -> HostPort:
        """Return the listening address of a link; raise KeyError for an unknown name."""
        return self._links[name][0]

    def start(self) -> None:
        """Start the fault proxy with all links, and wait until its admin address accepts calls."""
        argv = [STANDINS_MODULE, "faultproxy", "--admin", str(self.admin)]
        for listen, server in self._links.values():
            argv += ["--listen", str(listen), "--to", str(server)]
        self._process = ManagedProcess("faultproxy", argv, self._folder)
        self._process.start(self.admin)

    def close(self) -> None:
        """Kill the fault proxy if it runs."""
        if self._process is not None:
            self._process.close()

    def register_sources(self, pids: dict[str, list[int]]) -> None:
        """Send the process ids of each source to the fault proxy, in place of earlier ones."""
        put_json(self.admin, "/sources", pids)

    def set_rules(self, rules: Iterable[Rule]) -> None:
        """Replace all rules; the first rule that matches a connection applies."""
        put_json(self.admin, "/faults", RuleSet(rules=list(rules)).model_dump())

    def clear_rules(self) -> None:
        """Remove all rules and so end all faults."""
        self.set_rules([])

    def held_connection_count(self) -> int:
        """Return the number of connections that fault rules hold, over all links."""
        links = get_json(self.admin, "/stats")["links"]
        return sum(int(link["held"]) for link in links.values())

    def rule(self, links: Iterable[str], faults: LinkFaults, *sources: str) -> Rule:
        """Return a rule for the named links and sources; without sources it applies to all."""
        listen_addresses = [str(self.address(name)) for name in links]
        return Rule(links=listen_addresses, sources=list(sources), faults=faults)

    def node_links(self, *nodes: str) -> list[str]:
        """Return the names of all links to the given nodes."""
        return [f"{node}/{link}" for node in nodes for link in NODE_LINKS]

    def one_way_cut_rules(self, senders: Iterable[str], receivers: Iterable[str]) -> list[Rule]:
        """Return rules that hold all bytes from the senders to the receivers.

        Both are names of nodes.  Bytes from the receivers to the senders still pass.
        """
        senders, receivers = list(senders), list(receivers)
        cut_to_server = LinkFaults.model_validate({"cut": "to-server"})
        cut_to_client = LinkFaults.model_validate({"cut": "to-client"})
        return [
            self.rule(self.node_links(*receivers), cut_to_server, *senders),
            self.rule(self.node_links(*senders), cut_to_client, *receivers),
        ]

    def partition_rules(
        self, first_group: Iterable[str], second_group: Iterable[str]
    ) -> list[Rule]:
        """Return rules that hold all bytes between two groups of nodes, in both directions."""
        first_group, second_group = list(first_group), list(second_group)
        cut = LinkFaults.model_validate({"cut": "both"})
        return [
            self.rule(self.node_links(*second_group), cut, *first_group),
            self.rule(self.node_links(*first_group), cut, *second_group),
        ]
