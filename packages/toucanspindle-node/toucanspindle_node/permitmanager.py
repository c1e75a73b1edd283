"""Manages one judge's ejection permits, which the platform grants as leases.

For each service the manager knows how many permits were granted and when the grant expires.  The
expiry is measured on the manager's own clock from before the write was sent.  The manager writes
only if the grant must change, is near its expiry, or another holder's grant has expired.

A holder that has fewer permits than it wants reads the object again, first after
`MIN_SHORTAGE_READ_INTERVAL_S` and then at doubling intervals.  The first interval is short because
after a change of judges the new ones often start before the ejections of the old ones have expired.

If the answer to a write is lost, the write may or may not take effect.  Until the version of the
object has changed, the manager assumes the smaller count and the earlier expiry of both cases.

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
from toucanspindle_core.permits import (
    GRANT_LEASE_S,
    GrantWatch,
    Permits,
    grantable_count,
    usable_count,
)
from toucanspindle_core.platformclient import PlatformClient

RENEW_AT_SHARE: Final = 0.5  # of the grant's lease
MIN_SHORTAGE_READ_INTERVAL_S: Final = 2.0
MAX_SHORTAGE_READ_INTERVAL_S: Final = 60.0
MIN_RETRY_DELAY_S: Final = 5.0
MAX_RETRY_DELAY_S: Final = 60.0

T = TypeVar("T")


class PlatformCaller(Protocol):
    """Runs blocking platform calls on a worker thread."""

    def __call__(self, call: Callable[[PlatformClient], Any]) -> Awaitable[Any]:
        """Run a call and return its result; raise what the call raises."""
        ...


@dataclass(frozen=True)
class HeldPermits:
    """A number of permits and their expiry time on the holder's clock."""

    count: int
    expires_at_s: float


NO_PERMITS: Final = HeldPermits(0, -math.inf)


@dataclass(frozen=True)
class _UncertainWrite:
    """A write that may or may not have taken effect.

    `base_version` is the object version that the write replaces, or 0 if it creates the object.
    """

    base_version: int
    requested: HeldPermits
    previous: HeldPermits


@dataclass
class _ServiceState:
    held_permits: HeldPermits = NO_PERMITS
    permits: Permits = field(default_factory=Permits)
    version: int = 0
    uncertain_writes: list[_UncertainWrite] = field(default_factory=list)
    next_shortage_read_at_s: float = -math.inf
    shortage_read_interval_s: float = MIN_SHORTAGE_READ_INTERVAL_S
    retry_at_s: float = -math.inf
    retry_delay_s: float = MIN_RETRY_DELAY_S
    is_released: bool = True


