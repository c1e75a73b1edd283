"""Chooses the target for a request.

Of `sample_size` candidates drawn at random, the one with the lowest relative load is chosen: this
node's outstanding requests divided by the target's slots.  Ties are broken in favour of targets in
the node's own failure domain.  The nodes of a service are in different failure domains, so each
prefers a different part of the targets, and its own counts describe their actual load better.

A candidate of weight w < 1 (slow start, trickle after an ejection) takes part only in a share w of
the draws, one of weight 0 in none.  If no candidate takes part, those of weight above 0 are used.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

DEFAULT_SAMPLE_SIZE: Final = 12


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target as seen by one node.

    `outstanding` is the number of this node's requests in flight at the target, `slots` is at
    least 1, and `weight` is between 0 and 1.
    """

    name: str
    outstanding: int
    slots: int
    weight: float = 1.0
    same_domain: bool = False


class TargetChooser:
    """Chooses the candidate with the lowest load per slot in a random sample."""

    def __init__(
        self,
        random: Random,
        sample_size: int = DEFAULT_SAMPLE_SIZE,
        prefer_own_domain: bool = True,
    ) -> None:
        """Create a chooser that uses `random` and compares `sample_size` candidates per choice."""
        self._random = random
        self._sample_size = sample_size
        self._prefer_own_domain = prefer_own_domain

    def choose(
        self, candidates: Sequence[Candidate], exclude: Collection[str] = ()
    ) -> Candidate | None:
        """Return the chosen candidate, or None if all are excluded or have weight 0."""
        usable = [c for c in candidates if c.weight > 0 and c.name not in exclude]
        weighted_draw = [c for c in usable if c.weight >= 1 or self._random.random() < c.weight]
        pool = weighted_draw or usable
        if not pool:
            return None
        sample = self._random.sample(pool, min(self._sample_size, len(pool)))
        return min(sample, key=self._sort_key)

    def _sort_key(self, candidate: Candidate) -> tuple[float, bool]:
        load = candidate.outstanding / candidate.slots
        return load, self._prefer_own_domain and not candidate.same_domain
