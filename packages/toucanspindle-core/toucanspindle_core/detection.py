"""Interface between a judge and a detector of unhealthy targets.

A detector receives the outcome counts that observers report and returns, at the end of each step,
the targets that it considers unhealthy.  It doesn't deal with permits or re-admission.  The judges
use `SequentialDetector`; `baselines.py` has simpler detectors for comparison.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from toucanspindle_core.evidence import TargetOutcomes

STEP_S: Final = 0.5
ALL_DOMAINS: Final = ""


class FaultKind(Enum):
    """Kind of fault of an unhealthy target; the value is the text that operators see."""

    WRONG = "wrong answers"
    SLOW = "slow answers"
    UNHEALTHY = "unhealthy by its own account"


@dataclass(frozen=True)
class Verdict:
    """A detector's finding that a target is unhealthy.

    `from_domain` is the failure domain whose observers alone are affected, or ALL_DOMAINS.
    `evidence` is a text for operators with the figures that led to the verdict.
    """

    target: str
    from_domain: str
    kind: FaultKind
    evidence: str


@dataclass(frozen=True, order=True)
class EjectionScope:
    """A target and the failure domain whose nodes stop using it, or ALL_DOMAINS."""

    target: str
    from_domain: str = ALL_DOMAINS


class Detector(Protocol):
    """Finds unhealthy targets of one service; not thread-safe."""

    def set_targets(self, targets: Collection[str]) -> None:
        """Set the targets of the service and drop the state of all others."""
        ...

    def set_ejected(self, ejected: Collection[EjectionScope]) -> None:
        """Set the ejected targets, which are no longer used as peers of the others."""
        ...

    def ignore_until(self, target: str, until_s: float) -> None:
        """Ignore the outcomes of a target until the clock reads `until_s`."""
        ...

    def reset_target(self, target: str) -> None:
        """Discard the evidence on a target, for example when it is ejected or re-admitted."""
        ...

    def observe(self, domain: str, counts: TargetOutcomes) -> None:
        """Add outcome counts reported by an observer in failure domain `domain`."""
        ...

    def observe_health(self, target: str, healthy: bool) -> None:
        """Add one answer of a target's health endpoint."""
        ...

    def step(self) -> list[Verdict]:
        """End a step of STEP_S seconds and return verdicts on the targets found unhealthy in it."""
        ...

    def suspicion(self, target: str) -> float:
        """Return the evidence against a target as a share of what a verdict needs, 0 to 1."""
        ...
