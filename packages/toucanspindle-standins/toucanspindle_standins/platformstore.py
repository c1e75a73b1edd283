"""Objects of the stand-in platform: versions, conditional updates and waiting watches.

Each object has a version that grows by one per write and doesn't start again after a delete, so
that a conditional update can't mistake a new object for an old one.  Earlier values are kept, a
bounded number of them, so that a restore of an older state can be induced.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

MAX_VALUE_BYTES: Final = 1_000_000
KEPT_VERSIONS: Final = 64


class WriteStatus(Enum):
    """How a conditional write ended."""

    DONE = "done"
    ABSENT = "absent"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The end of a write; `version` is the stored object's version afterwards."""

    status: WriteStatus
    version: int


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A value, as JSON bytes, with its version."""

    version: int
    value: bytes


@dataclass(slots=True)
class _Slot:
    current: StoredValue | None = None
    last_version: int = 0
    history: deque[StoredValue] = field(default_factory=lambda: deque(maxlen=KEPT_VERSIONS))
    watches: list["Watch"] = field(default_factory=list)


class Watch:
    """One waiting watch: `on_change` is called once, with the value that ends it."""

    __slots__ = ("_slot", "after", "on_change")

    def __init__(self, slot: _Slot, after: int, on_change: Callable[[StoredValue], None]) -> None:
        self._slot = slot
        self.after = after
        self.on_change = on_change

    def cancel(self) -> None:
        """Stop waiting; harmless when the watch has ended already."""
        if self in self._slot.watches:
            self._slot.watches.remove(self)


class PlatformStore:
    """All objects, by kind and name.

    Invariant: the version of an object never decreases, except by `restore`.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self._slots: dict[str, dict[str, _Slot]] = {}

    def read(self, kind: str, name: str) -> StoredValue | None:
        """Return an object or None."""
        slot = self._slots.get(kind, {}).get(name)
        return slot.current if slot else None

    def list_kind(self, kind: str) -> list[tuple[str, StoredValue]]:
        """Return names and values of a kind, sorted by name."""
        slots = sorted(self._slots.get(kind, {}).items())
        return [(name, slot.current) for name, slot in slots if slot.current is not None]

    def write(self, kind: str, name: str, value: bytes, expected: int | None) -> WriteResult:
        """Store a value if the object has the expected version; None: if there is no object."""
        slot = self._slot(kind, name)
        refusal = _check(slot, expected)
        if refusal is not None:
            return refusal
        self._store(slot, StoredValue(slot.last_version + 1, value))
        return WriteResult(WriteStatus.DONE, slot.last_version)

    def delete(self, kind: str, name: str, expected: int) -> WriteResult:
        """Delete an object of the expected version."""
        slot = self._slot(kind, name)
        refusal = _check(slot, expected)
        if refusal is not None:
            return refusal
        slot.current = None
        return WriteResult(WriteStatus.DONE, slot.last_version)

    def watch(
        self, kind: str, name: str, after: int, on_change: Callable[[StoredValue], None]
    ) -> Watch:
        """Wait for a version above `after`; `on_change` may be called at once."""
        slot = self._slot(kind, name)
        watch = Watch(slot, after, on_change)
        if slot.current is not None and slot.current.version > after:
            on_change(slot.current)
        else:
            slot.watches.append(watch)
        return watch

    def restore(self, kind: str, name: str, version: int) -> bool:
        """Bring an earlier version back as if the store had been restored from a backup."""
        slot = self._slot(kind, name)
        for old in slot.history:
            if old.version == version:
                slot.current = old
                slot.last_version = version
                return True
        return False

    def _slot(self, kind: str, name: str) -> _Slot:
        return self._slots.setdefault(kind, {}).setdefault(name, _Slot())

    def _store(self, slot: _Slot, stored: StoredValue) -> None:
        slot.current = stored
        slot.last_version = stored.version
        slot.history.append(stored)
        due = [watch for watch in slot.watches if stored.version > watch.after]
        for watch in due:
            watch.cancel()
            watch.on_change(stored)


def _check(slot: _Slot, expected: int | None) -> WriteResult | None:
    if expected is None:
        if slot.current is None:
            return None
        return WriteResult(WriteStatus.CONFLICT, slot.current.version)
    if slot.current is None:
        return WriteResult(WriteStatus.ABSENT, 0)
    if slot.current.version != expected:
        return WriteResult(WriteStatus.CONFLICT, slot.current.version)
    return None
