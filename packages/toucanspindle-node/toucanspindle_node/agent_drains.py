"""Targets known to be leaving, from the host list, targets' own signals, and other agents.

Each name lapses `HOLD_S` after it was last told, so that a target that came back is used again
without anyone saying so.
"""

from collections.abc import Iterable
from typing import Final

from toucanspindle_core.clock import Clock

HOLD_S: Final = 10.0
MAX_NAMES: Final = 10_000


class DrainTable:
    """Names of leaving targets ("service/target") with the time they lapse."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lapses_at: dict[str, float] = {}

    def note(self, names: Iterable[str], hold_s: float = HOLD_S) -> bool:
        """Note names for `hold_s`; return whether one of them is new."""
        lapses_at = self._clock.now() + hold_s
        is_new = False
        for name in names:
            if name not in self._lapses_at and len(self._lapses_at) >= MAX_NAMES:
                continue
            is_new = is_new or name not in self._lapses_at
            self._lapses_at[name] = max(lapses_at, self._lapses_at.get(name, 0.0))
        return is_new

    def names(self) -> frozenset[str]:
        """Return the names that haven't lapsed."""
        return frozenset(self._lapses_at)

    def of_services(self, services: Iterable[str]) -> list[str]:
        """Return the names of targets of the services."""
        wanted = set(services)
        return sorted(n for n in self._lapses_at if n.partition("/")[0] in wanted)

    def expire(self) -> bool:
        """Forget lapsed names; return whether there were any."""
        now = self._clock.now()
        lapsed = [name for name, at in self._lapses_at.items() if at <= now]
        for name in lapsed:
            del self._lapses_at[name]
        return bool(lapsed)
