"""The registered targets that this host knows.

An entry that is missing after an outage of the store may be registered again shortly: it is kept as
unconfirmed until the grace after the outage ends.  Without an outage a missing entry is removed at
once.
"""

import math
from collections.abc import Iterable

from toucanspindle_core.clock import Clock

from toucanspindle_entry.model import TargetEntry, TargetState
from toucanspindle_entry.targets.targetnotices import TargetNotice, TargetNotices


class TargetTable:
    """The registered targets by name."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._entries: dict[str, TargetEntry] = {}
        self._unconfirmed_until: dict[str, float] = {}
        self._removed_started_ms: dict[str, int] = {}
        self._notices = TargetNotices()
        self._revision = 0
        self._newest_change = 0

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Names of targets whose entries are missing since an outage of the store."""
        return frozenset(self._unconfirmed_until)

    @property
    def notices(self) -> TargetNotices:
        """What targets have said of themselves in responses to this host."""
        return self._notices

    @property
    def size(self) -> int:
        """Number of known targets, unconfirmed ones included."""
        return len(self._entries)

    @property
    def newest_change(self) -> int:
        """The store revision of the newest change that this host has seen."""
        return self._newest_change

    def get(self, name: str) -> TargetEntry | None:
        """Return the entry of a target, or None if it is unknown."""
        return self._entries.get(name)

    def has_left(self, name: str, started_ms: int, revision: int) -> bool:
        """Return whether the target incarnation that started at `started_ms` is gone.

        An unconfirmed one counts as gone from the end of its grace.

        `revision` is that of the entry which another host has.  An entry that is unknown here was
        removed if this host knows the store up to that revision, and is a new one otherwise.
        """
        if self._removed_started_ms.get(name) == started_ms:
            return True
        if self._clock.now() >= self._unconfirmed_until.get(name, math.inf):
            return True
        return name not in self._entries and 0 < revision <= self._revision

    def of_service(self, service: str) -> list[TargetEntry]:
        """Return the entries of a service."""
        return [entry for entry in self._entries.values() if entry.service == service]

    def notices_of_service(self, service: str) -> list[TargetNotice]:
        """Return the notices that hold for the registered targets of a service."""
        return self._notices.of_targets(
            (entry.name, entry.started_ms) for entry in self.of_service(service)
        )

    def unusable(self, service: str) -> list[str]:
        """Return the ready targets of a service that this host may not use, by their responses."""
        if not self._notices:
            return []
        now = self._clock.now()
        return [
            entry.name
            for entry in self.of_service(service)
            if entry.state is TargetState.READY
            and (
                self._notices.is_leaving(entry.name, entry.started_ms)
                or self._notices.is_paused(entry.name, entry.started_ms, now)
            )
        ]

    def record_change(self, revision: int) -> None:
        """Record the store revision of a change."""
        self._newest_change = max(self._newest_change, revision)

    def advance_to(self, revision: int) -> None:
        """Record the store revision up to which the entries are known."""
        self._revision = max(self._revision, revision)

    def register(self, entry: TargetEntry) -> None:
        """Add or replace an entry; it is confirmed from now on."""
        self.record_change(entry.revision)
        self._entries[entry.name] = entry
        self._unconfirmed_until.pop(entry.name, None)
        self._removed_started_ms.pop(entry.name, None)

    def remove(self, name: str) -> None:
        """Remove an entry and remember its incarnation."""
        entry = self._entries.pop(name, None)
        self._unconfirmed_until.pop(name, None)
        if entry is not None:
            self._removed_started_ms[name] = entry.started_ms

    def mark_unconfirmed(self, name: str, grace_until: float) -> None:
        """Keep a missing entry as unconfirmed until a time in seconds of the clock."""
        if name in self._entries:
            self._unconfirmed_until.setdefault(name, grace_until)

    def replace_all(self, entries: Iterable[TargetEntry], grace_until: float | None) -> None:
        """Replace all entries by a listing; keep missing ones during the grace after an outage."""
        listed = {entry.name: entry for entry in entries}
        for name in list(self._entries):
            if name in listed:
                continue
            if grace_until is not None:
                self.mark_unconfirmed(name, grace_until)
            else:
                self.remove(name)
        for entry in listed.values():
            self.register(entry)

    def expire_unconfirmed(self) -> bool:
        """Remove unconfirmed entries whose grace has ended; return whether any was removed."""
        now = self._clock.now()
        expired = [name for name, until in self._unconfirmed_until.items() if now >= until]
        for name in expired:
            self.remove(name)
        return bool(expired)
