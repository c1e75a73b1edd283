"""Serves callers over HTTP/1.1 with cheroot, and refuses malformed requests with a code.

cheroot accepts connections and parses requests on a pool of threads.  This module makes its
parsing strict where two readers of the same bytes could disagree (duplicate or conflicting
lengths, folded headers), so that no caller can smuggle a request into another's connection, and
turns each request into a `CallerRequest` for the chain of filters.  A request is read whole
before the first filter sees it, and an answer is written whole, with its length.
"""

import json
import re
import socket
import threading
import time
from collections.abc import Callable
from email.utils import formatdate
from functools import lru_cache
from http import HTTPStatus
from typing import Any, Final

from cheroot.connections import ConnectionManager
from cheroot.errors import MaxSizeExceeded
from cheroot.server import (  # type: ignore[attr-defined]
    Gateway,
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
    HTTPServer,
    comma_separated_headers,
)
from toucanspindle_core import errorcodes
from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.errors import RequestError
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import Outcome

from toucanspindle_node import messages
from toucanspindle_node.callerstreams import CallerReader, CallerWriter, drain
from toucanspindle_node.exchange import CallerRequest
from toucanspindle_node.listening import explain_bind_error
from toucanspindle_node.readyconnections import (
    ReadyConnectionManager,
    ReadyConnections,
    ReadyThreadPool,
)

MAX_HEADER_BYTES: Final = 32_768
MAX_BODY_BYTES: Final = 16_777_216
LISTEN_BACKLOG: Final = 512
KEEP_ALIVE_S: Final = 75
READ_TIMEOUT_S: Final = 5.0
MAX_KEEP_ALIVE_CONNECTIONS: Final = 10_000
SINGLE_HEADERS: Final = frozenset(
    {
        b"Content-Length",
        b"Transfer-Encoding",
        b"Host",
        b"Idempotency-Key",
        b"Toucan-Account",
        b"Toucan-Deadline-Ms",
        b"Toucan-Token",
    }
)
LIST_HEADERS: Final = frozenset(comma_separated_headers)
MAX_CHUNK_LINE_BYTES: Final = 1024
CHUNK_LINE: Final = re.compile(rb"[0-9A-Fa-f]{1,8}[ \t]*(?:;[^\r\n]*)?\r\n")
PHRASES: Final = {status.value: status.phrase for status in HTTPStatus}
HANDLE = Callable[[CallerRequest], Outcome]


class StrictHeaderReader(HeaderReader):
    """Reads headers; refuses what two readers could take differently."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> Any:
        """Read headers from `rfile`; raise ValueError for an ambiguous header."""
        headers = {} if hdict is None else hdict
        while (line := rfile.readline()) != b"\r\n":
            name, value = _split_header(line)
            canonical = name.title()
            earlier = headers.get(canonical)
            if earlier is not None and canonical in SINGLE_HEADERS:
                raise ValueError(f"{canonical.decode('latin-1')} is given twice.")
            if earlier and canonical in LIST_HEADERS:
                value = b", ".join((earlier, value))
            headers[canonical] = value
        _check_framing(headers)
        return headers


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    """Return name and value of a header line; raise ValueError for one that is ambiguous."""
    if not line.endswith(b"\r\n"):
        raise ValueError("Header lines end in CR LF.")
    if line[:1] in {b" ", b"\t"}:
        raise ValueError("Folded header lines aren't allowed.")
    name, colon, value = line[:-2].partition(b":")
    if not colon or not name or name != name.strip():
        raise ValueError("A header line needs a name, directly followed by a colon.")
    if b"\r" in value or b"\0" in value:
        raise ValueError("A header value has a control character.")
    return name, value.strip()


def _check_framing(headers: dict[bytes, bytes]) -> None:
    """Raise ValueError unless the body's length is given in one way at most."""
    length = headers.get(b"Content-Length")
    encoding = headers.get(b"Transfer-Encoding")
    if length is not None and encoding is not None:
        raise ValueError("Content-Length and Transfer-Encoding exclude each other.")
    if length is not None and not length.isdigit():
        raise ValueError("Content-Length must be a decimal number.")
    if encoding is not None and encoding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding must be chunked.")


class _ChunkLines:
    """Passes a chunked body through; raises ValueError for a size that isn't plain hexadecimal.

    The library also takes signs, underscores and "0x", which other readers take differently.
    """

    def __init__(self, rfile: Any) -> None:
        self._rfile = rfile

    def readline(self) -> bytes:
        line: bytes = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
        if not CHUNK_LINE.fullmatch(line):
            raise ValueError("a chunk's size must be a plain hexadecimal number")
        return line

    def read(self, size: int) -> bytes:
        data: bytes = self._rfile.read(size)
        return data


class EntryRequest(HTTPRequest):
    """A request whose refusals carry an error code and a remedy."""

    header_reader = StrictHeaderReader()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request in place of cheroot's plain text, and close the connection."""
        number = int(str(status)[:3])
        code = errorcodes.BODY_TOO_LARGE if number == 413 else errorcodes.BAD_REQUEST
        self.close_connection = True
        text = str(msg) or str(status)
        refusal = RequestError(code, text, messages.REMEDY_BAD_REQUEST)
        body = error_body("not-run", code, refusal.text, refusal.remedy, "")
        headers = [
            ("Content-Type", "application/json"),
            ("Toucan-Outcome", "not-run"),
            ("Toucan-Error", code.name),
        ]
        self.sent_headers = True
        self.conn.wfile.write(_encode_answer(number, headers, body, True))
        drain(self.conn.socket)


