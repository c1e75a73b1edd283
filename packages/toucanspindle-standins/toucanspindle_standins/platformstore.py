"""Object store of the stand-in platform, with versions, conditional updates and watches.

The version of an object increases by one per write and isn't reset by a delete, so a conditional
update can't confuse a new object with a deleted one of the same name.  The latest 64 values of each
object are kept, so a test can restore an earlier one.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

MAX_VALUE_BYTES: Final = 1_000_000
MAX_KEPT_VERSIONS: Final = 64


class WriteStatus(Enum):
    """Result of a conditional write."""

    DONE = "done"
    ABSENT = "absent"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Status of a write; `version` is the object's version afterwards, 0 if it is absent."""

    status: WriteStatus
    version: int


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value as JSON bytes, with its version."""

    version: int
    value: bytes


@dataclass(slots=True)
class _ObjectRecord:
    current: StoredValue | None = None
    last_version: int = 0
    history: deque[StoredValue] = field(default_factory=lambda: deque(maxlen=MAX_KEPT_VERSIONS))
    watches: list["Watch"] = field(default_factory=list)


class Watch:
    """One pending watch; `on_change` is called once, with the first value above `after`."""

    __slots__ = ("_record", "after", "on_change")

    def __init__(
        self, record: _ObjectRecord, after: int, on_change: Callable[[StoredValue], None]
    ) -> None:
        self._record = record
        self.after = after
        self.on_change = on_change

    def cancel(self) -> None:
        """Remove the watch; do nothing if it has ended already."""
        if self in self._record.watches:
            self._record.watches.remove(self)


class PlatformStore:
    """All objects by kind and name.

    Invariant: only `restore` decreases the version of an object.
    """

    def __init__(self) -> None:
        """Create a store without objects."""
        self._records: dict[str, dict[str, _ObjectRecord]] = {}

    def read(self, kind: str, name: str) -> StoredValue | None:
        """Return an object, or None if it is absent."""
        record = self._records.get(kind, {}).get(name)
        return record.current if record else None

    def list_kind(self, kind: str) -> list[tuple[str, StoredValue]]:
        """Return the names and values of all objects of a kind, sorted by name."""
        records = sorted(self._records.get(kind, {}).items())
        return [(name, record.current) for name, record in records if record.current is not None]

    def write(self, kind: str, name: str, value: bytes, expected: int | None) -> WriteResult:
        """Store a value if the object has the expected version.

        With `expected` None, store it only if the object is absent.
        """
        record = self._record(kind, name)
        mismatch = _version_mismatch(record, expected)
        if mismatch is not None:
            return mismatch
        self._store(record, StoredValue(record.last_version + 1, value))
        return WriteResult(WriteStatus.DONE, record.last_version)

    def delete(self, kind: str, name: str, expected: int) -> WriteResult:
        """Delete an object if it has the expected version."""
        record = self._record(kind, name)
        mismatch = _version_mismatch(record, expected)
        if mismatch is not None:
            return mismatch
        record.current = None
        return WriteResult(WriteStatus.DONE, record.last_version)

    def watch(
        self, kind: str, name: str, after: int, on_change: Callable[[StoredValue], None]
    ) -> Watch:
        """Watch for a version above `after`.

        If the object already has one, `on_change` is called before this method returns.
        """
        record = self._record(kind, name)
        watch = Watch(record, after, on_change)
        if record.current is not None and record.current.version > after:
            on_change(record.current)
        else:
            record.watches.append(watch)
        return watch

    def restore(self, kind: str, name: str, version: int) -> bool:
        """Restore an earlier version, to simulate a restore of the store from a backup.

        Return False if the version isn't kept.
        """
        record = self._record(kind, name)
        for earlier in record.history:
            if earlier.version == version:
                record.current = earlier
                record.last_version = version
                return True
        return False

    def _record(self, kind: str, name: str) -> _ObjectRecord:
        return self._records.setdefault(kind, {}).setdefault(name, _ObjectRecord())

    def _store(self, record: _ObjectRecord, stored: StoredValue) -> None:
        record.current = stored
        record.last_version = stored.version
        record.history.append(stored)
        due = [watch for watch in record.watches if stored.version > watch.after]
        for watch in due:
            watch.cancel()
            watch.on_change(stored)


def _version_mismatch(record: _ObjectRecord, expected: int | None) -> WriteResult | None:
    if expected is None:
        if record.current is None:
            return None
        return WriteResult(WriteStatus.CONFLICT, record.current.version)
    if record.current is None:
        return WriteResult(WriteStatus.ABSENT, 0)
    if record.current.version != expected:
        return WriteResult(WriteStatus.CONFLICT, record.current.version)
    return None
