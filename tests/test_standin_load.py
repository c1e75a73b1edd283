"""Tests of the load generator against stand-in targets."""

import json
import subprocess
import sys
from typing import Any

from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.loadstats import quantile

from tests.harness import ADDRESSES, ProcessTestCase, get_json, put_json

RATE = 100
SECONDS = 1


class LoadTests(ProcessTestCase):
    """Outcomes and paired latency differences of open-loop runs."""

    def run_load(self, to: HostPort, *options: str) -> Any:
        """Run the load generator for SECONDS seconds and return its report."""
        argv = [sys.executable, "-m", "toucanspindle_standins.main", "load", "--to", str(to)]
        argv += ["--path", "/lots", "--rate", str(RATE), "--seconds", str(SECONDS), *options]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual(0, done.returncode, done.stderr)
        return json.loads(done.stdout)

    def test_each_request_is_sent_to_both_sides(self) -> None:
        _, through = self.start_target("lotbook-1", slots=64, service_ms=20)
        _, direct = self.start_target("lotbook-2", slots=64, service_ms=1)
        report = self.run_load(through, "--paired-direct", str(direct))
        sent = report["through"]["sent"]
        self.assertEqual({"plain 200": sent}, report["through"]["outcomes"])
        self.assertEqual(sent, report["direct"]["sent"])
        self.assertEqual(sent, report["added"]["pairs"])
        self.assertEqual(sent, len(get_json(through, "/admin/log")["runs"]))
        self.assertGreater(report["added"]["paired_median_ms"], 0)

    def test_latency_includes_the_queueing_delay_of_a_slow_server(self) -> None:
        _, target = self.start_target("lotbook-1", slots=1, service_ms=30, queue_limit=1000)
        report = self.run_load(target)
        # One slot with a service time of 30 ms needs 3 s for the 100 requests of one second, so the
        # last requests wait for more than 1 s.
        self.assertGreater(report["through"]["p99_ms"], 1000)

    def test_outcomes_are_counted_by_kind(self) -> None:
        _, target = self.start_target("lotbook-1")
        put_json(target, "/admin/faults", {"shed_share": 1})
        outcomes = self.run_load(target)["through"]["outcomes"]
        self.assertEqual(["not-run 503"], list(outcomes))
        refused = self.run_load(ADDRESSES.allocate())["through"]["outcomes"]
        self.assertEqual(["refused"], list(refused))

    def test_quantile_is_the_nearest_rank(self) -> None:
        values = [float(n) for n in range(1000)]
        self.assertEqual([500, 990, 999], [quantile(values, q) for q in (0.5, 0.99, 0.999)])
