"""Reads the requests of one caller connection, within limits for each request.

The parser is fed slice by slice, so that the reader can stop between two requests, and within a
body for which the process has no memory.  What is left then is parsed later.  Memory is taken for a
request when it begins, and for a body of a declared length when its head is complete.  Trailers are
dropped, as RFC 9110, 6.5.1 asks for fields that aren't known to be safe.
"""

from typing import Final, Protocol

import httptools
from toucanspindle_core.clock import Clock

from toucanspindle_entry.bodybuffer import BLOCK_BYTES, BodyBuffer, body_cost
from toucanspindle_entry.callers.callermessages import CallerRequest
from toucanspindle_entry.memoryaccount import MemoryAccount, MemoryLease
from toucanspindle_entry.model import CallerLimits

# A head may exceed its limit by one slice before it is rejected, since the parser doesn't tell
# where in a slice the head begins.
SLICE_BYTES: Final = 1024
REQUEST_OVERHEAD_BYTES: Final = 4096  # Of the objects around a request while it is handled.
FRAMING_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})
HEADER_OVERHEAD_BYTES: Final = 180  # Of the objects around a header.
HEADER_FRAMING_BYTES: Final = 3  # The colon and the line end of a header.


class RequestSink(Protocol):
    """The connection whose requests are read."""

    @property
    def limits(self) -> CallerLimits:
        """Size limits in force now."""
        ...

    @property
    def can_take_request(self) -> bool:
        """Whether another request may be read now."""
        ...

    def take_request(self, request: CallerRequest, keep_alive: bool) -> None:
        """Take a complete request."""
        ...

    def reject(self, status: int) -> None:
        """Respond to a request that isn't read to its end; no more is read."""
        ...

    def fail_reading(self, error: BaseException) -> None:
        """Respond to a request that the reader failed to read, by a fault of the program."""
        ...

    def resume(self) -> None:
        """Read on: there is memory for the body now."""
        ...

    def send_continue(self) -> None:
        """Tell the caller to send the body of its request."""
        ...


