"""Registered targets as this host knows them, and which of them may take new work.

An entry that is missing after an outage of the store may come back within moments: it stays usable,
as unconfirmed, until the grace is over.  In quiet times a removed entry is gone at once.
"""

from collections.abc import Iterable
from typing import Final

from toucanspindle_core.clock import Clock

from toucanspindle_entry.model import TargetEntry

LAPSE_GRACE_S: Final = 2.0  # Live targets register again this soon after the store's return.


class TargetTable:
    """The registered targets by name."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._entries: dict[str, TargetEntry] = {}
        self._unconfirmed: dict[str, float] = {}
        self._removed: dict[str, int] = {}

    @property
    def unconfirmed(self) -> frozenset[str]:
        """Targets whose entries lapsed while the store was away."""
        return frozenset(self._unconfirmed)

    @property
    def size(self) -> int:
        """How many targets are known."""
        return len(self._entries)

    def get(self, name: str) -> TargetEntry | None:
        """Return a target's entry, or None."""
        return self._entries.get(name)

    def has_left(self, name: str, started_ms: int) -> bool:
        """Return whether an incarnation of a target is known to have left."""
        return self._removed.get(name) == started_ms

    def of_service(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service."""
        return [entry for entry in self._entries.values() if entry.service == service]

    def put(self, entry: TargetEntry) -> None:
        """Take over an entry."""
        self._entries[entry.name] = entry
        self._unconfirmed.pop(entry.name, None)
        self._removed.pop(entry.name, None)

    def remove(self, name: str) -> None:
        """Take note that a target has left."""
        entry = self._entries.pop(name, None)
        self._unconfirmed.pop(name, None)
        if entry is not None:
            self._removed[name] = entry.started_ms

    def lapse(self, name: str) -> None:
        """Take note that an entry is missing, perhaps only because the store was away."""
        if name in self._entries:
            self._unconfirmed.setdefault(name, self._clock.now() + LAPSE_GRACE_S)

    def replace_all(self, entries: Iterable[TargetEntry], after_outage: bool) -> None:
        """Take over a whole listing; `after_outage` keeps missing entries for a moment."""
        listed = {entry.name: entry for entry in entries}
        for name in list(self._entries):
            if name in listed:
                continue
            if after_outage:
                self.lapse(name)
            else:
                self.remove(name)
        for entry in listed.values():
            self.put(entry)

    def expire_unconfirmed(self) -> bool:
        """Remove entries that didn't come back; return whether there were any."""
        now = self._clock.now()
        expired = [name for name, until in self._unconfirmed.items() if now >= until]
        for name in expired:
            self.remove(name)
        return bool(expired)
