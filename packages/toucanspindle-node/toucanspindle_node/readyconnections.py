"""Dispatches callers' connections with a pending request to worker threads.

All idle worker threads wait on one epoll instance for the idle connections.  The kernel wakes one
thread per request, the one that began to wait last, and that thread serves the request itself, so
no second thread is woken.  A connection is reported once (EPOLLONESHOT), until the thread that
served it registers it again.

While all worker threads are busy, the overflow thread polls epoll, records when each connection
became ready, and queues it.  A request's deadline therefore counts from its arrival even when all
threads are busy.  Worker threads take from the queue first.  An eventfd in the same epoll instance
wakes idle threads when the queue has items.
"""

import os
import select
import socket
import threading
import time
from collections import deque
from contextlib import suppress
from typing import Any, Final, Protocol

from cheroot.connections import ConnectionManager
from cheroot.workers.threadpool import ThreadPool

OVERFLOW_POLL_S: Final = 0.05
OVERFLOW_MAX_EVENTS: Final = 64


class Connection(Protocol):
    """The attributes of a caller's connection that this module uses.

    `ready_at` is when the current request began to arrive, in seconds of the monotonic clock;
    `last_used` is in seconds of `time.time`.  `is_registered` is set once the socket is registered
    with epoll, `is_expired` once the connection was shut down for being idle too long.
    """

    socket: Any
    rfile: Any
    ready_at: float | None
    last_used: float
    is_registered: bool
    is_expired: bool

    def close(self) -> None:
        """Close the connection."""
        ...


class ReadyConnections:
    """Idle connections and the queue of items for worker threads; safe for several threads.

    Invariants: a connection is idle, in the queue, or owned by one thread.  While the queue has
    items and a thread is idle, the eventfd was written to after the items were queued.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._epoll = select.epoll()
        self._wakeup_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll.register(self._wakeup_fd, select.EPOLLIN | select.EPOLLET)
        self._lock = threading.Lock()
        self._idle: dict[int, Connection] = {}
        self._queue: deque[object] = deque()
        self._idle_threads = 0
        self._all_threads_busy = threading.Event()
        self._closed = False
        self._overflow_thread = threading.Thread(
            target=self._queue_ready_while_busy, name="overflow", daemon=True
        )

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def start(self) -> None:
        """Start the overflow thread."""
        self._overflow_thread.start()

    def close(self) -> None:
        """End the overflow thread and close epoll; the worker threads must have ended."""
        self._closed = True
        self._all_threads_busy.set()
        if self._overflow_thread.is_alive():
            self._overflow_thread.join()
        self._epoll.close()
        os.close(self._wakeup_fd)

    def close_idle(self) -> None:
        """Close the idle connections; queued connections stay."""
        with self._lock:
            connections = list(self._idle.values())
            self._idle.clear()
        for connection in connections:
            connection.close()

    def watch(self, connection: Connection) -> None:
        """Wait in epoll for the next request of an idle connection."""
        fd = connection.socket.fileno()
        with self._lock:
            self._idle[fd] = connection
        events = select.EPOLLIN | select.EPOLLONESHOT
        if connection.is_registered:
            self._epoll.modify(fd, events)
        else:
            connection.is_registered = True
            self._epoll.register(fd, events)

    def expire_unused_since(self, threshold: float) -> None:
        """Shut down the connections that were last used before `threshold`.

        The thread that the shutdown wakes closes the connection.  If it were closed here, its file
        descriptor could belong to another connection by the time a thread handles an event that
        epoll reported for it.
        """
        with self._lock:
            # The dict is ordered by the time of last use.
            for connection in self._idle.values():
                if connection.last_used >= threshold:
                    break
                if not connection.is_expired:
                    connection.is_expired = True
                    with suppress(OSError):
                        connection.socket.shutdown(socket.SHUT_RDWR)

    # The queue interface of cheroot's thread pool.

    def put(self, item: object, block: bool = True, timeout: float = 0.0) -> None:  # noqa: ARG002
        """Queue a connection, or the marker that ends a thread; never blocks."""
        self._queue.append(item)
        self._wake_idle_threads()

    def get(self) -> Any:
        """Return the next queued item, or else the next ready connection; blocks."""
        with self._lock:
            self._idle_threads += 1
            self._all_threads_busy.clear()
        try:
            return self._next_item()
        finally:
            with self._lock:
                self._idle_threads -= 1
                if not self._idle_threads:
                    self._all_threads_busy.set()

    def qsize(self) -> int:
        """Return the number of queued items."""
        return len(self._queue)

    def _next_item(self) -> object:
        while True:
            try:
                item = self._queue.popleft()
            except IndexError:
                connections = self._poll_ready(-1, 1)
                if connections:
                    return connections[0]
                continue
            if self._queue:
                self._wake_idle_threads()  # one eventfd event may cover several items
            return item

    def _poll_ready(self, timeout_s: float, limit: int) -> list[Connection]:
        events = self._epoll.poll(timeout_s, limit)
        now = time.monotonic()
        connections = []
        with self._lock:
            for fd, _ in events:
                connection = self._idle.pop(fd, None)
                if connection is not None:
                    connection.ready_at = now
                    connections.append(connection)
        return [connection for connection in connections if not _close_if_expired(connection)]

    def _queue_ready_while_busy(self) -> None:
        while not self._closed:
            self._all_threads_busy.wait()
            self._queue.extend(self._poll_ready(OVERFLOW_POLL_S, OVERFLOW_MAX_EVENTS))
            if self._queue and self._idle_threads:
                # A thread may have become idle before the queue was extended, and the poll above
                # may have consumed the eventfd event that was meant to wake it.
                self._wake_idle_threads()

    def _wake_idle_threads(self) -> None:
        os.eventfd_write(self._wakeup_fd, 1)


def _close_if_expired(connection: Connection) -> bool:
    if connection.is_expired:
        connection.close()
    return connection.is_expired


class ReadyThreadPool(ThreadPool):
    """cheroot's thread pool, with a `ReadyConnections` in place of its queue."""

    def __init__(self, server: Any, threads: int, ready: ReadyConnections) -> None:
        """Create a pool of `threads` threads, which the server starts."""
        super().__init__(server, min=threads, max=threads)
        self._ready = ready
        self._queue = ready
        self.get = ready.get

    def start(self) -> None:
        """Start the overflow thread and the worker threads."""
        self._ready.start()
        super().start()

    def stop(self, timeout: int = 5) -> None:
        """End the threads; wait up to `timeout` seconds for requests that they serve."""
        super().stop(timeout)
        self._ready.close()


class ReadyConnectionManager(ConnectionManager):
    """cheroot's manager of connections, which leaves idle ones to a `ReadyConnections`."""

    def __init__(self, server: Any, ready: ReadyConnections) -> None:
        """Create a manager for a listening server."""
        super().__init__(server)
        self._ready = ready

    def put(self, conn: Any) -> None:
        """Serve a connection that has buffered data; wait in epoll for any other."""
        conn.last_used = time.time()
        if conn.rfile.has_data():
            self.server.process_conn(conn)
        else:
            self._ready.watch(conn)

    def close(self) -> None:
        """Close all idle connections."""
        self._ready.close_idle()
        super().close()

    def _expire(self, threshold: float) -> None:
        self._ready.expire_unused_since(threshold)

    @property
    def _num_connections(self) -> int:
        return len(self._ready)
