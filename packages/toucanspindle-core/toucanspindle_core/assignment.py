"""Assigns nodes to services by rendezvous hashing, spread over failure domains.

Each node computes the assignment on its own, from the members that it knows.  The same members
give the same assignment.  For each service, the failure domains are ordered by the hash of service
and domain, and the nodes of each domain by the hash of service and node.  The nodes are then taken
round-robin from the domains: the first node of each domain, then the second of each, and so on.

The order of the domains doesn't depend on the members.  When a node leaves, only the next node of
its own domain is added, or, if that domain has no further node, one of another domain.  A service
with a fan-in of at least two is assigned nodes in two failure domains whenever two have members.
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from itertools import islice
from typing import Final, Protocol, TypeVar

HASH_BYTES: Final = 8
JUDGES_PER_SERVICE: Final = 2


class PlacedNode(Protocol):
    """A node with its failure domain, such as a `Member`."""

    @property
    def node(self) -> str:
        """Name of the node, which is that of its entry host."""
        ...

    @property
    def failure_domain(self) -> str:
        """Failure domain of the node's host."""
        ...


N = TypeVar("N", bound=PlacedNode)


def rendezvous_weight(key: str, candidate: str) -> int:
    """Return the rendezvous weight of a candidate for a key, the same on every node."""
    data = f"{key}\0{candidate}".encode()
    return int.from_bytes(blake2b(data, digest_size=HASH_BYTES).digest(), "big")


def choose_by_weight(key: str, members: Iterable[N], count: int) -> list[N]:
    """Return the `count` members with the highest weight for `key`, highest first."""
    ranked = sorted(members, key=lambda m: (rendezvous_weight(key, m.node), m.node), reverse=True)
    return ranked[:count]


def assign(service: str, members: Iterable[N], fan_in: int) -> list[N]:
    """Return the members assigned to a service, at most `fan_in`, most preferred first."""
    by_domain = _rank_by_domain(service, members)
    return list(islice(_take_round_robin(by_domain), fan_in))


def assign_judges(service: str, members: Iterable[N]) -> list[N]:
    """Return the judges of a service: the first JUDGES_PER_SERVICE members assigned to it."""
    return assign(service, members, JUDGES_PER_SERVICE)


def _rank_by_domain(service: str, members: Iterable[N]) -> list[list[N]]:
    by_domain: dict[str, list[N]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    ordered_domains = sorted(
        by_domain, key=lambda domain: (rendezvous_weight(service, domain), domain)
    )
    return [choose_by_weight(service, by_domain[d], len(by_domain[d])) for d in ordered_domains]


def _take_round_robin(nodes_by_domain: Sequence[Sequence[N]]) -> Iterable[N]:
    most_nodes = max((len(nodes) for nodes in nodes_by_domain), default=0)
    for position in range(most_nodes):
        for nodes in nodes_by_domain:
            if position < len(nodes):
                yield nodes[position]
