"""Connection pools for targets; a connection is reused only after a complete response."""

import select
import socket
import threading
from collections import deque
from typing import Final

from toucanspindle_core.hostport import HostPort

CONNECT_TIMEOUT_S: Final = 1.0


class NoConnectionError(Exception):
    """No connection was established, so no byte of a request was written."""


class ConnectionPool:
    """The connections to one address.

    Invariant: at most `limit` connections are in use; idle ones delivered a complete response.
    """

    def __init__(self, address: HostPort, limit: int) -> None:
        """Create an empty pool."""
        self._address = address
        self._available_slots = threading.BoundedSemaphore(limit)
        self._idle: deque[socket.socket] = deque()

    def acquire(self, timeout_s: float) -> tuple[socket.socket, bool]:
        """Return an idle or a new connection, and whether it was used before.

        Raises NoConnectionError when `limit` connections stay in use for `timeout_s` seconds, or
        when the target can't be connected.
        """
        if not self._available_slots.acquire(timeout=timeout_s):
            raise NoConnectionError("all connections are in use")
        try:
            idle = self._pop_idle()
            return (idle, True) if idle else (self._connect(timeout_s), False)
        except OSError as error:
            self._available_slots.release()
            raise NoConnectionError(str(error)) from error

    def release(self, connection: socket.socket, is_reusable: bool) -> None:
        """Return a connection to the pool, or close it if it isn't reusable."""
        if is_reusable:
            self._idle.append(connection)
        else:
            connection.close()
        self._available_slots.release()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _pop_idle(self) -> socket.socket | None:
        while True:
            try:
                connection = self._idle.pop()
            except IndexError:
                return None
            # An idle connection is readable if the target closed it or sent unexpected data.
            if not _is_readable(connection):
                return connection
            connection.close()

    def _connect(self, timeout_s: float) -> socket.socket:
        timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
        address = (self._address.ip, self._address.port)
        connection = socket.create_connection(address, timeout_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


class TargetConnectionPools:
    """The connection pools of all targets; safe for use by several threads."""

    def __init__(self) -> None:
        """Create an empty set of pools."""
        self._lock = threading.Lock()
        self._pool_by_address: dict[HostPort, ConnectionPool] = {}

    def pool_for(self, address: HostPort, limit: int) -> ConnectionPool:
        """Return the pool of an address; `limit` applies only when the pool is created."""
        pool = self._pool_by_address.get(address)
        if pool is None:
            with self._lock:
                pool = self._pool_by_address.setdefault(address, ConnectionPool(address, limit))
        return pool

    def close(self) -> None:
        """Close the idle connections of all pools."""
        for pool in self._pool_by_address.values():
            pool.close()


def _is_readable(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))
