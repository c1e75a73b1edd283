"""Server side of an HTTP/1.1 connection from a caller.

A request is read completely before it is handled.  Pipelined GET, HEAD and OPTIONS requests run
concurrently; a request with another method runs alone, after those before it.  Responses are sent
in the order of the requests.  When the caller closes the connection, its requests are cancelled.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

import httptools
from logbook import Logger
from toucanspindle_core.clock import Clock

from toucanspindle_entry.httpclient import tune_socket
from toucanspindle_entry.model import CallerLimits

# Bytes are parsed in slices of this size.  A head may exceed its limit by one slice before it is
# rejected, since the parser doesn't tell where in a slice the head begins.
PARSE_BYTES: Final = 4096
MAX_PIPELINED: Final = 16  # Reading pauses at this many unanswered requests.
PARALLEL_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
# After the last response, bytes from the caller are read and dropped for this long.  Closing at
# once could reset the connection before the caller has read the response.
CLOSE_LINGER_S: Final = 0.3
HOP_BY_HOP_HEADERS: Final = frozenset(
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
REASON_PHRASES: Final[dict[int, bytes]] = {
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

log = Logger("callers")


@dataclass
class CallerRequest:
    """A complete request; header names are in lower case.

    `target` is the request target with its query; `received_at` is the time of the first byte, in
    seconds of the connection's clock.
    """

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
        """Return the first value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


@dataclass
class CallerResponse:
    """A response to a caller; `encode_response` sets its hop-by-hop headers and its length."""

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    reason: bytes = b""


RequestCallback = Callable[[CallerRequest], Awaitable[CallerResponse]]


