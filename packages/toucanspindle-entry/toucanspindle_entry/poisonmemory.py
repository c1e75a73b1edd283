"""Remembers which requests of a service broke the connections of the targets that ran them.

A request that broke a few distinct targets and was answered by none isn't run again.  One that was
answered is no poison: sick targets that reset connections would otherwise bar a popular look-up.
"""

from typing import Any, Final

CRASHES_OF_POISON: Final = 3  # Distinct targets that a request broke before it is refused.
POISON_MEMORY_S: Final = 120.0
MAX_POISON: Final = 4096


class PoisonMemory:
    """Requests by fingerprint; times are in seconds of the owner's clock."""

    def __init__(self) -> None:
        """Create an empty memory."""
        self._crashes: dict[str, tuple[set[str], float]] = {}
        self._answered: dict[str, float] = {}

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Note that a target answered a request; one without a fingerprint isn't kept."""
        if fingerprint:
            self._answered[fingerprint] = now
            self._crashes.pop(fingerprint, None)
            _trim(self._answered)

    def record_crash(self, fingerprint: str, target: str, now: float) -> None:
        """Charge a broken connection to a request; `target` names an incarnation."""
        if fingerprint in self._answered:
            return
        targets, _ = self._crashes.get(fingerprint, (set(), 0.0))
        targets.add(target)
        self._crashes[fingerprint] = (targets, now + POISON_MEMORY_S)
        _trim(self._crashes)

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be run again."""
        targets, until = self._crashes.get(fingerprint, (set(), 0.0))
        return now < until and len(targets) >= CRASHES_OF_POISON


def _trim(table: dict[str, Any]) -> None:
    """Drop the oldest entry of a table that has grown over its bound."""
    if len(table) > MAX_POISON:
        del table[next(iter(table))]
