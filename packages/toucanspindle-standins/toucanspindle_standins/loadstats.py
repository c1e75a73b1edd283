"""Latency and outcome statistics of a load run, for its two sides and their difference.

The sides are the requests sent through an entry node and those sent directly to a target.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import fmean, median
from typing import Final

from toucanspindle_standins.loadclient import RequestResult

MS_PER_S: Final = 1000


@dataclass(frozen=True)
class SideReport:
    """Outcomes of one side, and the latencies of its requests answered with 2xx.

    Latency is measured from the planned send time.
    """

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
    """Latency added by the proxy: differences of quantiles, and the median over paired requests."""

    p50_ms: float
    p99_ms: float
    p99_9_ms: float
    paired_median_ms: float
    pairs: int


@dataclass(frozen=True)
class LoadReport:
    """Report of a run; the lag is the delay of sends after their planned times."""

    rate_per_s: float
    seconds: float
    seed: int
    generator_lag_p99_ms: float
    through: SideReport
    direct: SideReport | None = None
    added: AddedReport | None = None


@dataclass(slots=True)
class SideRecord:
    """Results collected during a run; latencies are in seconds, by arrival number."""

    sent: int = 0
    latency_s: dict[int, float] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)

    def record_result(self, number: int, result: RequestResult, latency_s: float) -> None:
        """Record the result of a request; only 2xx answers contribute a latency."""
        self.outcomes[f"{result.outcome} {result.status}" if result.status else result.outcome] += 1
        if 200 <= result.status < 300:
            self.latency_s[number] = latency_s

    def report(self) -> SideReport:
        """Return a summary; requests without a result are counted as unfinished."""
        latencies_s = sorted(self.latency_s.values())
        outcomes = dict(sorted(self.outcomes.items()))
        unfinished = self.sent - sum(outcomes.values())
        if unfinished:
            outcomes["unfinished"] = unfinished
        return SideReport(
            sent=self.sent,
            succeeded=len(latencies_s),
            outcomes=outcomes,
            mean_ms=_to_ms(fmean(latencies_s)) if latencies_s else 0.0,
            p50_ms=_to_ms(quantile(latencies_s, 0.5)),
            p99_ms=_to_ms(quantile(latencies_s, 0.99)),
            p99_9_ms=_to_ms(quantile(latencies_s, 0.999)),
            max_ms=_to_ms(latencies_s[-1]) if latencies_s else 0.0,
        )


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the nearest-rank quantile of values in ascending order, or 0 without values."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def added_report(through: SideRecord, direct: SideRecord) -> AddedReport:
    """Return the latency differences of two sides; requests with the same number form a pair."""
    through_report, direct_report = through.report(), direct.report()
    paired_numbers = through.latency_s.keys() & direct.latency_s.keys()
    differences = [through.latency_s[n] - direct.latency_s[n] for n in paired_numbers]
    return AddedReport(
        p50_ms=round(through_report.p50_ms - direct_report.p50_ms, 3),
        p99_ms=round(through_report.p99_ms - direct_report.p99_ms, 3),
        p99_9_ms=round(through_report.p99_9_ms - direct_report.p99_9_ms, 3),
        paired_median_ms=_to_ms(median(differences)) if differences else 0.0,
        pairs=len(differences),
    )


def _to_ms(seconds: float) -> float:
    return round(seconds * MS_PER_S, 3)
