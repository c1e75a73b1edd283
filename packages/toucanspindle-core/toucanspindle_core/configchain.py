"""Reads the configuration head and its predecessors.

Each head names the digest of the previous head, which the platform stores as an immutable part.
HeadChain follows these digests to list the history and to find a change by its id or a head by its
generation.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from pydantic import ValidationError

from toucanspindle_core import errorcodes
from toucanspindle_core.configparts import ConfigPartError, missing_part_error, verified_value
from toucanspindle_core.objects import (
    CONFIG_KIND,
    HEAD_NAME,
    PART_KIND,
    ConfigHead,
    canonical_json,
)
from toucanspindle_core.platformclient import StoredObject


class ObjectStore(Protocol):
    """The part of PlatformClient that the configuration uses; tests supply an in-memory fake."""

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it doesn't exist."""
        ...

    def create(self, kind: str, name: str, value: Any) -> int:
        """Create an object and return its version; raise ConflictError if it exists."""
        ...

    def replace(self, kind: str, name: str, value: Any, version: int) -> int:
        """Replace an object and return its new version.

        Raises ConflictError if the stored version isn't `version`.
        """
        ...


@dataclass(frozen=True)
class StoredHead:
    """A configuration head and the version that a conditional replace must name."""

    head: ConfigHead
    version: int


class HeadChain:
    """The current head and its predecessors, read from the platform at each call.

    Every method raises PlatformError if the platform can't be used and ConfigPartError if a head
    is malformed or missing.
    """

    def __init__(self, objects: ObjectStore) -> None:
        """Create a chain over the platform's objects."""
        self._objects = objects

    def read_head(self) -> StoredHead | None:
        """Return the current head, or None if no configuration was applied yet."""
        stored = self._objects.read(CONFIG_KIND, HEAD_NAME)
        if stored is None:
            return None
        return StoredHead(parse_head(stored.value), stored.version)

    def iter_heads(self) -> Iterator[ConfigHead]:
        """Yield the current head and all its predecessors, newest first."""
        stored = self.read_head()
        head = stored.head if stored else None
        while head is not None:
            yield head
            head = self._read_previous(head) if head.previous else None

    def find_generation(self, generation: int) -> ConfigHead | None:
        """Return the head of a generation, or None if no accepted head has it."""
        for head in self.iter_heads():
            if head.generation <= generation:
                return head if head.generation == generation else None
        return None

    def find_change(self, change_id: str, above_generation: int = 0) -> ConfigHead | None:
        """Return the head of a change, or None if the change wasn't accepted.

        Searches only generations above `above_generation`.
        """
        for head in self.iter_heads():
            if head.generation <= above_generation:
                return None
            if head.change_id == change_id:
                return head
        return None

    def _read_previous(self, head: ConfigHead) -> ConfigHead:
        stored = self._objects.read(PART_KIND, head.previous)
        if stored is None:
            raise missing_part_error(head, "previous", head.previous)
        data = canonical_json(stored.value)
        return parse_head(verified_value("previous", head.previous, data))


def parse_head(value: Any) -> ConfigHead:
    """Return the head that a JSON value describes; raise ConfigPartError if it is malformed."""
    try:
        return ConfigHead.model_validate(value)
    except ValidationError as error:
        raise ConfigPartError(
            errorcodes.CONFIG_HEAD_MALFORMED,
            f"The configuration head is malformed: {error}.",
            "restore the object config/head in the platform; nodes keep the configuration in force",
        ) from error
