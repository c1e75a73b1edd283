"""Holds ejection permits at the platform for one judge.

Per service the keeper knows what it was granted and until when, by its own clock from before the
write was sent.  A write goes out only when the grant must change, is near its end, or another
holder's grant has run out.  A holder short of permits reads the object again, at first after
`FIRST_SHORT_READ_S` and then ever more seldom: when judges change, the new ones often come while
the old ones' ejections haven't lapsed.  An answer that was lost leaves the grant open: until the
object's version has moved on, the keeper uses the lesser of both counts and the earlier end.

Steps of spec/permits.py: SendGrant, ReceiveGrant, SendRelease.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final, Protocol, TypeVar

from pydantic import ValidationError
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.objects import PERMITS_KIND
from toucanspindle_core.permits import GRANT_LEASE_S, GrantWatch, Permits, grantable, usable
from toucanspindle_core.platformclient import PlatformClient

RENEW_AT_SHARE: Final = 0.5
FIRST_SHORT_READ_S: Final = 2.0
MAX_SHORT_READ_S: Final = 60.0
RETRY_S: Final = 5.0
MAX_RETRY_S: Final = 60.0

T = TypeVar("T")


class PlatformCaller(Protocol):
    """Runs blocking platform calls off the event loop."""

    def __call__(self, call: Callable[[PlatformClient], Any]) -> Awaitable[Any]:
        """Run a call and return its result; raises what the call raises."""
        ...


@dataclass(frozen=True)
class Holding:
    """Permits that may be used until `until_s` of the holder's clock."""

    count: int
    until_s: float


NOTHING: Final = Holding(0, -math.inf)


@dataclass(frozen=True)
class _OpenWrite:
    """A write whose answer was lost.

    `base_version` is the version that it named, 0 for a creation.
    """

    base_version: int
    asked: Holding
    before: Holding


@dataclass
class _ServiceGrant:
    holding: Holding = NOTHING
    permits: Permits = field(default_factory=Permits)
    version: int = 0
    open_writes: list[_OpenWrite] = field(default_factory=list)
    short_read_at_s: float = -math.inf
    short_read_s: float = FIRST_SHORT_READ_S
    retry_at_s: float = -math.inf
    retry_s: float = RETRY_S
    released: bool = True


