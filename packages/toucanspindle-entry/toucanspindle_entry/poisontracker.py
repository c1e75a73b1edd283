"""Detects poison messages: requests whose targets lose their connections while running them.

A request counts as poison when it has crashed several distinct targets and none has answered it.
An answered request never counts: otherwise unhealthy targets that reset connections would get a
popular request blocked.

The limit is for the fleet, so a broker passes the crashes and the answers on to the hosts that may
be asked in its place.
"""

from typing import Any, Final

MIN_CRASHED_TARGETS: Final = 3  # Distinct target incarnations that a poison message crashed.
CRASH_MEMORY_S: Final = 120.0  # After a request's last crash.
MAX_TRACKED_REQUESTS: Final = 4096  # Bounds each of the two tables.


class PoisonTracker:
    """Tracks crashes and answers by request fingerprint; times are seconds of the owner's clock."""

    def __init__(self) -> None:
        """Create a tracker without history."""
        self._crashed_targets: dict[str, tuple[set[str], float]] = {}
        self._answered_at: dict[str, float] = {}

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Clear a request that a target answered; an empty fingerprint is ignored."""
        if fingerprint:
            self._answered_at[fingerprint] = now
            self._crashed_targets.pop(fingerprint, None)
            _evict_oldest(self._answered_at)

    def record_crash(self, fingerprint: str, target: str, now: float) -> None:
        """Count a lost connection against a request; `target` identifies an incarnation."""
        if fingerprint in self._answered_at:
            return
        targets, _ = self._crashed_targets.get(fingerprint, (set(), 0.0))
        targets.add(target)
        self._crashed_targets[fingerprint] = (targets, now + CRASH_MEMORY_S)
        _evict_oldest(self._crashed_targets)

    def crashed_targets(self, fingerprint: str) -> list[str]:
        """Return up to MIN_CRASHED_TARGETS incarnations that a request crashed, sorted."""
        targets, _ = self._crashed_targets.get(fingerprint, (set(), 0.0))
        return sorted(targets)[:MIN_CRASHED_TARGETS]

    def poison_messages(self, now: float) -> list[str]:
        """Return the fingerprints that count as poison."""
        return [
            fingerprint for fingerprint in self._crashed_targets if self.is_poison(fingerprint, now)
        ]

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request recently crashed at least MIN_CRASHED_TARGETS targets."""
        targets, expires_at = self._crashed_targets.get(fingerprint, (set(), 0.0))
        return now < expires_at and len(targets) >= MIN_CRASHED_TARGETS


def _evict_oldest(table: dict[str, Any]) -> None:
    """Remove the oldest entry of a table that exceeds its size limit."""
    if len(table) > MAX_TRACKED_REQUESTS:
        del table[next(iter(table))]
