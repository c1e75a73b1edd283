"""Time and randomness as parameters, so that decisions can be replayed in tests."""

import time
from typing import Protocol


class Clock(Protocol):
    """A clock that never goes backwards."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class MonotonicClock:
    """The host's own monotonic clock."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class ManualClock:
    """A clock that moves only when told to, for tests and replay."""

    def __init__(self, start: float = 0.0) -> None:
        """Create a clock that reads `start` seconds."""
        self._now = start

    def now(self) -> float:
        """Return the seconds last set."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move forward by `seconds`."""
        self._now += seconds
