"""Clocks that are passed as parameters, so that decisions can be replayed in tests."""

import time
from typing import Protocol


class Clock(Protocol):
    """Interface of a clock that never goes backwards."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class MonotonicClock:
    """The monotonic clock of the host."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class BoottimeClock:
    """The clock of the host that also counts the time for which it was suspended."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that changes only through `advance`, for tests and replay."""

    def __init__(self, start: float = 0.0) -> None:
        """Create a clock that reads `start` seconds."""
        self._now = start

    def now(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds`."""
        self._now += seconds
