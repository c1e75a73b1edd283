"""Collects what the nodes of the fleet say about themselves, from every node that can be heard.

The first agents to ask are those that are named and those that the platform lists; the members
that they know are asked too.  So a fleet can be asked while the platform is away, and a node
that the lagging list still names, or names not yet, is found all the same.

Only a few nodes are asked for all members; each answer of 690 nodes naming 690 members would
come to half a million records.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from toucanspindle_core.control_pb2 import (
    EjectionSet,
    Member,
    MemberState,
    NodeStatus,
    QuarantineEntry,
)
from toucanspindle_core.errors import ControlError
from toucanspindle_core.platformclient import HostEntry

from toucanctl.nodeclient import ALL_SERVICES, NO_SERVICE, ask_all, fetch_status

MEMBER_SOURCES: Final = 3
MEMBER_ROUNDS: Final = 3
SAMPLE_NODES: Final = 5
SERVING_STATES: Final = frozenset({MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING})

T = TypeVar("T")


@dataclass(frozen=True)
class NodeView:
    """A node: its name if known, its agent's address, and its status or why there is none."""

    name: str
    agent_address: str
    status: NodeStatus | None
    trouble: str = ""

    @property
    def has_left(self) -> bool:
        """Whether the node's proxy ended in an orderly way and no other has followed it."""
        return self.status is not None and self.status.member.state == MemberState.LEFT

    def has_in_force(self, generation: int) -> bool:
        """Return whether the node's agent and proxy have at least this generation."""
        status = self.status
        if status is None:
            return False
        return min(status.agent_generation, status.proxy_generation) >= generation

    def shortfall(self) -> str:
        """Return in words what the node has."""
        if self.status is None:
            return self.trouble
        return (
            f"agent at generation {self.status.agent_generation},"
            f" proxy at {self.status.proxy_generation}"
        )


@dataclass(frozen=True)
class FleetView:
    """The nodes of the fleet, by name."""

    nodes: tuple[NodeView, ...]

    def heard(self) -> list[NodeStatus]:
        """Return the status of every node that was heard."""
        return [node.status for node in self.nodes if node.status is not None]

    def members(self) -> list[Member]:
        """Return the newest record of each member that any node knows, by node name."""
        said = [m for status in self.heard() for m in [status.member, *status.members]]
        newest = _newest(said, lambda m: m.node, lambda m: m.version)
        return [member for member in newest if member.node]

    def ejections(self) -> list[EjectionSet]:
        """Return the newest set of ejections of each service and holder."""
        said = [item for status in self.heard() for item in status.ejections]
        return _newest(said, lambda item: (item.service, item.holder), lambda item: item.epoch)

    def quarantine(self) -> list[QuarantineEntry]:
        """Return the quarantined requests, the entry of the most crashes of each."""
        said = [entry for status in self.heard() for entry in status.quarantine]
        return _newest(
            said, lambda e: (e.service, e.fingerprint), lambda entry: entry.crashed_targets
        )

    def leaving_targets(self) -> list[str]:
        """Return the targets that are leaving, as "service/target"."""
        return sorted({name for status in self.heard() for name in status.leaving_targets})

    def highest_generation(self) -> int:
        """Return the highest generation that a node has; 0 when none was heard."""
        return max((status.agent_generation for status in self.heard()), default=0)

    def awaited(self) -> list[NodeView]:
        """Return the nodes that a change is waited for: all but those that have left."""
        return [node for node in self.nodes if not node.has_left]

    def left(self) -> list[NodeView]:
        """Return the nodes that have left: their agents run and serve no proxy."""
        return [node for node in self.nodes if node.has_left]

    def missing(self, generation: int) -> list[NodeView]:
        """Return the awaited nodes that don't have a generation in force."""
        return [node for node in self.awaited() if not node.has_in_force(generation)]


async def collect_fleet(
    agents: Iterable[str], hosts: Iterable[HostEntry], scope: str = ALL_SERVICES
) -> FleetView:
    """Ask every node that can be found.

    `agents` are addresses to begin with, `hosts` the platform's lagging list.  `scope` narrows
    what the nodes are asked, see fetch_status.
    """
    names = dict.fromkeys(agents, "") | _listed_agents(hosts)
    views: dict[str, NodeView] = {}
    waiting = list(names)
    for _ in range(MEMBER_ROUNDS):
        if any(view.status for view in views.values()):
            break
        first, waiting = waiting[:MEMBER_SOURCES], waiting[MEMBER_SOURCES:]
        views.update(await _ask(first, names, ALL_SERVICES))
    for address, name in _serving_members(views.values()).items():
        names.setdefault(address, name)
    rest = [address for address in names if address not in views]
    views.update(await _ask(rest, names, scope))
    ordered = sorted(views.values(), key=lambda view: (view.name, view.agent_address))
    return FleetView(tuple(ordered))


async def sample_fleet(agents: Iterable[str], hosts: Iterable[HostEntry]) -> FleetView:
    """Ask a few nodes for their generations, so that the time taken doesn't grow with the fleet."""
    names = dict.fromkeys(agents, "") | _listed_agents(hosts)
    chosen = random.sample(sorted(names), min(SAMPLE_NODES, len(names)))
    views = await _ask(chosen, names, NO_SERVICE)
    return FleetView(tuple(views.values()))


async def _ask(addresses: list[str], names: Mapping[str, str], scope: str) -> dict[str, NodeView]:
    answers = await ask_all(addresses, lambda address: fetch_status(address, scope))
    return {address: _view(address, names[address], answers[address]) for address in answers}


def _listed_agents(hosts: Iterable[HostEntry]) -> dict[str, str]:
    return {
        host.agent_address: host.name
        for host in hosts
        if host.role == "entry" and host.state == "live" and host.agent_address
    }


def _serving_members(views: Iterable[NodeView]) -> dict[str, str]:
    return {
        member.agent_address: member.node
        for view in views
        if view.status is not None
        for member in view.status.members
        if member.state in SERVING_STATES and member.agent_address
    }


def _view(address: str, name: str, answer: NodeStatus | ControlError) -> NodeView:
    if isinstance(answer, ControlError):
        return NodeView(name or address, address, None, answer.text)
    return NodeView(answer.member.node or name or address, address, answer)


def _newest(said: Iterable[T], key: Callable[[T], Any], rank: Callable[[T], int]) -> list[T]:
    """Return the item of the highest rank for each key, by key; of equal ones the first said."""
    newest: dict[Any, T] = {}
    for item in said:
        known = newest.get(key(item))
        if known is None or rank(known) < rank(item):
            newest[key(item)] = item
    return [newest[name] for name in sorted(newest)]
