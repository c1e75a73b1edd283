"""Bounds retries and hedges of a service to a share of its first attempts.

A token bucket: each first attempt adds a fraction of a token, each retry or hedge spends a whole
one.  A service that fails can therefore not be loaded with more than that share on top.
"""

import threading
from typing import Final

MAX_SAVED_RETRIES: Final = 10.0
INITIAL_RETRIES: Final = 3.0


class RetryBudget:
    """A token bucket fed by first attempts; safe for use by several threads.

    Invariant: 0 <= tokens <= MAX_SAVED_RETRIES, and with 0 percent there never is a token.
    """

    def __init__(self, percent: int) -> None:
        """Create a budget of `percent` retries per hundred first attempts."""
        self._share = percent / 100
        self._tokens = INITIAL_RETRIES if percent else 0.0
        self._lock = threading.Lock()

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._tokens = min(MAX_SAVED_RETRIES, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False when none is left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
