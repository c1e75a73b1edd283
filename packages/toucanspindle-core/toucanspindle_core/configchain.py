"""Reads the configuration head and the chain of the heads before it.

Each head names the digest of the previous one, which is kept as an immutable part.  Following
that chain gives the history, finds a change by its id, and finds an earlier generation.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from pydantic import ValidationError

from toucanspindle_core import errorcodes
from toucanspindle_core.configparts import ConfigPartError, missing_part, verified_value
from toucanspindle_core.objects import (
    CONFIG_KIND,
    HEAD_NAME,
    PART_KIND,
    ConfigHead,
    canonical_json,
)
from toucanspindle_core.platformclient import StoredObject


class ObjectStore(Protocol):
    """The calls of the object API that the configuration needs; see PlatformClient."""

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None when there is none."""
        ...

    def create(self, kind: str, name: str, value: Any) -> int:
        """Create an object; raise ConflictError when it exists."""
        ...

    def replace(self, kind: str, name: str, value: Any, version: int) -> int:
        """Replace an object of the given version; raise ConflictError for another one."""
        ...


@dataclass(frozen=True)
class StoredHead:
    """A configuration head and the version that a conditional replace must name."""

    head: ConfigHead
    version: int


class HeadChain:
    """The current head and the heads before it, read anew at each call.

    Every method raises PlatformError when the platform can't be used and ConfigPartError when a
    head is malformed or missing.
    """

    def __init__(self, objects: ObjectStore) -> None:
        """Create a chain over the platform's objects."""
        self._objects = objects

    def read_head(self) -> StoredHead | None:
        """Return the head, or None when nothing was applied yet."""
        stored = self._objects.read(CONFIG_KIND, HEAD_NAME)
        if stored is None:
            return None
        return StoredHead(parse_head(stored.value), stored.version)

    def walk(self) -> Iterator[ConfigHead]:
        """Yield every head, newest first."""
        stored = self.read_head()
        head = stored.head if stored else None
        while head is not None:
            yield head
            head = self._read_previous(head) if head.previous else None

    def find_generation(self, generation: int) -> ConfigHead | None:
        """Return the head of an accepted generation, or None when there is none."""
        for head in self.walk():
            if head.generation <= generation:
                return head if head.generation == generation else None
        return None

    def find_change(self, change_id: str, above_generation: int = 0) -> ConfigHead | None:
        """Return the head of an accepted change, or None when it isn't accepted.

        Generations up to `above_generation` aren't searched.
        """
        for head in self.walk():
            if head.generation <= above_generation:
                return None
            if head.change_id == change_id:
                return head
        return None

    def _read_previous(self, head: ConfigHead) -> ConfigHead:
        stored = self._objects.read(PART_KIND, head.previous)
        if stored is None:
            raise missing_part(head, "previous", head.previous)
        data = canonical_json(stored.value)
        return parse_head(verified_value("previous", head.previous, data))


def parse_head(value: Any) -> ConfigHead:
    """Return a head from its JSON value; raise ConfigPartError when it is malformed."""
    try:
        return ConfigHead.model_validate(value)
    except ValidationError as error:
        raise ConfigPartError(
            errorcodes.CONFIG_HEAD_MALFORMED,
            f"The configuration head is malformed: {error}.",
            "restore the object config/head in the platform; nodes keep what is in force",
        ) from error
