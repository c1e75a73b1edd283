"""Keep-alive HTTP connections of the load generator, on asyncio protocols.

A connection carries one request at a time.  A request uses the idle connection that was released
last, or a new connection if none is idle.  Only answers with Content-Length are supported.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.hostport import HostPort

CONNECTION_LOST: Final = "broken"
REFUSED: Final = "refused"


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of a request: the outcome header and status of its answer.

    `outcome` is "plain" for an answer without that header.  Without an answer, `status` is 0 and
    `outcome` is the failure.
    """

    outcome: str
    status: int


ResultCallback = Callable[[RequestResult], None]


class _Connection(asyncio.Protocol):
    """One connection; `on_result` is called exactly once per request."""

    def __init__(self, pool: "ConnectionPool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._on_result: ResultCallback | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._pool.discard_lost(self)
        self._report_result(RequestResult(CONNECTION_LOST, 0))

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
        server_closes = _header(head, b"connection").lower() == b"close"
        self._pool.release(self, not server_closes)
        self._report_result(RequestResult(outcome.decode("latin-1") or "plain", status))

    def send(self, data: bytes, on_result: ResultCallback) -> None:
        self._on_result = on_result
        if self._transport is None:
            self._report_result(RequestResult(CONNECTION_LOST, 0))
        else:
            self._transport.write(data)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _report_result(self, result: RequestResult) -> None:
        on_result = self._on_result
        self._on_result = None
        if on_result is not None:
            on_result(result)


def _header(head: bytes, name: bytes) -> bytes:
    start = head.lower().find(b"\r\n" + name + b":")
    if start < 0:
        return b""
    return head[start + len(name) + 3 :].split(b"\r\n", 1)[0].strip()


class ConnectionPool:
    """All connections to one address.

    Invariant: a connection with a pending request isn't idle.
    """

    def __init__(self, address: HostPort) -> None:
        """Create a pool without open connections."""
        self._address = address
        self._idle: list[_Connection] = []
        self._all: set[_Connection] = set()
        self._opening: set[asyncio.Task[None]] = set()

    def send(self, data: bytes, on_result: ResultCallback) -> None:
        """Send an encoded request; `on_result` is called once with its result."""
        if self._idle:
            self._idle.pop().send(data, on_result)
            return
        task = asyncio.get_running_loop().create_task(self._connect_and_send(data, on_result))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def close(self) -> None:
        """Abort all connections; pending requests end with outcome "broken"."""
        for connection in list(self._all):
            connection.close()

    def release(self, connection: _Connection, reusable: bool) -> None:
        """Return a connection after a complete answer; close it unless it is reusable."""
        if reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def discard_lost(self, connection: _Connection) -> None:
        """Remove a lost connection from the pool."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    async def _connect_and_send(self, data: bytes, on_result: ResultCallback) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: _Connection(self), self._address.ip, self._address.port
            )
        except OSError:
            on_result(RequestResult(REFUSED, 0))
            return
        self._all.add(connection)
        connection.send(data, on_result)
