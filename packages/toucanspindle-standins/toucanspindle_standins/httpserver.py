"""A small HTTP/1.1 server on asyncio for the stand-ins.

One protocol object parses each connection.  A handler receives the request and an `Exchange`, and
answers through the exchange immediately or later, so a pending request needs no thread or task.
Pipelined requests stay in the connection's buffer until the previous one is answered.  Request
bodies need Content-Length.
"""

import asyncio
import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from toucanspindle_core.hostport import HostPort

MAX_HEAD_BYTES: Final = 65_536
LISTEN_BACKLOG: Final = 1024
REASONS: Final = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    428: "Precondition Required",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; header names are in lower case, and `path` excludes the query."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An answer; Content-Length is added when the answer is encoded."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def head(self, content_length: int | None) -> bytes:
        """Return status line and headers, without Content-Length if `content_length` is None."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if content_length is not None and self.status != 204:
            lines.append(f"Content-Length: {content_length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def encode(self) -> bytes:
        """Return the complete answer as bytes."""
        return self.head(len(self.body)) + self.body


def json_answer(value: Any, status: int = 200) -> HttpAnswer:
    """Return an answer whose body is `value` as JSON."""
    body = json.dumps(value).encode() + b"\n"
    return HttpAnswer(status, body, (("Content-Type", "application/json"),))


class Exchange:
    """Sends the answer to one request, or closes or resets its connection instead.

    `on_disconnect` is called if the peer closes the connection before the answer.

    Invariant: at most one of `answer`, `answer_raw`, `close` and `abort` has an effect.
    """

    __slots__ = ("_connection", "_done", "on_disconnect")

    def __init__(self, connection: "_Connection") -> None:
        self._connection = connection
        self._done = False
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def done(self) -> bool:
        """Whether the request was answered or its connection closed or lost."""
        return self._done

    def answer(self, answer: HttpAnswer) -> None:
        """Send an answer and keep the connection open."""
        self.answer_raw(answer.encode())

    def answer_raw(self, data: bytes) -> None:
        """Send raw bytes as the answer and keep the connection open."""
        if self._mark_done():
            self._connection.send(data)

    def close(self, data: bytes = b"") -> None:
        """Send raw bytes, then close the connection."""
        if self._mark_done():
            self._connection.send_and_close(data)

    def abort(self) -> None:
        """Reset the connection without an answer."""
        if self._mark_done():
            self._connection.reset()

    def handle_disconnect(self) -> None:
        """Mark the exchange as done because the peer closed the connection."""
        if self._mark_done() and self.on_disconnect is not None:
            self.on_disconnect()

    def _mark_done(self) -> bool:
        was_pending = not self._done
        self._done = True
        return was_pending


Handler = Callable[[HttpRequest, Exchange], None]


class _Connection(asyncio.Protocol):
    """Parses the requests of one connection, one at a time."""

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._buffer = bytearray()
        self._exchange: Exchange | None = None
        self._transport: asyncio.Transport | None = None
        self._pending_head: HttpRequest | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._server.connections.discard(self)
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.handle_disconnect()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._parse()

    def send(self, data: bytes) -> None:
        self._exchange = None
        if self._transport is None:
            return
        self._transport.write(data)
        if self._buffer:
            asyncio.get_running_loop().call_soon(self._parse)

    def send_and_close(self, data: bytes) -> None:
        self._exchange = None
        if self._transport is not None:
            self._transport.write(data)
            self._transport.close()

    def reset(self) -> None:
        """Close with RST, so the peer sees a connection reset and not an orderly end."""
        self._exchange = None
        if self._transport is None:
            return
        sock: socket.socket = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    def _parse(self) -> None:
        if self._exchange is not None or self._transport is None:
            return
        if self._pending_head is None:
            self._pending_head = self._parse_head()
        if self._pending_head is None:
            return
        length = int(self._pending_head.headers.get("content-length", "0"))
        if len(self._buffer) < length:
            return
        head = self._pending_head
        body = bytes(self._buffer[:length])
        del self._buffer[:length]
        self._pending_head = None
        self._exchange = Exchange(self)
        request = HttpRequest(head.method, head.path, head.query, head.headers, body)
        self._server.handler(request, self._exchange)

    def _parse_head(self) -> HttpRequest | None:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                self.reset()
            return None
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        del self._buffer[: end + 4]
        try:
            head = _parse_head_lines(lines)
        except ValueError:
            self.send_and_close(HttpAnswer(400).encode())
            return None
        if "transfer-encoding" in head.headers:
            self.send_and_close(HttpAnswer(411).encode())
            return None
        if head.headers.get("expect", "").lower() == "100-continue" and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return head


def _parse_head_lines(lines: list[str]) -> HttpRequest:
    method, target, _version = lines[0].split(" ", 2)
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if not headers.get("content-length", "0").isdecimal():
        raise ValueError("Content-Length is not a decimal number")
    path, _, query = target.partition("?")
    return HttpRequest(method, path, query, headers, b"")


class HttpServer:
    """Listens at one address and passes each request to a handler."""

    def __init__(self, address: HostPort, handler: Handler) -> None:
        """Create a server that doesn't listen yet."""
        self.address = address
        self.handler = handler
        self.connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raise OSError if the address can't be bound."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(self),
            self.address.ip,
            self.address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.stop_listening()
        self.reset_connections()

    def stop_listening(self) -> None:
        """Refuse new connections; open connections are still served."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()
