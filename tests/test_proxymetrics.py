"""Tests of the proxy's metrics in the rendered text."""

import threading
from typing import Final

from testtools import TestCase
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.policy import FleetPolicy, ServicePolicy, merge_policy
from toucanspindle_node.exchange import CallerRequest, Exchange
from toucanspindle_node.fleetstate import FleetStateHolder
from toucanspindle_node.proxymetrics import ProxyMetrics
from toucanspindle_standins.processes import AddressPool
from toucanspindle_standins.smallfleet import small_fleet

SERVICE: Final = "lotbook"
THREADS: Final = 4
REQUESTS: Final = 500


class ProxyMetricsTests(TestCase):
    """Counts of requests, and latencies by bucket."""

    def setUp(self) -> None:
        super().setUp()
        self.metrics = ProxyMetrics()
        policy: FleetPolicy = merge_policy(small_fleet(AddressPool(), {SERVICE: 1}), 1)
        holder = FleetStateHolder()
        holder.apply_policy(policy)
        service: ServicePolicy = policy.services[SERVICE]
        self.exchange = Exchange(
            CallerRequest("GET", "/", {}, b""), holder.state, service_policy=service
        )

    def count_requests(self, *latencies_s: float) -> None:
        for latency_s in latencies_s:
            self.metrics.count_request(self.exchange, Outcome.answered(200, (), b""), latency_s)

    def values_by_name(self) -> dict[str, float]:
        """Return the value of each sample of the text, by name with labels."""
        lines = self.metrics.render_text().decode().splitlines()
        pairs = (line.rpartition(" ") for line in lines if line and not line.startswith("#"))
        return {name: float(value) for name, _, value in pairs}

    def bucket_value(self, bound: str) -> float:
        found = [
            value
            for name, value in self.values_by_name().items()
            if name.startswith("request_seconds_bucket") and f'le="{bound}"' in name
        ]
        return found[0]

    def test_buckets_are_cumulative_up_to_their_bound(self) -> None:
        self.count_requests(0.0005, 0.001, 0.003, 20.0)
        expected = {"0.001": 2, "0.002": 2, "0.005": 3, "10.0": 3, "+Inf": 4}
        self.assertEqual(expected, {bound: self.bucket_value(bound) for bound in expected})

    def test_each_rendering_shows_all_requests_so_far(self) -> None:
        self.count_requests(0.01)
        self.values_by_name()
        self.count_requests(0.01)
        total = [
            v for name, v in self.values_by_name().items() if name.startswith("requests_total")
        ]
        self.assertEqual([2.0], total)

    def test_concurrent_requests_are_all_counted(self) -> None:
        threads = [
            threading.Thread(target=self.count_requests, args=[0.01] * REQUESTS)
            for _ in range(THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(THREADS * REQUESTS, self.bucket_value("+Inf"))
