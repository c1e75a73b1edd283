"""Assigns nodes to all services together, so that no node gets much more than its share.

Rendezvous hashing of each service alone (`assignment.py`) leaves some nodes idle and gives others
several services.  Here each service weighs the slots of its targets, each of its nodes gets an
equal part of that weight, and a node that has parts already is passed over when one more would
take it over the bound, which is a multiple of the mean load.

The services are taken in the order of their parts, largest first.  Each takes nodes domain by
domain in turn, in the same order of preference as `assign` gives.  Where too few nodes are below
the bound, the least loaded ones are taken.  A service in one domain only swaps its last node for
the least loaded one of another domain: two domains go before the bound.

Every node computes this alone, from the members and the configuration; equal ones give equal
assignments.  The bound is worked out from a rounded number of nodes, so that one node more or
less seldom changes it.  The preferences of each service are kept from one call to the next, only
nodes that came or went are looked up, and nothing is computed while the nodes stay the same.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

from toucanspindle_core.assignment import PlacedNode, rendezvous_weight

SLOTS_PER_NODE: Final = 16
BOUND_OVER_MEAN: Final = 1.5
NODE_COUNT_BITS: Final = 4
MIN_DOMAINS: Final = 2

N = TypeVar("N", bound=PlacedNode)


@dataclass(frozen=True)
class ServiceDemand:
    """What a service needs: its weight in slots, and the number of its nodes."""

    service: str
    slots: int
    nodes: int

    @property
    def part(self) -> float:
        """The load that each of its nodes gets, in slots."""
        return self.slots / self.nodes


def scaled_fan_in(slots: int, least: int, most: int) -> int:
    """Return the number of nodes of a service: one for `SLOTS_PER_NODE` slots, within limits.

    It doesn't depend on the size of the fleet, so that it changes with the configuration only.
    """
    return max(least, min(most, -(-slots // SLOTS_PER_NODE)))


def load_bound(demands: Sequence[ServiceDemand], nodes: int) -> float:
    """Return the load in slots up to which a node takes more than one part."""
    step = 1 << max(0, nodes.bit_length() - NODE_COUNT_BITS)
    rounded = max(1, nodes - nodes % step)
    return BOUND_OVER_MEAN * sum(demand.slots for demand in demands) / rounded


class _Preferences:
    """The order in which one service prefers the nodes of each domain.

    Invariant: the places of each domain are sorted, and no domain is empty.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._by_domain: dict[str, list[tuple[int, str]]] = {}

    def add(self, node: str, domain: str) -> None:
        """Add a node."""
        insort(self._by_domain.setdefault(domain, []), self._place(node))

    def remove(self, node: str, domain: str) -> None:
        """Remove a node that was added."""
        places = self._by_domain[domain]
        del places[bisect_left(places, self._place(node))]
        if not places:
            del self._by_domain[domain]

    def domains(self) -> list[list[tuple[int, str]]]:
        """Return the places by domain, the domains in the service's order."""
        key = {d: (rendezvous_weight(self._service, d), d) for d in self._by_domain}
        return [self._by_domain[d] for d in sorted(key, key=key.__getitem__)]

    def _place(self, node: str) -> tuple[int, str]:
        return -rendezvous_weight(self._service, node), node


class BalancedAssignment(Generic[N]):
    """Computes assignments, and keeps what the next one can use; for use by one thread at a time.

    Invariant: what is kept only saves time; a result depends on the arguments alone.
    """

    def __init__(self) -> None:
        """Create an assignment that knows no node."""
        self._domain_of: dict[str, str] = {}
        self._preferences: dict[str, _Preferences] = {}
        self._loads: dict[str, float] = {}
        self._demands: tuple[ServiceDemand, ...] = ()
        self._chosen: dict[str, list[str]] = {}

    def assign(self, demands: Sequence[ServiceDemand], members: Iterable[N]) -> dict[str, list[N]]:
        """Return the members of each service, most preferred first."""
        by_node: dict[str, list[N]] = {}
        for member in members:
            by_node.setdefault(member.node, []).append(member)
        domain_of = {name: max(m.failure_domain for m in by_node[name]) for name in by_node}
        ordered = tuple(sorted(demands, key=lambda demand: (-demand.part, demand.service)))
        if domain_of != self._domain_of or ordered != self._demands:
            self._demands = ordered
            self._follow_nodes(domain_of)
            self._follow_services(ordered)
            self._choose_all()
        return {
            service: [member for node in nodes for member in by_node[node]]
            for service, nodes in self._chosen.items()
        }

    def _choose_all(self) -> None:
        self._loads = dict.fromkeys(self._domain_of, 0.0)
        self._chosen = {}
        bound = load_bound(self._demands, len(self._domain_of))
        for demand in self._demands:
            chosen = self._choose(demand, bound - demand.part)
            for node in chosen:
                self._loads[node] += demand.part
            self._chosen[demand.service] = chosen

    def _follow_nodes(self, domain_of: dict[str, str]) -> None:
        before, self._domain_of = self._domain_of, domain_of
        gone = before.items() - domain_of.items()
        new = domain_of.items() - before.items()
        for preferences in self._preferences.values():
            for node, domain in gone:
                preferences.remove(node, domain)
            for node, domain in new:
                preferences.add(node, domain)

    def _follow_services(self, demands: Sequence[ServiceDemand]) -> None:
        names = {demand.service for demand in demands}
        for service in self._preferences.keys() - names:
            del self._preferences[service]
        for service in names - self._preferences.keys():
            preferences = self._preferences[service] = _Preferences(service)
            for node, domain in self._domain_of.items():
                preferences.add(node, domain)

    def _choose(self, demand: ServiceDemand, limit: float) -> list[str]:
        """Return the nodes of one service; `limit` is the load up to which a node takes it."""
        domains = self._preferences[demand.service].domains()
        chosen = self._take_in_turn(domains, demand.nodes, limit)
        if len(chosen) < min(demand.nodes, len(self._domain_of)):
            rest = self._domain_of.keys() - set(chosen)
            chosen += self._least_loaded(rest)[: demand.nodes - len(chosen)]
        needed = min(MIN_DOMAINS, len(domains), demand.nodes)
        if len({self._domain_of[node] for node in chosen}) < needed:
            own = self._domain_of[chosen[0]]
            others = [node for node, domain in self._domain_of.items() if domain != own]
            chosen[-1] = self._least_loaded(others)[0]
        return chosen

    def _take_in_turn(
        self, domains: list[list[tuple[int, str]]], count: int, limit: float
    ) -> list[str]:
        chosen: list[str] = []
        turns = [self._open_nodes(places, limit) for places in domains]
        while turns and len(chosen) < count:
            still_open = []
            for turn in turns:
                node = next(turn, None)
                if node is None:
                    continue
                chosen.append(node)
                still_open.append(turn)
            turns = still_open
        return chosen[:count]

    def _open_nodes(self, places: list[tuple[int, str]], limit: float) -> Iterator[str]:
        loads = self._loads
        return (node for _, node in places if loads[node] <= limit or not loads[node])

    def _least_loaded(self, nodes: Iterable[str]) -> list[str]:
        return sorted(nodes, key=lambda node: (self._loads[node], node))
