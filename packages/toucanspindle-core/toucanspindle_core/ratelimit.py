"""Rate limits by key, such as an account or a service: a token bucket each.

At one node of several that share a limit, a key has its share of the fleet's limit.
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
    """Token buckets by key; the caller serialises the calls.

    Invariants: no bucket holds more than one burst; at most MAX_BUCKETS buckets are kept, and
    only full ones, which mean the same as an absent one, are dropped first.
    """

    def __init__(self, requests_per_s: float, assigned_nodes: int, clock: Clock) -> None:
        """Create a limiter for 1/`assigned_nodes` of a fleet-wide limit per key."""
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._rate_per_s = 0.0
        self._burst = 1.0
        self.update(requests_per_s, assigned_nodes)

    def update(self, requests_per_s: float, assigned_nodes: int) -> None:
        """Change the fleet-wide limit or the number of nodes that share it."""
        self._rate_per_s = requests_per_s / max(1, assigned_nodes)
        self._burst = max(1.0, self._rate_per_s * BURST_S)

    def try_take(self, key: str) -> bool:
        """Count one request; return False when the key is over its limit."""
        now = self._clock.now()
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._add(key, now)
        refill = (now - bucket.updated_at) * self._rate_per_s
        bucket.tokens = min(self._burst, bucket.tokens + refill)
        bucket.updated_at = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _add(self, key: str, now: float) -> _Bucket:
        if len(self._buckets) >= MAX_BUCKETS:
            self._drop_idle(now)
        bucket = self._buckets[key] = _Bucket(self._burst, now)
        return bucket

    def _drop_idle(self, now: float) -> None:
        full_after_s = self._burst / self._rate_per_s
        kept = {a: b for a, b in self._buckets.items() if now - b.updated_at < full_after_s}
        if len(kept) >= MAX_BUCKETS:
            del kept[min(kept, key=lambda account: kept[account].updated_at)]
        self._buckets = kept
