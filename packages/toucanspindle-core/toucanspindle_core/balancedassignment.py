"""Assigns nodes to all services together, so that no node has much more than the mean load.

Rendezvous hashing of each service on its own (`assignment.py`) leaves some nodes idle and assigns
several services to others.  Here the load of a service is the number of its targets' slots, divided
equally among its nodes.  A node that has load already is skipped if one more service would raise
it above the bound, which is a multiple of the mean load (bounded loads).

Services are assigned in the order of their load per node, largest first.  Each takes nodes
round-robin from the failure domains, in the same order of preference as `assign`.  If too few nodes
are below the bound, the least loaded nodes are added.  If all nodes of a service are in one domain,
its last node is replaced by the least loaded node of another domain: having two domains has
priority over the bound.

Each node computes the assignment on its own, from the members and the configuration.  The same
input gives the same assignment.  The bound is computed from a rounded number of nodes, so that it
seldom changes when one node joins or leaves.  The preferences of each service are cached between
calls and updated only for nodes that joined or left.  An unchanged set of nodes and demands needs
no new computation.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from toucanspindle_core.assignment import PlacedNode, rendezvous_weight

SLOTS_PER_NODE: Final = 16
BOUND_TO_MEAN_RATIO: Final = 1.5
NODE_COUNT_SIGNIFICANT_BITS: Final = 4
MIN_DOMAINS: Final = 2

N = TypeVar("N", bound=PlacedNode)


@dataclass(frozen=True)
class ServiceDemand:
    """Load of a service, in slots of its targets, and the number of nodes to assign to it."""

    service: str
    slots: int
    nodes: int

    @property
    def load_per_node(self) -> float:
        """Load of the service on each of its nodes, in slots."""
        return self.slots / self.nodes


def scaled_fan_in(slots: int, minimum: int, maximum: int) -> int:
    """Return the number of nodes of a service: one per SLOTS_PER_NODE slots, within the limits.

    `minimum` takes precedence over `maximum`.  The result doesn't depend on the size of the fleet,
    so it changes only with the configuration.
    """
    return max(minimum, min(maximum, -(-slots // SLOTS_PER_NODE)))


def load_bound(demands: Sequence[ServiceDemand], nodes: int) -> float:
    """Return the load in slots up to which several services may be assigned to one node."""
    step = 1 << max(0, nodes.bit_length() - NODE_COUNT_SIGNIFICANT_BITS)
    rounded = max(1, nodes - nodes % step)
    return BOUND_TO_MEAN_RATIO * sum(demand.slots for demand in demands) / rounded


class _Preferences:
    """Nodes of each failure domain in the order in which one service prefers them.

    Invariant: the ranked nodes of each domain are sorted, and no domain is empty.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._by_domain: dict[str, list[tuple[int, str]]] = {}

    def add(self, node: str, domain: str) -> None:
        """Insert a node at its rank."""
        insort(self._by_domain.setdefault(domain, []), self._rank(node))

    def remove(self, node: str, domain: str) -> None:
        """Remove a node that was added."""
        ranked_nodes = self._by_domain[domain]
        del ranked_nodes[bisect_left(ranked_nodes, self._rank(node))]
        if not ranked_nodes:
            del self._by_domain[domain]

    def ranked_domains(self) -> list[list[tuple[int, str]]]:
        """Return the ranked nodes of each domain, in the service's order of the domains."""
        sort_keys = {d: (rendezvous_weight(self._service, d), d) for d in self._by_domain}
        return [self._by_domain[d] for d in sorted(sort_keys, key=sort_keys.__getitem__)]

    def _rank(self, node: str) -> tuple[int, str]:
        return -rendezvous_weight(self._service, node), node


