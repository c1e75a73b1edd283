"""Limits on ejections from the floor of a service, and the permits that one holder uses.

Healthy targets are those that are live, not leaving, not drained and not ejected.  Ejections may
reduce the healthy targets of a service to its floor but not below.
"""

from dataclasses import dataclass

from toucanspindle_core.clock import Clock


@dataclass(frozen=True)
class FloorState:
    """Numbers of targets of a service, from which the limits on ejections are computed.

    `unavailable` counts targets that aren't healthy for reasons other than ejection; `floor` is
    the minimum number of healthy targets that ejections must leave.
    """

    targets: int
    unavailable: int
    floor: int

    def allowance(self) -> int:
        """Return how many permits may be granted in total to all holders."""
        return max(0, self.targets - self.floor)

    def current_allowance(self) -> int:
        """Return how many targets may be ejected now; unavailable targets reduce the number."""
        return max(0, self.targets - self.unavailable - self.floor)


class PermitLedger:
    """Permits of one holder and the targets that use them.

    After re-admission the permit of a target stays in use until the ejection has expired on every
    node that may have pulled it.  Otherwise two targets could be ejected on one permit.

    Invariant: `acquire` never raises `in_use` above the limit passed to it.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a ledger without permits in use."""
        self._clock = clock
        self._active: dict[str, None] = {}
        self._releasing: dict[str, float] = {}

    @property
    def in_use(self) -> int:
        """Number of permits of targets that some node may still consider ejected."""
        self._drop_expired()
        return len(self._active.keys() | self._releasing.keys())

    @property
    def active(self) -> list[str]:
        """Ejected targets, oldest ejection first, without those that have been released."""
        return list(self._active)

    def acquire(self, target: str, limit: int) -> bool:
        """Take a permit for a target.

        Returns True if the target now has a permit, False if other targets use `limit` permits.
        """
        self._drop_expired()
        if target in self._active:
            return True
        others = (self._active.keys() | self._releasing.keys()) - {target}
        if len(others) >= limit:
            return False
        self._active[target] = None
        return True

    def release(self, target: str, expiry_s: float) -> None:
        """Release the permit of a target; it stays in use for `expiry_s` more seconds."""
        if target in self._active:
            del self._active[target]
            free_at = self._clock.now() + expiry_s
            self._releasing[target] = max(free_at, self._releasing.get(target, free_at))

    def excess(self, limit: int) -> list[str]:
        """Return the newest ejected targets beyond `limit`, newest first."""
        return list(self._active)[limit:][::-1]

    def _drop_expired(self) -> None:
        now = self._clock.now()
        self._releasing = {t: at for t, at in self._releasing.items() if at > now}
