"""Counters and latency histograms of an entry process, in the Prometheus text format.

Requests only increment integers; the text is rendered when metrics are read.
"""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final

PREFIX: Final = "toucanspindle_entry"
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
        self._hedges: Counter[tuple[str, str]] = Counter()
        self._held_retries: Counter[str] = Counter()
        self._shedding_spells: Counter[str] = Counter()
        self._shedding: dict[str, bool] = {}
        self._disconnected_callers: Counter[str] = Counter()
        self._unrouted: Counter[int] = Counter()
        self._rejected: Counter[int] = Counter()
        self._shed_connections: Counter[tuple[str, str]] = Counter()
        self._refused_target_connections = 0
        self._stalled_callers = 0
        self._unconfirmed_keys = 0
        self._handler_failures = 0
        self._buckets: dict[str, list[int]] = {}
        self._latency_sums_ms: Counter[str] = Counter()
        self.quota_counts: Counter[str] = Counter()  # Shared with the quota client.

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

    def count_held_retry(self, service: str) -> None:
        """Count a retry that the broker on this host held back while targets shed requests."""
        self._held_retries[service] += 1

    def record_shedding(self, service: str, is_shedding: bool) -> None:
        """Record that the targets of a service begin or stop to shed, by the broker here."""
        self._shedding[service] = is_shedding
        self._shedding_spells[service] += is_shedding

    def count_hedge(self, service: str, event: str) -> None:
        """Count a hedge that was sent, won or refused, or an attempt cancelled for another one."""
        self._hedges[service, event] += 1

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

    def count_unconfirmed_key(self) -> None:
        """Count a request that was refused because its key couldn't be confirmed in time."""
        self._unconfirmed_keys += 1

    def count_stalled_caller(self) -> None:
        """Count a caller whose connection was ended because it took nothing of a response."""
        self._stalled_callers += 1

    def count_shed_connection(self, ports: str, phase: str) -> None:
        """Count a connection that was closed because its ports had too many."""
        self._shed_connections[ports, phase] += 1

    def count_refused_target_connection(self) -> None:
        """Count a connection to a target that wasn't opened because there were too many."""
        self._refused_target_connections += 1

    def render(
        self,
        held_bytes: int,
        deferred_turns: int = 0,
        plan_age_s: float | None = None,
        gauges: Mapping[str, int] | None = None,
    ) -> bytes:
        """Return all metrics in the Prometheus text format.

        `held_bytes` is what peers hold; `deferred_turns` is how often a connection had to wait for
        a later turn of the event loop.  `plan_age_s` is how long ago the plan was certainly the
        newest one, or None in fleets without a time limit for revoked keys.  `gauges` are further
        values by name.
        """
        lines = self._gauge_lines(held_bytes, plan_age_s, gauges or {})
        lines += self._counter_lines(deferred_turns, plan_age_s is not None)
        lines += self._histogram_lines(f"{PREFIX}_latency_seconds")
        return ("\n".join(lines) + "\n").encode()

    def _gauge_lines(
        self, held_bytes: int, plan_age_s: float | None, gauges: Mapping[str, int]
    ) -> list[str]:
        values = {"in_flight": str(self.in_flight), "held_bytes": str(held_bytes)}
        if plan_age_s is not None:
            values["plan_age_seconds"] = f"{plan_age_s:.3f}" if plan_age_s < math.inf else "+Inf"
        values |= {name: str(value) for name, value in sorted(gauges.items())}
        lines: list[str] = []
        for name, value in values.items():
            lines += [f"# TYPE {PREFIX}_{name} gauge", f"{PREFIX}_{name} {value}"]
        lines.append(f"# TYPE {PREFIX}_shedding gauge")
        for service, is_shedding in sorted(self._shedding.items()):
            lines.append(f'{PREFIX}_shedding{{service="{service}"}} {int(is_shedding)}')
        return lines

    def _counter_lines(self, deferred_turns: int, has_revocation_bound: bool) -> list[str]:
        plain = {
            "callers_stalled": self._stalled_callers,
            "handler_failures": self._handler_failures,
            "target_connections_refused": self._refused_target_connections,
            "turns_deferred": deferred_turns,
        }
        if has_revocation_bound:
            plain["keys_unconfirmed"] = self._unconfirmed_keys
        lines: list[str] = []
        for name, count in plain.items():
            lines += [f"# TYPE {PREFIX}_{name}_total counter", f"{PREFIX}_{name}_total {count}"]
        labelled: tuple[tuple[str, tuple[str, ...], Mapping[Any, int]], ...] = (
            ("requests", ("service", "status"), self._requests),
            ("attempts", ("service", "end"), self._attempts),
            ("failures", ("service", "reason"), self._failures),
            ("retries", ("service",), self._retries),
            ("hedges", ("service", "event"), self._hedges),
            ("held_retries", ("service",), self._held_retries),
            ("shedding_spells", ("service",), self._shedding_spells),
            ("callers_left", ("service",), self._disconnected_callers),
            ("unrouted", ("status",), self._unrouted),
            ("rejected", ("status",), self._rejected),
            ("quota_events", ("event",), self.quota_counts),
            ("connections_shed", ("ports", "phase"), self._shed_connections),
        )
        for name, label_names, counts in labelled:
            lines.append(f"# TYPE {PREFIX}_{name}_total counter")
            for values, count in sorted(counts.items()):
                names = zip(label_names, values if len(label_names) > 1 else (values,), strict=True)
                labels = ",".join(f'{label}="{value}"' for label, value in names)
                lines.append(f"{PREFIX}_{name}_total{{{labels}}} {count}")
        return lines

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
