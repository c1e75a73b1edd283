"""Chooses the target that takes a request.

Of `sample_size` candidates drawn at random the one with the lowest relative load wins, the load
being this node's outstanding requests over the target's slots.  Ties go to targets in the node's
own failure domain: the nodes of a service stand in different failure domains, so each leans
towards its own share of the targets, and its own counts tell more about their true load.

A candidate of weight w < 1 (slow start, trickle after an ejection) takes part in a share w of
the draws only; one of weight 0 never takes part.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random
from typing import Final

DEFAULT_SAMPLE_SIZE: Final = 12


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target as one node sees it.

    `outstanding` counts this node's requests in flight there, `slots` is at least 1, and
    `weight` lies between 0 and 1.
    """

    name: str
    outstanding: int
    slots: int
    weight: float = 1.0
    same_domain: bool = False


class TargetChooser:
    """Fewest outstanding of a random sample, aware of slots, weights and failure domains."""

    def __init__(
        self,
        random: Random,
        sample_size: int = DEFAULT_SAMPLE_SIZE,
        prefer_own_domain: bool = True,
    ) -> None:
        """Create a chooser that draws from `random` and compares `sample_size` candidates."""
        self._random = random
        self._sample_size = sample_size
        self._prefer_own_domain = prefer_own_domain

    def choose(
        self, candidates: Sequence[Candidate], exclude: Collection[str] = ()
    ) -> Candidate | None:
        """Return the candidate to use, or None when all are excluded or have weight 0."""
        usable = [c for c in candidates if c.weight > 0 and c.name not in exclude]
        drawn = [c for c in usable if c.weight >= 1 or self._random.random() < c.weight]
        pool = drawn or usable
        if not pool:
            return None
        sample = self._random.sample(pool, min(self._sample_size, len(pool)))
        return min(sample, key=self._rank)

    def _rank(self, candidate: Candidate) -> tuple[float, bool]:
        load = candidate.outstanding / candidate.slots
        return load, self._prefer_own_domain and not candidate.same_domain
