"""Pool of idle connections to targets.

Only idempotent requests reuse a connection.  A target may close an idle connection just as a
request is sent, and that request can't be distinguished from one that ran.

The number of connections is limited, so that connections to targets leave descriptors to the store
and to callers.  At the limit an idle connection is closed for a new one; if all are in use, none is
opened.
"""

from collections import deque
from collections.abc import Callable
from typing import Final

from logbook import Logger
from toucanspindle_core.clock import Clock
from toucanspindle_core.hostport import HostPort

from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.targets.httpclient import HttpConnection, HttpResponse

CONNECT_TIMEOUT_S: Final = 0.3  # Connecting takes about 1 ms, or 1 s if the SYN packet is lost.
DEFAULT_IDLE_TIMEOUT_S: Final = 4.0  # For a target that sends no timeout of its own.
MAX_IDLE_TIMEOUT_S: Final = 300.0
KEEP_ALIVE_SHARE: Final = 0.6  # Share of the target's Keep-Alive timeout that is used.
MAX_IDLE_PER_TARGET: Final = 2
LOG_PERIOD_S: Final = 10.0

log = Logger("targets")


class ConnectionLimitError(Exception):
    """The process has as many connections to targets as it may have; nothing was sent."""


class TargetConnectionPool:
    """Idle connections by target address."""

    def __init__(
        self,
        clock: Clock,
        memory: MemoryAccount,
        max_connections: int | None = None,
        on_refused: Callable[[], None] = lambda: None,
    ) -> None:
        """Create an empty pool; responses are charged to `memory`.

        `on_refused` is called for each connection that isn't opened because of the limit.
        """
        self._max_connections = max_connections
        self._on_refused = on_refused
        self._open = 0  # Connecting ones included.
        self._logged_at = float("-inf")
        self._clock = clock
        self._memory = memory
        self._idle: dict[HostPort, deque[tuple[HttpConnection, float]]] = {}
        self.connections_opened = 0

    async def acquire(self, address: HostPort, may_reuse: bool) -> tuple[HttpConnection, bool]:
        """Return a connection and whether it was used before.

        Raises ConnectError if the connect fails or takes longer than `CONNECT_TIMEOUT_S`, and
        ConnectionLimitError if all connections that there may be are in use.
        """
        idle = self._idle.get(address)
        while may_reuse and idle:
            connection, expires_at = idle.pop()
            if connection.is_reusable and self._clock.now() < expires_at:
                return connection, True
            connection.close()
        self._make_room()
        self.connections_opened += 1
        self._open += 1
        is_counted = True

        def stop_counting() -> None:
            # A connect that is cancelled late both fails and loses its connection.
            nonlocal is_counted
            self._open -= is_counted
            is_counted = False

        try:
            connection = await HttpConnection.connect(
                address, CONNECT_TIMEOUT_S, self._memory, on_lost=stop_counting
            )
        except BaseException:
            stop_counting()
            raise
        return connection, False

    def _make_room(self) -> None:
        """At the limit close an idle connection, or raise ConnectionLimitError."""
        if self._max_connections is None or self._open < self._max_connections:
            return
        idle = next((idle for idle in self._idle.values() if idle), None)
        if idle is not None:
            idle.popleft()[0].close()
            return
        self._on_refused()
        now = self._clock.now()
        if now - self._logged_at >= LOG_PERIOD_S:
            self._logged_at = now
            log.warning("event=target_connections_exhausted limit={}", self._max_connections)
        raise ConnectionLimitError(f"all {self._max_connections} connections are in use")

    def release(
        self, address: HostPort, connection: HttpConnection, response: HttpResponse
    ) -> None:
        """Keep a connection for reuse after `response`, or close it if it can't be reused."""
        if not connection.is_reusable:
            connection.close()
            return
        idle = self._idle.setdefault(address, deque())
        idle.append((connection, self._clock.now() + _idle_timeout_s(response)))
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.popleft()[0].close()

    def close_expired(self) -> None:
        """Close the connections that are past their idle timeout or no longer reusable."""
        now = self._clock.now()
        for address, idle in list(self._idle.items()):
            while idle and (now >= idle[0][1] or not idle[0][0].is_reusable):
                idle.popleft()[0].close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection, _ in idle:
                connection.close()
        self._idle.clear()


def _idle_timeout_s(response: HttpResponse) -> float:
    """Return the idle timeout in seconds, from the response's Keep-Alive header if it has one."""
    for parameter in (response.header(b"keep-alive") or b"").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return min(MAX_IDLE_TIMEOUT_S, float(value) * KEEP_ALIVE_SHARE)
    return DEFAULT_IDLE_TIMEOUT_S
