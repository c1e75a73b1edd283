"""Fleet-wide retry budget of one service: limits the retries of all hosts in any sliding window.

The service's broker keeps a token bucket.  Each first attempt adds `ratio` tokens, time adds tokens
at a constant rate, and each retry takes one token.  With capacity C and a refill of r per second,
any window of W seconds holds at most C + r*W retries beyond the ratio.  A new broker starts with an
empty bucket, so its retries and those of its predecessor together don't exceed one bucket.
"""

from typing import Final

# Shares of the configured burst.  One bucket allows 3/4 of the burst in a window; the rest is left
# for hosts that a network partition separates from the broker and that use a broker of their own.
CAPACITY_BURST_SHARE: Final = 0.25
REFILL_BURST_SHARE: Final = 0.5


class FleetRetryBudget:
    """Token bucket of the retries that one broker may grant for one service."""

    def __init__(self, ratio: float, burst: float, window_s: float, now: float) -> None:
        """Create an empty bucket.

        A window of `window_s` seconds allows `ratio` retries per first attempt plus `burst`.
        """
        self._ratio = ratio
        self._capacity = burst * CAPACITY_BURST_SHARE
        self._refill_per_s = burst * REFILL_BURST_SHARE / window_s
        self._tokens = 0.0
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """Number of tokens at the last change, without the refill since then."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Add `ratio` tokens for a request's first attempt."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self, now: float) -> bool:
        """Refill the bucket and take one token; return False if less than one token is left."""
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(self._capacity, self._tokens + elapsed * self._refill_per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
