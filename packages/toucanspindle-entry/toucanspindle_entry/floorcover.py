"""Keeps a share of a service's targets in use while many of its requests fail.

Fleeing to the few targets that answered last starves the others of the traffic that would show
them well again.  So while nearly one in ten of the recent requests ends badly, targets that got
nothing lately are due for one request each, until the floor share of them is in use.

In calm the same holds for the targets that aren't believed sick: when all hosts lose power, what
was in use in the second before is all that counts, and nobody is left to mend it.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Final

WINDOW_S: Final = 2.0  # The operators judge the floor over spans of this length.
COVER_S: Final = 1.2  # A target counts as in use for so long after a request; 2 s less a margin.
STRESS_SHARE: Final = 0.08  # The floor is judged while a tenth ends badly; a fifth below that.
CALM_COVER_S: Final = 0.8  # Hosts may be killed 1 s into a span of 2 s, less a margin.
MIN_ENDS: Final = 8  # Fewer ends than that say little of a share.
SPACING_S: Final = 0.05  # Requests that are spent on cover are spread over time.


class FloorCover:
    """What one broker knows of its targets' use; times are in seconds of its clock."""

    def __init__(self, floor_share: float) -> None:
        """Create a cover that keeps `floor_share` of the targets in use under stress."""
        self._floor_share = floor_share
        self._ends: deque[tuple[float, bool]] = deque()
        self._bad_ends = 0
        self._granted_at: dict[str, float] = {}
        self._spent_at = float("-inf")

    def record_end(self, is_bad: bool, now: float) -> None:
        """Count the end of a request: served, or failed or refused."""
        self._ends.append((now, is_bad))
        self._bad_ends += is_bad

    def record_grant(self, target: str, now: float) -> None:
        """Note that a target gets a request."""
        self._granted_at[target] = now

    def granted_at(self, target: str) -> float:
        """Return when a target last got a request; minus infinity if it got none."""
        return self._granted_at.get(target, float("-inf"))

    def due(
        self, targets: Collection[str], is_trusted: Callable[[str], bool], now: float
    ) -> list[str]:
        """Return the targets that should get the next request; empty when there is no need.

        `is_trusted` tells whether a target isn't believed sick; it is asked in calm only.
        """
        if now - self._spent_at < SPACING_S:
            return []
        if self._is_stressed(now):
            return self._idle_below_floor(targets, COVER_S, now)
        trusted = [t for t in targets if is_trusted(t)]
        return self._idle_below_floor(trusted, CALM_COVER_S, now)

    def _idle_below_floor(self, targets: Collection[str], cover_s: float, now: float) -> list[str]:
        idle = [t for t in targets if now - self.granted_at(t) > cover_s]
        needed = math.ceil(self._floor_share * len(targets))
        return idle if len(targets) - len(idle) < needed else []

    def spend(self, now: float) -> None:
        """Note that a due target was chosen."""
        self._spent_at = now

    def retain(self, targets: Iterable[str]) -> None:
        """Forget targets that are no longer registered."""
        self._granted_at = {t: at for t, at in self._granted_at.items() if t in set(targets)}

    def _is_stressed(self, now: float) -> bool:
        while self._ends and now - self._ends[0][0] > WINDOW_S:
            _, was_bad = self._ends.popleft()
            self._bad_ends -= was_bad
        return len(self._ends) >= MIN_ENDS and self._bad_ends > STRESS_SHARE * len(self._ends)
