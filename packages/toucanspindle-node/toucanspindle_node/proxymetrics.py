"""Counters and histograms of a proxy, with bounded label counts.

Labels are services and account classes, never accounts or targets.  The text is served on the
metrics address in the Prometheus format.
"""

from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from toucanspindle_core.outcome import Outcome

from toucanspindle_node.exchange import Exchange

LATENCY_BUCKETS_S: Final = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]
UNROUTED: Final = "none"


class ProxyMetrics:
    """The metrics of one proxy."""

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

    def count(self, exchange: Exchange, outcome: Outcome, elapsed_s: float) -> None:
        """Count the end of a request."""
        service = exchange.policy.name if exchange.policy else UNROUTED
        self._requests.inc({"service": service, "outcome": outcome.kind.value})
        if outcome.error_code is not None:
            self._errors.inc({"code": outcome.error_code.name})
        policy = exchange.state.policy
        if policy is not None and exchange.policy is not None:
            group = policy.account_class(exchange.account).name
            self._latency.observe({"service": service, "account_class": group}, elapsed_s)

    def count_event(self, kind: str) -> None:
        """Count a change of state."""
        self._events.inc({"kind": kind})

    def set_generation(self, generation: int) -> None:
        """Note the generation in force."""
        self._generation.set({}, generation)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        content, _ = render(self._registry, [])
        return bytes(content)
