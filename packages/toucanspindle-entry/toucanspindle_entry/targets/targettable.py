"""The registered targets that this host knows.

An entry that is missing after an outage of the store may be registered again shortly: it is kept as
unconfirmed until the grace after the outage ends.  Without an outage a missing entry is removed at
once.

Revisions belong to an era of the store.  When a new era begins, the copy that the store was
restored from may lack entries, and may show a draining target as ready.  Both have until the end of
the grace to be written again.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

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
        self._removed: dict[str, tuple[int, int]] = {}  # Start time of the incarnation, and era.
        self._held_draining: dict[str, TargetEntry] = {}  # Ready in the copy, until the grace ends.
        self._notices = TargetNotices()
        self._revision = 0
        self._newest_change = 0
        self._era = 0
        self._settled_at = -math.inf  # The grace at the beginning of the era ends then.
        self._hear_era: Callable[[int], None] = lambda _: None

    def set_era_listener(self, hear_era: Callable[[int], None]) -> None:
        """Call `hear_era` with each newer era that another host's entries are of."""
        self._hear_era = hear_era

    @property
    def era(self) -> int:
        """The era of the store that the revisions belong to."""
        return self._era

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Names of targets whose entries are missing since an outage of the store."""
        return frozenset(self._unconfirmed_until)

    @property
    def is_settled(self) -> bool:
        """Whether all entries are as the store has them, with none kept for a grace."""
        return not self._unconfirmed_until and not self._held_draining

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

    def all_entries(self) -> list[TargetEntry]:
        """Return all entries."""
        return list(self._entries.values())

    def get(self, name: str) -> TargetEntry | None:
        """Return the entry of a target, or None if it is unknown."""
        return self._entries.get(name)

    def has_left(self, name: str, started_ms: int, revision: int, era: int = 0) -> bool:
        """Return whether the target incarnation that started at `started_ms` is gone.

        An unconfirmed one counts as gone from the end of its grace.

        `revision` and `era` are those of the entry which another host has.  An entry that is
        unknown here was removed if this host knows the store up to that revision, and is a new one
        otherwise.  One of an older era counts as removed from the end of the grace, by which live
        targets have been written again.
        """
        if era > self._era:
            self._hear_era(era)
        removed_started_ms, removed_in_era = self._removed.get(name, (None, 0))
        if removed_started_ms == started_ms and era <= removed_in_era:
            return True
        now = self._clock.now()
        if now >= self._unconfirmed_until.get(name, math.inf):
            return True
        if name in self._entries or not revision:
            return False
        if era != self._era:
            return era < self._era and now >= self._settled_at
        return 0 < revision <= self._revision

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

    def begin_era(self, era: int, settled_at: float) -> None:
        """Begin an era of the store, of which no revision is known yet.

        `settled_at` is when its grace ends, in seconds of the clock.  Nothing happens if the era is
        the current one.
        """
        if era != self._era:
            self._era = era
            self._settled_at = settled_at
            self._revision = 0
            self._newest_change = 0
            # Entries that were missing in the earlier era are written in the new one, too.
            self._unconfirmed_until = dict.fromkeys(self._unconfirmed_until, settled_at)

    def register(self, entry: TargetEntry) -> None:
        """Add or replace an entry; it is confirmed from now on."""
        self.record_change(entry.revision)
        self._held_draining.pop(entry.name, None)
        self._entries[entry.name] = entry
        self._unconfirmed_until.pop(entry.name, None)
        self._removed.pop(entry.name, None)

    def remove(self, name: str) -> None:
        """Remove an entry and remember its incarnation."""
        entry = self._entries.pop(name, None)
        self._unconfirmed_until.pop(name, None)
        self._held_draining.pop(name, None)
        if entry is not None:
            self._removed[name] = (entry.started_ms, self._era)

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
        is_settled = self._clock.now() >= self._settled_at
        for entry in listed.values():
            if is_settled or not self._is_drain_undone(entry):
                self.register(entry)
            else:
                self.register(dataclasses.replace(entry, state=TargetState.DRAINING))
                self._held_draining[entry.name] = entry

    def expire_unconfirmed(self) -> bool:
        """End the grace of entries for which it has passed; return whether anything changed.

        Entries that are still missing are removed, and those that were held as draining are ready.
        """
        now = self._clock.now()
        expired = [name for name, until in self._unconfirmed_until.items() if now >= until]
        for name in expired:
            self.remove(name)
        held = list(self._held_draining.values()) if now >= self._settled_at else []
        for entry in held:
            self.register(entry)
        return bool(expired or held)

    def _is_drain_undone(self, entry: TargetEntry) -> bool:
        """Return whether an entry is ready, and the same incarnation is draining here."""
        known = self._entries.get(entry.name)
        return (
            known is not None
            and known.started_ms == entry.started_ms
            and known.state is TargetState.DRAINING
            and entry.state is TargetState.READY
        )
