"""Counters and latency histograms of an entry process, in the Prometheus text format.

Plain integers are counted on the request path; text is made only when somebody asks.
"""

from bisect import bisect_left
from collections import Counter
from typing import Final

BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class EntryMetrics:
    """Counts of one process."""

    def __init__(self) -> None:
        """Create counters at zero."""
        self.in_flight = 0
        self._requests: Counter[tuple[str, int]] = Counter()
        self._attempts: Counter[tuple[str, str]] = Counter()
        self._failures: Counter[tuple[str, str]] = Counter()
        self._left: Counter[str] = Counter()
        self._unrouted: Counter[int] = Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums: Counter[str] = Counter()

    def record(self, service: str, status: int, latency_s: float) -> None:
        """Count an answered request."""
        self._requests[service, status] += 1
        buckets = self._buckets.setdefault(service, [0] * (len(BUCKETS_S) + 1))
        buckets[bisect_left(BUCKETS_S, latency_s)] += 1
        self._sums[service] += int(latency_s * 1000)

    def count_attempt(self, service: str, end: str) -> None:
        """Count the end of an attempt at a target."""
        self._attempts[service, end] += 1

    def count_failure(self, service: str, reason: str) -> None:
        """Count a request that no target answered well."""
        self._failures[service, reason] += 1

    def count_left(self, service: str) -> None:
        """Count a caller that left before its answer."""
        self._left[service] += 1

    def count_unrouted(self, status: int) -> None:
        """Count a request that was answered before it had a route."""
        self._unrouted[status] += 1

    def text(self) -> bytes:
        """Return all counters."""
        prefix = "toucanspindle_entry"
        lines = [f"# TYPE {prefix}_in_flight gauge", f"{prefix}_in_flight {self.in_flight}"]
        lines.append(f"# TYPE {prefix}_requests_total counter")
        for (service, status), count in sorted(self._requests.items()):
            labels = f'service="{service}",status="{status}"'
            lines.append(f"{prefix}_requests_total{{{labels}}} {count}")
        for name, label, counts in (
            ("attempts", "end", self._attempts),
            ("failures", "reason", self._failures),
        ):
            lines.append(f"# TYPE {prefix}_{name}_total counter")
            for (service, value), count in sorted(counts.items()):
                labels = f'service="{service}",{label}="{value}"'
                lines.append(f"{prefix}_{name}_total{{{labels}}} {count}")
        lines.append(f"# TYPE {prefix}_callers_left_total counter")
        for service, count in sorted(self._left.items()):
            lines.append(f'{prefix}_callers_left_total{{service="{service}"}} {count}')
        lines.append(f"# TYPE {prefix}_unrouted_total counter")
        for status, count in sorted(self._unrouted.items()):
            lines.append(f'{prefix}_unrouted_total{{status="{status}"}} {count}')
        lines += self._histogram_lines(f"{prefix}_latency_seconds")
        return ("\n".join(lines) + "\n").encode()

    def _histogram_lines(self, name: str) -> list[str]:
        lines = [f"# TYPE {name} histogram"]
        for service, buckets in sorted(self._buckets.items()):
            total = 0
            for bound, count in zip((*BUCKETS_S, "+Inf"), buckets, strict=True):
                total += count
                lines.append(f'{name}_bucket{{service="{service}",le="{bound}"}} {total}')
            lines.append(f'{name}_sum{{service="{service}"}} {self._sums[service] / 1000}')
            lines.append(f'{name}_count{{service="{service}"}} {total}')
        return lines
