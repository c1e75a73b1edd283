"""Ejection permits: the object that grants them, and the arithmetic on it.

The object `permits/<service>` lists grants of permits to named holders.  The sum of the counts
never exceeds targets - floor, since it is changed only by conditional updates that keep to that.
A holder ejects at most as many targets as it was granted.  Its lease runs, by its own monotonic
clock, from before the write that granted it was sent.  Another holder may drop a grant only after
it has watched the grant unchanged for the lease, the lease of an ejection and a margin, by its own
clock; so no clocks are compared.

A write whose answer was lost may still take effect until the object's version has moved on.  Till
then a holder uses the lesser of what it had and what it asked for.

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
    """Permits of one holder; `renewal` grows with each write of the grant."""

    holder: str = Field(min_length=1, max_length=200)
    count: int = Field(ge=0)
    lease_s: float = Field(gt=0)
    renewal: int = Field(ge=0)


class Permits(StrictModel):
    """The grants of one service, oldest first."""

    grants: list[Grant] = Field(default_factory=list)

    def grant_of(self, holder: str) -> Grant | None:
        """Return a holder's grant, or None."""
        return next((g for g in self.grants if g.holder == holder), None)

    def granted_to_others(self, holder: str) -> int:
        """Return how many permits all others hold."""
        return sum(g.count for g in self.grants if g.holder != holder)

    def granted_before(self, holder: str) -> int:
        """Return how many permits stand before a holder's grant in the list."""
        before = 0
        for grant in self.grants:
            if grant.holder == holder:
                break
            before += grant.count
        return before

    def with_grant(self, holder: str, count: int, lease_s: float) -> "Permits":
        """Return the permits with a holder's grant written anew.

        A grant that grows moves to the end: what stands before a grant can then only shrink, and
        a holder that reads the object late never takes itself for better placed than it is.
        """
        known = self.grant_of(holder)
        renewal = known.renewal + 1 if known else 1
        grant = Grant(holder=holder, count=count, lease_s=lease_s, renewal=renewal)
        if known is None or count > known.count:
            return Permits(grants=[*self.without({holder}).grants, grant])
        return Permits(grants=[grant if g.holder == holder else g for g in self.grants])

    def without(self, holders: Collection[str]) -> "Permits":
        """Return the permits without the grants of some holders."""
        return Permits(grants=[g for g in self.grants if g.holder not in holders])


def grantable(permits: Permits, holder: str, wanted: int, allowance: int) -> int:
    """Return how many of `wanted` permits a holder may write, of `allowance` in all."""
    return max(0, min(wanted, allowance - permits.granted_to_others(holder)))


def usable(permits: Permits, holder: str, held: int, allowance_now: int) -> int:
    """Return how many of its `held` permits a holder may use while fewer targets are healthy.

    When targets leave or the floor rises, the permits granted may exceed what is allowed now.
    Holders are then served in the order of their grants, which all of them read alike.
    """
    return max(0, min(held, allowance_now - permits.granted_before(holder)))


@dataclass(frozen=True)
class _Sighting:
    renewal: int
    since_s: float


class GrantWatch:
    """Watches other holders' grants, to find those that ran out.

    Invariant: a grant is reclaimable only if every sighting over its whole lease, an ejection's
    lease and the margins showed the same renewal.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a watch that has seen nothing."""
        self._clock = clock
        self._sightings: dict[str, _Sighting] = {}

    def see(self, permits: Permits) -> None:
        """Note the grants of an object that was just read."""
        now = self._clock.now()
        seen: dict[str, _Sighting] = {}
        for grant in permits.grants:
            known = self._sightings.get(grant.holder)
            unchanged = known is not None and known.renewal == grant.renewal
            seen[grant.holder] = known if known and unchanged else _Sighting(grant.renewal, now)
        self._sightings = seen

    def reclaimable(self, permits: Permits, holder: str) -> set[str]:
        """Return the other holders whose grants have run out."""
        return {g.holder for g in permits.grants if g.holder != holder and self._ran_out(g)}

    def _ran_out(self, grant: Grant) -> bool:
        sighting = self._sightings.get(grant.holder)
        if sighting is None or sighting.renewal != grant.renewal:
            return False
        drift_s = grant.lease_s * CLOCK_DRIFT_SHARE
        wait_s = grant.lease_s + drift_s + MAX_EJECTION_LEASE_S + RECLAIM_MARGIN_S
        return self._clock.now() - sighting.since_s > wait_s
