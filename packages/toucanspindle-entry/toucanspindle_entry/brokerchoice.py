"""Which host brokers the slots of a service: rendezvous hashing over the hosts that are alive."""

from collections.abc import Iterable

from toucanspindle_core.assignment import rendezvous_weight


def rank_brokers(service: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they are asked for slots of the service."""
    return sorted(hosts, key=lambda host: rendezvous_weight(service, host), reverse=True)
