"""Keeps the fleet configuration in the platform: reads it and accepts changes.

A change is accepted when the conditional replace of `config/head` takes effect, and by nothing
else.  The steps are: check the merged configuration, create the parts that the current head
doesn't name, keep the current head as a part, replace the head with the next generation.  The
previous heads form a chain through `previous`, so that the history lasts.

The answer to the replace can be lost.  Then the head and its chain are searched for the
change's own id before the same replace is tried again.  A second replace of the same version
can't take effect twice, because it names the version that the first would have replaced.  While
the platform stays away the outcome stays open: CHANGE_UNCERTAIN carries the change id, and
`find_change` tells later.
"""

import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Final, Protocol

from pydantic import ValidationError

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock, MonotonicClock
from toucanspindle_core.configparts import (
    ConfigPart,
    ConfigPartError,
    join_parts,
    missing_part,
    split_config,
    verified_value,
)
from toucanspindle_core.configrules import check_config
from toucanspindle_core.errors import (
    ConflictError,
    PlatformError,
    PlatformUncertainError,
    ToucanError,
)
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.objects import (
    CONFIG_KIND,
    HEAD_NAME,
    PART_KIND,
    ConfigHead,
    canonical_json,
    digest_of,
)
from toucanspindle_core.platformclient import StoredObject

UNCERTAIN_PATIENCE_S: Final = 10.0
RETRY_PAUSE_S: Final = 0.25
PART_TRIES: Final = 3


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


class ConfigStore:
    """Reads and changes the configuration that the platform holds.

    Invariant: the head is only ever replaced conditionally, by one of a higher generation whose
    parts, and whose previous head, are stored already.
    """

    def __init__(
        self,
        objects: ObjectStore,
        clock: Clock | None = None,
        pause: Callable[[float], None] = time.sleep,
        patience_s: float = UNCERTAIN_PATIENCE_S,
    ) -> None:
        """Create a store; `patience_s` is how long a lost answer is asked after."""
        self._objects = objects
        self._clock = clock or MonotonicClock()
        self._pause = pause
        self._patience_s = patience_s

    def read_head(self) -> StoredHead | None:
        """Return the head, or None when nothing was applied yet.

        Raises PlatformError, or ConfigPartError when the head is malformed.
        """
        stored = self._objects.read(CONFIG_KIND, HEAD_NAME)
        if stored is None:
            return None
        return StoredHead(parse_head(stored.value), stored.version)

    def read_config(self, head: ConfigHead) -> FleetConfig:
        """Return the configuration of a head; raise ConfigPartError when a part is unusable."""
        values: dict[str, Any] = {}
        for role, digest in head.parts.items():
            stored = self._objects.read(PART_KIND, digest)
            if stored is None:
                raise missing_part(head, role, digest)
            values[role] = verified_value(role, digest, canonical_json(stored.value))
        return join_parts(values)

    def accept(
        self,
        config: FleetConfig,
        who: str,
        why: str,
        based_on_generation: int,
        minimum_generation: int = 1,
    ) -> ConfigHead:
        """Make `config` the next generation; return its head once it is accepted.

        `based_on_generation` is the generation that the change was made from, 0 for none.
        `minimum_generation` lifts the new generation, for a platform that lost its newest head.
        Raises SettingsError for broken rules, ConflictError when another change came first,
        PlatformUncertainError with the change id when the outcome isn't known, and PlatformError
        when certainly nothing was accepted.
        """
        check_config(config, "The configuration")
        parts = split_config(config)
        try:
            base = self._read_base(based_on_generation)
            self._store_parts(parts, base)
            previous = self._store_previous(base)
        except PlatformUncertainError as error:
            raise _nothing_accepted(error) from error
        head = ConfigHead(
            generation=max(based_on_generation + 1, minimum_generation),
            change_id=uuid.uuid4().hex,
            parts={part.role: part.digest for part in parts},
            who=who,
            why=why,
            when=datetime.now(UTC),
            previous=previous,
        )
        return _Acceptance(self, self._objects, head, base).run()

    def history(self, limit: int) -> Iterator[ConfigHead]:
        """Yield up to `limit` heads, newest first; raise ConfigPartError at a broken link."""
        stored = self.read_head()
        if stored is None:
            return
        head = stored.head
        for _ in range(limit - 1):
            yield head
            if not head.previous:
                return
            head = self._read_previous(head)
        yield head

    def find_generation(self, generation: int) -> ConfigHead | None:
        """Return the head of an accepted generation, or None when there is none."""
        for head in self._chain():
            if head.generation == generation:
                return head
            if head.generation < generation:
                return None
        return None

    def find_change(self, change_id: str, above_generation: int = 0) -> ConfigHead | None:
        """Return the head of an accepted change, or None when it isn't accepted.

        Generations up to `above_generation` aren't searched.
        """
        for head in self._chain():
            if head.generation <= above_generation:
                return None
            if head.change_id == change_id:
                return head
        return None

    def _chain(self) -> Iterator[ConfigHead]:
        stored = self.read_head()
        head = stored.head if stored else None
        while head is not None:
            yield head
            head = self._read_previous(head) if head.previous else None

    def _read_previous(self, head: ConfigHead) -> ConfigHead:
        stored = self._objects.read(PART_KIND, head.previous)
        if stored is None:
            raise missing_part(head, "previous", head.previous)
        data = canonical_json(stored.value)
        return parse_head(verified_value("previous", head.previous, data))

    def _read_base(self, based_on_generation: int) -> StoredHead | None:
        base = self.read_head()
        if (base.head.generation if base else 0) == based_on_generation:
            return base
        raise self.conflict(based_on_generation)

    def conflict(self, based_on_generation: int) -> ConflictError:
        """Return the error for a change made from a generation that isn't the current one."""
        stored = self.read_head()
        if stored is None:
            text = f"Generation {based_on_generation} isn't in the platform, which holds none."
        elif stored.head.generation < based_on_generation:
            text = (
                f"The platform holds generation {stored.head.generation}, older than"
                f" {based_on_generation} that the change was made from."
            )
        else:
            text = self._describe_other(stored.head, based_on_generation)
        return ConflictError(
            errorcodes.CONFIG_CONFLICT,
            f"{text} Nothing of yours was accepted, and your file is unchanged.",
            "look at `toucanctl config history` and `toucanctl config dry-run FILE`, take the"
            " other change into your file if you want to keep it, and apply again",
        )

    def _describe_other(self, current: ConfigHead, based_on_generation: int) -> str:
        """Name every change accepted since, and the settings that they changed."""
        lines = []
        base = None
        for head in self._chain():
            if head.generation <= based_on_generation:
                base = head
                break
            lines.append(f"generation {head.generation} by {head.who}: {head.why}")
        text = f"Accepted since generation {based_on_generation}: {'; '.join(lines)}."
        if base is None:
            return text
        roles = _changed_roles(base, current)
        return f"{text} Changed parts: {', '.join(roles) or 'none'}."

    def _store_parts(self, parts: list[ConfigPart], base: StoredHead | None) -> None:
        known = set(base.head.parts.values()) if base else set()
        for part in parts:
            if part.digest not in known:
                self._store_part(part.digest, part.value)

    def _store_previous(self, base: StoredHead | None) -> str:
        if base is None:
            return ""
        value = base.head.model_dump(mode="json")
        digest = digest_of(canonical_json(value))
        self._store_part(digest, value)
        return digest

    def _store_part(self, digest: str, value: Any) -> None:
        """Create an immutable part; one that exists is fine, a damaged one is mended."""
        for left in reversed(range(PART_TRIES)):
            try:
                self._objects.create(PART_KIND, digest, value)
                return
            except ConflictError:
                if self._mend_part(digest, value):
                    return
            except PlatformUncertainError:
                if left == 0:
                    raise
                self._pause(RETRY_PAUSE_S)

    def _mend_part(self, digest: str, value: Any) -> bool:
        stored = self._objects.read(PART_KIND, digest)
        if stored is None:
            return False
        if digest_of(canonical_json(stored.value)) != digest:
            self._objects.replace(PART_KIND, digest, value, stored.version)
        return True

    @property
    def pause(self) -> Callable[[float], None]:
        """Return the function that waits for some seconds."""
        return self._pause

    @property
    def deadline(self) -> float:
        """Return the time at which a change started now stops asking after lost answers."""
        return self._clock.now() + self._patience_s

    def time_left(self, deadline: float) -> bool:
        """Return whether a deadline is still ahead."""
        return self._clock.now() < deadline


