"""Latency and outcomes of one side of a load run, and the difference between two sides."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import fmean, median
from typing import Final

from toucanspindle_standins.loadclient import Ending

MS_PER_S: Final = 1000


@dataclass(frozen=True)
class SideReport:
    """Latencies, from the intended send time, of requests that were answered with 2xx."""

    sent: int
    succeeded: int
    outcomes: dict[str, int]
    mean_ms: float
    p50_ms: float
    p99_ms: float
    p99_9_ms: float
    max_ms: float


@dataclass(frozen=True)
class AddedReport:
    """What the way through the proxy adds: differences of quantiles, and of paired requests."""

    p50_ms: float
    p99_ms: float
    p99_9_ms: float
    paired_median_ms: float
    pairs: int


@dataclass(frozen=True)
class LoadReport:
    """A whole run; the lag tells by how much the generator itself was late."""

    rate_per_s: float
    seconds: float
    seed: int
    generator_lag_p99_ms: float
    through: SideReport
    direct: SideReport | None = None
    added: AddedReport | None = None


@dataclass(slots=True)
class SideRecord:
    """What is noted while a run lasts; latencies in seconds by the number of the arrival."""

    sent: int = 0
    latency_s: dict[int, float] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)

    def note(self, number: int, ending: Ending, latency_s: float) -> None:
        """Note the end of a request."""
        self.outcomes[f"{ending.outcome} {ending.status}" if ending.status else ending.outcome] += 1
        if 200 <= ending.status < 300:
            self.latency_s[number] = latency_s

    def report(self) -> SideReport:
        """Return the summary of the requests noted; those without an end count as unfinished."""
        values = sorted(self.latency_s.values())
        outcomes = dict(sorted(self.outcomes.items()))
        unfinished = self.sent - sum(outcomes.values())
        if unfinished:
            outcomes["unfinished"] = unfinished
        return SideReport(
            sent=self.sent,
            succeeded=len(values),
            outcomes=outcomes,
            mean_ms=_ms(fmean(values)) if values else 0.0,
            p50_ms=_ms(quantile(values, 0.5)),
            p99_ms=_ms(quantile(values, 0.99)),
            p99_9_ms=_ms(quantile(values, 0.999)),
            max_ms=_ms(values[-1]) if values else 0.0,
        )


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the quantile of values in ascending order (nearest rank); 0 for no values."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def added_report(through: SideRecord, direct: SideRecord) -> AddedReport:
    """Compare two sides; requests of the same number are a pair."""
    one, other = through.report(), direct.report()
    both = through.latency_s.keys() & direct.latency_s.keys()
    differences = [through.latency_s[n] - direct.latency_s[n] for n in both]
    return AddedReport(
        p50_ms=round(one.p50_ms - other.p50_ms, 3),
        p99_ms=round(one.p99_ms - other.p99_ms, 3),
        p99_9_ms=round(one.p99_9_ms - other.p99_9_ms, 3),
        paired_median_ms=_ms(median(differences)) if differences else 0.0,
        pairs=len(differences),
    )


def _ms(seconds: float) -> float:
    return round(seconds * MS_PER_S, 3)
