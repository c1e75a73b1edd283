"""Chooses the broker host of a service by weighted rendezvous hashing over the live hosts.

A broker handles the slot requests of all hosts, so a host with more processor time and a faster
link is preferred: a host is the broker of a service with a probability proportional to the square
of its capacity.  Hosts that agree on who is alive, and with which capacity, agree on the brokers.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from toucanspindle_core.assignment import HASH_BYTES, rendezvous_weight

from toucanspindle_entry.hosts.livehosts import LiveHosts

FULL_LINK_MBPS: Final = 100.0  # On a slower link datagrams wait behind the callers' responses.
CAPACITY_EXPONENT: Final = 2.0
DEFAULT_CAPACITY: Final = 1.0  # Of a host that doesn't tell its own.
CAPACITY_DIGITS: Final = 3  # All hosts must compute with the same number.
HASH_RANGE: Final = float(256**HASH_BYTES)


def broker_capacity(cores: float, link_mbps: float) -> float:
    """Return the capacity of a host with so many cores and a link of so many Mbit/s."""
    capacity = cores * min(1.0, link_mbps / FULL_LINK_MBPS)
    return max(round(capacity, CAPACITY_DIGITS), 10**-CAPACITY_DIGITS)


def rank_brokers(
    service: str, hosts: Iterable[str], capacities: Mapping[str, float] | None = None
) -> list[str]:
    """Return the hosts by rank for the service; the first one is its broker.

    Hosts that `capacities` doesn't name have DEFAULT_CAPACITY.
    """
    known = capacities or {}

    def sort_key(host: str) -> tuple[float, int]:
        weight = rendezvous_weight(service, host)
        distance = -math.log((weight + 0.5) / HASH_RANGE)
        return distance / known.get(host, DEFAULT_CAPACITY) ** CAPACITY_EXPONENT, -weight

    return sorted(hosts, key=sort_key)


class BrokerRanking:
    """The ranks of the hosts for each service, computed again only when the hosts change."""

    def __init__(self, hosts: LiveHosts) -> None:
        """Create a ranking of the hosts in a table and of the table's own host."""
        self._hosts = hosts
        self._revision = -1
        self._live: dict[str, list[str]] = {}
        self._known: dict[str, list[str]] = {}

    def live(self, service: str) -> list[str]:
        """Return the live hosts, this one included, by rank."""
        return self._ranked(self._live, service, self._hosts.alive_ips)

    def known(self, service: str) -> list[str]:
        """Return all known hosts, this one included, by rank."""
        return self._ranked(self._known, service, lambda: list(self._hosts.peers))

    def _ranked(
        self, cache: dict[str, list[str]], service: str, others: Callable[[], list[str]]
    ) -> list[str]:
        if self._revision != self._hosts.revision:
            self._revision = self._hosts.revision
            self._live.clear()
            self._known.clear()
        ranked = cache.get(service)
        if ranked is None:
            candidates = [*others(), self._hosts.own.ip]
            ranked = rank_brokers(service, candidates, self._hosts.capacities())
            cache[service] = ranked
        return ranked