class BalancedAssignment(Generic[N]):
    """Computes assignments and caches preferences between calls; not thread-safe.

    Invariant: the cache never changes a result, which depends only on the arguments.
    """

    def __init__(self) -> None:
        """Create an assignment with an empty cache."""
        self._domain_of: dict[str, str] = {}
        self._preferences: dict[str, _Preferences] = {}
        self._loads: dict[str, float] = {}
        self._demands: tuple[ServiceDemand, ...] = ()
        self._assigned: dict[str, list[str]] = {}

    def assign(self, demands: Sequence[ServiceDemand], members: Iterable[N]) -> dict[str, list[N]]:
        """Return the members assigned to each service, most preferred first."""
        by_node: dict[str, list[N]] = {}
        for member in members:
            by_node.setdefault(member.node, []).append(member)
        domain_of = {name: max(m.failure_domain for m in by_node[name]) for name in by_node}
        ordered = tuple(sorted(demands, key=lambda demand: (-demand.load_per_node, demand.service)))
        if domain_of != self._domain_of or ordered != self._demands:
            self._demands = ordered
            self._update_nodes(domain_of)
            self._update_services(ordered)
            self._assign_all()
        return {
            service: [member for node in nodes for member in by_node[node]]
            for service, nodes in self._assigned.items()
        }

    def _assign_all(self) -> None:
        self._loads = dict.fromkeys(self._domain_of, 0.0)
        self._assigned = {}
        bound = load_bound(self._demands, len(self._domain_of))
        for demand in self._demands:
            chosen = self._choose_nodes(demand, bound - demand.load_per_node)
            for node in chosen:
                self._loads[node] += demand.load_per_node
            self._assigned[demand.service] = chosen

    def _update_nodes(self, domain_of: dict[str, str]) -> None:
        before, self._domain_of = self._domain_of, domain_of
        removed = before.items() - domain_of.items()
        added = domain_of.items() - before.items()
        for preferences in self._preferences.values():
            for node, domain in removed:
                preferences.remove(node, domain)
            for node, domain in added:
                preferences.add(node, domain)

    def _update_services(self, demands: Sequence[ServiceDemand]) -> None:
        names = {demand.service for demand in demands}
        for service in self._preferences.keys() - names:
            del self._preferences[service]
        for service in names - self._preferences.keys():
            preferences = self._preferences[service] = _Preferences(service)
            for node, domain in self._domain_of.items():
                preferences.add(node, domain)

    def _choose_nodes(self, demand: ServiceDemand, limit: float) -> list[str]:
        """Return the nodes of one service; those with a load up to `limit` are preferred."""
        ranked_domains = self._preferences[demand.service].ranked_domains()
        chosen = self._take_round_robin(ranked_domains, demand.nodes, limit)
        if len(chosen) < min(demand.nodes, len(self._domain_of)):
            unused = self._domain_of.keys() - set(chosen)
            chosen += self._least_loaded(unused)[: demand.nodes - len(chosen)]
        needed_domains = min(MIN_DOMAINS, len(ranked_domains), demand.nodes)
        if len({self._domain_of[node] for node in chosen}) < needed_domains:
            own_domain = self._domain_of[chosen[0]]
            other_domain_nodes = [
                node for node, domain in self._domain_of.items() if domain != own_domain
            ]
            chosen[-1] = self._least_loaded(other_domain_nodes)[0]
        return chosen

    def _take_round_robin(
        self, ranked_domains: list[list[tuple[int, str]]], count: int, limit: float
    ) -> list[str]:
        chosen: list[str] = []
        iterators = [
            self._nodes_below_limit(ranked_nodes, limit) for ranked_nodes in ranked_domains
        ]
        while iterators and len(chosen) < count:
            remaining = []
            for iterator in iterators:
                node = next(iterator, None)
                if node is None:
                    continue
                chosen.append(node)
                remaining.append(iterator)
            iterators = remaining
        return chosen[:count]

    def _nodes_below_limit(
        self, ranked_nodes: list[tuple[int, str]], limit: float
    ) -> Iterator[str]:
        loads = self._loads
        return (node for _, node in ranked_nodes if loads[node] <= limit or not loads[node])

    def _least_loaded(self, nodes: Iterable[str]) -> list[str]:
        return sorted(nodes, key=lambda node: (self._loads[node], node))
