"""Counters and latency histograms of an entry process, in the Prometheus text format.

Requests only increment integers; the text is rendered when metrics are read.
"""

from bisect import bisect_left
from collections import Counter
from typing import Final

LATENCY_BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class EntryMetrics:
    """Metrics of one process; `in_flight` is the number of requests in progress."""

    def __init__(self) -> None:
        """Create metrics without samples."""
        self.in_flight = 0
        self._requests: Counter[tuple[str, int]] = Counter()
        self._attempts: Counter[tuple[str, str]] = Counter()
        self._failures: Counter[tuple[str, str]] = Counter()
        self._retries: Counter[str] = Counter()
        self._disconnected_callers: Counter[str] = Counter()
        self._unrouted: Counter[int] = Counter()
        self._rejected: Counter[int] = Counter()
        self._shed_connections: Counter[tuple[str, str]] = Counter()
        self._refused_target_connections = 0
        self._stalled_callers = 0
        self._handler_failures = 0
        self._buckets: dict[str, list[int]] = {}
        self._latency_sums_ms: Counter[str] = Counter()

    def record_response(self, service: str, status: int, latency_s: float) -> None:
        """Count a response and its latency in seconds."""
        self._requests[service, status] += 1
        buckets = self._buckets.setdefault(service, [0] * (len(LATENCY_BUCKETS_S) + 1))
        buckets[bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        self._latency_sums_ms[service] += int(latency_s * 1000)

    def count_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt; `outcome` is a value of AttemptOutcome."""
        self._attempts[service, outcome] += 1

    def count_retry(self, service: str) -> None:
        """Count an attempt beyond the first one of its request."""
        self._retries[service] += 1

    def count_failure(self, service: str, reason: str) -> None:
        """Count a request without a usable response, by the reason of the failure."""
        self._failures[service, reason] += 1

    def count_disconnected_caller(self, service: str) -> None:
        """Count a caller that disconnected before its response."""
        self._disconnected_callers[service] += 1

    def count_unrouted(self, status: int) -> None:
        """Count an error response to a request without a route."""
        self._unrouted[status] += 1

    def count_rejected(self, status: int) -> None:
        """Count an error response to a request that wasn't read completely."""
        self._rejected[status] += 1

    def count_handler_failure(self) -> None:
        """Count a request whose handler ended with an exception."""
        self._handler_failures += 1

    def count_stalled_caller(self) -> None:
        """Count a caller whose connection was ended because it took nothing of a response."""
        self._stalled_callers += 1

    def count_shed_connection(self, ports: str, phase: str) -> None:
        """Count a connection that was closed because its ports had too many."""
        self._shed_connections[ports, phase] += 1

    def count_refused_target_connection(self) -> None:
        """Count a connection to a target that wasn't opened because there were too many."""
        self._refused_target_connections += 1

    def render(self, held_bytes: int, deferred_turns: int) -> bytes:
        """Return all metrics in the Prometheus text format.

        `held_bytes` is what peers hold; `deferred_turns` is how often a connection had to wait for
        a later turn of the event loop.
        """
        prefix = "toucanspindle_entry"
        lines = [f"# TYPE {prefix}_in_flight gauge", f"{prefix}_in_flight {self.in_flight}"]
        lines.append(f"# TYPE {prefix}_held_bytes gauge")
        lines.append(f"{prefix}_held_bytes {held_bytes}")
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
        lines.append(f"# TYPE {prefix}_retries_total counter")
        for service, count in sorted(self._retries.items()):
            lines.append(f'{prefix}_retries_total{{service="{service}"}} {count}')
        lines.append(f"# TYPE {prefix}_callers_left_total counter")
        for service, count in sorted(self._disconnected_callers.items()):
            lines.append(f'{prefix}_callers_left_total{{service="{service}"}} {count}')
        for name, count in (
            ("callers_stalled", self._stalled_callers),
            ("target_connections_refused", self._refused_target_connections),
            ("turns_deferred", deferred_turns),
            ("handler_failures", self._handler_failures),
        ):
            lines.append(f"# TYPE {prefix}_{name}_total counter")
            lines.append(f"{prefix}_{name}_total {count}")
        lines.append(f"# TYPE {prefix}_connections_shed_total counter")
        for (ports, phase), count in sorted(self._shed_connections.items()):
            labels = f'ports="{ports}",phase="{phase}"'
            lines.append(f"{prefix}_connections_shed_total{{{labels}}} {count}")
        for name, statuses in (("unrouted", self._unrouted), ("rejected", self._rejected)):
            lines.append(f"# TYPE {prefix}_{name}_total counter")
            for status, count in sorted(statuses.items()):
                lines.append(f'{prefix}_{name}_total{{status="{status}"}} {count}')
        lines += self._histogram_lines(f"{prefix}_latency_seconds")
        return ("\n".join(lines) + "\n").encode()

    def _histogram_lines(self, name: str) -> list[str]:
        lines = [f"# TYPE {name} histogram"]
        for service, buckets in sorted(self._buckets.items()):
            total = 0
            for bound, count in zip((*LATENCY_BUCKETS_S, "+Inf"), buckets, strict=True):
                total += count
                lines.append(f'{name}_bucket{{service="{service}",le="{bound}"}} {total}')
            lines.append(
                f'{name}_sum{{service="{service}"}} {self._latency_sums_ms[service] / 1000}'
            )
            lines.append(f'{name}_count{{service="{service}"}} {total}')
        return lines
