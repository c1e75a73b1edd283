"""Limits the retries and hedges of a service to a share of its first attempts.

The budget is a token bucket: each first attempt adds a fraction of a token, and each retry or hedge
spends a whole one.  The extra load on a failing service is therefore limited to that share.
"""

import threading
from typing import Final

MAX_TOKENS: Final = 10.0
INITIAL_TOKENS: Final = 3.0


class RetryBudget:
    """Token bucket filled by first attempts; thread-safe.

    Invariant: 0 <= tokens <= MAX_TOKENS, and a budget of 0 percent never has a token.
    """

    def __init__(self, percent: int) -> None:
        """Create a budget of `percent` retries or hedges per hundred first attempts."""
        self._tokens_per_attempt = percent / 100
        self._tokens = INITIAL_TOKENS if percent else 0.0
        self._lock = threading.Lock()

    def record_first_attempt(self) -> None:
        """Add the tokens for one first attempt."""
        with self._lock:
            self._tokens = min(MAX_TOKENS, self._tokens + self._tokens_per_attempt)

    def try_spend(self) -> bool:
        """Spend the token for one retry or hedge; return False if there is none left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
