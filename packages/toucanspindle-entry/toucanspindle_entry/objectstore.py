"""The platform's object store as an entry process needs it.

An adapter implements `ObjectStore`; its errors are the `PlatformError` family of the core.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class ObjectKind(Enum):
    """Kinds of objects that an entry process uses."""

    PLAN = "plan"
    TARGETS = "targets"
    HOSTS = "hosts"


@dataclass(frozen=True)
class StoreItem:
    """A stored object, decoded; `value` is None where the object can't be read."""

    name: str
    value: Any


@dataclass(frozen=True)
class StoreListing:
    """All objects of a kind at one revision of the store."""

    items: tuple[StoreItem, ...]
    revision: int


@dataclass(frozen=True)
class StoreChange:
    """One change of an object; `value` is None for a removed or unreadable object."""

    name: str
    value: Any
    removed: bool


@dataclass(frozen=True)
class StoreChanges:
    """Changes after a revision, oldest first, and the revision to go on from."""

    changes: tuple[StoreChange, ...]
    revision: int


class HistoryLostError(Exception):
    """The store no longer has the changes since a revision; the kind must be listed again."""


class ObjectStore(Protocol):
    """Calls to the store."""

    async def list_all(self, kind: ObjectKind, may_be_stale: bool = False) -> StoreListing:
        """Return all objects of a kind; raise PlatformError."""
        ...

    async def watch(self, kind: ObjectKind, revision: int) -> StoreChanges:
        """Wait for changes after a revision; raise PlatformError or HistoryLostError."""
        ...

    async def put_host(self, name: str, value: Any) -> None:
        """Write this host's own entry, whether or not it exists; raise PlatformError."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
