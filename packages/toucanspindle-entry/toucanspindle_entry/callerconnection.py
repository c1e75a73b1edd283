"""Serves callers over HTTP/1.1: parses requests, answers in order, notices callers that leave.

Requests are read whole before they are handed on.  Pipelined requests run side by side when all
of them are idempotent by method, and are answered in the order in which they came.  A caller
that closes its connection cancels what runs for it.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

import httptools
from toucanspindle_core.clock import Clock

from toucanspindle_entry.httpclient import tune_socket
from toucanspindle_entry.model import CallerLimits

MAX_PIPELINED: Final = 16  # Requests of one connection that are held before reading pauses.
PARALLEL_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
# Time after an answer for which bytes still under way from the caller are read and dropped, so
# that closing doesn't reset the connection before the caller has read the answer.
LINGER_S: Final = 0.3
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
REASONS: Final[dict[int, bytes]] = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass
class CallerRequest:
    """A whole request; header names are in lower case. `received_at` is when its head began."""

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty text."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


@dataclass
class CallerAnswer:
    """An answer to a caller; hop-by-hop headers and the length are set when it is written."""

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    reason: bytes = b""


Handler = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class CallerHost(Protocol):
    """What a connection asks of the process that it belongs to."""

    @property
    def limits(self) -> CallerLimits:
        """Bounds in force now."""
        ...

    @property
    def is_stopping(self) -> bool:
        """Whether connections are to be closed at the next boundary between requests."""
        ...

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Note a new connection."""
        ...

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Note the end of a connection."""
        ...


@dataclass
class _Exchange:
    request: CallerRequest
    keeps_open: bool
    answer: CallerAnswer | None = None
    task: asyncio.Task[None] | None = None


class CallerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, host: CallerHost, handler: Handler, clock: Clock) -> None:
        """Create a connection whose requests go to `handler`."""
        self._host = host
        self._handler = handler
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[_Exchange] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._in_head = True
        self._unfinished_bytes = 0
        self._chunks: list[bytes] = []
        self._size = 0
        self._began_at: float | None = None
        self._refused = False
        self._closing = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not self._exchanges and self._began_at is None

    def close_if_idle(self) -> None:
        """Close a connection that is between requests."""
        if self.is_idle:
            self._close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle time."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune_socket(transport.get_extra_info("socket"))
        self._host.connection_opened(self)
        self._arm_timer(self._host.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent."""
        if self._closing or self._refused:
            return
        if self._began_at is None:
            self._began_at = self._clock.now()
            self._arm_timer(self._host.limits.header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._closing = True
        except httptools.HttpParserCallbackError:
            if not self._refused:
                raise
        except httptools.HttpParserError:
            self._refuse(400)
        # The parser reports a header only once it is whole.
        self._unfinished_bytes = self._unfinished_bytes + len(data) if self._in_head else 0
        if not self._refused and self._unfinished_bytes > self._host.limits.header_bytes:
            self._refuse(431)

    def eof_received(self) -> bool:
        """Take the end of the caller's stream for its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel what runs for the caller."""
        self._closing = True
        self._cancel_timer()
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._host.connection_closed(self)

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Start a request."""
        if self._began_at is None:
            self._began_at = self._clock.now()
        self._in_head = True
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._chunks = []
        self._size = 0

    def on_url(self, url: bytes) -> None:
        """Keep the request target."""
        self._url += url
        self._header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Check the head; let a caller that waits for it send its body."""
        self._in_head = False
        if self._refused:
            return
        if self._header_bytes > self._host.limits.header_bytes:
            self._refuse(431)
            return
        self._cancel_timer()
        length = b""
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue" and self._transport:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif name == b"content-length":
                length = value
        if length.isdigit() and int(length) > self._host.limits.body_bytes:
            self._refuse(413)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._size += len(body)
        if self._refused:
            return
        if self._size > self._host.limits.body_bytes:
            self._refuse(413)
            return
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on."""
        if self._refused or self._closing:
            return
        request = CallerRequest(
            method=self._parser.get_method().decode("ascii"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._chunks),
            received_at=self._began_at if self._began_at is not None else self._clock.now(),
        )
        self._began_at = None
        self._cancel_timer()
        self._exchanges.append(_Exchange(request, self._parser.should_keep_alive()))
        self._start_exchanges()
        if len(self._exchanges) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    # Answers.

    def _start_exchanges(self) -> None:
        """Start requests in order; one that may not run beside others waits for them."""
        for index, exchange in enumerate(self._exchanges):
            if exchange.request.method not in PARALLEL_METHODS and index > 0:
                return
            if exchange.task is None:
                exchange.task = asyncio.get_running_loop().create_task(self._run(exchange))
            if exchange.request.method not in PARALLEL_METHODS:
                return

    async def _run(self, exchange: _Exchange) -> None:
        exchange.answer = await self._handler(exchange.request)
        self._write_ready()

    def _write_ready(self) -> None:
        transport = self._transport
        while self._exchanges and self._exchanges[0].answer is not None:
            exchange = self._exchanges.popleft()
            is_last = not self._exchanges and self._began_at is None
            closes = not exchange.keeps_open or (is_last and self._host.is_stopping)
            if transport is None or transport.is_closing():
                return
            assert exchange.answer is not None
            transport.write(encode_answer(exchange.answer, exchange.request.method, closes))
            if closes:
                self._close()
                return
        if transport is not None and len(self._exchanges) < MAX_PIPELINED:
            transport.resume_reading()
        if self.is_idle:
            self._arm_timer(self._host.limits.idle_timeout_s)
        else:
            self._start_exchanges()

    def _refuse(self, status: int) -> None:
        """Answer a request that can't be read, after those before it, and close."""
        self._refused = True
        self._cancel_timer()
        request = CallerRequest("GET", "/", [], b"", self._clock.now())
        exchange = _Exchange(request, keeps_open=False, answer=CallerAnswer(status))
        exchange.task = asyncio.get_running_loop().create_task(asyncio.sleep(0))
        self._exchanges.append(exchange)
        self._write_ready()

    def _close(self) -> None:
        """Close after what was written has been sent."""
        self._closing = True
        self._cancel_timer()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def _arm_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timer)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        if self._began_at is not None and not self._refused:
            self._refuse(408)
        elif self.is_idle:
            self._close()


def encode_answer(answer: CallerAnswer, method: str, closes: bool) -> bytes:
    """Return the bytes of an answer."""
    reason = answer.reason or REASONS.get(answer.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (answer.status, reason)]
    length = b"%d" % len(answer.body)
    for name, value in answer.headers:
        if name not in HOP_HEADERS:
            lines.append(name + b": " + value)
        elif name == b"content-length" and method == "HEAD":
            length = value
    if answer.status not in {204, 304}:
        lines.append(b"content-length: " + length)
    if closes:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if method == "HEAD" else head + answer.body
