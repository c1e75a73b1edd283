"""CUSUM statistics on log-likelihood ratios, and the threshold that bounds false alarms.

A CUSUM adds up the log-likelihood ratio of "sick" against "like its peers" and starts again at 0
whenever the sum turns negative.  With threshold h the mean number of steps to a false alarm is at
least e**h (Lorden 1971), so the threshold follows from the false ejections allowed per target and
day, shared out over the tests that run side by side.  The bound is loose for steps of many
requests; for failures among peers that are well the threshold is lower by RUN_LENGTH_GAIN.  It
isn't for slowness: a short stall delays many answers together.
"""

import math
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from toucanspindle_core.detection import STEP_S, FaultKind

STEPS_PER_DAY: Final = 86_400 / STEP_S
MAX_GAIN_SHARE: Final = 0.75

# Logarithm of how much longer the mean time to a false alarm is than e**threshold in steps, since
# a step adds the evidence of many requests and overshoots.
RUN_LENGTH_GAIN: Final = 4.0
MIN_THRESHOLD: Final = 5.0


@dataclass(frozen=True)
class Alternative:
    """A hypothesis that is tested against "like its peers": a fault of some strength."""

    kind: FaultKind
    strength: int


ALTERNATIVES: Final = (
    Alternative(FaultKind.WRONG, 0),
    Alternative(FaultKind.WRONG, 1),
    Alternative(FaultKind.SLOW, 0),
    Alternative(FaultKind.SLOW, 1),
)
STRENGTHS: Final = 2


@lru_cache(maxsize=256)
def threshold(false_alarms_per_day: float, tests: int, run_length_gain: float = 0.0) -> float:
    """Return the threshold of each of `tests` tests that together stay below a rate."""
    bound = math.log(STEPS_PER_DAY * tests / false_alarms_per_day)
    return max(MIN_THRESHOLD, bound - run_length_gain)


@dataclass(slots=True)
class Tally:
    """Evidence in some requests.

    `ratios` holds the summed log-likelihood ratio per alternative, in the order of ALTERNATIVES.
    `deviation` sums the bins by which the `answers` were slower than the peers'.
    """

    requests: int = 0
    failures: int = 0
    answers: int = 0
    deviation: float = 0.0
    ratios: list[float] = field(default_factory=lambda: [0.0] * len(ALTERNATIVES))

    def add(self, other: "Tally") -> None:
        """Add other requests."""
        self.requests += other.requests
        self.failures += other.failures
        self.answers += other.answers
        self.deviation += other.deviation
        for index, ratio in enumerate(other.ratios):
            self.ratios[index] += ratio


@dataclass(slots=True)
class ScopeTally:
    """One step's evidence in the requests that a test covers, in total and by failure domain."""

    total: Tally = field(default_factory=Tally)
    by_domain: dict[str, Tally] = field(default_factory=dict)

    def add(self, domain: str, tally: Tally) -> None:
        """Add requests seen from a failure domain."""
        self.total.add(tally)
        _add_by_domain(self.by_domain, domain, tally)


@dataclass(slots=True)
class Cusum:
    """One CUSUM statistic with the evidence since it last was 0.

    Invariants: `statistic` >= 0; at 0 all sums are empty; one step adds at most MAX_GAIN_SHARE of
    the threshold, so that a verdict rests on at least two steps.
    """

    alternative: int
    statistic: float = 0.0
    steps: int = 0
    sums: ScopeTally = field(default_factory=ScopeTally)

    def add(self, step: ScopeTally, limit: float) -> None:
        """Add one step's evidence; `limit` is the threshold."""
        gain = step.total.ratios[self.alternative]
        if gain <= -self.statistic:
            self.clear()
            return
        self.statistic += min(gain, MAX_GAIN_SHARE * limit)
        self.steps += 1
        self.sums.total.add(step.total)
        for domain, tally in step.by_domain.items():
            _add_by_domain(self.sums.by_domain, domain, tally)

    def clear(self) -> None:
        """Start again at 0."""
        if self.statistic:
            self.statistic = 0.0
            self.steps = 0
            self.sums = ScopeTally()

    def strongest_domain(self) -> str | None:
        """Return the failure domain whose observers add most, or None without evidence."""
        by_domain = self.sums.by_domain
        return max(by_domain, key=lambda d: by_domain[d].ratios[self.alternative], default=None)

    def ratio_outside(self, domain: str) -> float | None:
        """Return what the other failure domains add up to, or None when they saw nothing."""
        others = [t for name, t in self.sums.by_domain.items() if name != domain]
        if not any(t.requests for t in others):
            return None
        return sum(t.ratios[self.alternative] for t in others)


def _add_by_domain(by_domain: dict[str, Tally], domain: str, tally: Tally) -> None:
    known = by_domain.get(domain)
    if known is None:
        known = by_domain[domain] = Tally()
    known.add(tally)
