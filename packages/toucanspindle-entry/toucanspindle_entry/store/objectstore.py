"""Interface to the platform's object store.

The era of the store rises each time it is restored from a copy.  Revisions that were given out
after the copy was made are given out again, so revisions compare only within an era.

An adapter implements `ObjectStore` and raises `PlatformError` or its subclasses.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class ObjectKind(Enum):
    """Kinds of objects that an entry process reads or writes."""

    PLAN = "plan"
    TARGETS = "targets"
    HOSTS = "hosts"


@dataclass(frozen=True)
class StoreItem:
    """A decoded object; `value` is None if the object can't be decoded.

    `revision` is the store revision of the object's last change, or 0 if it isn't known.
    """

    name: str
    value: Any
    revision: int = 0


@dataclass(frozen=True)
class StoreListing:
    """All objects of a kind, the store revision to watch from, and the era of the store."""

    items: tuple[StoreItem, ...]
    revision: int
    era: int = 0


@dataclass(frozen=True)
class StoreChange:
    """A change of an object; `value` is None if it was removed or can't be decoded.

    `revision` is the store revision of the change, or 0 if it isn't known.
    """

    name: str
    value: Any
    removed: bool
    revision: int = 0


@dataclass(frozen=True)
class StoreChanges:
    """Changes after a revision, oldest first, and the revision to watch from next.

    If `era` isn't that of the revision that was watched from, changes may be missing.
    """

    changes: tuple[StoreChange, ...]
    revision: int
    era: int = 0


class HistoryLostError(Exception):
    """The store no longer keeps the changes after a revision; list the kind again."""


class ObjectStore(Protocol):
    """Client of the store."""

    async def list_all(self, kind: ObjectKind, may_be_stale: bool = False) -> StoreListing:
        """Return all objects of a kind, perhaps outdated if `may_be_stale`; raise PlatformError."""
        ...

    async def watch(
        self, kind: ObjectKind, revision: int, max_wait_s: float | None = None
    ) -> StoreChanges:
        """Wait for changes after a revision; return no changes if the wait times out.

        `max_wait_s` is the longest wait; None leaves it to the adapter.
        Raises PlatformError, or HistoryLostError if the store no longer keeps those changes.
        """
        ...

    async def put_host(self, name: str, value: Any) -> int:
        """Create or replace the entry of this host; return the era, or raise PlatformError."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
