"""Counters and histograms of a proxy, with bounded label cardinality.

Labels are services and account classes, never accounts or targets.  The metrics are served on the
metrics address in the Prometheus text format.  Requests are counted in plain integers, which are
copied to the aioprometheus library only when the text is rendered, since the library encodes its
labels as JSON at each increment.
"""

import threading
from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as HistogramValue
from toucanspindle_core.outcome import Outcome, OutcomeKind

from toucanspindle_node.exchange import Exchange

LATENCY_BUCKETS_S: Final = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]
UNROUTED: Final = "none"  # the service label of requests without a route


@dataclass(slots=True)
class _LatencyCounts:
    """Latency counts per bucket; the last bucket counts latencies above all bounds."""

    by_bucket: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    sum_s: float = 0.0

    def add(self, latency_s: float) -> None:
        """Count one latency (seconds)."""
        self.by_bucket[bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        self.sum_s += latency_s

    def as_histogram(self) -> HistogramValue:
        """Return the library's histogram, whose bucket counts are cumulative."""
        value = HistogramValue(*LATENCY_BUCKETS_S)
        value.buckets = dict(zip(value.buckets, accumulate(self.by_bucket), strict=True))
        value.observations = sum(self.by_bucket)
        value.sum = self.sum_s
        return value


class ProxyMetrics:
    """The metrics of one proxy; safe for use by several threads.

    Invariant: each request is counted once, also when several threads count concurrently.
    """

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self._registry = Registry()
        options = {"registry": self._registry}
        self._requests = Counter("requests_total", "Requests by service and outcome.", **options)
        self._latency = Histogram(
            "request_seconds",
            "Time to answer by service and account class.",
            buckets=LATENCY_BUCKETS_S,
            **options,
        )
        self._errors = Counter("errors_total", "Errors by code.", **options)
        self._events = Counter("events_total", "Changes of state by kind.", **options)
        self._generation = Gauge("config_generation", "Generation in force.", **options)
        self._lock = threading.Lock()
        self._request_count_by_labels: dict[tuple[str, OutcomeKind], int] = {}
        self._error_count_by_code: dict[str, int] = {}
        self._latency_counts: dict[tuple[str, str], _LatencyCounts] = {}

    def count_request(self, exchange: Exchange, outcome: Outcome, elapsed_s: float) -> None:
        """Count a finished request, its outcome and its latency."""
        service = exchange.service_policy.name if exchange.service_policy else UNROUTED
        policy = exchange.fleet_state.policy
        request = (service, outcome.kind)
        with self._lock:
            self._request_count_by_labels[request] = (
                self._request_count_by_labels.get(request, 0) + 1
            )
            if outcome.error_code is not None:
                code = outcome.error_code.name
                self._error_count_by_code[code] = self._error_count_by_code.get(code, 0) + 1
            if policy is not None and exchange.service_policy is not None:
                service_and_class = (service, policy.account_class(exchange.account).name)
                latencies = self._latency_counts.get(service_and_class)
                if latencies is None:
                    latencies = self._latency_counts[service_and_class] = _LatencyCounts()
                latencies.add(elapsed_s)

    def count_event(self, kind: str) -> None:
        """Count an event of a kind, such as a target's drain signal."""
        self._events.inc({"kind": kind})

    def set_generation(self, generation: int) -> None:
        """Set the gauge of the configuration generation in force."""
        self._generation.set({}, generation)

    def render_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._export_counts()
        content, _ = render(self._registry, [])
        return bytes(content)

    def _export_counts(self) -> None:
        with self._lock:
            for (service, kind), count in self._request_count_by_labels.items():
                self._requests.set({"service": service, "outcome": kind.value}, count)
            for code, count in self._error_count_by_code.items():
                self._errors.set({"code": code}, count)
            for (service, account_class), latencies in self._latency_counts.items():
                labels = {"service": service, "account_class": account_class}
                self._latency.set_value(labels, latencies.as_histogram())
