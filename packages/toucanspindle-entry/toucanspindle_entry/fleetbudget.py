"""Bounds the retries of a service, summed over all hosts, on every sliding window.

A token bucket kept by the service's broker: each first attempt adds `ratio` of a token, time adds
a share of the burst, and each retry spends a token.  With capacity C and refill r a second, any
window of W seconds holds at most C + r*W retries beyond the ratio.  A new broker starts empty: what
its predecessor spent and what it refills then never add up to more than one bucket.
"""

from typing import Final

# Shares of the burst.  One bucket uses 3/4 of it in a window; the rest is for hosts that a
# partition keeps from the broker, and that serve with a broker of their own.
CAPACITY_SHARE: Final = 0.25
REFILL_SHARE: Final = 0.5


class FleetRetryBudget:
    """The retries that one broker may grant for one service."""

    def __init__(self, ratio: float, burst: float, window_s: float, now: float) -> None:
        """Create an empty bucket; `burst` retries are allowed per window of `window_s` seconds."""
        self._ratio = ratio
        self._capacity = burst * CAPACITY_SHARE
        self._refill_per_s = burst * REFILL_SHARE / window_s
        self._tokens = 0.0
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """Retries that could be granted now."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self, now: float) -> bool:
        """Take one retry; return False when none is left."""
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(self._capacity, self._tokens + elapsed * self._refill_per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
