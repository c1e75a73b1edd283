"""Learns how soon attempts at unhealthy targets of a service fail.

Whether an attempt fails is mostly settled when the target begins it: an unhealthy target fails it
within milliseconds, while answers take much longer.  An attempt that has outlived these failures
tells that the target was healthy when it began, long before its answer comes.  Other failures come
late, such as an isolated error at the end of the work, so the time is that of the faster ones.
"""

from collections import deque
from typing import Final

MAX_SAMPLES: Final = 40  # Failures; the oldest ones are forgotten.
MIN_SAMPLES: Final = 8
FAST_SHARE: Final = 0.5  # Share of the failures that must be fast.
TIME_MARGIN: Final = 2.0  # Multiple of the time of the fast failures.
TIME_SLACK_S: Final = 0.01  # On top, for the network.
MAX_WORK_SHARE: Final = 0.25  # Of the mean work time; with slower failures answers tell as much.


class FailureTimes:
    """The times of the last failed attempts of one service."""

    def __init__(self) -> None:
        """Create a table without failures."""
        self._times_s: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._fast_s: float | None = None

    def record(self, work_s: float) -> None:
        """Record the time of a failed attempt in seconds."""
        self._times_s.append(work_s)
        if len(self._times_s) >= MIN_SAMPLES:
            self._fast_s = sorted(self._times_s)[int(FAST_SHARE * (len(self._times_s) - 1))]

    def settled_after_s(self, mean_work_s: float) -> float | None:
        """Return after which time an attempt has outlived the failures, or None if none is known.

        `mean_work_s` is the mean time of an answered attempt in seconds.
        """
        if self._fast_s is None:
            return None
        settled_s = TIME_MARGIN * self._fast_s + TIME_SLACK_S
        return settled_s if settled_s < MAX_WORK_SHARE * mean_work_s else None
