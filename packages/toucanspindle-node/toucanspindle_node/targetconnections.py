"""Connections to targets, kept for use again after whole answers."""

import select
import socket
import threading
from collections import deque
from typing import Final

from toucanspindle_core.hostport import HostPort

CONNECT_TIMEOUT_S: Final = 1.0


class NoConnectionError(Exception):
    """No connection came about; not a byte of a request was written."""


class AddressConnections:
    """Connections to one address.

    Invariant: at most `limit` connections are in use; idle ones were left after a whole answer.
    """

    def __init__(self, address: HostPort, limit: int) -> None:
        """Create an empty set."""
        self._address = address
        self._free = threading.BoundedSemaphore(limit)
        self._idle: deque[socket.socket] = deque()

    def acquire(self, timeout_s: float) -> socket.socket:
        """Return a connected connection; raise NoConnectionError."""
        if not self._free.acquire(timeout=timeout_s):
            raise NoConnectionError("all connections are in use")
        try:
            return self._take_idle() or self._connect(timeout_s)
        except OSError as error:
            self._free.release()
            raise NoConnectionError(str(error)) from error

    def release(self, connection: socket.socket, reusable: bool) -> None:
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

    def _take_idle(self) -> socket.socket | None:
        while True:
            try:
                connection = self._idle.pop()
            except IndexError:
                return None
            # Readable while idle means that the target closed it, or sent what nobody asked for.
            if not _is_readable(connection):
                return connection
            connection.close()

    def _connect(self, timeout_s: float) -> socket.socket:
        timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
        address = (self._address.ip, self._address.port)
        connection = socket.create_connection(address, timeout_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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


def _is_readable(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))
