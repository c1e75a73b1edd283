"""Hands callers' connections on which a request arrives to the threads that serve them.

The idle threads all wait in one epoll instance for the idle connections: the kernel wakes one
thread per request, the one that waited last, and that thread serves the request itself.  No other
thread has to be woken for it.  A connection is reported once (EPOLLONESHOT), until the thread that
served it puts it back.

While no thread is idle, a thread of its own takes the connections that become ready, notes when,
and queues them: a request's deadline counts from its arrival, also when all threads are busy.
Threads take from that queue first.  An eventfd in the same epoll instance tells idle threads of
the queue.
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
OVERFLOW_EVENTS: Final = 64


class Connection(Protocol):
    """What is known here of a caller's connection."""

    socket: Any
    rfile: Any
    ready_at: float | None
    last_used: float
    is_watched: bool
    is_expired: bool

    def close(self) -> None:
        """Close the connection."""
        ...


class ReadyConnections:
    """Idle connections, and a queue of what waits for a thread; safe for use by several threads.

    Invariants: a connection is idle, in the queue, or with one thread.  While something is in the
    queue and a thread is idle, the eventfd has been written to since.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._epoll = select.epoll()
        self._signal = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._epoll.register(self._signal, select.EPOLLIN | select.EPOLLET)
        self._lock = threading.Lock()
        self._idle: dict[int, Connection] = {}
        self._queue: deque[object] = deque()
        self._idle_threads = 0
        self._all_busy = threading.Event()
        self._closed = False
        self._overflow = threading.Thread(target=self._queue_overflow, name="overflow", daemon=True)

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def start(self) -> None:
        """Start to queue what becomes ready while all threads are busy."""
        self._overflow.start()

    def close(self) -> None:
        """Release what the threads wait for, once they have ended."""
        self._closed = True
        self._all_busy.set()
        if self._overflow.is_alive():
            self._overflow.join()
        self._epoll.close()
        os.close(self._signal)

    def close_idle(self) -> None:
        """Close the idle connections; what is queued stays."""
        with self._lock:
            connections = list(self._idle.values())
            self._idle.clear()
        for connection in connections:
            connection.close()

    def watch(self, connection: Connection) -> None:
        """Take an idle connection until something arrives on it."""
        fd = connection.socket.fileno()
        with self._lock:
            self._idle[fd] = connection
        events = select.EPOLLIN | select.EPOLLONESHOT
        if connection.is_watched:
            self._epoll.modify(fd, events)
        else:
            connection.is_watched = True
            self._epoll.register(fd, events)

    def expire_unused_since(self, threshold: float) -> None:
        """Have the connections closed that were last used before `threshold`.

        Each is closed by the thread that the shutdown wakes: closed here, its number could be
        another connection's before a thread looks up an event that was reported for it.
        """
        with self._lock:
            # They stand in the order in which they were last used.
            for connection in self._idle.values():
                if connection.last_used >= threshold:
                    break
                if not connection.is_expired:
                    connection.is_expired = True
                    with suppress(OSError):
                        connection.socket.shutdown(socket.SHUT_RDWR)

    # What cheroot's pool of threads asks of its queue.

    def put(self, item: object, block: bool = True, timeout: float = 0.0) -> None:  # noqa: ARG002
        """Queue a connection, or what ends a thread; never blocks."""
        self._queue.append(item)
        self._tell_idle_threads()

    def get(self) -> Any:
        """Return what is queued, or else the next connection on which something arrives."""
        with self._lock:
            self._idle_threads += 1
            self._all_busy.clear()
        try:
            return self._next()
        finally:
            with self._lock:
                self._idle_threads -= 1
                if not self._idle_threads:
                    self._all_busy.set()

    def qsize(self) -> int:
        """Return how many wait for a thread."""
        return len(self._queue)

    def _next(self) -> object:
        while True:
            try:
                item = self._queue.popleft()
            except IndexError:
                connections = self._poll(-1, 1)
                if connections:
                    return connections[0]
                continue
            if self._queue:
                self._tell_idle_threads()  # one signal may have stood for several items
            return item

    def _poll(self, timeout_s: float, limit: int) -> list[Connection]:
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

    def _queue_overflow(self) -> None:
        while not self._closed:
            self._all_busy.wait()
            self._queue.extend(self._poll(OVERFLOW_POLL_S, OVERFLOW_EVENTS))
            if self._queue and self._idle_threads:
                # A thread that became idle may have looked before, and the poll above may have
                # taken the signal that was meant for it.
                self._tell_idle_threads()

    def _tell_idle_threads(self) -> None:
        os.eventfd_write(self._signal, 1)


def _close_if_expired(connection: Connection) -> bool:
    if connection.is_expired:
        connection.close()
    return connection.is_expired


class ReadyThreadPool(ThreadPool):
    """cheroot's pool of threads, which take their work from a `ReadyConnections`."""

    def __init__(self, server: Any, threads: int, ready: ReadyConnections) -> None:
        """Create a pool of `threads` threads, started with the server."""
        super().__init__(server, min=threads, max=threads)
        self._ready = ready
        self._queue = ready
        self.get = ready.get

    def start(self) -> None:
        """Start the threads."""
        self._ready.start()
        super().start()

    def stop(self, timeout: int = 5) -> None:
        """End the threads; requests that they serve get `timeout` seconds."""
        super().stop(timeout)
        self._ready.close()


class ReadyConnectionManager(ConnectionManager):
    """cheroot's thread that accepts connections; idle ones are left to a `ReadyConnections`."""

    def __init__(self, server: Any, ready: ReadyConnections) -> None:
        """Create a manager for a server that listens."""
        super().__init__(server)
        self._ready = ready

    def put(self, conn: Any) -> None:
        """Take a connection whose request was answered, or a new one."""
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
