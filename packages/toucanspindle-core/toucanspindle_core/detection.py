"""What a judge expects of a way to detect sick targets.

A detector takes in counts of outcomes as observers report them and, at the end of each step,
names the targets that it holds to be sick.  It knows nothing of permits or of re-admission.  The
product uses `SequentialDetector`; the ways it was weighed against stand in `baselines.py`.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from toucanspindle_core.evidence import TargetOutcomes

STEP_S: Final = 0.5
ALL_DOMAINS: Final = ""


class FaultKind(Enum):
    """What is wrong with a target."""

    WRONG = "wrong answers"
    SLOW = "slow answers"
    UNHEALTHY = "unhealthy by its own account"


@dataclass(frozen=True)
class Verdict:
    """A target held to be sick.

    `from_domain` names the only failure domain whose observers are affected, or is ALL_DOMAINS.
    `evidence` says in plain words, with figures, what led to it.
    """

    target: str
    from_domain: str
    kind: FaultKind
    evidence: str


@dataclass(frozen=True, order=True)
class EjectedFrom:
    """A target that is ejected, for the observers of one failure domain or of ALL_DOMAINS."""

    target: str
    from_domain: str = ALL_DOMAINS


class Detector(Protocol):
    """Finds sick targets of one service; not safe for use by several threads."""

    def set_targets(self, targets: Collection[str]) -> None:
        """Name the targets of the service; what is known of others is dropped."""
        ...

    def set_ejected(self, ejected: Collection[EjectedFrom]) -> None:
        """Name the targets that are ejected; they don't serve as peers of the others."""
        ...

    def excuse(self, target: str, until_s: float) -> None:
        """Ignore what is observed of a target until the clock reads `until_s`."""
        ...

    def forget(self, target: str) -> None:
        """Start anew on a target, as after it was ejected or re-admitted."""
        ...

    def observe(self, domain: str, counts: TargetOutcomes) -> None:
        """Take in counts from an observer in failure domain `domain`."""
        ...

    def observe_health(self, target: str, healthy: bool) -> None:
        """Take in what a target's health endpoint says."""
        ...

    def step(self) -> list[Verdict]:
        """End a step of STEP_S seconds and return the targets found sick in it."""
        ...

    def suspicion(self, target: str) -> float:
        """Return how far the evidence against a target is towards a verdict, 0 to 1."""
        ...
