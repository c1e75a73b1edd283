"""Decides how many requests the accounts that this host keeps may send, over all hosts.

Each account has a token bucket.  Other hosts may have granted credit that this one doesn't know
of, so a bucket is full at its start only if this host has been the first in rank for a whole
window.  Otherwise it starts with a part of what the bound allows beyond the quota, see
`QuotaRules.takeover_credit`.

A returned credit counts only if the bucket hasn't been full since that credit was granted.  If it
has, a new token has already replaced the credit, and both would be used.
"""

import random
from dataclasses import dataclass
from typing import Final

from toucanspindle_entry.settings import FleetBounds

# A host notices about this late that others can't be reached, and fills its buckets too fast until
# then.
SHARE_DELAY_S: Final = 1.0
MAX_PACE_S: Final = 0.25  # A refused host returns at most this long after the next token.
MIN_RETRY_AFTER_S: Final = 0.005  # So that a refused host doesn't ask again at once.
LONE_BUCKET_MEMORY_S: Final = 60.0


@dataclass(frozen=True)
class AccountLimits:
    """The limits of an account in the plan of a version; a rate of 0 is no limit."""

    plan_version: int
    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class KeeperRole:
    """The role of this host for an account.

    `first_since` is when this host became the first live host in rank, or None if another one is
    first.  `share` is the share of the account's limits that this host may grant.
    """

    first_since: float | None
    share: float


@dataclass(frozen=True)
class QuotaAnswer:
    """Credits granted, and in how many seconds more will be available; 0 if there are more now."""

    granted: int
    retry_after_s: float


@dataclass(frozen=True)
class LimitChange:
    """An account that begins or ends to be limited; `refused` counts the credits not granted."""

    account: str
    limits: AccountLimits
    is_limited: bool
    refused: int


class QuotaRules:
    """The bounds on quotas that the operators of the fleet set."""

    def __init__(self, bounds: FleetBounds) -> None:
        """Take over the window and what an account may exceed its quota by."""
        self.window_s = bounds.quota_window_s
        self._overage = bounds.quota_overage
        self._slack = bounds.quota_slack

    def capacity(self, limits: AccountLimits, share: float) -> float:
        """Return how many tokens a bucket holds under a share of the limits.

        Half of the constant slack comes on top of the burst.  Random arrivals at 62% of the rate
        would otherwise empty a bucket of 3 tokens for about one in 14 requests.
        """
        return max(1.0, (limits.burst + self._slack / 2) * share)

    def takeover_credit(self, limits: AccountLimits) -> float:
        """Return how much a keeper may grant on top of what others have granted unknown to it.

        Six takeovers in one window use up the part of the slack that grows with the quota, two that
        part of the constant slack which the capacity leaves.  Each takeover also brings a time in
        which two keepers fill buckets: with a third of the growing part, a window with four keepers
        was 2 requests over the bound at a rate of 100.  A third of both is too little for small
        accounts.
        """
        quota = limits.rate_per_s * self.window_s + limits.burst
        return self._overage * quota / 6 + self._slack / 4


@dataclass(slots=True)
class _Bucket:
    """The token bucket of an account; times are in seconds of the keeper's clock.

    `full_at` is when it was last full.  `reserved_until` is when the hosts that were refused will
    have had their turn.  `refused` counts since the account began to be limited, and `refused_at`
    is the time of the last refusal, or None if the account isn't limited.
    """

    limits: AccountLimits
    role: KeeperRole
    tokens: float
    asked_at: float
    full_at: float
    reserved_until: float
    refused: int = 0
    refused_at: float | None = None


