"""An HTTP/1.1 client connection that tells exactly how an exchange ended.

A target's answer decides whether a request may be sent again, so each failure is a type of its
own: nothing was sent, the connection broke, or what came back was no whole answer.  Answers are
read whole.  An answer to another request (by the id that it echoes) is skipped.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import httptools
from toucanspindle_core.hostport import HostPort

MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024  # Held whole in memory; a host has 200 MB or more.
USER_TIMEOUT_MS: Final = 2500  # Unacknowledged bytes after which a silent peer is given up.
KEEPALIVE_IDLE_S: Final = 1  # Idle time before a probe; a connection may go silent for good.
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
NO_BODY_STATUSES: Final = frozenset({204, 304})
FIRST_FINAL_STATUS: Final = 200


class UnreachedError(Exception):
    """No connection came about, so nothing was sent."""


class BrokenError(Exception):
    """The connection ended before a whole answer; the request may have run."""


class GarbledError(Exception):
    """The peer sent bytes that are no answer; the request may have run."""


@dataclass
class Answer:
    """A whole answer; header names are in lower case, in the order received."""

    status: int = 0
    reason: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Accept = Callable[[Answer], bool]


def tune_socket(sock: socket.socket) -> None:
    """Make a connection fail by itself when its peer falls silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class HttpConnection(asyncio.Protocol):
    """One connection; runs one exchange at a time."""

    def __init__(self) -> None:
        """Create an unconnected connection; use `connect`."""
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future[Answer] | None = None
        self._accept: Accept | None = None
        self._is_head = False
        self._answer = Answer()
        self._chunks: list[bytes] = []
        self._size = 0
        self._until_close = False
        self._completed = False
        self._closed = False
        self._reusable = True

    @classmethod
    async def connect(cls, address: HostPort, timeout_s: float) -> "HttpConnection":
        """Connect, or raise UnreachedError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(cls, address.ip, address.port)
        except (OSError, TimeoutError) as error:
            raise UnreachedError(f"{address}: {error or 'no answer to the connect'}") from error
        return connection

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange may follow."""
        return self._reusable and not self._closed

    async def exchange(
        self, request: bytes, is_head: bool = False, accept: Accept | None = None
    ) -> Answer:
        """Send a request and return the whole answer; raise BrokenError or GarbledError.

        `accept` tells whether an answer belongs to the request; others are skipped.  A
        cancellation closes the connection, which tells the peer to stop work.
        """
        if self._closed or self._transport is None:
            raise BrokenError("the connection was closed")
        self._is_head = is_head
        self._accept = accept
        self._waiter = asyncio.get_running_loop().create_future()
        self._begin_answer()
        self._transport.write(request)
        try:
            return await self._waiter
        except BaseException:
            self.close()
            raise
        finally:
            if self._transport is not None and self._transport.get_write_buffer_size():
                # The peer answered before it read the whole body.
                self.close()
            self._waiter = None

    def close(self) -> None:
        """Close at once; what is unsent is dropped."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and tune its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune_socket(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse what the peer sent."""
        if self._waiter is None or self._waiter.done() or self._parser is None:
            # Bytes that nobody asked for: the connection is of no more use.
            self._reusable = False
            self.close()
            return
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(GarbledError("the peer switched protocols"))
        except httptools.HttpParserError as error:
            if self._waiter is not None and self._waiter.done():
                self._reusable = False  # Trailing bytes after a whole answer.
            else:
                self._fail(GarbledError(str(error)))

    def eof_received(self) -> bool:
        """End an answer that ends with its connection."""
        if self._until_close and not self._completed:
            self._finish_answer()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self._closed = True
        self._fail(BrokenError(str(exc) if exc else "the peer closed the connection"))

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Start an answer, or notice one too many."""
        if self._completed:
            self._reusable = False
            return
        self._answer = Answer()
        self._chunks = []
        self._size = 0

    def on_status(self, status: bytes) -> None:
        """Keep the reason phrase."""
        if not self._completed:
            self._answer.reason = self._answer.reason + status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if not self._completed:
            self._answer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note how the body ends."""
        if self._completed or self._parser is None:
            return
        answer = self._answer
        answer.status = self._parser.get_status_code()
        has_length = answer.header(b"content-length") is not None
        chunked = answer.header(b"transfer-encoding") is not None
        if answer.status < FIRST_FINAL_STATUS:
            return
        if self._is_head and answer.status not in NO_BODY_STATUSES:
            # The parser would wait for a body that doesn't follow.
            self._finish_answer()
            self._reusable = self._reusable and has_length
            return
        no_body = answer.status in NO_BODY_STATUSES
        self._until_close = not (has_length or chunked or no_body)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        if self._completed:
            return
        self._size += len(body)
        if self._size > MAX_ANSWER_BYTES:
            self._fail(GarbledError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes"))
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Deliver the answer, unless it is interim or another request's."""
        if self._completed or self._until_close:
            return
        if self._answer.status < FIRST_FINAL_STATUS:
            return
        self._finish_answer()

    def _begin_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._answer = Answer()
        self._chunks = []
        self._size = 0
        self._until_close = False
        self._completed = False

    def _finish_answer(self) -> None:
        answer = self._answer
        answer.body = b"".join(self._chunks)
        if self._accept is not None and not self._accept(answer):
            self._until_close = False
            return
        self._completed = True
        connection = (answer.header(b"connection") or b"").lower()
        if b"close" in connection or self._until_close:
            self._reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)

    def _fail(self, error: Exception) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
        self.close()
