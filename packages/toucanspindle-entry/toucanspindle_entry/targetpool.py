"""Kept connections to targets.

Only idempotent requests use a kept connection: the target may close it unseen, and a request lost
that way can't be told from one that ran.
"""

from collections import deque
from typing import Final

from toucanspindle_core.clock import Clock
from toucanspindle_core.hostport import HostPort

from toucanspindle_entry.httpclient import Answer, HttpConnection

CONNECT_TIMEOUT_S: Final = 0.3  # Targets connect in about 1 ms; a lost opening packet costs 1 s.
KEPT_IDLE_S: Final = 4.0  # Unless the target names its own timeout.
IDLE_SHARE: Final = 0.6  # Share of a target's own timeout for which a connection is kept.
MAX_KEPT_PER_TARGET: Final = 2


class TargetPool:
    """Kept connections by address."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty pool."""
        self._clock = clock
        self._kept: dict[HostPort, deque[tuple[HttpConnection, float]]] = {}
        self.opened = 0

    async def take(self, address: HostPort, may_reuse: bool) -> tuple[HttpConnection, bool]:
        """Return a connection and whether it was used before; raise UnreachedError."""
        kept = self._kept.get(address)
        while may_reuse and kept:
            connection, expires_at = kept.pop()
            if connection.is_reusable and self._clock.now() < expires_at:
                return connection, True
            connection.close()
        self.opened += 1
        return await HttpConnection.connect(address, CONNECT_TIMEOUT_S), False

    def give_back(self, address: HostPort, connection: HttpConnection, answer: Answer) -> None:
        """Keep a connection for a while, or close it."""
        if not connection.is_reusable:
            connection.close()
            return
        kept = self._kept.setdefault(address, deque())
        kept.append((connection, self._clock.now() + _idle_s(answer)))
        if len(kept) > MAX_KEPT_PER_TARGET:
            kept.popleft()[0].close()

    def expire(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock.now()
        for address, kept in list(self._kept.items()):
            while kept and (now >= kept[0][1] or not kept[0][0].is_reusable):
                kept.popleft()[0].close()
            if not kept:
                del self._kept[address]

    def close(self) -> None:
        """Close all kept connections."""
        for kept in self._kept.values():
            for connection, _ in kept:
                connection.close()
        self._kept.clear()


def _idle_s(answer: Answer) -> float:
    """Return how long to keep the connection, by the timeout that the target names."""
    for part in (answer.header(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value) * IDLE_SHARE
    return KEPT_IDLE_S
