"""CUSUM statistics on log-likelihood ratios, and the threshold that bounds false alarms.

A CUSUM sums the log-likelihood ratio of "unhealthy" against "like its peers" and restarts at 0
whenever the sum becomes negative.  With threshold h the mean number of steps to a false alarm is at
least e**h (Lorden 1971).  The threshold is therefore computed from the false ejections allowed per
target and day, divided among the tests that run in parallel.

The bound is loose when a step holds many requests.  For failures, while the peers are healthy, the
threshold is lowered by RUN_LENGTH_GAIN.  It is not lowered for slowness, because a short stall
delays many answers at once.
"""

import math
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from toucanspindle_core.detection import STEP_S, FaultKind

STEPS_PER_DAY: Final = 86_400 / STEP_S
MAX_GAIN_SHARE: Final = 0.75

# Natural logarithm of the factor by which the mean number of steps to a false alarm exceeds
# e**threshold, because a step adds the evidence of many requests and overshoots.
RUN_LENGTH_GAIN: Final = 4.0
MIN_THRESHOLD: Final = 5.0


@dataclass(frozen=True)
class Alternative:
    """A hypothesis tested against "like its peers": a fault of a kind and strength (0 is mild)."""

    kind: FaultKind
    strength: int


ALTERNATIVES: Final = (
    Alternative(FaultKind.WRONG, 0),
    Alternative(FaultKind.WRONG, 1),
    Alternative(FaultKind.SLOW, 0),
    Alternative(FaultKind.SLOW, 1),
)
STRENGTH_COUNT: Final = 2


@lru_cache(maxsize=256)
def threshold(false_alarms_per_day: float, tests: int, run_length_gain: float = 0.0) -> float:
    """Return the threshold of each of `tests` parallel tests.

    Together they raise at most `false_alarms_per_day` false alarms per target on average.
    `run_length_gain` is subtracted from Lorden's bound; the result is at least MIN_THRESHOLD.
    """
    bound = math.log(STEPS_PER_DAY * tests / false_alarms_per_day)
    return max(MIN_THRESHOLD, bound - run_length_gain)


@dataclass(slots=True)
class Tally:
    """Sums of the evidence in a set of requests.

    `ratios` holds the summed log-likelihood ratio per alternative, in the order of ALTERNATIVES.
    `answers` is the number of requests with a scored latency, and `deviation` the summed number of
    latency bins by which they were slower than those of the peers.
    """

    requests: int = 0
    failures: int = 0
    answers: int = 0
    deviation: float = 0.0
    ratios: list[float] = field(default_factory=lambda: [0.0] * len(ALTERNATIVES))

    def add(self, other: "Tally") -> None:
        """Add the evidence of other requests."""
        self.requests += other.requests
        self.failures += other.failures
        self.answers += other.answers
        self.deviation += other.deviation
        for index, ratio in enumerate(other.ratios):
            self.ratios[index] += ratio


@dataclass(slots=True)
class ScopeTally:
    """Evidence in the requests that a test covers, in total and by failure domain."""

    total: Tally = field(default_factory=Tally)
    by_domain: dict[str, Tally] = field(default_factory=dict)

    def add(self, domain: str, tally: Tally) -> None:
        """Add the evidence of requests seen from a failure domain."""
        self.total.add(tally)
        _add_by_domain(self.by_domain, domain, tally)


@dataclass(slots=True)
class Cusum:
    """A CUSUM statistic and the evidence since it was last 0.

    Invariants: `statistic` >= 0; at 0 all sums are empty; one step adds at most MAX_GAIN_SHARE of
    the threshold, so that a verdict needs at least two steps.
    """

    alternative: int
    statistic: float = 0.0
    steps: int = 0
    sums: ScopeTally = field(default_factory=ScopeTally)

    def add(self, step: ScopeTally, detection_threshold: float) -> None:
        """Add the evidence of one step."""
        gain = step.total.ratios[self.alternative]
        if gain <= -self.statistic:
            self.reset()
            return
        self.statistic += min(gain, MAX_GAIN_SHARE * detection_threshold)
        self.steps += 1
        self.sums.total.add(step.total)
        for domain, tally in step.by_domain.items():
            _add_by_domain(self.sums.by_domain, domain, tally)

    def reset(self) -> None:
        """Reset the statistic to 0 and discard the evidence."""
        if self.statistic:
            self.statistic = 0.0
            self.steps = 0
            self.sums = ScopeTally()

    def strongest_domain(self) -> str | None:
        """Return the failure domain that adds most to the statistic, or None without evidence."""
        by_domain = self.sums.by_domain
        return max(by_domain, key=lambda d: by_domain[d].ratios[self.alternative], default=None)

    def ratio_of_other_domains(self, domain: str) -> float | None:
        """Return the summed ratio of all other failure domains, or None if they saw no requests."""
        others = [t for name, t in self.sums.by_domain.items() if name != domain]
        if not any(t.requests for t in others):
            return None
        return sum(t.ratios[self.alternative] for t in others)


def _add_by_domain(by_domain: dict[str, Tally], domain: str, tally: Tally) -> None:
    domain_tally = by_domain.get(domain)
    if domain_tally is None:
        domain_tally = by_domain[domain] = Tally()
    domain_tally.add(tally)
