"""Counts the platform's calls and their rates against what the real platform takes."""

import time
from collections import Counter, deque
from dataclasses import asdict, dataclass
from typing import Final

WINDOW_S: Final = 10
READS_LIMIT_PER_S: Final = 2000
WRITES_LIMIT_PER_S: Final = 300


@dataclass(frozen=True)
class CallReport:
    """Calls since start, and rates over the last ten whole seconds."""

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
class _Second:
    start: int
    reads: int = 0
    writes: int = 0


class CallCounter:
    """Counts calls; a watch is one read when it begins, however long it waits."""

    def __init__(self) -> None:
        """Create a counter at zero."""
        self._total: Counter[str] = Counter()
        self._by_call: Counter[str] = Counter()
        self._seconds: deque[_Second] = deque(maxlen=WINDOW_S + 1)
        self._peak_reads = 0
        self._peak_writes = 0

    def count(self, method: str, kind: str, is_watch: bool) -> None:
        """Count one call."""
        is_write = method in {"PUT", "DELETE"}
        second = self._current_second()
        if is_write:
            self._total["writes"] += 1
            second.writes += 1
        else:
            self._total["reads"] += 1
            second.reads += 1
        if is_watch:
            self._total["watches"] += 1
        self._peak_reads = max(self._peak_reads, second.reads)
        self._peak_writes = max(self._peak_writes, second.writes)
        self._by_call[f"{'WATCH' if is_watch else method} {kind}"] += 1

    def report(self, waiting_watches: int) -> CallReport:
        """Return the counts and rates of now; `waiting_watches` wait at the moment."""
        now = int(time.monotonic())
        recent = [s for s in self._seconds if now - WINDOW_S <= s.start < now]
        return CallReport(
            reads=self._total["reads"],
            writes=self._total["writes"],
            watches=self._total["watches"],
            waiting_watches=waiting_watches,
            reads_per_s=sum(s.reads for s in recent) / WINDOW_S,
            writes_per_s=sum(s.writes for s in recent) / WINDOW_S,
            peak_reads_per_s=self._peak_reads,
            peak_writes_per_s=self._peak_writes,
            reads_limit_per_s=READS_LIMIT_PER_S,
            writes_limit_per_s=WRITES_LIMIT_PER_S,
            by_call=dict(sorted(self._by_call.items())),
        )

    def _current_second(self) -> _Second:
        now = int(time.monotonic())
        if not self._seconds or self._seconds[-1].start != now:
            self._seconds.append(_Second(now))
        return self._seconds[-1]