class EntryConnection(HTTPConnection):
    """A caller's connection.

    `ready_at` is when the request that is served began to arrive, in seconds of the monotonic
    clock; None before the first.
    """

    RequestHandlerClass = EntryRequest
    ready_at: float | None = None
    is_known = False
    is_watched = False
    is_expired = False

    def __init__(self, server: HTTPServer, sock: socket.socket, makefile: Any) -> None:
        """Create the connection of an accepted socket, with streams of this package."""
        super().__init__(server, sock, makefile)
        self.rfile = CallerReader(sock)
        self.wfile = CallerWriter(sock)


class EntryGateway(Gateway):
    """Hands a parsed request to the chain of filters and writes the outcome."""

    def respond(self) -> None:
        """Answer the request whole."""
        request = self.req
        server: EntryServer = request.server
        if request.chunked_read:
            request.rfile.rfile = _ChunkLines(request.rfile.rfile)
        try:
            body = request.rfile.read()
        except (MaxSizeExceeded, ValueError, OSError) as error:
            request.simple_response("400 Bad Request", f"The body can't be read: {error}.")
            return
        if getattr(request.rfile, "remaining", 0):
            # The caller closed its side amid the body; there is nobody to answer.
            request.close_connection = True
            request.sent_headers = True
            return
        if request.chunked_read:
            # What follows a chunked body (trailers) is never taken for another request.
            request.close_connection = True
        caller_request = CallerRequest(
            request.method.decode("latin-1"),
            request.uri.decode("latin-1"),
            {
                k.decode("latin-1").lower(): v.decode("latin-1")
                for k, v in request.inheaders.items()
            },
            body,
            request.conn.ready_at or time.monotonic(),
        )
        server.begin_request()
        try:
            self._answer(server, caller_request)
        finally:
            server.end_request()

    def _answer(self, server: "EntryServer", caller_request: CallerRequest) -> None:
        request = self.req
        outcome = server.handle(caller_request)
        close = request.close_connection or server.closing
        request.close_connection = close
        headers = list(outcome.headers)
        include_body = caller_request.method != "HEAD"
        request.sent_headers = True
        request.conn.wfile.write(
            _encode_answer(outcome.status, headers, outcome.body, close, include_body)
        )


class EntryServer(HTTPServer):
    """The listening side of a proxy.

    Invariant: `in_flight` counts the requests between their last byte and the end of their answer.
    """

    ConnectionClass = EntryConnection
    max_request_header_size = MAX_HEADER_BYTES
    max_request_body_size = MAX_BODY_BYTES
    keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
    timeout = KEEP_ALIVE_S

    def __init__(self, address: HostPort, threads: int, handle: HANDLE) -> None:
        """Create a server that answers with what `handle` returns."""
        super().__init__(
            (address.ip, address.port), EntryGateway, minthreads=threads, maxthreads=threads
        )
        self.request_queue_size = LISTEN_BACKLOG
        self._ready = ReadyConnections()
        self.requests = ReadyThreadPool(self, threads, self._ready)
        self.closing = False
        self._handle = handle
        self._address = address
        self._in_flight = 0
        self._idle = threading.Condition()
        self._thread: threading.Thread | None = None

    @property
    def in_flight(self) -> int:
        """The number of requests being answered."""
        return self._in_flight

    def handle(self, request: CallerRequest) -> Outcome:
        """Answer one request."""
        return self._handle(request)

    def begin_request(self) -> None:
        """Count a request as in flight until `end_request`."""
        with self._idle:
            self._in_flight += 1

    def end_request(self) -> None:
        """Count the end of a request, after its answer was written."""
        with self._idle:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.notify_all()

    def process_conn(self, conn: EntryConnection) -> None:
        """Take a new connection, or one whose next request came together with the last.

        A new connection is first watched like an idle one: a thread that waits for its first
        byte could be held by callers that send nothing.
        """
        if not conn.is_known:
            conn.is_known = True
            conn.socket.settimeout(READ_TIMEOUT_S)
            self.put_conn(conn)
            return
        conn.ready_at = time.monotonic()
        super().process_conn(conn)

    def start_serving(self) -> None:
        """Listen and serve in threads; raise SettingsError when the address can't be used."""
        try:
            self.prepare()
        except OSError as error:
            raise explain_bind_error("entry_address", self._address, error) from error
        self._replace_connections()
        self._thread = threading.Thread(target=self.serve, name="entry", daemon=True)
        self._thread.start()

    def _replace_connections(self) -> None:
        manager: ConnectionManager = self.__dict__["_connections"]
        manager.close()
        self._connections = ReadyConnectionManager(self, self._ready)

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with self._idle:
            return self._idle.wait_for(lambda: self._in_flight == 0, timeout_s)

    def stop_serving(self) -> None:
        """Close the listening socket and all connections."""
        self.stop()
        if self._thread is not None:
            self._thread.join()


def error_body(outcome: str, code: ErrorCode, text: str, remedy: str, request_id: str) -> bytes:
    """Return the JSON body of an error answer."""
    return json.dumps(
        {
            "outcome": outcome,
            "code": code.name,
            "message": text,
            "remedy": remedy,
            "request_id": request_id,
        }
    ).encode()


def _encode_answer(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
    close: bool,
    include_body: bool = True,
) -> bytes:
    phrase = PHRASES.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {phrase}", f"Date: {_date_text(int(time.time()))}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
    return head + body if include_body else head


@lru_cache(maxsize=1)
def _date_text(second: int) -> str:
    return formatdate(second, usegmt=True)
