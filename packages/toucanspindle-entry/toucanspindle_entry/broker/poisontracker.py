"""Detects poison messages: requests whose targets lose their connections while running them.

A request counts as poison when it has crashed several distinct targets, of any services, and none
has answered it.  Crashes don't count for ANSWER_EXEMPTION_S after an answer: otherwise unhealthy
targets that reset connections would get a popular request blocked.

The limit is for the fleet, and a route may send equal requests to several services.  So a host has
one tracker for the brokers of all services, and crashes and answers are passed on to the hosts that
may be asked in a broker's place and to the keepers of the request, who add up the crashes of all
services and tell all hosts of a poison message.
"""

from collections.abc import Iterable
from typing import Any, Final

MIN_CRASHED_TARGETS: Final = 3  # Distinct target incarnations that a poison message crashed.
CRASH_MEMORY_S: Final = 120.0  # After a request's last crash.
ANSWER_EXEMPTION_S: Final = 30.0
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
            self._answered_at.pop(fingerprint, None)  # The table is in the order of time.
            self._answered_at[fingerprint] = now
            self._crashed_targets.pop(fingerprint, None)
            _evict_oldest(self._answered_at)

    def record_crash(self, fingerprint: str, target: str, now: float) -> None:
        """Count a lost connection against a request; `target` identifies an incarnation."""
        answered_at = self._answered_at.get(fingerprint)
        if answered_at is not None and now - answered_at < ANSWER_EXEMPTION_S:
            return
        targets, _ = self._crashed_targets.get(fingerprint, (set(), 0.0))
        targets.add(target)
        self._crashed_targets[fingerprint] = (targets, now + CRASH_MEMORY_S)
        _evict_oldest(self._crashed_targets)

    def adopt(self, fingerprint: str, targets: Iterable[str], now: float) -> None:
        """Count the crashes that another host knows; no targets mean that one has answered.

        Crashes that this tracker has counted already don't extend its memory of them, even if that
        has expired: otherwise hosts that tell each other would never forget a request.
        """
        targets = list(targets)
        if not targets:
            self.record_answer(fingerprint, now)
        known, _ = self._crashed_targets.get(fingerprint, (set(), 0.0))
        for target in [target for target in targets if target not in known]:
            self.record_crash(fingerprint, target, now)

    def crashed_targets(self, fingerprint: str) -> list[str]:
        """Return up to MIN_CRASHED_TARGETS incarnations that a request crashed, sorted."""
        targets, _ = self._crashed_targets.get(fingerprint, (set(), 0.0))
        return sorted(targets)[:MIN_CRASHED_TARGETS]

    def poison_messages(self, now: float) -> list[tuple[str, list[str]]]:
        """Return the fingerprints that count as poison, with the targets that they crashed."""
        return [
            (fingerprint, self.crashed_targets(fingerprint))
            for fingerprint in self._crashed_targets
            if self.is_poison(fingerprint, now)
        ]

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether a request recently crashed at least MIN_CRASHED_TARGETS targets."""
        targets, expires_at = self._crashed_targets.get(fingerprint, (set(), 0.0))
        return now < expires_at and len(targets) >= MIN_CRASHED_TARGETS


def _evict_oldest(table: dict[str, Any]) -> None:
    """Remove the oldest entry of a table that exceeds its size limit."""
    if len(table) > MAX_TRACKED_REQUESTS:
        del table[next(iter(table))]
