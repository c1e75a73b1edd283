"""Detects that this host misses changes of the store that other hosts have seen.

A call that waits for changes can be lost without any notice, and then returns nothing until its
timeout of half a minute.  Hosts therefore tell each other the revision of the newest change that
they have seen.  A host that still doesn't know that revision MAX_LAG_S after it has heard of it
must list the objects again.
"""

from typing import Final

MAX_LAG_S: Final = 1.0  # Longer than the pause between two calls for changes of targets.


class MissedChanges:
    """Compares the changes that other hosts have seen with those of this host."""

    def __init__(self) -> None:
        """Create a detector that has heard of no change."""
        self._awaited_revision = 0
        self._awaited_since = 0.0

    def is_overdue(self, heard_revision: int, known_revision: int, now: float) -> bool:
        """Return whether a change is overdue, when another host tells its newest one.

        `known_revision` is the revision up to which this host knows all changes, and `now` is in
        seconds of its clock.  An overdue change is reported once.
        """
        if self._awaited_revision <= known_revision:
            self._awaited_revision = heard_revision if heard_revision > known_revision else 0
            self._awaited_since = now
            return False
        if now - self._awaited_since < MAX_LAG_S:
            return False
        self._awaited_revision = 0
        return True
