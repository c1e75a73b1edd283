"""Reads one HTTP/1.1 response of a target with the httptools parser.

A response is complete once its Content-Length is reached or its last chunk was received.  A
response with neither, which ends when the target closes the connection, can't be distinguished
from a truncated one and is rejected.  A response followed by further bytes is rejected as well.

A faulty target may send bytes without end, so the bytes of the body are limited, and those around
it (heads, chunk sizes, trailers) as well.  Trailers are dropped: as headers they would take many
times their bytes.
"""

import socket
import time
from dataclasses import dataclass, field
from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

READ_BYTES: Final = 65_536
FIRST_STATUS: Final = 100  # RFC 9110, 15: any other status is invalid.
LAST_STATUS: Final = 599
FIRST_FINAL_STATUS: Final = 200  # lower statuses are interim responses, which are skipped
MAX_RESPONSE_BYTES: Final = 33_554_432
MAX_HEAD_BYTES: Final = 65_536
MAX_FRAMING_PER_BODY_BYTE: Final = 8  # A chunk of one byte takes 5 bytes more.


class BrokenResponseError(Exception):
    """The response is incomplete or malformed.

    `response_started` is True when at least one byte of it was received.
    """

    def __init__(self, cause: str, response_started: bool) -> None:
        """Create the error with its cause as the message."""
        super().__init__(cause)
        self.response_started = response_started


@dataclass
class TargetResponse:
    """A response, during and after reading.

    Header names are as the target sent them.  Invariant: nothing changes once `is_complete` is set.
    """

    method: str
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = False
    is_complete: bool = False

    def header(self, name: str) -> str | None:
        """Return the value of the first header `name` (in lower case), or None."""
        return next((v for n, v in self.headers if n.lower() == name), None)


class _ParserCallbacks:
    """The callbacks of the parser, which fill in a response.

    Invariant: `has_trailing_data` is set when bytes follow the complete response, and
    `invalid_status` when a response has a status that HTTP doesn't have.
    """

    def __init__(self, response: TargetResponse) -> None:
        self.response = response
        self.parser = HttpResponseParser(self)
        self.has_trailing_data = False
        self.invalid_status: int | None = None
        self.body_bytes = 0
        self._is_head_complete = False
        self._body_chunks: list[bytes] = []

    def on_message_begin(self) -> None:
        self.has_trailing_data = self.response.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_head_complete:
            return  # A trailer, which RFC 9110, 6.5.1 lets a recipient drop.
        self.response.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self.invalid_status = status
        self._is_head_complete = self.parser.get_status_code() >= FIRST_FINAL_STATUS
        self.response.status = self.parser.get_status_code()
        self.response.keep_alive = self.parser.should_keep_alive()
        if self.response.method == "HEAD":
            self._finish()

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        if self.response.status < FIRST_FINAL_STATUS:
            self.response.headers.clear()
            return
        self._finish()

    def _finish(self) -> None:
        self.response.body = b"".join(self._body_chunks)
        self.response.is_complete = self.response.status >= FIRST_FINAL_STATUS


def read_response(sock: socket.socket, method: str, deadline: float) -> TargetResponse:
    """Return the response to a request; `deadline` is in seconds of the monotonic clock.

    `method` is that of the request.  Raises TimeoutError at the deadline, and BrokenResponseError
    for an incomplete or malformed response.
    """
    response = TargetResponse(method)
    callbacks = _ParserCallbacks(response)
    response_started = False
    received_bytes = 0
    while not response.is_complete:
        data = _receive(sock, deadline, response_started)
        response_started = True
        received_bytes += len(data)
        if received_bytes > MAX_RESPONSE_BYTES:
            raise BrokenResponseError("the response is too large", response_started)
        try:
            callbacks.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if not response.is_complete:
                raise BrokenResponseError(
                    f"the response is malformed: {error}", response_started
                ) from error
            callbacks.has_trailing_data = True
        if callbacks.invalid_status is not None:
            raise BrokenResponseError(
                f"the response has status {callbacks.invalid_status:03}", response_started
            )
        framing_bytes = received_bytes - callbacks.body_bytes
        if framing_bytes > MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * callbacks.body_bytes:
            raise BrokenResponseError(
                f"{framing_bytes} bytes of the response are no body", response_started
            )
        if callbacks.has_trailing_data:
            raise BrokenResponseError("bytes follow the response", response_started)
    return response


def _receive(sock: socket.socket, deadline: float, response_started: bool) -> bytes:
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("the deadline has passed")
    sock.settimeout(remaining_s)
    try:
        data = sock.recv(READ_BYTES)
    except TimeoutError:
        raise
    except OSError as error:
        raise BrokenResponseError(str(error), response_started) from error
    if not data:
        raise BrokenResponseError("the connection was closed", response_started)
    return data
