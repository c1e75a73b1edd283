"""Retry budget of one service at one broker: spends the credit that hosts send with slot requests.

A broker creates no credit of its own, so several brokers together have no more than one.  What a
broker saves up is limited in two ways: credit expires, and the capacity for it is the broker's part
of that of the fleet, by the share of the hosts that ask this broker.  So in any window all brokers
together grant at most the credit created in it, the capacity of the fleet, and MIN_CAPACITY each.

A host that decides alone gets too few requests to save up a whole retry.  Credit below one retry is
therefore staked: with a probability equal to the credit it becomes a whole retry, otherwise it is
lost.  The mean stays the same.  A broker that has just spent credit waits for more instead, since
many stakes would add up to a large deviation from the mean.

While targets shed requests, a broker may save credit for longer: it may spend what was deposited in
the last window, less all that it spent in it (`BudgetWindow`, `spend_saved`).  The capacity isn't
used then, so the part of the burst among the deposits counts for more.
"""

import random
from bisect import insort
from collections import deque
from typing import Final

from toucanspindle_entry.broker.budgetwindow import BudgetWindow
from toucanspindle_entry.broker.retrycredit import BURST_SHARE

CREDIT_LIFETIME_S: Final = 1.0
# Share of the burst.  Bounds the retries that can follow at once after a time without any.
FLEET_CAPACITY_BURST_SHARE: Final = 0.25
MIN_CAPACITY: Final = 1.0  # In retries; below it a broker could grant none.
# Share of the burst that all brokers may save up.  Hosts create BURST_SHARE of it; with a credit
# source that a host hasn't used for 2 s, a window may hold a fifth more than was created in it.
WINDOW_BURST_SHARE: Final = BURST_SHARE + FLEET_CAPACITY_BURST_SHARE


class FleetRetryBudget:
    """Credit for the retries that one broker may grant; times are seconds of its clock."""

    def __init__(self, ratio: float, burst: float, window_s: float, rng: random.Random) -> None:
        """Create the budget of the only broker of a fleet with one host; it has no credit.

        The fleet may use `ratio` retries per request and `burst` ones in a window of `window_s`
        seconds.
        """
        self._ratio = ratio
        self.window = BudgetWindow(window_s, ratio)
        self._fleet_capacity = burst * FLEET_CAPACITY_BURST_SHARE
        self._fleet_size: int | None = 1
        self._rng = rng
        self._deposits: deque[tuple[float, float]] = deque()  # (time, credit left), oldest first
        self._deposited_at: dict[str, float] = {}  # Last deposit by host, oldest first.
        self._credit = 0.0
        self._spent_at = float("-inf")

    @property
    def credit(self) -> float:
        """The credit in retries at the last call, without what has expired since then."""
        return self._credit

    def set_fleet_size(self, fleet_size: int | None) -> None:
        """Set the number of hosts, or None while it isn't known."""
        self._fleet_size = fleet_size

    def deposit(self, credit: float, host: str, now: float) -> None:
        """Add the credit of a host's slot request; what exceeds the capacity is lost."""
        self._expire(now)
        self._deposited_at.pop(host, None)
        self._deposited_at[host] = now
        self._add(credit, now)
        # The first slot request of a request carries the ratio, all others less.
        burst_part = credit - self._ratio if credit >= self._ratio else credit
        self.window.deposit(credit + burst_part * (WINDOW_BURST_SHARE / BURST_SHARE - 1), now)

    def refund(self, deposited_at: float, spent_at: float, now: float) -> None:
        """Give back the credit of a retry that reached no target, as `spend` dated it."""
        self._add(1.0, deposited_at)
        self.window.refund(1.0, spent_at)
        self._expire(now)

    def may_admit(self, waiting_retries: int, now: float) -> bool:
        """Return whether another retry may be admitted beside those that wait for a slot.

        Credit below one retry is staked if no other retry waits and none was granted recently.
        """
        self._expire(now)
        is_stakeable = not waiting_retries and now - self._spent_at > CREDIT_LIFETIME_S
        if is_stakeable and 0 < self._credit < 1:
            is_won = self._rng.random() < self._credit
            self.window.spend(self._credit, now)
            self._deposits.clear()
            self._credit = 0.0
            if is_won:
                self._add(1.0, now)
                self.window.deposit(1.0, now)
        return self._credit >= 1 + waiting_retries

    def has_credit(self, now: float) -> bool:
        """Return whether there is credit for a retry."""
        self._expire(now)
        return self._credit >= 1

    def spend(self, now: float) -> float:
        """Take the credit of one retry, oldest first; `has_credit` must be true.

        Returns when the oldest part of it was deposited.
        """
        self._expire(now)
        self._spent_at = now
        self.window.spend(1.0, now)
        oldest_at = self._deposits[0][0]
        left = 1.0
        while self._deposits and left > 0:
            deposited_at, credit = self._deposits.popleft()
            if credit > left:
                self._deposits.appendleft((deposited_at, credit - left))
            left -= min(left, credit)
        self._credit = sum(credit for _, credit in self._deposits)
        return oldest_at

    def spend_saved(self, now: float) -> None:
        """Take the credit of one retry from the window; its balance must allow that."""
        self._spent_at = now
        self.window.spend(1.0, now)

    def _capacity(self) -> float:
        if self._fleet_size is None:
            return MIN_CAPACITY
        share = min(1.0, len(self._deposited_at) / self._fleet_size)
        return max(MIN_CAPACITY, self._fleet_capacity * share)

    def _add(self, credit: float, deposited_at: float) -> None:
        credit = min(credit, self._capacity() - self._credit)
        if credit > 0:
            insort(self._deposits, (deposited_at, credit))
            self._credit += credit

    def _expire(self, now: float) -> None:
        while self._deposits and now - self._deposits[0][0] > CREDIT_LIFETIME_S:
            self._credit -= self._deposits.popleft()[1]
        if not self._deposits:
            self._credit = 0.0
        while self._deposited_at:
            host, deposited_at = next(iter(self._deposited_at.items()))
            if now - deposited_at <= CREDIT_LIFETIME_S:
                break
            del self._deposited_at[host]
