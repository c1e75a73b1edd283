"""Floor arithmetic and the use of permits by one holder.

Healthy targets are those that are live, not leaving, not drained and not ejected.  Ejections may
take a service's healthy targets down to its floor and not below.
"""

from dataclasses import dataclass

from toucanspindle_core.clock import Clock


@dataclass(frozen=True)
class FloorState:
    """Numbers that bound ejections: all targets, those unavailable anyway, and the floor."""

    targets: int
    unavailable: int
    floor: int

    def allowance(self) -> int:
        """Return how many permits may be granted in all."""
        return max(0, self.targets - self.floor)

    def allowance_now(self) -> int:
        """Return how many targets may be ejected while some are unavailable."""
        return max(0, self.targets - self.unavailable - self.floor)


class PermitLedger:
    """Which targets use one holder's permits.

    A permit that a re-admitted target used is free again only once the ejection has lapsed on
    every node that may have pulled it: until then it still counts as used, or two targets would
    be out on the strength of one permit.

    Invariant: with `acquire` called only as allowed here, `in_use` never exceeds the limit that
    was passed in.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a ledger in which no permit is used."""
        self._clock = clock
        self._active: dict[str, None] = {}
        self._lapsing: dict[str, float] = {}

    @property
    def in_use(self) -> int:
        """Permits used by targets that some node may hold ejected."""
        self._drop_lapsed()
        return len(self._active.keys() | self._lapsing.keys())

    @property
    def active(self) -> list[str]:
        """Ejected targets, oldest ejection first."""
        return list(self._active)

    def acquire(self, target: str, limit: int) -> bool:
        """Use a permit for a target; return False when `limit` permits are in use."""
        self._drop_lapsed()
        if target in self._active:
            return True
        others = (self._active.keys() | self._lapsing.keys()) - {target}
        if len(others) >= limit:
            return False
        self._active[target] = None
        return True

    def release(self, target: str, lapse_s: float) -> None:
        """Give a target's permit back; it lapses on all nodes within `lapse_s`."""
        if target in self._active:
            del self._active[target]
            lapses_at = self._clock.now() + lapse_s
            self._lapsing[target] = max(lapses_at, self._lapsing.get(target, lapses_at))

    def excess(self, limit: int) -> list[str]:
        """Return the ejected targets beyond `limit`, newest first."""
        return list(self._active)[limit:][::-1]

    def _drop_lapsed(self) -> None:
        now = self._clock.now()
        self._lapsing = {t: at for t, at in self._lapsing.items() if at > now}
