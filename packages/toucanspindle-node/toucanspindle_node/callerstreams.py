"""Buffered reader and writer for a caller's socket, with the interface that cheroot expects.

cheroot's own streams derive from the pure Python versions of the standard library's buffered
streams, which make several function calls for each line of a request.  `CallerReader` serves reads
from its buffer, and receives from the socket only when the buffer is too short.
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

    Invariant: the bytes of `_buffer` before `_position` were returned, the others weren't.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Create a reader of a connected socket that has a timeout."""
        self.closed = False
        self.bytes_read = 0
        self._socket = sock
        self._buffer = b""
        self._position = 0

    def has_data(self) -> bool:
        """Return whether the buffer has bytes that weren't read yet."""
        return self._position < len(self._buffer)

    def readline(self, limit: int = -1) -> bytes:
        """Return the bytes up to a line feed, `limit` bytes or the end, whichever comes first."""
        while True:
            end = self._buffer.find(b"\n", self._position) + 1 or len(self._buffer) + 1
            if limit >= 0:
                end = min(end, self._position + limit)
            if end <= len(self._buffer):
                return self._consume(end)
            if not self._receive():
                return self._consume(len(self._buffer))

    def read(self, size: int) -> bytes:
        """Return `size` bytes, or fewer at the end of the stream; raise TimeoutError."""
        buffered = len(self._buffer) - self._position
        if size <= buffered:
            return self._consume(self._position + size)
        chunks = [self._consume(len(self._buffer))]
        missing = size - buffered
        while missing and self._receive():
            chunk = self._consume(self._position + missing)
            missing -= len(chunk)
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Discard the buffer; the connection closes the socket."""
        self.closed = True
        self._buffer = b""
        self._position = 0

    def _receive(self) -> bool:
        """Append received bytes to the unread ones; return False at the end of the stream."""
        data = self._socket.recv(READ_BYTES)
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        self.bytes_read += len(data)
        return bool(data)

    def _consume(self, end: int) -> bytes:
        data = self._buffer[self._position : end]
        self._position += len(data)
        return data


class CallerWriter:
    """Writes to a caller's socket without buffering; the socket's timeout applies to each send."""

    def __init__(self, sock: socket.socket) -> None:
        """Create a writer to a connected socket that has a timeout."""
        self.bytes_written = 0
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Write all of `data`; return its length; raise TimeoutError when a send times out."""
        sent = self._socket.send(data)
        while sent < len(data):
            sent += self._socket.send(memoryview(data)[sent:])
        self.bytes_written += sent
        return sent


def lingering_close(sock: socket.socket) -> None:
    """Shut down the sending side, and discard what the caller still sends, for a bounded time.

    Closing a socket with unread bytes resets the connection, and the caller may see the reset
    before it has read the response.
    """
    deadline = time.monotonic() + MAX_DRAIN_S
    drained_bytes = 0
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        while drained_bytes < MAX_DRAINED_BYTES and (left_s := deadline - time.monotonic()) > 0:
            sock.settimeout(left_s)
            data = sock.recv(READ_BYTES)
            if not data:
                return
            drained_bytes += len(data)
