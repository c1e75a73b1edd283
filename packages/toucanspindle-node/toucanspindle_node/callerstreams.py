"""Reads from and writes to a caller's socket, in the form that cheroot expects of its streams.

cheroot's own streams derive from the standard library's buffered streams in their Python form,
which cost several calls for each line of a request.  A reader hands out what it has received, and
asks the socket for more only when that doesn't do.
"""

import socket
import time
from contextlib import suppress
from typing import Final

READ_BYTES: Final = 8192
MAX_DRAINED_BYTES: Final = 1_048_576
MAX_DRAIN_S: Final = 0.5


class CallerReader:
    """A buffered reader.

    Invariant: bytes before `_position` of `_buffer` were handed out, the others weren't.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Create a reader of a connected socket with a timeout."""
        self.closed = False
        self.bytes_read = 0
        self._socket = sock
        self._buffer = b""
        self._position = 0

    def has_data(self) -> bool:
        """Return whether bytes were received that nobody has read."""
        return self._position < len(self._buffer)

    def readline(self, limit: int = -1) -> bytes:
        """Return the bytes up to a line feed, `limit` bytes or the end, whichever comes first."""
        while True:
            end = self._buffer.find(b"\n", self._position) + 1 or len(self._buffer) + 1
            if limit >= 0:
                end = min(end, self._position + limit)
            if end <= len(self._buffer):
                return self._take(end)
            if not self._receive():
                return self._take(len(self._buffer))

    def read(self, size: int) -> bytes:
        """Return `size` bytes, or fewer at the end; raise TimeoutError when they don't come."""
        available = len(self._buffer) - self._position
        if size <= available:
            return self._take(self._position + size)
        pieces = [self._take(len(self._buffer))]
        missing = size - available
        while missing and self._receive():
            piece = self._take(self._position + missing)
            missing -= len(piece)
            pieces.append(piece)
        return b"".join(pieces)

    def close(self) -> None:
        """Drop what was received; the socket is closed by its connection."""
        self.closed = True
        self._buffer = b""
        self._position = 0

    def _receive(self) -> bool:
        """Receive more behind what is left; return False at the end of the stream."""
        data = self._socket.recv(READ_BYTES)
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        self.bytes_read += len(data)
        return bool(data)

    def _take(self, end: int) -> bytes:
        data = self._buffer[self._position : end]
        self._position += len(data)
        return data


class CallerWriter:
    """Writes to a caller's socket at once; each part that the socket takes has its timeout."""

    def __init__(self, sock: socket.socket) -> None:
        """Create a writer to a connected socket with a timeout."""
        self.bytes_written = 0
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Write all of `data`; raise TimeoutError when the caller takes nothing for too long."""
        sent = self._socket.send(data)
        while sent < len(data):
            sent += self._socket.send(memoryview(data)[sent:])
        self.bytes_written += sent
        return sent


def drain(sock: socket.socket) -> None:
    """End the sending side, and read what the caller still sends, for a bounded time.

    Closing a socket with unread bytes resets the connection, and a reset can overtake the answer.
    """
    end = time.monotonic() + MAX_DRAIN_S
    drained_bytes = 0
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        while drained_bytes < MAX_DRAINED_BYTES and (left_s := end - time.monotonic()) > 0:
            sock.settimeout(left_s)
            data = sock.recv(READ_BYTES)
            if not data:
                return
            drained_bytes += len(data)
