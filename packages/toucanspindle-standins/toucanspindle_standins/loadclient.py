"""Keep-alive HTTP connections of the load generator, on asyncio protocols.

One request at a time is on a connection.  A request takes the connection that was idle for the
shortest time, or a new one.  Only answers with Content-Length are understood.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.hostport import HostPort

BROKEN: Final = "broken"
REFUSED: Final = "refused"


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended: its status, or 0 with the failure as `outcome`."""

    outcome: str
    status: int


OnEnd = Callable[[Ending], None]


class _Connection(asyncio.Protocol):
    """One connection; `on_end` is called exactly once per request."""

    def __init__(self, pool: "ConnectionPool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._on_end: OnEnd | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._pool.forget(self)
        self._end(Ending(BROKEN, 0))

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head_end = self._buffer.find(b"\r\n\r\n")
        if head_end < 0:
            return
        head = bytes(self._buffer[:head_end])
        length = int(_header(head, b"content-length") or b"0")
        if len(self._buffer) < head_end + 4 + length:
            return
        self._buffer.clear()
        outcome = _header(head, b"toucan-outcome") or _header(head, b"target-outcome")
        status = int(head[9:12])
        closing = _header(head, b"connection").lower() == b"close"
        self._pool.put_back(self, not closing)
        self._end(Ending(outcome.decode("latin-1") or "plain", status))

    def send(self, data: bytes, on_end: OnEnd) -> None:
        self._on_end = on_end
        if self._transport is None:
            self._end(Ending(BROKEN, 0))
        else:
            self._transport.write(data)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _end(self, ending: Ending) -> None:
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(ending)


def _header(head: bytes, name: bytes) -> bytes:
    at = head.lower().find(b"\r\n" + name + b":")
    if at < 0:
        return b""
    return head[at + len(name) + 3 :].split(b"\r\n", 1)[0].strip()


class ConnectionPool:
    """All connections to one address.

    Invariant: a connection with a request on it isn't idle.
    """

    def __init__(self, address: HostPort) -> None:
        """Create a pool without connections."""
        self._address = address
        self._idle: list[_Connection] = []
        self._all: set[_Connection] = set()
        self._opening: set[asyncio.Task[None]] = set()

    def send(self, data: bytes, on_end: OnEnd) -> None:
        """Send a request; `on_end` is called later, once."""
        if self._idle:
            self._idle.pop().send(data, on_end)
            return
        task = asyncio.get_running_loop().create_task(self._open(data, on_end))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def close(self) -> None:
        """Abort all connections; requests on them end as broken."""
        for connection in list(self._all):
            connection.close()

    def put_back(self, connection: _Connection, reusable: bool) -> None:
        """Take a connection whose answer is whole."""
        if reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def forget(self, connection: _Connection) -> None:
        """Drop a connection that was lost."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    async def _open(self, data: bytes, on_end: OnEnd) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: _Connection(self), self._address.ip, self._address.port
            )
        except OSError:
            on_end(Ending(REFUSED, 0))
            return
        self._all.add(connection)
        connection.send(data, on_end)
