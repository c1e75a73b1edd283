"""The broker's accounts of targets that limit the requests that they take from all hosts together.

Each limited target has a token bucket, filled at the rate that the target named.  The limit is for
the sum over all hosts, and several hosts may be brokers of a service for a while.  Three rules keep
the sum of what they grant within the limit:

- Brokers tell each other what they grant, and each debits what the others have granted.
- A broker fills its buckets only with the share of the rate that is its own: that of the hosts that
  it believes alive, or that of one host if it decides for itself alone.
- A bucket starts with less than one token, and does so again at each takeover, so that what an
  earlier broker has saved up isn't granted twice.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from toucanspindle_entry.targets.targetnotices import TargetNotice

# A target without requests could never tell that its limit has ended.
MIN_RATE: Final = 0.25  # In requests per second, of all hosts.
BURST_S: Final = 0.5  # A bucket holds what its rate fills in this time, but at least one token.
MAX_DEBT_S: Final = 4.0  # Grants of other brokers beyond that are forgotten.
MAX_ACCOUNTS: Final = 4096  # The oldest ones are forgotten.


@dataclass
class _Account:
    """A token bucket; `rate` is in tokens per second, or None while the target names no limit."""

    rate: float | None
    tokens: float
    updated_at: float

    def refill(self, share: float, now: float) -> None:
        """Add the tokens of this broker's share of the rate since the last call."""
        if self.rate is not None:
            filled = self.tokens + self.rate * share * max(0.0, now - self.updated_at)
            self.tokens = min(filled, max(1.0, self.rate * BURST_S))
        self.updated_at = now


class TargetLimits:
    """The accounts of one broker, by target incarnation; times are in seconds of its clock."""

    def __init__(self, rng: random.Random) -> None:
        """Create a table without accounts, for the only broker of the service."""
        self._rng = rng
        self._share = 1.0
        self._accounts: dict[tuple[str, int], _Account] = {}
        self._granted: dict[tuple[str, int], int] = {}

    def __bool__(self) -> bool:
        """Return whether any target has named a limit."""
        return bool(self._accounts)

    def set_share(self, share: float, now: float) -> None:
        """Set the share of each limit that this broker may grant, from 0 to 1."""
        if share != self._share:
            for account in self._accounts.values():
                account.refill(self._share, now)
            self._share = share

    def adopt(self, notice: TargetNotice, now: float) -> None:
        """Open or change the account of a target by its last notice."""
        key = (notice.target, notice.started_ms)
        rate = None if notice.rate_limit is None else max(MIN_RATE, notice.rate_limit)
        account = self._accounts.get(key)
        if account is not None:
            account.refill(self._share, now)
            account.rate = rate
        elif rate is not None:
            self._accounts[key] = _Account(rate, self._rng.random(), now)
            if len(self._accounts) > MAX_ACCOUNTS:
                del self._accounts[next(iter(self._accounts))]

    def rate_of(self, target: str, started_ms: int) -> float | None:
        """Return how many requests per second this broker may grant, or None without a limit."""
        account = self._accounts.get((target, started_ms))
        return None if account is None or account.rate is None else account.rate * self._share

    def has_room(self, target: str, started_ms: int, now: float) -> bool:
        """Return whether a target may get a request now."""
        account = self._accounts.get((target, started_ms))
        if account is None or account.rate is None:
            return True
        account.refill(self._share, now)
        return account.tokens >= 1

    def take(self, target: str, started_ms: int, now: float) -> None:
        """Debit a request that this broker grants."""
        key = (target, started_ms)
        account = self._accounts.get(key)
        if account is not None and account.rate is not None:
            account.refill(self._share, now)
            account.tokens -= 1
            self._granted[key] = self._granted.get(key, 0) + 1

    def debit(self, target: str, started_ms: int, count: int, now: float) -> None:
        """Debit requests that another broker has granted."""
        account = self._accounts.get((target, started_ms))
        if account is not None and account.rate is not None:
            account.refill(self._share, now)
            account.tokens = max(account.tokens - count, -MAX_DEBT_S * account.rate)

    def take_granted(self) -> list[tuple[TargetNotice, int]]:
        """Return what was granted since the last call, with the limits, for the other brokers."""
        granted = [
            (TargetNotice(*key, is_leaving=False, rate_limit=self._accounts[key].rate), count)
            for key, count in self._granted.items()
            if key in self._accounts
        ]
        self._granted.clear()
        return granted

    def forget_savings(self, now: float) -> None:
        """Empty the buckets, at a takeover."""
        for account in self._accounts.values():
            account.refill(self._share, now)
            account.tokens = min(account.tokens, self._rng.random())

    def retain(self, incarnations: Iterable[tuple[str, int]]) -> None:
        """Forget the accounts of earlier incarnations of the given targets."""
        started = dict(incarnations)
        for name, started_ms in list(self._accounts):
            if started.get(name, started_ms) != started_ms:
                del self._accounts[name, started_ms]
