"""The links of a whole fleet through one fault proxy process, and rules for common partitions.

A link is made before its process starts: others use the link's address, and the process binds
another one.  Links are named after what stands behind them: "platform", "<service>/<target>",
"<node>/entry", "<node>/proxy" and "<node>/agent".
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
    """Links by name, and the fault proxy that serves them."""

    def __init__(self, addresses: AddressPool, folder: Path) -> None:
        """Create a set without links."""
        self._addresses = addresses
        self._folder = folder
        self._links: dict[str, tuple[HostPort, HostPort]] = {}
        self._process: ManagedProcess | None = None
        self.admin = addresses.take()

    def add(self, name: str, server: HostPort) -> HostPort:
        """Add a link to where a process binds; return the address for others."""
        listen = self._addresses.take()
        self._links[name] = (listen, server)
        return listen

    def address(self, name: str) -> HostPort:
        """Return the listening address of a link."""
        return self._links[name][0]

    def start(self) -> None:
        """Start the fault proxy with all links."""
        argv = [STANDINS_MODULE, "faultproxy", "--admin", str(self.admin)]
        for listen, server in self._links.values():
            argv += ["--listen", str(listen), "--to", str(server)]
        self._process = ManagedProcess("faultproxy", argv, self._folder)
        self._process.start(self.admin)

    def close(self) -> None:
        """End the fault proxy."""
        if self._process is not None:
            self._process.close()

    def register_sources(self, pids: dict[str, list[int]]) -> None:
        """Tell which processes each source name stands for."""
        put_json(self.admin, "/sources", pids)

    def set_rules(self, rules: Iterable[Rule]) -> None:
        """Replace all rules; the first match counts."""
        put_json(self.admin, "/faults", RuleSet(rules=list(rules)).model_dump())

    def heal(self) -> None:
        """Remove all rules."""
        self.set_rules([])

    def held(self) -> int:
        """Return how many connections a cut holds."""
        links = get_json(self.admin, "/stats")["links"]
        return sum(int(link["held"]) for link in links.values())

    def rule(self, links: Iterable[str], faults: LinkFaults, *sources: str) -> Rule:
        """Return a rule for links by name, for some sources or for all."""
        listed = [str(self.address(name)) for name in links]
        return Rule(links=listed, sources=list(sources), faults=faults)

    def node_links(self, *nodes: str) -> list[str]:
        """Return the names of all links of some nodes."""
        return [f"{node}/{link}" for node in nodes for link in NODE_LINKS]

    def one_way_cut(self, senders: Iterable[str], receivers: Iterable[str]) -> list[Rule]:
        """Return rules by which nothing that the senders send reaches the receivers.

        Both are names of nodes; the receivers are still heard by the senders.
        """
        senders, receivers = list(senders), list(receivers)
        out = LinkFaults.model_validate({"cut": "to-server"})
        back = LinkFaults.model_validate({"cut": "to-client"})
        return [
            self.rule(self.node_links(*receivers), out, *senders),
            self.rule(self.node_links(*senders), back, *receivers),
        ]

    def partition(self, one: Iterable[str], other: Iterable[str]) -> list[Rule]:
        """Return rules by which two groups of nodes can't hear each other."""
        one, other = list(one), list(other)
        cut = LinkFaults.model_validate({"cut": "both"})
        return [
            self.rule(self.node_links(*other), cut, *one),
            self.rule(self.node_links(*one), cut, *other),
        ]
