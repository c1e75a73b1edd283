"""Counters and histograms of a proxy, with bounded label counts.

Labels are services and account classes, never accounts or targets.  The text is served on the
metrics address in the Prometheus format.
"""

import threading
from collections.abc import Callable
from typing import Any, Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from cheroot.server import HTTPServer
from cheroot.wsgi import Server as WsgiServer
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import Outcome

from toucanspindle_node.exchange import Exchange
from toucanspindle_node.listening import explain_bind_error

LATENCY_BUCKETS_S: Final = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]
METRICS_THREADS: Final = 1
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


class MetricsServer:
    """Serves the metrics to whoever scrapes them."""

    def __init__(self, address: HostPort, text: Callable[[], bytes]) -> None:
        """Create a server of what `text` returns."""
        self._address = address
        self._text = text
        self._server: HTTPServer | None = None

    def start(self) -> None:
        """Listen; raise SettingsError when the address can't be used."""
        bind = (self._address.ip, self._address.port)
        self._server = WsgiServer(bind, self._answer, numthreads=METRICS_THREADS)
        try:
            self._server.prepare()
        except OSError as error:
            raise explain_bind_error("metrics_address", self._address, error) from error

        threading.Thread(target=self._server.serve, name="metrics", daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()

    def _answer(self, environ: Any, start_response: Any) -> list[bytes]:  # noqa: ARG002
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
        return [self._text()]
