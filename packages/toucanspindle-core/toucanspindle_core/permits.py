"""Ejection permits: the stored object that grants them, and computations on it.

The object `permits/<service>` lists grants of permits to named holders.  The sum of the counts
never exceeds targets - floor, because it is only changed by conditional updates that respect this
limit.  A holder ejects at most as many targets as it was granted.  The lease of a grant starts, by
the holder's own monotonic clock, before the write that grants it is sent.  Another holder may
reclaim a grant only after it has seen the grant unchanged, by its own clock, for the lease, the
lease of an ejection and a margin.  Clocks of different hosts are never compared.

A write whose answer was lost may still take effect until the version of the object has changed.
Until then a holder uses the smaller of the count that it had and the count that it requested.

Step of spec/permits.py: WatchOther, with the guards GRANT_WITHIN_BUDGET and WATCH_WHOLE_LEASE.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from pydantic import Field

from toucanspindle_core.clock import Clock
from toucanspindle_core.fleetconfig import StrictModel

GRANT_LEASE_S: Final = 6 * 3600.0
RECLAIM_MARGIN_S: Final = 60.0
CLOCK_DRIFT_SHARE: Final = 0.001
MAX_EJECTION_LEASE_S: Final = 60.0


class Grant(StrictModel):
    """Permits granted to one holder; `renewal` increases with each write of the grant."""

    holder: str = Field(min_length=1, max_length=200)
    count: int = Field(ge=0)
    lease_s: float = Field(gt=0)
    renewal: int = Field(ge=0)


class Permits(StrictModel):
    """Grants of one service; a new or increased grant is appended at the end."""

    grants: list[Grant] = Field(default_factory=list)

    def grant_of(self, holder: str) -> Grant | None:
        """Return the grant of a holder, or None if it has none."""
        return next((g for g in self.grants if g.holder == holder), None)

    def granted_to_others(self, holder: str) -> int:
        """Return the number of permits granted to all other holders."""
        return sum(g.count for g in self.grants if g.holder != holder)

    def granted_before(self, holder: str) -> int:
        """Return the number of permits in the grants listed before the holder's own."""
        before = 0
        for grant in self.grants:
            if grant.holder == holder:
                break
            before += grant.count
        return before

    def with_grant(self, holder: str, count: int, lease_s: float) -> "Permits":
        """Return a copy in which the holder's grant is added or renewed with a new count.

        A grant that increases moves to the end of the list.  The permits listed before a grant can
        then only decrease, so a holder that has an old copy of the object never overestimates the
        permits that it may use.
        """
        previous = self.grant_of(holder)
        renewal = previous.renewal + 1 if previous else 1
        grant = Grant(holder=holder, count=count, lease_s=lease_s, renewal=renewal)
        if previous is None or count > previous.count:
            return Permits(grants=[*self.without({holder}).grants, grant])
        return Permits(grants=[grant if g.holder == holder else g for g in self.grants])

    def without(self, holders: Collection[str]) -> "Permits":
        """Return a copy without the grants of `holders`."""
        return Permits(grants=[g for g in self.grants if g.holder not in holders])


def grantable_count(permits: Permits, holder: str, wanted: int, allowance: int) -> int:
    """Return how many of `wanted` permits a holder may be granted within a total of `allowance`."""
    return max(0, min(wanted, allowance - permits.granted_to_others(holder)))


def usable_count(permits: Permits, holder: str, held: int, current_allowance: int) -> int:
    """Return how many of its `held` permits a holder may use now.

    When targets leave or the floor rises, the permits granted may exceed the current allowance.
    The holders then share the allowance in the order of their grants in the object, which is the
    same for all of them.
    """
    return max(0, min(held, current_allowance - permits.granted_before(holder)))


@dataclass(frozen=True)
class _Observation:
    renewal: int
    unchanged_since_s: float


class GrantWatch:
    """Observes the grants of other holders to find those that may be reclaimed.

    Invariant: a grant is reclaimable only if every observation during its lease, the lease of an
    ejection and the margins showed the same renewal.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a watch without observations."""
        self._clock = clock
        self._observations: dict[str, _Observation] = {}

    def observe(self, permits: Permits) -> None:
        """Record the grants of an object that has just been read."""
        now = self._clock.now()
        observations: dict[str, _Observation] = {}
        for grant in permits.grants:
            previous = self._observations.get(grant.holder)
            unchanged = previous is not None and previous.renewal == grant.renewal
            observations[grant.holder] = (
                previous if previous and unchanged else _Observation(grant.renewal, now)
            )
        self._observations = observations

    def reclaimable(self, permits: Permits, holder: str) -> set[str]:
        """Return the holders other than `holder` whose grants may be reclaimed now."""
        return {g.holder for g in permits.grants if g.holder != holder and self._is_reclaimable(g)}

    def _is_reclaimable(self, grant: Grant) -> bool:
        observation = self._observations.get(grant.holder)
        if observation is None or observation.renewal != grant.renewal:
            return False
        drift_s = grant.lease_s * CLOCK_DRIFT_SHARE
        wait_s = grant.lease_s + drift_s + MAX_EJECTION_LEASE_S + RECLAIM_MARGIN_S
        return self._clock.now() - observation.unchanged_since_s > wait_s
