"""Tests of how a node learns that it isn't heard."""

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_node.agent_heard import MIN_FAILURES, HeardTracker, Hearing

DOMAINS = ("beaufort", "graaff", "deaar")
LONG_S = 60.0


class HeardTrackerTests(TestCase):
    """A node of beaufort that probes each second."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.tracker = HeardTracker("beaufort", 1.0, self.clock)
        self.tracker.note_round_trip("graaff")

    def fail_probes(self, *domains: str) -> None:
        for _ in range(MIN_FAILURES):
            for domain in domains:
                self.tracker.note_failure(domain)

    def test_some_round_trips_suffice(self) -> None:
        self.clock.advance(LONG_S)
        self.fail_probes("graaff", "deaar")
        self.tracker.note_round_trip("deaar")
        self.assertIs(Hearing.HEARD, self.tracker.hearing(DOMAINS))

    def test_requests_that_go_on_arriving_mean_unheard_until_a_round_trip(self) -> None:
        self.clock.advance(5)
        self.tracker.note_request("graaff")
        self.clock.advance(LONG_S)
        self.fail_probes("graaff", "deaar")
        self.assertIs(Hearing.UNHEARD, self.tracker.hearing(DOMAINS))
        self.tracker.note_round_trip("deaar")
        self.assertIs(Hearing.HEARD, self.tracker.hearing(DOMAINS))

    def test_silence_both_ways_means_detached(self) -> None:
        self.tracker.note_request("graaff")
        self.clock.advance(LONG_S)
        self.fail_probes("graaff", "deaar")
        self.assertIs(Hearing.DETACHED, self.tracker.hearing(DOMAINS))

    def test_neighbours_do_not_count_where_there_are_other_domains(self) -> None:
        self.clock.advance(LONG_S)
        self.fail_probes("graaff", "deaar")
        self.tracker.note_round_trip("beaufort")
        self.assertIs(Hearing.DETACHED, self.tracker.hearing(DOMAINS))
        self.assertIs(Hearing.HEARD, self.tracker.hearing(["beaufort"]))
