"""The configuration this agent holds: verified, whole, and never of a lower generation.

A bundle is applied only if its generation is higher, its head is valid and names that
generation, and every part is at hand and matches its digest.  Parts that the held configuration
shares with the new one needn't be sent again.  The digests of the last few generations are
remembered, so that a peer that names its own generation is sent only the parts it lacks.
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


class Offered(Enum):
    """What became of a bundle that was offered."""

    APPLIED = "applied"
    NOT_HIGHER = "not higher"
    INCOMPLETE = "incomplete"
    MALFORMED = "malformed"


class ConfigCache:
    """Holds the highest configuration that was offered whole.

    Invariant: `generation` never decreases, and `_parts` holds every part of `_head`.
    """

    def __init__(self) -> None:
        self._head: ConfigHead | None = None
        self._head_data = b""
        self._parts: dict[str, bytes] = {}
        self._digests_by_generation: OrderedDict[int, frozenset[str]] = OrderedDict()
        self._policy: FleetPolicy | None = None

    @property
    def generation(self) -> int:
        """The generation held, or 0 before the first."""
        return self._head.generation if self._head else 0

    @property
    def policy(self) -> FleetPolicy | None:
        """The merged configuration without expired exceptions, or None before the first."""
        if self._policy is not None:
            self._policy = self._policy.at(datetime.now(UTC))
        return self._policy

    def lacks(self, head: ConfigHead) -> dict[str, str]:
        """Return the parts of a head that aren't held, digest by role."""
        return {role: digest for role, digest in head.parts.items() if digest not in self._parts}

    def offer(self, bundle: ConfigBundle) -> Offered:
        """Apply a bundle if it is higher, whole and genuine; else keep the one held.

        In `spec/configuration.py`: guards APPLY_HIGHER_ONLY and APPLY_WHOLE.
        """
        if bundle.generation <= self.generation:
            return Offered.NOT_HIGHER
        try:
            head = ConfigHead.model_validate_json(bundle.head)
        except ValidationError:
            return Offered.MALFORMED
        if head.generation != bundle.generation:
            return Offered.MALFORMED
        available = {**bundle.parts, **self._parts}
        if any(digest not in available for digest in head.parts.values()):
            return Offered.INCOMPLETE
        try:
            policy = self._build(head, available)
        except ConfigPartError:
            return Offered.MALFORMED
        self._head, self._head_data, self._policy = head, bundle.head, policy
        self._parts = {digest: available[digest] for digest in head.parts.values()}
        self._remember(head)
        return Offered.APPLIED

    def bundle(self) -> ConfigBundle:
        """Return the whole configuration held, or an empty bundle."""
        return self.bundle_above(0) if self._head else ConfigBundle()

    def bundle_above(self, generation: int) -> ConfigBundle:
        """Return what a peer at `generation` lacks, or an empty bundle if it isn't behind."""
        if self._head is None or generation >= self.generation:
            return ConfigBundle()
        held = self._digests_by_generation.get(generation, frozenset())
        parts = {digest: data for digest, data in self._parts.items() if digest not in held}
        return ConfigBundle(generation=self.generation, head=self._head_data, parts=parts)

    def _build(self, head: ConfigHead, available: Mapping[str, bytes]) -> FleetPolicy:
        for role, digest in self.lacks(head).items():
            verified_value(role, digest, available[digest])
        return merge_policy(join_encoded(head, available), head.generation)

    def _remember(self, head: ConfigHead) -> None:
        self._digests_by_generation[head.generation] = frozenset(head.parts.values())
        while len(self._digests_by_generation) > KEPT_GENERATIONS:
            self._digests_by_generation.popitem(last=False)
