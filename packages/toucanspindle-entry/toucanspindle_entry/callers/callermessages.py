"""Requests from callers, and the responses to them."""

from dataclasses import dataclass, field
from typing import Final

from toucanspindle_entry.bodybuffer import Body
from toucanspindle_entry.memoryaccount import MemoryLease

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
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass
class CallerRequest:
    """A complete request; header names are in lower case.

    `target` is the request target with its query; `received_at` is the time of the first byte, in
    seconds of the connection's clock.  `lease` holds the memory of the head and the body.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]] = field(repr=False)  # They may hold an account's key.
    body: Body
    received_at: float
    lease: MemoryLease | None = None

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
    """A response to a caller; `encode_head` sets its hop-by-hop headers and its length.

    `lease` holds the memory of headers and body, if a target sent them.
    """

    status: int
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: Body = b""
    reason: bytes = b""
    lease: MemoryLease | None = None


def encode_head(response: CallerResponse, method: str, close_after: bool) -> bytes:
    """Return the head of a response; `method` is that of its request."""
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
    return b"\r\n".join(lines) + b"\r\n\r\n"
