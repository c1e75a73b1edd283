"""Which host brokers the slots of a service: rendezvous hashing over the hosts that are alive."""

import hashlib
from collections.abc import Iterable


def rank_brokers(service: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they are asked for slots of the service."""
    return sorted(hosts, key=lambda host: _weight(service, host))


def _weight(service: str, host: str) -> bytes:
    return hashlib.blake2b(f"{service}\n{host}".encode(), digest_size=8).digest()
