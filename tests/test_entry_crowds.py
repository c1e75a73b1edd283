"""Crowds of callers that exceed limits, at all ports of an entry process, with real processes.

Bounds, from the settings: the process lives, stays under MemoryMb, leaves the descriptors for files
and for the fleet, and answers ordinary requests at each port beside the crowd and after it.
`python -m tests.crowdworld` plays the same crowds and prints the figures.
"""

from typing import Final

import pytest
from testtools import TestCase
from toucanspindle_standins.httpcall import http_call

from deployedfleet import HOST_NAME
from tests.crowdworld import play
from tests.memoryworld import MAX_BODY_BYTES, MemoryWorld
from tests.tempfolder import temporary_folder

DURATION_S: Final = 1.2

pytestmark = pytest.mark.xdist_group("crowds")


class CallerCrowdTests(TestCase):
    """Each guards against callers that take a host's memory, descriptors or turns."""

    def assert_held(self, kind: str) -> None:
        reports = play(kind, temporary_folder(self), DURATION_S)
        faults = {when: report.faults() for when, report in reports.items()}
        self.assertEqual({"without a plan": [], "with a plan": []}, faults, reports)

    def test_whole_bodies_at_once(self) -> None:
        self.assert_held("whole_bodies")

    def test_bodies_in_small_pieces(self) -> None:
        self.assert_held("bodies_in_pieces")

    def test_bodies_in_small_chunks(self) -> None:
        self.assert_held("bodies_in_chunks")

    def test_bodies_that_stop_one_byte_short(self) -> None:
        self.assert_held("unfinished_bodies")

    def test_bodies_far_over_the_limit(self) -> None:
        self.assert_held("huge_bodies")

    def test_heads_of_very_many_short_fields(self) -> None:
        self.assert_held("many_fields")

    def test_requests_ahead_whose_answers_are_not_read(self) -> None:
        self.assert_held("requests_ahead")

    def test_crowd_that_sends_slowly(self) -> None:
        self.assert_held("slow_senders")

    def test_crowd_that_reads_slowly(self) -> None:
        self.assert_held("slow_readers")

    def test_crowd_that_stops_half_way(self) -> None:
        self.assert_held("half_requests")

    def test_more_connections_than_descriptors(self) -> None:
        self.assert_held("idle_connections")


class CalmTests(TestCase):
    """Each guards against limits that cut off a single caller inside the limits of the plan."""

    def test_single_requests_at_the_limits_are_served(self) -> None:
        world = MemoryWorld(temporary_folder(self))
        self.addCleanup(world.close)
        world.start()
        headers = {"Host": HOST_NAME, "X-Attempt-Id": "0123456789abcdef"}
        body = bytes(MAX_BODY_BYTES)
        result = http_call(world.caller_address, "POST", "/reserve/1", headers, body)
        self.assertEqual(200, result.status, result.body[:200])
        many = headers | {f"x{n}": "" for n in range(1900)}
        result = http_call(world.caller_address, "GET", "/lookup/1", many)
        self.assertEqual(200, result.status, result.body[:200])
