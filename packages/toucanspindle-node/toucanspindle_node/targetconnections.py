"""Connections to targets, kept for use again, and cut off when their time is up.

urllib3's connections time out per read, so a target that sends a byte now and then could hold a
request for ever.  One watchdog thread therefore shuts down the socket of each request that runs
past its deadline; the reader then sees the connection break.

A target that sends more bytes than its Content-Length says has garbled its answer.  The excess is
found when it came with the end of the answer; what comes later is found before the connection is
used again.
"""

import socket
import threading
from collections import deque
from http.client import HTTPException, HTTPResponse
from typing import Any, Final

from toucanspindle_core.clock import Clock
from toucanspindle_core.hostport import HostPort
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

CONNECT_TIMEOUT_S: Final = 1.0
WATCH_INTERVAL_S: Final = 0.05
NODELAY: Final = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class NoConnectionError(Exception):
    """No connection came about; not a byte of a request was written."""


class ExcessBytesError(HTTPException):
    """Bytes follow an answer that nobody asked for."""


class CheckedResponse(HTTPResponse):
    """An answer that fails when more bytes than its own have arrived at its end."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        """Create the reader of an answer on `sock`."""
        super().__init__(sock, *args, **kwargs)
        self._socket = sock

    def _close_conn(self) -> None:
        # The standard library calls this once the last byte of an answer was read, and on close.
        at_end = not self.length
        excess = at_end and self.fp is not None and self._peek()
        super()._close_conn()  # type: ignore[misc]
        if excess:
            raise ExcessBytesError("bytes follow the answer")

    def _peek(self) -> bool:
        timeout_s = self._socket.gettimeout()
        self._socket.settimeout(0)
        try:
            return bool(self.fp.peek(1))
        except OSError:
            return False
        finally:
            self._socket.settimeout(timeout_s)


class TargetConnection(HTTPConnection):
    """A connection whose answers are checked."""

    response_class = CheckedResponse


class AddressConnections:
    """Connections to one address.

    Invariant: at most `limit` connections are in use; idle ones were left after a whole answer.
    """

    def __init__(self, address: HostPort, limit: int) -> None:
        """Create an empty set."""
        self._address = address
        self._free = threading.BoundedSemaphore(limit)
        self._idle: deque[HTTPConnection] = deque()

    def acquire(self, timeout_s: float) -> HTTPConnection:
        """Return a connected connection; raise NoConnectionError."""
        if not self._free.acquire(timeout=timeout_s):
            raise NoConnectionError("all connections are in use")
        try:
            return self._take_idle(timeout_s) or self._connect(timeout_s)
        except (HTTPError, OSError) as error:
            self._free.release()
            raise NoConnectionError(str(error)) from error

    def release(self, connection: HTTPConnection, reusable: bool) -> None:
        """Give a connection back; one that isn't reusable is closed."""
        if reusable:
            self._idle.append(connection)
        else:
            connection.close()
        self._free.release()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self, timeout_s: float) -> HTTPConnection | None:
        while True:
            try:
                connection = self._idle.pop()
            except IndexError:
                return None
            # Readable while idle means that the target closed it, or sent what nobody asked for.
            if connection.is_connected:
                connection.timeout = timeout_s  # urllib3 sets it on the socket at each request
                return connection
            connection.close()

    def _connect(self, timeout_s: float) -> HTTPConnection:
        connection = TargetConnection(
            self._address.ip,
            self._address.port,
            timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            socket_options=[NODELAY],
        )
        connection.connect()
        connection.timeout = timeout_s
        return connection


class TargetConnections:
    """Connections to all targets; safe for use by several threads."""

    def __init__(self) -> None:
        """Create a set without connections."""
        self._lock = threading.Lock()
        self._by_address: dict[HostPort, AddressConnections] = {}

    def to(self, address: HostPort, limit: int) -> AddressConnections:
        """Return the connections to an address; `limit` counts when it is first used."""
        connections = self._by_address.get(address)
        if connections is None:
            with self._lock:
                connections = self._by_address.setdefault(
                    address, AddressConnections(address, limit)
                )
        return connections

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._by_address.values():
            connections.close()


class DeadlineWatchdog:
    """Shuts down sockets that are watched past their deadline.

    Invariant: a socket is shut down at most WATCH_INTERVAL_S after its deadline, while watched.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a watchdog without its thread."""
        self._clock = clock
        self._watched: dict[HTTPConnection, float] = {}
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name="watchdog", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """End the thread."""
        self._closed.set()
        self._thread.join()

    def watch(self, connection: HTTPConnection, deadline: float) -> None:
        """Watch a connection from now on; `deadline` is in seconds of the clock."""
        with self._lock:
            self._watched[connection] = deadline

    def release(self, connection: HTTPConnection) -> None:
        """Watch a connection no longer."""
        with self._lock:
            self._watched.pop(connection, None)

    def _run(self) -> None:
        while not self._closed.wait(WATCH_INTERVAL_S):
            now = self._clock.now()
            with self._lock:
                late = [c for c, deadline in self._watched.items() if deadline < now]
                for connection in late:
                    del self._watched[connection]
                    _shut_down(connection)


def _shut_down(connection: HTTPConnection) -> None:
    if connection.sock is None:
        return
    try:
        connection.sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
