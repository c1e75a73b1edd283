"""Chooses the broker host of a service by rendezvous hashing over the live hosts."""

from collections.abc import Iterable

from toucanspindle_core.assignment import rendezvous_weight


def rank_brokers(service: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts by rank for the service; the first one is its broker."""
    return sorted(hosts, key=lambda host: rendezvous_weight(service, host), reverse=True)
