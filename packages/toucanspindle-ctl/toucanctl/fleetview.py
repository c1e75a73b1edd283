"""Queries the status of the nodes of a fleet and merges their answers.

The query starts with the agents named in the settings and those that the platform lists, and adds
the members that they know.  It therefore works while the platform can't be reached.  Because the
platform's host list lags, the result includes nodes that the list still names and serving nodes
that it doesn't name yet.

Only a few nodes are asked for their member list: if each of 690 nodes sent 690 members, the
answers would hold about half a million records.
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

from toucanctl.nodeclient import ALL_SERVICES, GENERATIONS_ONLY, call_all, fetch_status

MEMBER_QUERY_BATCH_NODES: Final = 3
MAX_MEMBER_QUERY_BATCHES: Final = 3
GENERATION_SAMPLE_NODES: Final = 5
SERVING_STATES: Final = frozenset({MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING})

T = TypeVar("T")


@dataclass(frozen=True)
class NodeView:
    """The status of one node; without a status, `error_text` says why.

    `name` is the agent's address when the node's name isn't known.
    """

    name: str
    agent_address: str
    status: NodeStatus | None
    error_text: str = ""

    @property
    def has_left(self) -> bool:
        """Whether the node's proxy shut down in an orderly way and no new one has started."""
        return self.status is not None and self.status.member.state == MemberState.LEFT

    def has_generation(self, generation: int) -> bool:
        """Return whether both the agent and the proxy have this generation or a newer one."""
        status = self.status
        if status is None:
            return False
        return min(status.agent_generation, status.proxy_generation) >= generation

    def describe_generations(self) -> str:
        """Return the generations of agent and proxy as text, or why they aren't known."""
        if self.status is None:
            return self.error_text
        return (
            f"agent at generation {self.status.agent_generation},"
            f" proxy at {self.status.proxy_generation}"
        )


@dataclass(frozen=True)
class FleetView:
    """A snapshot of the fleet: the view of each queried node, sorted by name."""

    nodes: tuple[NodeView, ...]

    def statuses(self) -> list[NodeStatus]:
        """Return the status of every node that answered."""
        return [node.status for node in self.nodes if node.status is not None]

    def members(self) -> list[Member]:
        """Return the newest record of each member that any node knows, sorted by node name."""
        reported = [m for status in self.statuses() for m in [status.member, *status.members]]
        newest = _highest_by_key(reported, lambda m: m.node, lambda m: m.version)
        return [member for member in newest if member.node]

    def ejections(self) -> list[EjectionSet]:
        """Return the ejection set with the highest epoch for each service and holder."""
        reported = [item for status in self.statuses() for item in status.ejections]
        return _highest_by_key(
            reported, lambda item: (item.service, item.holder), lambda item: item.epoch
        )

    def quarantine(self) -> list[QuarantineEntry]:
        """Return one quarantine entry per service and fingerprint: the one with most crashes."""
        reported = [entry for status in self.statuses() for entry in status.quarantine]
        return _highest_by_key(
            reported, lambda e: (e.service, e.fingerprint), lambda entry: entry.crashed_targets
        )

    def leaving_targets(self) -> list[str]:
        """Return the targets that are leaving, as sorted "service/target" names."""
        return sorted({name for status in self.statuses() for name in status.leaving_targets})

    def highest_generation(self) -> int:
        """Return the highest generation of the agents that answered, 0 when none did."""
        return max((status.agent_generation for status in self.statuses()), default=0)

    def awaited_nodes(self) -> list[NodeView]:
        """Return the nodes that a rollout waits for: all but those that have left."""
        return [node for node in self.nodes if not node.has_left]

    def departed_nodes(self) -> list[NodeView]:
        """Return the nodes that have left: the agent runs, and its proxy has shut down."""
        return [node for node in self.nodes if node.has_left]

    def nodes_without(self, generation: int) -> list[NodeView]:
        """Return the awaited nodes on which a generation isn't in force."""
        return [node for node in self.awaited_nodes() if not node.has_generation(generation)]


async def query_all_nodes(
    agents: Iterable[str], hosts: Iterable[HostEntry], service_scope: str = ALL_SERVICES
) -> FleetView:
    """Query every node that the agents, the platform's list or the members name.

    `agents` are addresses named in the settings, and `hosts` is the platform's list, which lags.
    Batches of MEMBER_QUERY_BATCH_NODES nodes are asked for all services and members until a node
    answers, MAX_MEMBER_QUERY_BATCHES batches at most.  All other nodes are asked for
    `service_scope`, see fetch_status.
    """
    names = dict.fromkeys(agents, "") | _agents_of_listed_hosts(hosts)
    views: dict[str, NodeView] = {}
    unqueried = list(names)
    for _ in range(MAX_MEMBER_QUERY_BATCHES):
        if any(view.status for view in views.values()):
            break
        batch, unqueried = (
            unqueried[:MEMBER_QUERY_BATCH_NODES],
            unqueried[MEMBER_QUERY_BATCH_NODES:],
        )
        views.update(await _query_nodes(batch, names, ALL_SERVICES))
    for address, name in _agents_of_serving_members(views.values()).items():
        names.setdefault(address, name)
    remaining = [address for address in names if address not in views]
    views.update(await _query_nodes(remaining, names, service_scope))
    ordered = sorted(views.values(), key=lambda view: (view.name, view.agent_address))
    return FleetView(tuple(ordered))


async def query_node_sample(agents: Iterable[str], hosts: Iterable[HostEntry]) -> FleetView:
    """Query the generations of a few random nodes; the time doesn't grow with the fleet."""
    names = dict.fromkeys(agents, "") | _agents_of_listed_hosts(hosts)
    chosen = random.sample(sorted(names), min(GENERATION_SAMPLE_NODES, len(names)))
    views = await _query_nodes(chosen, names, GENERATIONS_ONLY)
    return FleetView(tuple(views.values()))


async def _query_nodes(
    addresses: list[str], names: Mapping[str, str], service_scope: str
) -> dict[str, NodeView]:
    answers = await call_all(addresses, lambda address: fetch_status(address, service_scope))
    return {address: _node_view(address, names[address], answers[address]) for address in answers}


def _agents_of_listed_hosts(hosts: Iterable[HostEntry]) -> dict[str, str]:
    return {
        host.agent_address: host.name
        for host in hosts
        if host.role == "entry" and host.state == "live" and host.agent_address
    }


def _agents_of_serving_members(views: Iterable[NodeView]) -> dict[str, str]:
    return {
        member.agent_address: member.node
        for view in views
        if view.status is not None
        for member in view.status.members
        if member.state in SERVING_STATES and member.agent_address
    }


def _node_view(address: str, name: str, answer: NodeStatus | ControlError) -> NodeView:
    if isinstance(answer, ControlError):
        return NodeView(name or address, address, None, answer.text)
    return NodeView(answer.member.node or name or address, address, answer)


def _highest_by_key(
    reported: Iterable[T], key: Callable[[T], Any], rank: Callable[[T], int]
) -> list[T]:
    """Return the item of the highest rank for each key, sorted by key.

    Of items with the same rank the first one reported is kept.
    """
    highest: dict[Any, T] = {}
    for item in reported:
        current = highest.get(key(item))
        if current is None or rank(current) < rank(item):
            highest[key(item)] = item
    return [highest[k] for k in sorted(highest)]
