"""Counts the calls of the stand-in platform and reports rates with the real platform's limits."""

import time
from collections import Counter, deque
from dataclasses import asdict, dataclass
from typing import Final

RATE_WINDOW_S: Final = 10
READS_LIMIT_PER_S: Final = 2000
WRITES_LIMIT_PER_S: Final = 300


@dataclass(frozen=True)
class CallReport:
    """Call counts since the start, and mean rates over the last ten complete seconds."""

    reads: int
    writes: int
    watches: int
    waiting_watches: int
    reads_per_s: float
    writes_per_s: float
    peak_reads_per_s: int
    peak_writes_per_s: int
    reads_limit_per_s: int
    writes_limit_per_s: int
    by_call: dict[str, int]

    def as_json(self) -> dict[str, object]:
        """Return the report as plain JSON values."""
        return asdict(self)


@dataclass(slots=True)
class _SecondCounts:
    start: int
    reads: int = 0
    writes: int = 0


class CallCounter:
    """Counts calls; a watch counts as one read at its start, regardless of its duration."""

    def __init__(self) -> None:
        """Create a counter with all counts at 0."""
        self._totals: Counter[str] = Counter()
        self._by_call: Counter[str] = Counter()
        self._seconds: deque[_SecondCounts] = deque(maxlen=RATE_WINDOW_S + 1)
        self._peak_reads = 0
        self._peak_writes = 0

    def count(self, method: str, kind: str, is_watch: bool) -> None:
        """Count one call of an HTTP method on a kind of object; PUT and DELETE are writes."""
        is_write = method in {"PUT", "DELETE"}
        second = self._current_second()
        if is_write:
            self._totals["writes"] += 1
            second.writes += 1
        else:
            self._totals["reads"] += 1
            second.reads += 1
        if is_watch:
            self._totals["watches"] += 1
        self._peak_reads = max(self._peak_reads, second.reads)
        self._peak_writes = max(self._peak_writes, second.writes)
        self._by_call[f"{'WATCH' if is_watch else method} {kind}"] += 1

    def report(self, waiting_watches: int) -> CallReport:
        """Return the current counts and rates; `waiting_watches` is copied into the report."""
        now = int(time.monotonic())
        recent = [counts for counts in self._seconds if now - RATE_WINDOW_S <= counts.start < now]
        return CallReport(
            reads=self._totals["reads"],
            writes=self._totals["writes"],
            watches=self._totals["watches"],
            waiting_watches=waiting_watches,
            reads_per_s=sum(counts.reads for counts in recent) / RATE_WINDOW_S,
            writes_per_s=sum(counts.writes for counts in recent) / RATE_WINDOW_S,
            peak_reads_per_s=self._peak_reads,
            peak_writes_per_s=self._peak_writes,
            reads_limit_per_s=READS_LIMIT_PER_S,
            writes_limit_per_s=WRITES_LIMIT_PER_S,
            by_call=dict(sorted(self._by_call.items())),
        )

    def _current_second(self) -> _SecondCounts:
        now = int(time.monotonic())
        if not self._seconds or self._seconds[-1].start != now:
            self._seconds.append(_SecondCounts(now))
        return self._seconds[-1]
