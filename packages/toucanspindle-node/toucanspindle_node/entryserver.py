"""Serves callers over HTTP/1.1 with cheroot, and refuses malformed requests with a code.

cheroot accepts connections and parses requests on a pool of threads.  This module rejects
requests that two HTTP parsers could interpret differently (duplicate or conflicting lengths,
folded headers), which prevents request smuggling.  It converts each request into a
`CallerRequest` for the filter chain.  The filters run after the complete request is read, and the
complete response is written with its Content-Length.
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
from toucanspindle_node.callerstreams import CallerReader, CallerWriter, lingering_close
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
NON_REPEATABLE_HEADERS: Final = frozenset(
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
COMMA_SEPARATED_HEADERS: Final = frozenset(comma_separated_headers)
MAX_CHUNK_SIZE_LINE_BYTES: Final = 1024
CHUNK_SIZE_LINE: Final = re.compile(rb"[0-9A-Fa-f]{1,8}[ \t]*(?:;[^\r\n]*)?\r\n")
REASON_PHRASES: Final = {status.value: status.phrase for status in HTTPStatus}
CallerRequestHandler = Callable[[CallerRequest], Outcome]


class StrictHeaderReader(HeaderReader):
    """Reads headers, and rejects those that two HTTP parsers could interpret differently."""

    def __call__(self, rfile: Any, hdict: dict[bytes, bytes] | None = None) -> Any:
        """Return the headers read from `rfile`; raise ValueError for an ambiguous header."""
        headers = {} if hdict is None else hdict
        while (line := rfile.readline()) != b"\r\n":
            name, value = _parse_header_line(line)
            canonical_name = name.title()
            previous = headers.get(canonical_name)
            if previous is not None and canonical_name in NON_REPEATABLE_HEADERS:
                raise ValueError(f"{canonical_name.decode('latin-1')} is given twice.")
            if previous and canonical_name in COMMA_SEPARATED_HEADERS:
                value = b", ".join((previous, value))
            headers[canonical_name] = value
        _check_body_framing(headers)
        return headers


def _parse_header_line(line: bytes) -> tuple[bytes, bytes]:
    """Return name and value of a header line; raise ValueError for an ambiguous line."""
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


def _check_body_framing(headers: dict[bytes, bytes]) -> None:
    """Raise ValueError when the headers state the body's length ambiguously or in a wrong form."""
    length = headers.get(b"Content-Length")
    encoding = headers.get(b"Transfer-Encoding")
    if length is not None and encoding is not None:
        raise ValueError("Content-Length and Transfer-Encoding exclude each other.")
    if length is not None and not length.isdigit():
        raise ValueError("Content-Length must be a decimal number.")
    if encoding is not None and encoding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding must be chunked.")


class _StrictChunkReader:
    """Reads a chunked body; raises ValueError when a chunk's size isn't plain hexadecimal.

    cheroot also accepts signs, underscores and "0x", which other parsers interpret differently.
    """

    def __init__(self, rfile: Any) -> None:
        self._rfile = rfile

    def readline(self) -> bytes:
        line: bytes = self._rfile.readline(MAX_CHUNK_SIZE_LINE_BYTES)
        if not CHUNK_SIZE_LINE.fullmatch(line):
            raise ValueError(
                "a chunk's size must be a hexadecimal number without sign, prefix or separator"
            )
        return line

    def read(self, size: int) -> bytes:
        data: bytes = self._rfile.read(size)
        return data


