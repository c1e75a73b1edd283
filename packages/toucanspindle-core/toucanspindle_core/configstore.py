"""Stores the fleet configuration in the platform: reads it and accepts changes.

A change is accepted exactly when the conditional replace of `config/head` takes effect.  The steps
are: check the merged configuration, create the parts that the current head doesn't name, store the
current head as a part, and replace the head by one of the next generation.  The field `previous`
links each head to its predecessor, which keeps the history.

If the answer to the replace is lost, `configacceptance.py` finds out whether the replace took
effect.  While the platform is unreachable the outcome is unknown: the error CHANGE_UNCERTAIN
carries the change id, and `find_change` gives the outcome later.

Steps of spec/configuration.py: ReadHead, StoreParts; the replace is in `configacceptance.py`.
"""

import itertools
import uuid
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, Final

from toucanspindle_core import errorcodes
from toucanspindle_core.configacceptance import HeadReplacement, RetryPolicy
from toucanspindle_core.configchain import HeadChain, ObjectStore, StoredHead
from toucanspindle_core.configparts import (
    ConfigPart,
    join_parts,
    missing_part_error,
    split_config,
    verified_value,
)
from toucanspindle_core.configrules import check_config
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetdiff import compare_configs
from toucanspindle_core.objects import PART_KIND, ConfigHead, canonical_json, digest_of

PART_WRITE_ATTEMPTS: Final = 3
MAX_CHANGES_SHOWN: Final = 20


class ConfigStore:
    """Reads and changes the configuration in the platform.

    Invariant: the head is replaced only conditionally, and only by a head of a higher generation
    whose parts and previous head are stored already.
    """

    def __init__(self, objects: ObjectStore, retry_policy: RetryPolicy | None = None) -> None:
        """Create a store; `retry_policy` limits the retries after a lost answer."""
        self._objects = objects
        self._chain = HeadChain(objects)
        self._retry_policy = retry_policy or RetryPolicy()

    def read_head(self) -> StoredHead | None:
        """Return the current head, or None if no configuration was applied yet.

        Raises PlatformError if the platform can't be used, ConfigPartError if the head is
        malformed.
        """
        return self._chain.read_head()

    def read_config(self, head: ConfigHead) -> FleetConfig:
        """Return the configuration of a head.

        Raises ConfigPartError if a part is missing or corrupt, PlatformError if the platform can't
        be used.
        """
        values: dict[str, Any] = {}
        for role, digest in head.parts.items():
            stored = self._objects.read(PART_KIND, digest)
            if stored is None:
                raise missing_part_error(head, role, digest)
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
        `minimum_generation` is a lower bound for the new generation, for a platform that lost its
        newest head.  Raises SettingsError for violated rules, ConflictError if another change was
        accepted first, PlatformUncertainError with the change id if the outcome isn't known, and
        PlatformError or ConfigPartError if certainly nothing was accepted.
        """
        check_config(config, "The configuration")
        parts = split_config(config)
        try:
            base = self._read_base(based_on_generation)
            self._store_parts(parts, base)
            previous = self._store_previous(base)
        except PlatformUncertainError as error:
            raise _nothing_accepted_error(error) from error
        head = ConfigHead(
            generation=max(based_on_generation + 1, minimum_generation),
            change_id=uuid.uuid4().hex,
            parts={part.role: part.digest for part in parts},
            who=who,
            why=why,
            when=datetime.now(UTC),
            previous=previous,
        )
        if not HeadReplacement(self._objects, head, base, self._retry_policy).run():
            raise self.conflict_error(based_on_generation)
        return head

    def history(self, limit: int) -> Iterator[ConfigHead]:
        """Yield up to `limit` heads, newest first.

        Raises ConfigPartError at a missing or corrupt head.
        """
        return itertools.islice(self._chain.iter_heads(), limit)

    def find_generation(self, generation: int) -> ConfigHead | None:
        """Return the head of a generation, or None if no accepted head has it."""
        return self._chain.find_generation(generation)

    def find_change(self, change_id: str, above_generation: int = 0) -> ConfigHead | None:
        """Return the head of a change, or None if the change wasn't accepted.

        Searches only generations above `above_generation`.
        """
        return self._chain.find_change(change_id, above_generation)

    def _read_base(self, based_on_generation: int) -> StoredHead | None:
        base = self.read_head()
        if (base.head.generation if base else 0) == based_on_generation:
            return base
        raise self.conflict_error(based_on_generation)

    def conflict_error(self, based_on_generation: int) -> ConflictError:
        """Return the error for a change made from a generation other than the current one.

        Its text lists the changes accepted since; it reads them from the platform.
        """
        stored = self.read_head()
        current = stored.head.generation if stored else 0
        if stored is not None and current > based_on_generation:
            text = self._describe_changes_since(stored.head, based_on_generation)
        else:
            text = (
                f"The platform holds generation {current}, older than generation"
                f" {based_on_generation} that the change was made from.\n"
            )
        return ConflictError(
            errorcodes.CONFIG_CONFLICT,
            f"{text}Nothing of yours was accepted, and your file is unchanged.",
            "take what you want to keep of the other change into your file, look at `toucanctl"
            f" config dry-run FILE`, and apply it again with --based-on {current}; a command"
            " without a file can simply be repeated",
        )

    def _describe_changes_since(self, current: ConfigHead, based_on_generation: int) -> str:
        """List the heads accepted since a generation, and the values that they changed."""
        lines = []
        base = None
        for head in self._chain.iter_heads():
            if head.generation <= based_on_generation:
                base = head
                break
            lines.append(f"\n  generation {head.generation} by {head.who}: {head.why}")
        before = self.read_config(base) if base else None
        changes = compare_configs(before, self.read_config(current)).changes
        lines.extend(f"\n    {change}" for change in changes[:MAX_CHANGES_SHOWN])
        if len(changes) > MAX_CHANGES_SHOWN:
            lines.append(f"\n    and {len(changes) - MAX_CHANGES_SHOWN} more")
        return f"Accepted since generation {based_on_generation}:{''.join(lines)}\n"

    def _store_parts(self, parts: list[ConfigPart], base: StoredHead | None) -> None:
        stored_digests = set(base.head.parts.values()) if base else set()
        for part in parts:
            if part.digest not in stored_digests:
                self._store_part(part.digest, part.value)

    def _store_previous(self, base: StoredHead | None) -> str:
        if base is None:
            return ""
        value = base.head.model_dump(mode="json")
        digest = digest_of(canonical_json(value))
        self._store_part(digest, value)
        return digest

    def _store_part(self, digest: str, value: Any) -> None:
        """Create an immutable part unless it exists; overwrite it if it is corrupt."""
        for attempts_left in reversed(range(PART_WRITE_ATTEMPTS)):
            try:
                self._objects.create(PART_KIND, digest, value)
                return
            except ConflictError:
                if self._repair_part(digest, value):
                    return
            except PlatformUncertainError:
                if attempts_left == 0:
                    raise
                self._retry_policy.wait()

    def _repair_part(self, digest: str, value: Any) -> bool:
        stored = self._objects.read(PART_KIND, digest)
        if stored is None:
            return False
        if digest_of(canonical_json(stored.value)) != digest:
            self._objects.replace(PART_KIND, digest, value, stored.version)
        return True


def _nothing_accepted_error(error: PlatformUncertainError) -> PlatformError:
    return PlatformError(error.code, f"{error.text} Nothing was accepted.", error.remedy)