class ConnectionOwner(Protocol):
    """The process that accepted a connection, as the connection uses it."""

    @property
    def limits(self) -> CallerLimits:
        """Size limits and timeouts in force now."""
        ...

    @property
    def is_stopping(self) -> bool:
        """Whether connections close after the response in progress."""
        ...

    def connection_opened(self, connection: "CallerConnection") -> None:
        """Register a new connection."""
        ...

    def connection_closed(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""
        ...

    def count_rejected(self, status: int) -> None:
        """Count a request that was rejected before it was complete."""
        ...


@dataclass
class _Exchange:
    """A request with its response, which is None until the handler returns."""

    request: CallerRequest
    keep_alive: bool
    response: CallerResponse | None = None
    task: asyncio.Task[None] | None = None


class CallerConnection(asyncio.Protocol):
    """Parses requests from one caller and writes their responses."""

    def __init__(
        self, owner: ConnectionOwner, handle_request: RequestCallback, clock: Clock
    ) -> None:
        """Create a connection; `handle_request` returns the response to each request."""
        self._owner = owner
        self._handle_request = handle_request
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[_Exchange] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._parsed_head_bytes = 0
        self._reading_head = True
        self._partial_head_bytes = 0
        self._heads_begun = 0
        self._is_reading_message = False
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._request_began_at: float | None = None
        self._rejected = False
        self._is_closing = False
        self._stopped_reading = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return not self._exchanges and self._request_began_at is None

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.is_idle:
            self._close_gracefully()

    def stop_reading(self) -> None:
        """Take no more requests, and close after the responses to those in progress.

        Requests that haven't started are dropped: to the caller they are unread, as they follow a
        response that closes the connection.
        """
        self._stopped_reading = True
        self._cancel_timer()
        self._request_began_at = None
        while self._exchanges and self._exchanges[-1].task is None:
            self._exchanges.pop()
        self.close_if_idle()

    def abort(self) -> None:
        """Close at once and drop unsent data."""
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune_socket(transport.get_extra_info("socket"))
        self._owner.connection_opened(self)
        self._restart_timer(self._owner.limits.idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller; reject malformed or oversized requests."""
        if self._is_closing or self._rejected or self._stopped_reading:
            return
        if self._request_began_at is None:
            self._request_began_at = self._clock.now()
            self._restart_timer(self._owner.limits.header_timeout_s)
        for begin in range(0, len(data), PARSE_BYTES):
            if self._is_closing or self._rejected:
                return
            self._parse(data[begin : begin + PARSE_BYTES])

    def _parse(self, data: bytes) -> None:
        """Parse a slice; count the bytes of an incomplete head, which the parser doesn't report."""
        heads_begun = self._heads_begun
        was_between_requests = not self._is_reading_message
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._is_closing = True
        except httptools.HttpParserCallbackError:
            if not self._rejected:
                raise
        except httptools.HttpParserError:
            self._reject(400)
        heads_begun = self._heads_begun - heads_begun
        if not self._reading_head or heads_begun > 1:
            self._partial_head_bytes = 0
        elif heads_begun == 1:
            self._partial_head_bytes = len(data) if was_between_requests else 0
        else:
            self._partial_head_bytes += len(data)
        if not self._rejected and self._partial_head_bytes > self._owner.limits.header_bytes:
            self._reject(431)

    def eof_received(self) -> bool:
        """Close the connection: a caller that ends its stream is taken to be gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancel the requests in progress."""
        self._is_closing = True
        self._cancel_timer()
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self._owner.connection_closed(self)

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Reset the state of the request being read."""
        if self._request_began_at is None:
            self._request_began_at = self._clock.now()
        self._reading_head = True
        self._heads_begun += 1
        self._is_reading_message = True
        self._url = b""
        self._headers = []
        self._parsed_head_bytes = 0
        self._body_chunks = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._url += url
        self._parsed_head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value))
        self._parsed_head_bytes += len(name) + len(value) + 4

    def on_headers_complete(self) -> None:
        """Check the sizes of the head and the declared body; send 100 Continue if expected."""
        self._reading_head = False
        if self._rejected:
            return
        if self._parsed_head_bytes > self._owner.limits.header_bytes:
            self._reject(431)
            return
        self._cancel_timer()
        length = b""
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue" and self._transport:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            elif name == b"content-length":
                length = value
        if length.isdigit() and int(length) > self._owner.limits.body_bytes:
            self._reject(413)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; reject the request if the body is too large."""
        self._body_bytes += len(body)
        if self._rejected:
            return
        if self._body_bytes > self._owner.limits.body_bytes:
            self._reject(413)
            return
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request and start those that may run now."""
        self._is_reading_message = False
        if self._rejected or self._is_closing:
            return
        request = CallerRequest(
            method=self._parser.get_method().decode("ascii"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body_chunks),
            received_at=(
                self._request_began_at if self._request_began_at is not None else self._clock.now()
            ),
        )
        self._request_began_at = None
        self._cancel_timer()
        self._exchanges.append(_Exchange(request, self._parser.should_keep_alive()))
        self._start_exchanges()
        if len(self._exchanges) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()

    # Responses.

    def _start_exchanges(self) -> None:
        """Start queued requests in order; one that must run alone waits for those before it."""
        for index, exchange in enumerate(self._exchanges):
            if exchange.request.method not in PARALLEL_METHODS and index > 0:
                return
            if exchange.task is None:
                exchange.task = asyncio.get_running_loop().create_task(self._run_exchange(exchange))
            if exchange.request.method not in PARALLEL_METHODS:
                return

    async def _run_exchange(self, exchange: _Exchange) -> None:
        exchange.response = await self._handle_request(exchange.request)
        self._write_finished_responses()

    def _write_finished_responses(self) -> None:
        """Write responses in order up to the first that is missing, then read or run more."""
        transport = self._transport
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            nothing_pending = not self._exchanges and self._request_began_at is None
            close_after = not exchange.keep_alive or (nothing_pending and self._owner.is_stopping)
            if transport is None or transport.is_closing():
                return
            assert exchange.response is not None
            transport.write(
                encode_response(exchange.response, exchange.request.method, close_after)
            )
            if close_after:
                self._close_gracefully()
                return
        if transport is not None and len(self._exchanges) < MAX_PIPELINED:
            transport.resume_reading()
        if self.is_idle:
            self._restart_timer(self._owner.limits.idle_timeout_s)
        else:
            self._start_exchanges()

    def _reject(self, status: int) -> None:
        """Queue an error response after the pending ones; the connection closes after it."""
        self._rejected = True
        self._cancel_timer()
        self._owner.count_rejected(status)
        log.info(
            "event=request_rejected status={} head_bytes={} partial_head_bytes={} body_bytes={}"
            " unanswered={}",
            status,
            self._parsed_head_bytes,
            self._partial_head_bytes,
            self._body_bytes,
            len(self._exchanges),
        )
        request = CallerRequest("GET", "/", [], b"", self._clock.now())
        exchange = _Exchange(request, keep_alive=False, response=CallerResponse(status))
        # The task keeps _start_exchanges from passing this exchange to the request handler.
        exchange.task = asyncio.get_running_loop().create_task(asyncio.sleep(0))
        self._exchanges.append(exchange)
        self._write_finished_responses()

    def _close_gracefully(self) -> None:
        """Send what was written, end the stream, and close after CLOSE_LINGER_S."""
        self._is_closing = True
        self._cancel_timer()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(CLOSE_LINGER_S, transport.close)

    def _restart_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        """Respond 408 to an incomplete request, or close an idle connection."""
        if self._request_began_at is not None and not self._rejected:
            self._reject(408)
        elif self.is_idle:
            self._close_gracefully()


def encode_response(response: CallerResponse, method: str, close_after: bool) -> bytes:
    """Return the bytes of a response; `method` is that of its request."""
    reason = response.reason or REASON_PHRASES.get(response.status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (response.status, reason)]
    length = b"%d" % len(response.body)
    for name, value in response.headers:
        if name not in HOP_BY_HOP_HEADERS:
            lines.append(name + b": " + value)
        elif name == b"content-length" and method == "HEAD":
            length = value
    if response.status not in {204, 304}:
        lines.append(b"content-length: " + length)
    if close_after:
        lines.append(b"connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if method == "HEAD" else head + response.body
