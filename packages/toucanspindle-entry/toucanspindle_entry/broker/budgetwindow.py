"""Bookkeeping of retry credit over a sliding window, which lets a broker save credit.

In any window that ends now, what was spent is at most what was deposited.  Two more rules keep the
sum over several brokers within the bound:

- A new broker doesn't know the deposits at an earlier one, but counts the retries that hosts have
  sent in the window.  Otherwise the earlier one could spend what it has saved, and the new one what
  it is given in the rest of the same window.
- Deposits count only as far as they go on: a broker that gets less credit in RECENT_S, since hosts
  ask another one or callers send fewer requests, loses the same share of what it has saved.

A window of the bound holds by chance fewer requests than the one in which the credit was created,
so some standard deviations of their number aren't spent.

Times are rounded to BUCKET_S, deposits down and spent credit up, so that the rounding never adds
credit.
"""

import math
from bisect import bisect_left
from collections import deque
from typing import Final

BUCKET_S: Final = 0.1
RECENT_S: Final = 2.0
RECENT_TOLERANCE: Final = 1.25  # Deposits vary by chance, by 5 in 100 at 230 requests per second.
UNSPENT_DEVIATIONS: Final = 1.5  # Of the number of requests in a window, times the ratio.
MIN_COUNTED: Final = 2.0  # In retries; for services whose few requests vary more.


class _WindowSum:
    """Sum of the amounts of the last `window_s` seconds, in buckets."""

    def __init__(self, window_s: float) -> None:
        self._window_buckets = round(window_s / BUCKET_S)
        self._buckets: deque[list[float]] = deque()  # [bucket number, amount], oldest first.
        self._total = 0.0

    def add(self, amount: float, bucket: int) -> None:
        """Add an amount to the newest bucket, or to an older one if it is still in the window."""
        for entry in reversed(self._buckets):
            if entry[0] <= bucket:
                if entry[0] == bucket:
                    entry[1] += amount
                    self._total += amount
                    return
                break
        if self._buckets and bucket < self._buckets[-1][0]:
            return
        self._buckets.append([bucket, amount])
        self._total += amount
        # Buckets are rounded up by less than one, so those dropped here are out of the window.
        self._drop_before(bucket - 1 - self._window_buckets)

    def insert(self, amount: float, bucket: int) -> None:
        """Add an amount to a bucket, which may be older than others."""
        index = bisect_left([number for number, _ in self._buckets], bucket)
        self._buckets.insert(index, [bucket, amount])
        self._total += amount

    def clear(self) -> None:
        """Forget all amounts."""
        self._buckets.clear()
        self._total = 0.0

    def total(self, now: float) -> float:
        """Return the sum over the window that ends at `now`."""
        self._drop_before(now / BUCKET_S - self._window_buckets)
        return self._total

    def _drop_before(self, oldest: float) -> None:
        while self._buckets and self._buckets[0][0] < oldest:
            self._total -= self._buckets.popleft()[1]
        if not self._buckets:
            self._total = 0.0


class BudgetWindow:
    """What one broker was given and spent in the last `window_s` seconds, in retries."""

    def __init__(self, window_s: float, ratio: float = 0.0) -> None:
        """Create an empty window: a new broker knows of no deposits.

        A request deposits `ratio` retries.
        """
        self._window_s = window_s
        self._ratio = ratio
        self._deposits = _WindowSum(window_s)
        self._recent_deposits = _WindowSum(RECENT_S)
        self._spent = _WindowSum(window_s)

    def deposit(self, credit: float, now: float) -> None:
        """Count credit that a host has sent."""
        if credit > 0:
            self._deposits.add(credit, math.floor(now / BUCKET_S))
            self._recent_deposits.add(credit, math.floor(now / BUCKET_S))

    def forget_deposits(self) -> None:
        """Start without deposits, as a new broker does."""
        self._deposits.clear()
        self._recent_deposits.clear()

    def forget_spent(self) -> None:
        """Forget what was spent, before it is adopted again from the hosts."""
        self._spent.clear()

    def adopt_spent(self, credit: float, spent_at: float) -> None:
        """Count credit that any broker has spent."""
        self._spent.insert(credit, math.ceil(spent_at / BUCKET_S))

    def spend(self, credit: float, now: float) -> None:
        """Count credit that is spent now."""
        self._spent.add(credit, math.ceil(now / BUCKET_S))

    def refund(self, credit: float, spent_at: float) -> None:
        """Take back what was spent at `spent_at`, unless that is out of the window."""
        self._spent.add(-credit, math.ceil(spent_at / BUCKET_S))

    def deposited(self, now: float) -> float:
        """Return the deposits in the window, as far as they go on."""
        recent = self._recent_deposits.total(now) * self._window_s / RECENT_S
        counted = min(self._deposits.total(now), MIN_COUNTED + RECENT_TOLERANCE * recent)
        return max(0.0, counted - UNSPENT_DEVIATIONS * math.sqrt(self._ratio * counted))

    def balance(self, now: float) -> float:
        """Return what may be spent now; negative if more was spent than deposited."""
        return self.deposited(now) - self._spent.total(now)
