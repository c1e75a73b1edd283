"""Rate-limited, non-blocking handler for structured log lines on standard output.

A line has the form `TIME LEVEL CHANNEL key=value ...`, with the time in Unix seconds.  Lines above
the rate limit are dropped and counted, as are lines that a full pipe doesn't accept.
"""

import os
import time
from typing import Final

from logbook import Handler, LogRecord

STDOUT_FD: Final = 1
LINES_PER_S: Final = 100.0  # Refill rate of the token bucket.
BURST_LINES: Final = 1000.0  # Capacity of the token bucket: 10 s of the mean rate.


class BoundedStdoutHandler(Handler):
    """Writes log lines to a non-blocking file descriptor, limited by a token bucket."""

    def __init__(self, level: int, fd: int = STDOUT_FD) -> None:
        """Create a handler for records at or above a level; `fd` is set to non-blocking."""
        super().__init__(level)
        os.set_blocking(fd, False)
        self._fd = fd
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped_lines = 0

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped since the last one that was written."""
        return self._dropped_lines

    def emit(self, record: LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped_lines += 1
            return
        self._tokens -= 1
        dropped_note = f" left_out={self._dropped_lines}" if self._dropped_lines else ""
        timestamp = f"{time.time():.3f}"
        line = f"{timestamp} {record.level_name} {record.channel} {record.message}{dropped_note}\n"
        if self._try_write(line.encode()):
            self._dropped_lines = 0
        else:
            self._dropped_lines += 1

    def _try_write(self, data: bytes) -> bool:
        """Write without blocking; return whether all bytes were written."""
        try:
            return os.write(self._fd, data) == len(data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader closed the pipe, so the error can't be logged either.
            return False
