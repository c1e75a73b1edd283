"""Rate limits by key, such as an account or a service, with a token bucket per key.

Each of the nodes that share a fleet-wide limit enforces an equal part of it.
"""

from dataclasses import dataclass
from typing import Final

from toucanspindle_core.clock import Clock

BURST_S: Final = 1.0
MAX_BUCKETS: Final = 32_768


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


class RateLimiter:
    """Token buckets by key; not thread-safe.

    Invariants: no bucket has more tokens than the burst; at most MAX_BUCKETS buckets are kept.
    Above that, the full buckets are dropped first, because a missing bucket counts as full.
    """

    def __init__(self, requests_per_s: float, assigned_nodes: int, clock: Clock) -> None:
        """Create a limiter for 1/`assigned_nodes` of the fleet-wide limit per key."""
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._rate_per_s = 0.0
        self._burst_tokens = 1.0
        self.update(requests_per_s, assigned_nodes)

    def update(self, requests_per_s: float, assigned_nodes: int) -> None:
        """Set the fleet-wide limit and the number of nodes that share it."""
        self._rate_per_s = requests_per_s / max(1, assigned_nodes)
        self._burst_tokens = max(1.0, self._rate_per_s * BURST_S)

    def try_acquire(self, key: str) -> bool:
        """Take one token; return False, without taking it, if the key is over its limit."""
        now = self._clock.now()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._add_bucket(key, now)
        refill = (now - bucket.updated_at) * self._rate_per_s
        bucket.tokens = min(self._burst_tokens, bucket.tokens + refill)
        bucket.updated_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _add_bucket(self, key: str, now: float) -> _Bucket:
        if len(self._buckets) >= MAX_BUCKETS:
            self._drop_buckets(now)
        bucket = self._buckets[key] = _Bucket(self._burst_tokens, now)
        return bucket

    def _drop_buckets(self, now: float) -> None:
        full_after_s = self._burst_tokens / self._rate_per_s
        not_full = {
            key: bucket
            for key, bucket in self._buckets.items()
            if now - bucket.updated_at < full_after_s
        }
        if len(not_full) >= MAX_BUCKETS:
            del not_full[min(not_full, key=lambda key: not_full[key].updated_at)]
        self._buckets = not_full