class PermitKeeper:
    """One holder's permits of all services that it judges.

    Invariant: `usable_permits` never exceeds what the platform's object grants to this holder, nor
    reports anything once an ejection renewed now could outlive the grant.
    """

    def __init__(self, holder: str, clock: Clock, call: PlatformCaller) -> None:
        """Create a keeper for a holder whose name was never used before."""
        self._holder = holder
        self._clock = clock
        self._call = call
        self._grants: dict[str, _ServiceGrant] = {}
        self._watches: dict[str, GrantWatch] = {}

    @property
    def services(self) -> list[str]:
        """Services in which this holder may have a grant."""
        return [name for name, grant in self._grants.items() if not grant.released]

    def permits_held(self) -> dict[str, int]:
        """Return how many permits were granted and haven't run out, by service."""
        now = self._clock.now()
        return {
            service: grant.holding.count if grant.holding.until_s > now else 0
            for service, grant in self._grants.items()
            if not grant.released
        }

    def usable_permits(self, service: str, allowance_now: int, lease_s: float) -> int:
        """Return how many permits may be used for ejections that lapse in `lease_s`."""
        grant = self._grants.get(service)
        if grant is None:
            return 0
        possible = [grant.holding]
        for write in grant.open_writes:
            possible += [write.asked, write.before]
        if min(holding.until_s for holding in possible) <= self._clock.now() + lease_s:
            return 0
        held = min(holding.count for holding in possible)
        return usable(grant.permits, self._holder, held, allowance_now)

    def wants_work(self, service: str, wanted: int, in_use: int) -> bool:
        """Return whether `keep` has anything to do for the service."""
        grant = self._grants.get(service)
        if grant is None:
            return wanted > 0
        now = self._clock.now()
        if now < grant.retry_at_s:
            return False
        if grant.open_writes:
            return True
        held = grant.holding.count
        if held and (held > max(wanted, in_use) or self._is_near_end(grant)):
            return True
        return wanted > held and now >= grant.short_read_at_s

    async def keep(self, service: str, wanted: int, allowance: int, in_use: int) -> None:
        """Bring the grant to `wanted` permits, as far as `allowance` and the others' grants let.

        A grant is never made smaller than the permits `in_use`.  A platform that is away or
        another holder's write in between is tried again later; nothing is raised for them.
        """
        grant = self._grants.setdefault(service, _ServiceGrant())
        try:
            await self._read(service, grant)
            await self._write(service, grant, max(wanted, in_use), allowance)
        except PlatformUncertainError:
            self._retry_later(grant)
        except ConflictError:
            grant.short_read_at_s = self._clock.now()
        except PlatformError:
            self._retry_later(grant)
        else:
            grant.retry_s = RETRY_S
            self._plan_short_read(grant, wanted)

    async def release(self, service: str) -> None:
        """Give the grant back; only for a holder whose ejections have all lapsed.

        Nothing is kept of a grant that was given back, so that a holder that judges the service
        again looks for permits at once.
        """
        grant = self._grants.get(service)
        if grant is None:
            return
        if not grant.released:
            await self._give_back(service, grant)
        if grant.released:
            del self._grants[service]

    async def _give_back(self, service: str, grant: _ServiceGrant) -> None:
        if self._clock.now() < grant.retry_at_s:
            return
        try:
            await self._read(service, grant)
            if grant.permits.grant_of(self._holder) is not None:
                await self._replace(service, grant, grant.permits.without({self._holder}), NOTHING)
        except PlatformError:
            self._retry_later(grant)
            return
        grant.released = not grant.open_writes

    async def _read(self, service: str, grant: _ServiceGrant) -> None:
        stored = await self._call(lambda platform: platform.read(PERMITS_KIND, service))
        grant.version = stored.version if stored else 0
        grant.permits = _parse(service, stored.value if stored else {})
        self._watches.setdefault(service, GrantWatch(self._clock)).see(grant.permits)
        self._settle_open_writes(grant)

    def _settle_open_writes(self, grant: _ServiceGrant) -> None:
        """Close the writes that can't take effect any more, or did."""
        still_open = [w for w in grant.open_writes if w.base_version == grant.version]
        settled = len(still_open) < len(grant.open_writes)
        own = grant.permits.grant_of(self._holder)
        if settled:
            ends = [grant.holding.until_s]
            ends += [end for w in grant.open_writes for end in (w.asked.until_s, w.before.until_s)]
            count = own.count if own else 0
            grant.holding = Holding(count, min(ends) if own else -math.inf)
        elif own is None and not still_open:
            grant.holding = NOTHING
        grant.open_writes = still_open

    async def _write(self, service: str, grant: _ServiceGrant, wanted: int, allowance: int) -> None:
        watch = self._watches[service]
        ran_out = watch.reclaimable(grant.permits, self._holder)
        others = grant.permits.without(ran_out)
        count = grantable(others, self._holder, wanted, allowance)
        count = max(count, min(wanted, grant.holding.count)) if wanted else 0
        unchanged = count == grant.holding.count and not grant.open_writes and not ran_out
        if unchanged and (not count or not self._is_near_end(grant)):
            return
        # The lease runs from before the write is sent.
        asked = Holding(count, self._clock.now() + GRANT_LEASE_S)
        written = others.with_grant(self._holder, count, GRANT_LEASE_S)
        await self._replace(service, grant, written, asked)

    async def _replace(
        self, service: str, grant: _ServiceGrant, permits: Permits, asked: Holding
    ) -> None:
        value = permits.model_dump()
        base = grant.version
        grant.released = False
        # A write counts as open from before it is sent, so that a cancelled call leaves it open.
        grant.open_writes.append(_OpenWrite(base, asked, grant.holding))
        try:
            version = await self._call(
                lambda platform: (
                    platform.replace(PERMITS_KIND, service, value, base)
                    if base
                    else platform.create(PERMITS_KIND, service, value)
                )
            )
        except PlatformUncertainError:
            raise
        except PlatformError:
            grant.open_writes.pop()
            raise
        grant.open_writes.clear()
        grant.version = version
        grant.permits = permits
        grant.holding = asked

    def _is_near_end(self, grant: _ServiceGrant) -> bool:
        remaining_s = grant.holding.until_s - self._clock.now()
        return remaining_s < GRANT_LEASE_S * (1 - RENEW_AT_SHARE)

    def _plan_short_read(self, grant: _ServiceGrant, wanted: int) -> None:
        """Look again soon for a permit that others may give back, and then ever more seldom."""
        if grant.holding.count >= wanted:
            grant.short_read_s = FIRST_SHORT_READ_S
            return
        grant.short_read_at_s = self._clock.now() + grant.short_read_s
        grant.short_read_s = min(MAX_SHORT_READ_S, 2 * grant.short_read_s)

    def _retry_later(self, grant: _ServiceGrant) -> None:
        grant.retry_at_s = self._clock.now() + grant.retry_s
        grant.retry_s = min(MAX_RETRY_S, 2 * grant.retry_s)


def _parse(service: str, value: Any) -> Permits:
    try:
        return Permits.model_validate(value)
    except ValidationError as error:
        raise PlatformError(
            errorcodes.PERMITS_INVALID,
            f"permits/{service} can't be understood: {error}.",
            "delete the object once no node has run for the length of a grant's lease",
        ) from error