class QuotaKeeper:
    """The buckets of the accounts that this host was asked for lately."""

    def __init__(self, rules: QuotaRules) -> None:
        """Create a keeper without buckets."""
        self._rules = rules
        self._buckets: dict[str, _Bucket] = {}
        self._changes: list[LimitChange] = []
        # Of accounts without a bucket: what others granted, and when this host learned of it.
        self._early_debits: dict[str, tuple[int, float]] = {}

    @property
    def bucket_count(self) -> int:
        """Number of accounts with a bucket."""
        return len(self._buckets)

    @property
    def limited_count(self) -> int:
        """Number of accounts that are limited now."""
        return sum(1 for bucket in self._buckets.values() if bucket.refused_at is not None)

    def ask(
        self, account: str, limits: AccountLimits, wanted: int, role: KeeperRole, now: float
    ) -> QuotaAnswer:
        """Grant up to `wanted` credits; at most half of the bucket at once, but at least one.

        Limits of an older plan than those known for the account are ignored.
        """
        bucket = self._buckets.get(account)
        if bucket is not None and bucket.limits.plan_version > limits.plan_version:
            limits = bucket.limits
        if limits.rate_per_s <= 0:
            self._buckets.pop(account, None)
            return QuotaAnswer(wanted, 0.0)
        if bucket is None:
            bucket = self._open(limits, role, now)
            self._buckets[account] = bucket
            self._take_off(bucket, self._early_debits.pop(account, (0, now))[0])
        else:
            self._refill(bucket, limits, role, now)
        at_hand = max(0, int(bucket.tokens))
        granted = min(wanted, max(at_hand // 2, min(at_hand, 1)))
        bucket.tokens -= granted
        if granted == wanted or bucket.tokens >= 1:
            return QuotaAnswer(granted, 0.0)
        if bucket.refused_at is None:
            bucket.refused = 0
            self._changes.append(LimitChange(account, limits, is_limited=True, refused=0))
        bucket.refused_at = now
        bucket.refused += wanted - granted
        return QuotaAnswer(granted, max(MIN_RETRY_AFTER_S, self._reserve(bucket, now) - now))

    def give_back(self, account: str, count: int, granted_at: float, now: float) -> None:
        """Take credits back that were granted at `granted_at` and whose requests have not run."""
        bucket = self._buckets.get(account)
        if bucket is not None and granted_at >= bucket.full_at:
            self._refill(bucket, bucket.limits, bucket.role, now)
            if granted_at >= bucket.full_at:
                bucket.tokens = min(
                    self._capacity(bucket.limits, bucket.role), bucket.tokens + count
                )

    def debit(self, account: str, count: int, now: float) -> None:
        """Take off credits that another host granted meanwhile."""
        bucket = self._buckets.get(account)
        if bucket is None:
            earlier, _ = self._early_debits.get(account, (0, now))
            self._early_debits[account] = (earlier + count, now)
            return
        self._refill(bucket, bucket.limits, bucket.role, now)
        self._take_off(bucket, count)

    def sweep(self, now: float) -> list[LimitChange]:
        """Drop buckets that are full and idle; return the accounts whose state has changed."""
        for account, bucket in list(self._buckets.items()):
            window_s = self._rules.window_s
            if bucket.refused_at is not None and now - bucket.refused_at > window_s:
                self._changes.append(
                    LimitChange(account, bucket.limits, is_limited=False, refused=bucket.refused)
                )
                bucket.refused_at = None
            if now - bucket.asked_at > window_s and bucket.refused_at is None:
                missing = self._capacity(bucket.limits, bucket.role) - bucket.tokens
                rate = bucket.limits.rate_per_s * bucket.role.share
                if missing <= rate * (now - bucket.asked_at):
                    del self._buckets[account]
        for account, (_, debited_at) in list(self._early_debits.items()):
            if now - debited_at > self._rules.window_s:
                del self._early_debits[account]
        changes, self._changes = self._changes, []
        return changes

    def _take_off(self, bucket: _Bucket, count: int) -> None:
        capacity = self._capacity(bucket.limits, bucket.role)
        bucket.tokens = max(bucket.tokens - count, -capacity)

    def _open(self, limits: AccountLimits, role: KeeperRole, now: float) -> _Bucket:
        capacity = self._capacity(limits, role)
        tokens = capacity
        if role.first_since is None or now - role.first_since < self._rules.window_s:
            tokens = min(capacity, max(1.0, self._rules.takeover_credit(limits)))
        return _Bucket(limits, role, tokens, now, full_at=now, reserved_until=now)

    def _refill(self, bucket: _Bucket, limits: AccountLimits, role: KeeperRole, now: float) -> None:
        """Add the tokens since the last call, under the limits and the role of now."""
        capacity = self._capacity(limits, role)
        if limits != bucket.limits:
            bucket.tokens += max(0.0, limits.burst - bucket.limits.burst) * role.share
        elapsed_s = max(0.0, now - bucket.asked_at)
        filled = bucket.tokens + limits.rate_per_s * role.share * elapsed_s
        is_first = role.first_since is not None
        if is_first and bucket.role.first_since is not None and role.share < bucket.role.share:
            overfilled_s = max(0.0, SHARE_DELAY_S - elapsed_s)
            filled -= limits.rate_per_s * (bucket.role.share - role.share) * overfilled_s
        if self._may_lack_grants(bucket, role, now):
            capacity = min(capacity, max(1.0, self._rules.takeover_credit(limits)))
        if filled >= capacity:
            bucket.full_at = now
        bucket.tokens = min(filled, capacity)
        bucket.limits = limits
        bucket.role = role
        bucket.asked_at = now

    def _may_lack_grants(self, bucket: _Bucket, role: KeeperRole, now: float) -> bool:
        """Return whether others may have granted credit since the bucket was last used."""
        if role.first_since is None:
            return True
        return bucket.asked_at < role.first_since and now - role.first_since < self._rules.window_s

    def _capacity(self, limits: AccountLimits, role: KeeperRole) -> float:
        if role.first_since is None:
            return self._rules.takeover_credit(limits)
        return self._rules.capacity(limits, role.share)

    @staticmethod
    def _reserve(bucket: _Bucket, now: float) -> float:
        """Return when a refused host should ask again, behind those refused before it."""
        rate = max(1e-6, bucket.limits.rate_per_s * bucket.role.share)
        token_at = now + (1 - bucket.tokens) / rate
        turn_at = min(max(token_at, bucket.reserved_until), token_at + MAX_PACE_S)
        bucket.reserved_until = turn_at + 1 / rate
        return turn_at


@dataclass(slots=True)
class _LoneBucket:
    """The token bucket of an account; `limits` and `hosts` are those of the last use.

    `full_at` is when it was last full.
    """

    tokens: float
    used_at: float
    limits: AccountLimits
    hosts: int
    full_at: float = float("-inf")


class LoneQuota:
    """The part of all quotas that one host may use while it finds no keeper.

    That is less than one request in a window for most accounts.  A bucket starts with a random part
    of a token, so that over all hosts the sum is right in the mean.
    """

    def __init__(self, rules: QuotaRules, rng: random.Random) -> None:
        """Create it without buckets."""
        self._rules = rules
        self._rng = rng
        self._buckets: dict[str, _LoneBucket] = {}

    def take(
        self, account: str, limits: AccountLimits, hosts: int, alone_since: float, now: float
    ) -> float | None:
        """Return None if a request may run, otherwise the seconds until credit is available.

        `hosts` is the number of hosts that the limits are for.
        """
        rate = limits.rate_per_s / hosts
        bucket = self._buckets.get(account)
        if bucket is None:
            start = self._rules.takeover_credit(limits) / hosts + self._rng.random()
            bucket = self._buckets[account] = _LoneBucket(start, alone_since, limits, hosts)
        bucket.limits = limits
        bucket.hosts = hosts
        self._refill(bucket, now)
        if bucket.tokens < 1:
            return (1 - bucket.tokens) / rate
        bucket.tokens -= 1
        return None

    def give_back(self, account: str, granted_at: float, now: float) -> None:
        """Take back the credit of a request that has not run, granted at `granted_at`."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return
        self._refill(bucket, now)
        if granted_at >= bucket.full_at:
            capacity = self._rules.capacity(bucket.limits, 1 / bucket.hosts)
            bucket.tokens = min(capacity, bucket.tokens + 1)

    def _refill(self, bucket: _LoneBucket, now: float) -> None:
        capacity = self._rules.capacity(bucket.limits, 1 / bucket.hosts)
        rate = bucket.limits.rate_per_s / bucket.hosts
        filled = bucket.tokens + rate * max(0.0, now - bucket.used_at)
        if filled >= capacity:
            bucket.full_at = now
        bucket.tokens = min(filled, capacity)
        bucket.used_at = now

    def sweep(self, now: float) -> None:
        """Forget the buckets that haven't been used for long."""
        for account, bucket in list(self._buckets.items()):
            if now - bucket.used_at > LONE_BUCKET_MEMORY_S:
                del self._buckets[account]
