"""The configuration that this agent holds: verified, complete, and never replaced by a lower one.

A bundle is applied only if its generation is higher than the one held, its head is valid and has
the same generation, and every part is available and matches its digest.  Parts that the new
configuration shares with the one held needn't be sent again.  The cache stores the digests of the
last `KEPT_GENERATIONS` generations, so that a peer that sends its own generation receives only the
parts that it lacks.
"""

from collections import OrderedDict
from collections.abc import Mapping
from datetime import UTC, datetime
from enum import Enum
from typing import Final

from pydantic import ValidationError
from toucanspindle_core.configparts import ConfigPartError, join_encoded, verified_value
from toucanspindle_core.control_pb2 import ConfigBundle
from toucanspindle_core.objects import ConfigHead
from toucanspindle_core.policy import FleetPolicy, merge_policy

KEPT_GENERATIONS: Final = 16


class OfferResult(Enum):
    """The result of offering a bundle; log messages contain the values."""

    APPLIED = "applied"
    NOT_HIGHER = "not higher"
    INCOMPLETE = "incomplete"
    MALFORMED = "malformed"


class ConfigCache:
    """Holds the highest complete configuration that was offered.

    Invariant: `generation` never decreases, and `_parts` has every part of `_head`.
    """

    def __init__(self) -> None:
        self._head: ConfigHead | None = None
        self._head_data = b""
        self._parts: dict[str, bytes] = {}
        self._digests_by_generation: OrderedDict[int, frozenset[str]] = OrderedDict()
        self._policy: FleetPolicy | None = None

    @property
    def generation(self) -> int:
        """The generation held, or 0 if there is none yet."""
        return self._head.generation if self._head else 0

    @property
    def policy(self) -> FleetPolicy | None:
        """The merged configuration without expired exceptions, or None if there is none yet."""
        if self._policy is not None:
            self._policy = self._policy.at(datetime.now(UTC))
        return self._policy

    def missing_parts(self, head: ConfigHead) -> dict[str, str]:
        """Return the parts of a head that this cache lacks, as digests by role."""
        return {role: digest for role, digest in head.parts.items() if digest not in self._parts}

    def offer(self, bundle: ConfigBundle) -> OfferResult:
        """Apply a bundle if its generation is higher and it is complete and valid.

        Otherwise the configuration held stays in force.

        In `spec/configuration.py`: guards APPLY_HIGHER_ONLY and APPLY_WHOLE.
        """
        if bundle.generation <= self.generation:
            return OfferResult.NOT_HIGHER
        try:
            head = ConfigHead.model_validate_json(bundle.head)
        except ValidationError:
            return OfferResult.MALFORMED
        if head.generation != bundle.generation:
            return OfferResult.MALFORMED
        available = {**bundle.parts, **self._parts}
        if any(digest not in available for digest in head.parts.values()):
            return OfferResult.INCOMPLETE
        try:
            policy = self._build_policy(head, available)
        except ConfigPartError:
            return OfferResult.MALFORMED
        self._head, self._head_data, self._policy = head, bundle.head, policy
        self._parts = {digest: available[digest] for digest in head.parts.values()}
        self._record_digests(head)
        return OfferResult.APPLIED

    def bundle(self) -> ConfigBundle:
        """Return the complete configuration, or an empty bundle if there is none."""
        return self.bundle_above(0) if self._head else ConfigBundle()

    def bundle_above(self, generation: int) -> ConfigBundle:
        """Return the head and the parts that a peer at `generation` lacks.

        The bundle is empty if the peer's generation isn't lower.
        """
        if self._head is None or generation >= self.generation:
            return ConfigBundle()
        held_digests = self._digests_by_generation.get(generation, frozenset())
        parts = {digest: data for digest, data in self._parts.items() if digest not in held_digests}
        return ConfigBundle(generation=self.generation, head=self._head_data, parts=parts)

    def _build_policy(self, head: ConfigHead, available: Mapping[str, bytes]) -> FleetPolicy:
        for role, digest in self.missing_parts(head).items():
            verified_value(role, digest, available[digest])
        return merge_policy(join_encoded(head, available), head.generation)

    def _record_digests(self, head: ConfigHead) -> None:
        self._digests_by_generation[head.generation] = frozenset(head.parts.values())
        while len(self._digests_by_generation) > KEPT_GENERATIONS:
            self._digests_by_generation.popitem(last=False)