class EntryRequest(HTTPRequest):
    """A request that cheroot parses; its parse errors are reported with a code and a remedy."""

    header_reader = StrictHeaderReader()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Write an error response with a JSON body, and close the connection.

        cheroot calls this for a malformed request, and would write plain text.
        """
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
        self.conn.wfile.write(_encode_response(number, headers, body, True))
        lingering_close(self.conn.socket)


class EntryConnection(HTTPConnection):
    """A caller's connection.

    `ready_at` is when the current request began to arrive, in seconds of the monotonic clock; None
    before the first request.  `is_initialized` is set once the socket has its timeout;
    `is_registered` and `is_expired` are described at `readyconnections.Connection`.
    """

    RequestHandlerClass = EntryRequest
    ready_at: float | None = None
    is_initialized = False
    is_registered = False
    is_expired = False

    def __init__(self, server: HTTPServer, sock: socket.socket, makefile: Any) -> None:
        """Create the connection of an accepted socket, with `CallerReader` and `CallerWriter`."""
        super().__init__(server, sock, makefile)
        self.rfile = CallerReader(sock)
        self.wfile = CallerWriter(sock)


class EntryGateway(Gateway):
    """Passes a parsed request to the filter chain and writes the outcome."""

    def respond(self) -> None:
        """Read the body, run the filter chain and write the complete response."""
        request = self.req
        server: EntryServer = request.server
        if request.chunked_read:
            request.rfile.rfile = _StrictChunkReader(request.rfile.rfile)
        try:
            body = request.rfile.read()
        except (MaxSizeExceeded, ValueError, OSError) as error:
            request.simple_response("400 Bad Request", f"The body can't be read: {error}.")
            return
        if getattr(request.rfile, "remaining", 0):
            # The caller closed its side before the end of the body and expects no response.
            request.close_connection = True
            request.sent_headers = True
            return
        if request.chunked_read:
            # Bytes after a chunked body, such as trailers, must not be parsed as another request.
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
            self._write_response(server, caller_request)
        finally:
            server.end_request()

    def _write_response(self, server: "EntryServer", caller_request: CallerRequest) -> None:
        request = self.req
        outcome = server.handle(caller_request)
        close = request.close_connection or server.closing
        request.close_connection = close
        headers = list(outcome.headers)
        include_body = caller_request.method != "HEAD"
        request.sent_headers = True
        request.conn.wfile.write(
            _encode_response(outcome.status, headers, outcome.body, close, include_body)
        )


class EntryServer(HTTPServer):
    """The HTTP server of a proxy for callers.

    Invariant: `in_flight` counts the requests that were read completely and whose response isn't
    written completely yet.
    """

    ConnectionClass = EntryConnection
    max_request_header_size = MAX_HEADER_BYTES
    max_request_body_size = MAX_BODY_BYTES
    keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
    timeout = KEEP_ALIVE_S

    def __init__(self, address: HostPort, threads: int, handle: CallerRequestHandler) -> None:
        """Create a server with `threads` worker threads; `handle` returns a request's outcome."""
        super().__init__(
            (address.ip, address.port), EntryGateway, minthreads=threads, maxthreads=threads
        )
        self.request_queue_size = LISTEN_BACKLOG
        self._ready_connections = ReadyConnections()
        self.requests = ReadyThreadPool(self, threads, self._ready_connections)
        self.closing = False
        self._handle = handle
        self._address = address
        self._in_flight = 0
        self._idle_condition = threading.Condition()
        self._serving_thread: threading.Thread | None = None

    @property
    def in_flight(self) -> int:
        """The number of requests that are being processed."""
        return self._in_flight

    def handle(self, request: CallerRequest) -> Outcome:
        """Return the outcome of one request."""
        return self._handle(request)

    def begin_request(self) -> None:
        """Count a request as in flight until `end_request` is called."""
        with self._idle_condition:
            self._in_flight += 1

    def end_request(self) -> None:
        """Stop counting a request as in flight; called after its response was written."""
        with self._idle_condition:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle_condition.notify_all()

    def process_conn(self, conn: EntryConnection) -> None:
        """Accept a new connection, or serve one whose next request is already buffered.

        A new connection first waits in epoll like an idle one.  If a worker thread waited for its
        first byte, callers that send nothing could occupy all threads.
        """
        if not conn.is_initialized:
            conn.is_initialized = True
            conn.socket.settimeout(READ_TIMEOUT_S)
            self.put_conn(conn)
            return
        conn.ready_at = time.monotonic()
        super().process_conn(conn)

    def start_serving(self) -> None:
        """Start listening and serving; raise SettingsError when the address can't be used."""
        try:
            self.prepare()
        except OSError as error:
            raise explain_bind_error("entry_address", self._address, error) from error
        self._install_connection_manager()
        self._serving_thread = threading.Thread(target=self.serve, name="entry", daemon=True)
        self._serving_thread.start()

    def _install_connection_manager(self) -> None:
        manager: ConnectionManager = self.__dict__["_connections"]
        manager.close()
        self._connections = ReadyConnectionManager(self, self._ready_connections)

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with self._idle_condition:
            return self._idle_condition.wait_for(lambda: self._in_flight == 0, timeout_s)

    def stop_serving(self) -> None:
        """Close the listening socket and all connections, and wait for the serving thread."""
        self.stop()
        if self._serving_thread is not None:
            self._serving_thread.join()


def error_body(outcome: str, code: ErrorCode, text: str, remedy: str, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    return json.dumps(
        {
            "outcome": outcome,
            "code": code.name,
            "message": text,
            "remedy": remedy,
            "request_id": request_id,
        }
    ).encode()


def _encode_response(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
    close: bool,
    include_body: bool = True,
) -> bytes:
    phrase = REASON_PHRASES.get(status, "Status")
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