class RequestReader:
    """Parses the bytes of a connection; the sink takes the requests."""

    def __init__(self, sink: RequestSink, memory: MemoryAccount, clock: Clock) -> None:
        """Create a reader at the beginning of a connection."""
        self._sink = sink
        self._memory = memory
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._unparsed = b""
        self._parsed_bytes = 0  # Of the bytes above.
        self._unparsed_lease = memory.lease()
        self._is_stopped = False
        self._lacks_memory = False
        self._heads_begun = 0
        self._is_head_repeated = False  # The head being parsed is the one of `_ignore_upgrade`.
        self._partial_head_bytes = 0
        self._framing_bytes = 0
        self._has_read_body = False
        self._is_body_outstanding = False
        self._unread_body_bytes = 0
        self._began_at: float | None = None
        self._begin_request(memory.lease())

    @property
    def began_at(self) -> float | None:
        """When the first byte of the request being read came; None between two requests."""
        return self._began_at

    @property
    def is_reading_head(self) -> bool:
        """Whether the head of a request is incomplete."""
        return self._began_at is not None and not self._is_head_complete

    @property
    def lacks_memory(self) -> bool:
        """Whether the reader waits for memory for a body."""
        return self._lacks_memory

    @property
    def is_stopped(self) -> bool:
        """Whether nothing more is parsed."""
        return self._is_stopped

    @property
    def is_reading_body(self) -> bool:
        """Whether the head of a request is complete, and its body isn't."""
        return self._began_at is not None and self._is_head_complete

    @property
    def has_unparsed(self) -> bool:
        """Whether bytes that were read are still to be parsed."""
        return self._parsed_bytes < len(self._unparsed)

    @property
    def body_bytes(self) -> int:
        """The length of what was read of the body."""
        return len(self._body)

    @property
    def progress(self) -> str:
        """What was read of the request being read, for logs."""
        return (
            f"head_bytes={self._head_bytes} partial_head_bytes={self._partial_head_bytes}"
            f" body_bytes={len(self._body)}"
        )

    def receive(self, data: bytes | memoryview) -> None:
        """Keep bytes until they are parsed."""
        self._unparsed = self._unparsed[self._parsed_bytes :] + bytes(data)
        self._parsed_bytes = 0

    @property
    def can_parse(self) -> bool:
        """Whether there are bytes that can be parsed now."""
        return (
            self.has_unparsed
            and not self._is_stopped
            and not self._lacks_memory
            and self._sink.can_take_request
        )

    def parse_slice(self) -> None:
        """Parse the next bytes: SLICE_BYTES, or more of a body of a declared length."""
        begin = self._parsed_bytes
        end = min(len(self._unparsed), begin + max(SLICE_BYTES, self._unread_body_bytes))
        self._parsed_bytes = end
        self._parse(memoryview(self._unparsed)[begin:end])
        if self._parsed_bytes == len(self._unparsed):
            self._unparsed, self._parsed_bytes = b"", 0

    def charge_unparsed(self) -> None:
        """Charge the bytes that wait for their turn to the account of the process."""
        change = len(self._unparsed) - self._unparsed_lease.held_bytes
        if change:
            self._unparsed_lease.charge(change)

    def stop(self) -> None:
        """Parse nothing more, and drop the request being read."""
        self._is_stopped = True
        self._unparsed, self._parsed_bytes = b"", 0
        self._began_at = None
        self._lacks_memory = False
        self._lease.stop_waiting()
        self._begin_request(self._memory.lease())

    # Private.

    def _parse(self, data: bytes | memoryview) -> None:
        """Parse a slice; count the bytes of an incomplete head, which the parser doesn't report."""
        heads_begun = self._heads_begun
        was_between_requests = self._began_at is None
        self._has_read_body = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade()
            if not self._is_stopped:
                self._parse(data[upgrade.args[0] :])
            return
        except httptools.HttpParserCallbackError as error:
            if not self._is_stopped:
                self._is_stopped = True
                self._sink.fail_reading(error.__context__ or error)
        except httptools.HttpParserError:
            if not self._is_stopped:
                self._reject(400)
        heads_begun = self._heads_begun - heads_begun
        self._framing_bytes = 0 if self._has_read_body else self._framing_bytes + len(data)
        if self._is_head_complete or heads_begun > 1:
            self._partial_head_bytes = 0
        elif heads_begun == 1:
            self._partial_head_bytes = len(data) if was_between_requests else 0
        else:
            self._partial_head_bytes += len(data)
        if not self._is_stopped and self._partial_head_bytes > self._sink.limits.header_bytes:
            self._reject(431)
        self._check_framing()

    def _check_framing(self) -> None:
        """Reject a body with chunk sizes, chunk extensions or trailers without end."""
        is_in_body = self._is_head_complete and self._began_at is not None
        is_too_much = self._framing_bytes > self._sink.limits.header_bytes
        if is_in_body and is_too_much and not self._is_stopped:
            self._reject(400)

    def _ignore_upgrade(self) -> None:
        """Read on as if no other protocol had been offered, as RFC 9110, 7.8 allows.

        The parser takes what follows the head for the other protocol.  A new one reads the body, if
        there is one, behind a head that has only the fields about the body and the connection.
        """
        version = self._parser.get_http_version().encode()
        self._parser = httptools.HttpRequestParser(self)
        if self._is_stopped or not self._is_body_outstanding:
            return
        lines = [b"POST / HTTP/" + version]
        lines += [name + b": " + value for name, value in self._headers if name in FRAMING_HEADERS]
        if any(
            name == b"connection" and b"close" in value.lower() for name, value in self._headers
        ):
            lines.append(b"connection: close")
        self._is_head_repeated = True
        try:
            self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")
        finally:
            self._is_head_repeated = False
        self._is_body_outstanding = False

    def _begin_request(self, lease: MemoryLease) -> None:
        self._lease = lease
        self._body = BodyBuffer(lease)
        self._method = ""
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._is_head_complete = False
        self._is_continue_expected = False
        self._unread_body_bytes = 0
        self._framing_bytes = 0

    def _reject(self, status: int) -> None:
        self._is_stopped = True
        self._lease.stop_waiting()
        self._sink.reject(status)

    def _wait_for_memory(self, amount: int) -> None:
        """Stop parsing until there is memory for the body, unless there never is."""
        if not self._lease.can_ever_grow(amount):
            self._reject(413)
            return
        self._lacks_memory = True
        lease = self._lease
        lease.grow_later(amount, lambda: self._memory_granted(lease, amount))

    def _memory_granted(self, lease: MemoryLease, amount: int) -> None:
        if lease is not self._lease or not self._lacks_memory:
            return  # The request has ended meanwhile.
        self._body.record_charge(amount)
        self._lacks_memory = False
        if self._is_continue_expected:
            self._sink.send_continue()
        self._sink.resume()

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Begin a request if there is memory for it."""
        if self._is_head_repeated:
            return
        self._heads_begun += 1
        if self._is_stopped:
            return
        self._began_at = self._clock.now()
        self._begin_request(self._memory.lease())
        if not self._lease.try_grow(REQUEST_OVERHEAD_BYTES):
            self._reject(503)

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        if self._is_head_repeated:
            return
        self._url += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, but no trailer."""
        if self._is_stopped or self._is_head_repeated:
            return
        self._head_bytes += len(name) + len(value) + HEADER_FRAMING_BYTES
        if self._head_bytes > self._sink.limits.header_bytes:
            self._reject(431)
        elif not self._is_head_complete:
            if self._lease.try_grow(len(name) + len(value) + HEADER_OVERHEAD_BYTES):
                self._headers.append((name.lower(), value))
            else:
                self._reject(503)

    def on_headers_complete(self) -> None:
        """Check the size of the declared body, and take memory for it."""
        if self._is_head_repeated:
            return
        self._method = self._parser.get_method().decode("ascii")
        self._is_head_complete = True
        self._framing_bytes = 0
        if self._is_stopped:
            return
        length = 0
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._is_continue_expected = True
            elif name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                self._is_body_outstanding = True
        if length > self._sink.limits.body_bytes:
            self._reject(413)
            return
        self._unread_body_bytes = length
        self._is_body_outstanding = self._is_body_outstanding or length > 0
        if not self._lease.try_grow(body_cost(length)):
            self._wait_for_memory(body_cost(length))
            return
        self._body.record_charge(body_cost(length))
        if self._is_continue_expected:
            self._sink.send_continue()

    def on_body(self, piece: bytes) -> None:
        """Store a part of the body; reject the request if the body is too large."""
        if self._is_stopped:
            return
        if len(self._body) + len(piece) > self._sink.limits.body_bytes:
            self._reject(413)
            return
        self._unread_body_bytes = max(0, self._unread_body_bytes - len(piece))
        has_memory = self._body.append(piece)
        self._has_read_body = True
        if not has_memory and not self._lacks_memory:
            self._wait_for_memory(body_cost(BLOCK_BYTES))

    def on_message_complete(self) -> None:
        """Hand the complete request to the sink."""
        if self._is_stopped or (self._parser.should_upgrade() and self._is_body_outstanding):
            return
        assert self._began_at is not None
        request = CallerRequest(
            method=self._method,
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=self._body,
            received_at=self._began_at,
            lease=self._lease,
        )
        self._began_at = None
        self._unread_body_bytes = 0
        self._lacks_memory = False
        self._lease.stop_waiting()
        # What follows CONNECT is for the tunnel that it asks for, and there is none.
        keep_alive = self._parser.should_keep_alive() and request.method != "CONNECT"
        self._sink.take_request(request, keep_alive)
        if not keep_alive:
            self.stop()