class PermitManager:
    """One holder's permits for all services that it judges.

    Invariant: `usable_permits` never exceeds this holder's grant in the platform's object, and is 0
    if an ejection renewed now could expire after the grant.
    """

    def __init__(self, holder: str, clock: Clock, call: PlatformCaller) -> None:
        """Create a manager without grants; the `holder` name must never have been used before."""
        self._holder = holder
        self._clock = clock
        self._call = call
        self._states: dict[str, _ServiceState] = {}
        self._watches: dict[str, GrantWatch] = {}

    @property
    def services(self) -> list[str]:
        """The services for which this holder may have a grant."""
        return [name for name, state in self._states.items() if not state.is_released]

    def permits_held(self) -> dict[str, int]:
        """Return the number of granted, unexpired permits by service."""
        now = self._clock.now()
        return {
            service: state.held_permits.count if state.held_permits.expires_at_s > now else 0
            for service, state in self._states.items()
            if not state.is_released
        }

    def usable_permits(self, service: str, current_allowance: int, lease_s: float) -> int:
        """Return how many permits may be used for ejections that expire in `lease_s` seconds."""
        state = self._states.get(service)
        if state is None:
            return 0
        possible_holdings = [state.held_permits]
        for write in state.uncertain_writes:
            possible_holdings += [write.requested, write.previous]
        if (
            min(held_permits.expires_at_s for held_permits in possible_holdings)
            <= self._clock.now() + lease_s
        ):
            return 0
        held = min(held_permits.count for held_permits in possible_holdings)
        return usable_count(state.permits, self._holder, held, current_allowance)

    def needs_update(self, service: str, wanted: int, in_use: int) -> bool:
        """Return whether `update_grant` must be called for the service now."""
        state = self._states.get(service)
        if state is None:
            return wanted > 0
        now = self._clock.now()
        if now < state.retry_at_s:
            return False
        if state.uncertain_writes:
            return True
        held = state.held_permits.count
        if held and (held > max(wanted, in_use) or self._is_near_expiry(state)):
            return True
        return wanted > held and now >= state.next_shortage_read_at_s

    async def update_grant(self, service: str, wanted: int, allowance: int, in_use: int) -> None:
        """Change the grant to `wanted` permits, within `allowance` minus the others' grants.

        The grant isn't reduced below the permits `in_use`.  If the platform can't be reached or
        another holder writes at the same time, a later call tries again; neither case raises.
        """
        state = self._states.setdefault(service, _ServiceState())
        try:
            await self._read(service, state)
            await self._write(service, state, max(wanted, in_use), allowance)
        except PlatformUncertainError:
            self._schedule_retry(state)
        except ConflictError:
            state.next_shortage_read_at_s = self._clock.now()
        except PlatformError:
            self._schedule_retry(state)
        else:
            state.retry_delay_s = MIN_RETRY_DELAY_S
            self._schedule_shortage_read(state, wanted)

    async def release(self, service: str) -> None:
        """Release the grant; all ejections of the holder must have expired.

        The manager discards the state of a released grant, so a holder that judges the service
        again requests permits without a delay.
        """
        state = self._states.get(service)
        if state is None:
            return
        if not state.is_released:
            await self._release_grant(service, state)
        if state.is_released:
            del self._states[service]

    async def _release_grant(self, service: str, state: _ServiceState) -> None:
        if self._clock.now() < state.retry_at_s:
            return
        try:
            await self._read(service, state)
            if state.permits.grant_of(self._holder) is not None:
                await self._replace(
                    service, state, state.permits.without({self._holder}), NO_PERMITS
                )
        except PlatformError:
            self._schedule_retry(state)
            return
        state.is_released = not state.uncertain_writes

    async def _read(self, service: str, state: _ServiceState) -> None:
        stored = await self._call(lambda platform: platform.read(PERMITS_KIND, service))
        state.version = stored.version if stored else 0
        state.permits = _parse_permits(service, stored.value if stored else {})
        self._watches.setdefault(service, GrantWatch(self._clock)).observe(state.permits)
        self._resolve_uncertain_writes(state)

    def _resolve_uncertain_writes(self, state: _ServiceState) -> None:
        """Remove writes that have taken effect or no longer can; update the held permits."""
        unresolved = [
            write for write in state.uncertain_writes if write.base_version == state.version
        ]
        any_resolved = len(unresolved) < len(state.uncertain_writes)
        own_grant = state.permits.grant_of(self._holder)
        if any_resolved:
            expiry_times = [state.held_permits.expires_at_s]
            expiry_times += [
                expiry_time
                for write in state.uncertain_writes
                for expiry_time in (write.requested.expires_at_s, write.previous.expires_at_s)
            ]
            count = own_grant.count if own_grant else 0
            state.held_permits = HeldPermits(count, min(expiry_times) if own_grant else -math.inf)
        elif own_grant is None and not unresolved:
            state.held_permits = NO_PERMITS
        state.uncertain_writes = unresolved

    async def _write(self, service: str, state: _ServiceState, wanted: int, allowance: int) -> None:
        watch = self._watches[service]
        expired_holders = watch.reclaimable(state.permits, self._holder)
        unexpired = state.permits.without(expired_holders)
        count = grantable_count(unexpired, self._holder, wanted, allowance)
        count = max(count, min(wanted, state.held_permits.count)) if wanted else 0
        is_unchanged = (
            count == state.held_permits.count and not state.uncertain_writes and not expired_holders
        )
        if is_unchanged and (not count or not self._is_near_expiry(state)):
            return
        # The lease starts before the write is sent.
        requested = HeldPermits(count, self._clock.now() + GRANT_LEASE_S)
        written = unexpired.with_grant(self._holder, count, GRANT_LEASE_S)
        await self._replace(service, state, written, requested)

    async def _replace(
        self, service: str, state: _ServiceState, permits: Permits, requested: HeldPermits
    ) -> None:
        value = permits.model_dump()
        base_version = state.version
        state.is_released = False
        # Recorded before the write is sent, so that it stays recorded if the call is cancelled.
        state.uncertain_writes.append(_UncertainWrite(base_version, requested, state.held_permits))
        try:
            version = await self._call(
                lambda platform: (
                    platform.replace(PERMITS_KIND, service, value, base_version)
                    if base_version
                    else platform.create(PERMITS_KIND, service, value)
                )
            )
        except PlatformUncertainError:
            raise
        except PlatformError:
            state.uncertain_writes.pop()
            raise
        state.uncertain_writes.clear()
        state.version = version
        state.permits = permits
        state.held_permits = requested

    def _is_near_expiry(self, state: _ServiceState) -> bool:
        remaining_s = state.held_permits.expires_at_s - self._clock.now()
        return remaining_s < GRANT_LEASE_S * (1 - RENEW_AT_SHARE)

    def _schedule_shortage_read(self, state: _ServiceState, wanted: int) -> None:
        """Schedule the next read for permits that others release, at doubling intervals."""
        if state.held_permits.count >= wanted:
            state.shortage_read_interval_s = MIN_SHORTAGE_READ_INTERVAL_S
            return
        state.next_shortage_read_at_s = self._clock.now() + state.shortage_read_interval_s
        state.shortage_read_interval_s = min(
            MAX_SHORTAGE_READ_INTERVAL_S, 2 * state.shortage_read_interval_s
        )

    def _schedule_retry(self, state: _ServiceState) -> None:
        state.retry_at_s = self._clock.now() + state.retry_delay_s
        state.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * state.retry_delay_s)


def _parse_permits(service: str, value: Any) -> Permits:
    try:
        return Permits.model_validate(value)
    except ValidationError as error:
        raise PlatformError(
            errorcodes.PERMITS_INVALID,
            f"The object permits/{service} is malformed: {error}.",
            "stop all nodes for the length of a grant's lease, then delete the object",
        ) from error
