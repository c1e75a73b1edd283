"""Decides at a broker when a slow attempt may get a second one beside it, and how often.

A hedged attempt is extra work for the targets, so it is bounded several times:

- The operator sets the share of extra attempts, HEDGE_WINDOW_S wide; 0 turns hedging off.
- A hedge is a retry, so it needs credit of the retry budget, and leaves part of it to retries that
  follow a failure.
- There is none while other requests wait for a slot, or while targets shed requests.

The delay is a quantile of the recent attempts of the service, so that it follows the service's own
speed.  A cancelled attempt counts with the time that it had taken: without it the slowest attempts
would be missing, and the quantile would sink.
"""

from collections import deque
from typing import Final

HEDGE_QUANTILE: Final = 0.95
MAX_SAMPLES: Final = 256  # Attempts; the oldest ones are forgotten.
MIN_SAMPLES: Final = 64  # Fewer attempts don't show a quantile of 0.95.
SAMPLES_PER_UPDATE: Final = 16  # Between two computations of the quantile.
HEDGE_WINDOW_S: Final = 10.0
# Retries that follow a failure save a request, a hedge only saves time.
RESERVED_RETRY_CREDIT: Final = 2.0


class HedgePolicy:
    """The hedging of one service at one broker; times are in seconds of the broker's clock."""

    def __init__(self, share: float) -> None:
        """Create a policy that allows `share` hedges for each request; 0 allows none."""
        self._share = share
        self._times_s: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._samples_until_update = MIN_SAMPLES
        self._delay_s: float | None = None
        self._requests: deque[float] = deque()
        self._hedges: deque[float] = deque()

    @property
    def is_enabled(self) -> bool:
        """Whether the operator allows hedges at all."""
        return self._share > 0

    @property
    def delay_s(self) -> float | None:
        """How long an attempt runs before it is hedged, or None if too little is known."""
        return self._delay_s if self.is_enabled else None

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        if self.is_enabled:
            self._requests.append(now)
            self._expire(now)

    def record_attempt(self, work_s: float) -> None:
        """Record how long an answered or a cancelled attempt took."""
        if not self.is_enabled:
            return
        self._times_s.append(work_s)
        self._samples_until_update -= 1
        if self._samples_until_update <= 0:
            self._samples_until_update = SAMPLES_PER_UPDATE
            ordered = sorted(self._times_s)
            self._delay_s = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]

    def may_hedge(
        self, *, waiting: int, is_shedding: bool, retry_credit: float, now: float
    ) -> bool:
        """Return whether another hedge is within all limits; `waiting` requests are queued."""
        if not self.is_enabled or waiting or is_shedding:
            return False
        if retry_credit < 1 + RESERVED_RETRY_CREDIT:
            return False
        self._expire(now)
        return len(self._hedges) + 1 <= self._share * len(self._requests)

    def record_hedge(self, now: float) -> None:
        """Count a hedge that was granted."""
        self._hedges.append(now)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._hedges):
            while times and now - times[0] > HEDGE_WINDOW_S:
                times.popleft()
