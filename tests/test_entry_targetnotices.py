"""Tests of reading what targets say of themselves, and of how long it holds."""

from testtools import TestCase
from toucanspindle_entry.headernames import HeaderNames
from toucanspindle_entry.targets.httpclient import HttpResponse
from toucanspindle_entry.targets.targetnotices import (
    TargetNotice,
    TargetNotices,
    decode_notice,
    encode_notice,
    read_notice,
    read_pause_s,
)

from platformwire import HEADER_NAMES


def read(names: HeaderNames = HEADER_NAMES, **headers: str) -> TargetNotice:
    """Read the notice of a response; underscores in header names become hyphens."""
    pairs = [(name.replace("_", "-").encode(), v.encode()) for name, v in headers.items()]
    return read_notice(HttpResponse(200, b"OK", pairs), names, "t", 1)


class ReadNoticeTests(TestCase):
    def test_response_without_headers_says_nothing(self) -> None:
        self.assertEqual(TargetNotice("t", 1, is_leaving=False), read())

    def test_leaving_is_said_by_1_only(self) -> None:
        self.assertTrue(read(server_leaving="1").is_leaving)
        self.assertTrue(read(server_leaving=" 1 ").is_leaving)
        for value in ("0", "", "yes", "11"):
            self.assertFalse(read(server_leaving=value).is_leaving, value)

    def test_limit_is_a_decimal_number(self) -> None:
        for value, limit in (("2.5", 2.5), ("0", 0.0), ("7", 7.0)):
            self.assertEqual(limit, read(server_limit=value).rate_limit)
        for value in ("-1", "nan", "inf", "many", ""):
            self.assertIsNone(read(server_limit=value).rate_limit, value)

    def test_pause_is_named_by_a_503_only(self) -> None:
        header = [(b"retry-after", b"1.5")]
        self.assertEqual(1.5, read_pause_s(HttpResponse(503, b"", header)))
        self.assertEqual(0.0, read_pause_s(HttpResponse(429, b"", header)))
        for value in (b"-1", b"soon", b"Wed, 21 Oct 2026 07:28:00 GMT", b"inf"):
            response = HttpResponse(503, b"", [(b"retry-after", value)])
            self.assertEqual(0.0, read_pause_s(response), value)

    def test_notice_is_the_same_after_a_message(self) -> None:
        for notice in (TargetNotice("t", 1, True, None), TargetNotice("t", 2, False, 2.5)):
            self.assertEqual(notice, decode_notice(encode_notice(notice)))

    def test_malformed_notice_is_an_error(self) -> None:
        for encoded in ([], ["t"], ["t", 1, 0, -1.0], ["t", "x", 0], ["t", 1, 0, "y"]):
            self.assertRaises(ValueError, decode_notice, encoded)


class HeldNoticeTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.notices = TargetNotices()

    # Guards against an earlier response, reported late, that ends the leaving.
    def test_target_that_leaves_does_so_until_it_restarts(self) -> None:
        self.notices.record(TargetNotice("t", 1, is_leaving=True))
        self.notices.record(TargetNotice("t", 1, is_leaving=False))
        self.assertTrue(self.notices.is_leaving("t", 1))

    # Guards against a notice that is taken for one of the next owner of a name or an address.
    def test_notice_does_not_hold_for_another_incarnation(self) -> None:
        self.notices.record(TargetNotice("t", 1, is_leaving=True, rate_limit=1.0))
        self.notices.pause("t", 1, 10.0)
        self.assertFalse(self.notices.is_leaving("t", 2))
        self.assertFalse(self.notices.is_paused("t", 2, 0.0))
        self.assertEqual([], self.notices.of_targets([("t", 2), ("u", 1)]))

    def test_limit_holds_until_a_response_names_none(self) -> None:
        self.notices.record(TargetNotice("t", 1, is_leaving=False, rate_limit=1.0))
        self.assertEqual(1.0, self.notices.of_targets([("t", 1)])[0].rate_limit)
        self.notices.record(TargetNotice("t", 1, is_leaving=False))
        self.assertEqual([], self.notices.of_targets([("t", 1)]))

    def test_pause_ends_at_its_time(self) -> None:
        self.notices.pause("t", 1, 10.0)
        self.assertTrue(self.notices.is_paused("t", 1, 9.9))
        self.assertFalse(self.notices.is_paused("t", 1, 10.0))
