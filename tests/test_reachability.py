"""Tests of how a node detects that its messages don't reach its peers."""

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_node.reachability import MIN_FAILED_PROBES, Reachability, ReachabilityTracker

DOMAINS = ("beaufort", "graaff", "deaar")
LONGER_THAN_WINDOW_S = 60.0


class ReachabilityTrackerTests(TestCase):
    """A node of domain beaufort with a probe interval of 1 s."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.tracker = ReachabilityTracker("beaufort", 1.0, self.clock)
        self.tracker.record_round_trip("graaff")

    def fail_probes(self, *domains: str) -> None:
        for _ in range(MIN_FAILED_PROBES):
            for domain in domains:
                self.tracker.record_failed_probe(domain)

    def test_node_is_reachable_after_a_round_trip_with_one_domain(self) -> None:
        self.clock.advance(LONGER_THAN_WINDOW_S)
        self.fail_probes("graaff", "deaar")
        self.tracker.record_round_trip("deaar")
        self.assertIs(Reachability.REACHABLE, self.tracker.classify(DOMAINS))

    def test_late_requests_mean_outbound_cut_until_a_round_trip(self) -> None:
        self.clock.advance(5)
        self.tracker.record_request("graaff")
        self.clock.advance(LONGER_THAN_WINDOW_S)
        self.fail_probes("graaff", "deaar")
        self.assertIs(Reachability.OUTBOUND_CUT, self.tracker.classify(DOMAINS))
        self.tracker.record_round_trip("deaar")
        self.assertIs(Reachability.REACHABLE, self.tracker.classify(DOMAINS))

    def test_no_round_trips_and_no_requests_mean_isolated(self) -> None:
        self.tracker.record_request("graaff")
        self.clock.advance(LONGER_THAN_WINDOW_S)
        self.fail_probes("graaff", "deaar")
        self.assertIs(Reachability.ISOLATED, self.tracker.classify(DOMAINS))

    def test_own_domain_is_ignored_if_other_domains_have_members(self) -> None:
        self.clock.advance(LONGER_THAN_WINDOW_S)
        self.fail_probes("graaff", "deaar")
        self.tracker.record_round_trip("beaufort")
        self.assertIs(Reachability.ISOLATED, self.tracker.classify(DOMAINS))
        self.assertIs(Reachability.REACHABLE, self.tracker.classify(["beaufort"]))