class _Acceptance:
    """One conditional replace of the head, until its outcome is known.

    Invariant: every attempt names the same version and writes the same head, so that at most one
    takes effect.
    """

    def __init__(
        self, store: ConfigStore, objects: ObjectStore, head: ConfigHead, base: StoredHead | None
    ) -> None:
        self._store = store
        self._objects = objects
        self._head = head
        self._base = base
        self._uncertain = False

    def run(self) -> ConfigHead:
        """Return the head once accepted; raise as ConfigStore.accept does."""
        deadline = self._store.deadline
        while True:
            try:
                return self._attempt()
            except PlatformUncertainError as error:
                failure: ToucanError = error
                self._uncertain = True
            except ConflictError:
                raise
            except (PlatformError, ConfigPartError) as error:
                if not self._uncertain:
                    raise
                failure = error
            if not self._store.time_left(deadline):
                raise self._outcome_open(failure) from failure
            self._store.pause(RETRY_PAUSE_S)

    def _attempt(self) -> ConfigHead:
        if self._uncertain and self._took_effect():
            return self._head
        try:
            self._write()
        except ConflictError:
            if self._took_effect():
                return self._head
            raise self._store.conflict(self._base_generation) from None
        return self._head

    @property
    def _base_generation(self) -> int:
        return self._base.head.generation if self._base else 0

    def _write(self) -> None:
        value = self._head.model_dump(mode="json")
        if self._base is None:
            self._objects.create(CONFIG_KIND, HEAD_NAME, value)
        else:
            self._objects.replace(CONFIG_KIND, HEAD_NAME, value, self._base.version)

    def _took_effect(self) -> bool:
        """Look for the own change id in the head and the heads before it."""
        found = self._store.find_change(self._head.change_id, self._base_generation)
        return found is not None

    def _outcome_open(self, error: ToucanError) -> PlatformUncertainError:
        change_id = self._head.change_id
        return PlatformUncertainError(
            errorcodes.CHANGE_UNCERTAIN,
            f"Whether change {change_id} was accepted isn't known: {error.text}",
            f"ask with `toucanctl config find {change_id}` once the platform answers; apply"
            " again only if that says it wasn't accepted",
        )


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


def _changed_roles(before: ConfigHead, after: ConfigHead) -> list[str]:
    roles = sorted(set(before.parts) | set(after.parts))
    return [role for role in roles if before.parts.get(role) != after.parts.get(role)]


def _nothing_accepted(error: PlatformUncertainError) -> PlatformError:
    return PlatformError(error.code, f"{error.text} Nothing was accepted.", error.remedy)
