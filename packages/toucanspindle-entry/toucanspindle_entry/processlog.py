"""Structured log lines on standard output, bounded in volume, that never block the process.

A line is `TIME LEVEL CHANNEL key=value ...`.  Lines beyond the rate are left out and counted; so
are lines that a full pipe doesn't take.
"""

import os
import time
from typing import Final

from logbook import Handler, LogRecord

STDOUT_FD: Final = 1
LINES_PER_S: Final = 100.0  # Mean rate; a burst may hold as much as ten seconds of it.
BURST_LINES: Final = 1000.0


class BoundedStdoutHandler(Handler):
    """Writes lines without waiting."""

    def __init__(self, level: int, fd: int = STDOUT_FD) -> None:
        """Create a handler for records of a level or above; `fd` becomes non-blocking."""
        super().__init__(level)
        os.set_blocking(fd, False)
        self._fd = fd
        self._tokens = BURST_LINES
        self._filled_at = time.monotonic()
        self._left_out = 0

    @property
    def left_out(self) -> int:
        """Lines that were left out since the last one that was written."""
        return self._left_out

    def emit(self, record: LogRecord) -> None:
        """Write a record, or count it as left out."""
        now = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        if self._tokens < 1:
            self._left_out += 1
            return
        self._tokens -= 1
        note = f" left_out={self._left_out}" if self._left_out else ""
        moment = f"{time.time():.3f}"
        line = f"{moment} {record.level_name} {record.channel} {record.message}{note}\n"
        if self._write(line.encode()):
            self._left_out = 0
        else:
            self._left_out += 1

    def _write(self, data: bytes) -> bool:
        try:
            return os.write(self._fd, data) == len(data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; there is nowhere left to say so.
            return False
