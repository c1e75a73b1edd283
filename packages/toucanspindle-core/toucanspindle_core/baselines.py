"""Common detectors of unhealthy targets, for comparison with `SequentialDetector`.

- `ConsecutiveFailures`: k failures in a row.
- `IntervalOutlier`: an error rate or mean latency in an interval above a multiple of the mean.
- `HealthEndpoint`: the answers of the target's health endpoint.
- `NoDetector`: no verdicts.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.detection import ALL_DOMAINS, STEP_S, EjectionScope, FaultKind, Verdict
from toucanspindle_core.evidence import TargetOutcomes
from toucanspindle_core.latencybins import bin_middle_s

UNHEALTHY_PROBES: Final = 3
MIN_INTERVAL_REQUESTS: Final = 20
MIN_ERROR_RATE: Final = 0.02


class NoDetector:
    """Gives no verdicts; base class of the other baselines."""

    def __init__(self) -> None:
        """Create a detector without targets."""
        self._targets: frozenset[str] = frozenset()

    def set_targets(self, targets: Collection[str]) -> None:
        """Set the targets of the service."""
        self._targets = frozenset(targets)

    def set_ejected(self, ejected: Collection[EjectionScope]) -> None:
        """Do nothing."""

    def ignore_until(self, target: str, until_s: float) -> None:
        """Do nothing."""

    def reset_target(self, target: str) -> None:
        """Do nothing."""

    def observe(self, domain: str, counts: TargetOutcomes) -> None:
        """Do nothing."""

    def observe_health(self, target: str, healthy: bool) -> None:
        """Do nothing."""

    def step(self) -> list[Verdict]:
        """Return no verdicts."""
        return []

    def suspicion(self, target: str) -> float:
        """Return 0, since no evidence is kept."""
        return 0.0


class ConsecutiveFailures(NoDetector):
    """Finds targets with k failures in a row.

    Within one report the failures are assumed to come after the successes.
    """

    def __init__(self, failures: int) -> None:
        """Create a detector that finds targets with `failures` failures in a row."""
        super().__init__()
        self._limit = failures
        self._consecutive_failures: dict[str, int] = {}
        self._found: set[str] = set()

    def reset_target(self, target: str) -> None:
        """Discard the evidence on a target."""
        self._consecutive_failures.pop(target, None)
        self._found.discard(target)

    def observe(self, domain: str, counts: TargetOutcomes) -> None:
        """Add counts to the failures since the last success."""
        before = 0 if counts.succeeded else self._consecutive_failures.get(counts.target, 0)
        in_a_row = before + counts.failed
        self._consecutive_failures[counts.target] = in_a_row
        if in_a_row >= self._limit:
            self._found.add(counts.target)

    def step(self) -> list[Verdict]:
        """Return verdicts on the targets that reached the limit since the last step."""
        found, self._found = self._found, set()
        text = f"{self._limit} failures in a row"
        return [Verdict(t, ALL_DOMAINS, FaultKind.WRONG, f"{t}: {text}") for t in sorted(found)]

    def suspicion(self, target: str) -> float:
        """Return the failures in a row as a share of the limit, at most 1."""
        return min(1.0, self._consecutive_failures.get(target, 0) / self._limit)


@dataclass(slots=True)
class _IntervalCounts:
    requests: int = 0
    failures: int = 0
    answers: int = 0
    latency_s: float = 0.0

    def error_rate(self) -> float:
        return self.failures / self.requests

    def mean_latency_s(self) -> float:
        return self.latency_s / max(1, self.answers)


class IntervalOutlier(NoDetector):
    """Finds outliers by interval.

    An outlier has an error rate or mean latency above `multiple` times the mean of all targets.
    """

    def __init__(self, multiple: float, interval_s: float = 10.0) -> None:
        """Create a detector that gives verdicts once per interval of `interval_s` seconds."""
        super().__init__()
        self._multiple = multiple
        self._steps_per_interval = round(interval_s / STEP_S)
        self._step = 0
        self._counts: dict[str, _IntervalCounts] = {}

    def reset_target(self, target: str) -> None:
        """Discard the evidence on a target."""
        self._counts.pop(target, None)

    def observe(self, domain: str, counts: TargetOutcomes) -> None:
        """Add counts to the current interval."""
        own = self._counts.setdefault(counts.target, _IntervalCounts())
        own.requests += counts.succeeded + counts.failed
        own.failures += counts.failed
        own.answers += counts.succeeded
        own.latency_s += sum(bin_middle_s(i) * n for i, n in counts.latency.items())

    def step(self) -> list[Verdict]:
        """Return verdicts on the outliers at the end of an interval, otherwise none."""
        self._step += 1
        if self._step % self._steps_per_interval:
            return []
        counts, self._counts = self._counts, {}
        eligible = {t: c for t, c in counts.items() if c.requests >= MIN_INTERVAL_REQUESTS}
        if not eligible:
            return []
        mean_errors = sum(c.error_rate() for c in eligible.values()) / len(eligible)
        mean_latency_s = sum(c.mean_latency_s() for c in eligible.values()) / len(eligible)
        found = []
        for target, own in eligible.items():
            if own.error_rate() > max(MIN_ERROR_RATE, self._multiple * mean_errors):
                text = f"{target}: error rate {own.error_rate():.3f}, mean {mean_errors:.3f}"
                found.append(Verdict(target, ALL_DOMAINS, FaultKind.WRONG, text))
            elif own.mean_latency_s() > self._multiple * mean_latency_s:
                text = f"{target}: {own.mean_latency_s():.3f} s, mean {mean_latency_s:.3f} s"
                found.append(Verdict(target, ALL_DOMAINS, FaultKind.SLOW, text))
        return found


class HealthEndpoint(NoDetector):
    """Finds targets with UNHEALTHY_PROBES unhealthy answers of the health endpoint in a row."""

    def __init__(self) -> None:
        """Create a detector without recorded answers."""
        super().__init__()
        self._unhealthy_answers: dict[str, int] = {}

    def reset_target(self, target: str) -> None:
        """Discard the evidence on a target."""
        self._unhealthy_answers.pop(target, None)

    def observe_health(self, target: str, healthy: bool) -> None:
        """Add one answer of a target's health endpoint."""
        self._unhealthy_answers[target] = (
            0 if healthy else self._unhealthy_answers.get(target, 0) + 1
        )

    def step(self) -> list[Verdict]:
        """Return verdicts on the targets that reached UNHEALTHY_PROBES."""
        found = [
            t
            for t, unhealthy_answers in self._unhealthy_answers.items()
            if unhealthy_answers >= UNHEALTHY_PROBES
        ]
        text = f"{UNHEALTHY_PROBES} bad health answers in a row"
        return [Verdict(t, ALL_DOMAINS, FaultKind.UNHEALTHY, f"{t}: {text}") for t in found]
