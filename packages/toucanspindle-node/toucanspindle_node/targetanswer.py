"""Reads one HTTP/1.1 answer of a target with the parser of httptools.

An answer is whole once the parser says so: its Content-Length was reached, or its last chunk
came.  An answer with neither, ended by the closing of its connection, can't be told from a short
one and isn't accepted.  Bytes that follow the answer make it garbled.
"""

import socket
import time
from dataclasses import dataclass, field
from typing import Final

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

READ_BYTES: Final = 65_536
FIRST_FINAL_STATUS: Final = 200
MAX_ANSWER_BYTES: Final = 33_554_432


class BrokenAnswerError(Exception):
    """The answer is short or garbled; `began` tells whether any byte of it came."""

    def __init__(self, cause: str, began: bool) -> None:
        """Create the error."""
        super().__init__(cause)
        self.began = began


@dataclass
class TargetAnswer:
    """An answer while it is read, and when it is whole.

    Header names are as the target wrote them.  Invariant: nothing changes once it is whole.
    """

    method: str
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = False
    is_whole: bool = False

    def header(self, name: str) -> str | None:
        """Return the first header called `name` (in lower case), or None."""
        return next((v for n, v in self.headers if n.lower() == name), None)


class _Events:
    """What the parser calls; collects an answer.

    Invariant: `excess` is set when anything follows the whole answer.
    """

    def __init__(self, answer: TargetAnswer) -> None:
        self.answer = answer
        self.parser = HttpResponseParser(self)
        self.excess = False
        self._pieces: list[bytes] = []

    def on_message_begin(self) -> None:
        self.excess = self.answer.is_whole

    def on_header(self, name: bytes, value: bytes) -> None:
        self.answer.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self.answer.status = self.parser.get_status_code()
        self.answer.keep_alive = self.parser.should_keep_alive()
        if self.answer.method == "HEAD":
            self._finish()

    def on_body(self, body: bytes) -> None:
        self._pieces.append(body)

    def on_message_complete(self) -> None:
        if self.answer.status < FIRST_FINAL_STATUS:
            self.answer.headers.clear()
            return
        self._finish()

    def _finish(self) -> None:
        self.answer.body = b"".join(self._pieces)
        self.answer.is_whole = self.answer.status >= FIRST_FINAL_STATUS


def read_answer(sock: socket.socket, method: str, deadline: float) -> TargetAnswer:
    """Read the answer to a request of `method`; `deadline` is in seconds of the monotonic clock.

    Raises TimeoutError at the deadline, and BrokenAnswerError.
    """
    answer = TargetAnswer(method)
    events = _Events(answer)
    began = False
    received_bytes = 0
    while not answer.is_whole:
        data = _receive(sock, deadline, began)
        began = True
        received_bytes += len(data)
        if received_bytes > MAX_ANSWER_BYTES:
            raise BrokenAnswerError("the answer is too large", began)
        try:
            events.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if not answer.is_whole:
                raise BrokenAnswerError(f"malformed: {error}", began) from error
            events.excess = True
        if events.excess:
            raise BrokenAnswerError("bytes follow the answer", began)
    return answer


def _receive(sock: socket.socket, deadline: float, began: bool) -> bytes:
    remaining_s = deadline - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("the deadline has passed")
    sock.settimeout(remaining_s)
    try:
        data = sock.recv(READ_BYTES)
    except TimeoutError:
        raise
    except OSError as error:
        raise BrokenAnswerError(str(error), began) from error
    if not data:
        raise BrokenAnswerError("the connection was closed", began)
    return data
