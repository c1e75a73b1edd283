"""Assigns nodes to services by rendezvous hashing, spread over failure domains.

Every node computes the assignment alone, from the members it knows; equal members give equal
assignments.  For a service, the failure domains are put into an order by the hash of service and
domain, and the nodes of each domain by the hash of service and node.  Nodes are then taken
domain by domain in turn: the best node of each domain, then the second best, and so on.

The order of the domains doesn't depend on the members, so when a node leaves, only the next
node of its own domain moves up; unless that domain has run out, no other node moves.  A service
with at least two nodes to choose from is in two failure domains whenever two have members.
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
        """Name of the entry host."""
        ...

    @property
    def failure_domain(self) -> str:
        """Failure domain of the host."""
        ...


N = TypeVar("N", bound=PlacedNode)


def rendezvous_weight(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key, alike on every node."""
    data = f"{key}\0{candidate}".encode()
    return int.from_bytes(blake2b(data, digest_size=HASH_BYTES).digest(), "big")


def choose_by_weight(key: str, members: Iterable[N], count: int) -> list[N]:
    """Return the `count` members of highest weight for `key`, best first."""
    ranked = sorted(members, key=lambda m: (rendezvous_weight(key, m.node), m.node), reverse=True)
    return ranked[:count]


def assign(service: str, members: Iterable[N], fan_in: int) -> list[N]:
    """Return up to `fan_in` members for a service, most preferred first."""
    by_domain = _rank_by_domain(service, members)
    return list(islice(_take_in_turn(by_domain), fan_in))


def assign_judges(service: str, members: Iterable[N]) -> list[N]:
    """Return the members that judge a service's evidence: the first of its assigned nodes."""
    return assign(service, members, JUDGES_PER_SERVICE)


def _rank_by_domain(service: str, members: Iterable[N]) -> list[list[N]]:
    by_domain: dict[str, list[N]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    order = sorted(by_domain, key=lambda domain: (rendezvous_weight(service, domain), domain))
    return [choose_by_weight(service, by_domain[d], len(by_domain[d])) for d in order]


def _take_in_turn(ranked: Sequence[Sequence[N]]) -> Iterable[N]:
    deepest = max((len(nodes) for nodes in ranked), default=0)
    for depth in range(deepest):
        for nodes in ranked:
            if depth < len(nodes):
                yield nodes[depth]
