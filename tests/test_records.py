"""Tests of RecordTable and Record."""

import threading

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import (
    AlreadyFinished,
    BeginResult,
    DuplicateInFlight,
    NewRequest,
    Record,
    RecordTable,
)
from toucanspindle_core.tokens import TokenIssuer

TOKEN_LIFETIME_S = 600.0
RECORD_LIFETIME_S = 1200.0
ANSWER = Outcome.answered(201, (("content-type", "text/plain"),), b"lot 7")
REFUSAL = Outcome.from_error(RequestError(errorcodes.OVERLOADED, "No room.", "wait"))
UNKNOWN = Outcome.from_error(RequestError(errorcodes.UNKNOWN_TIMEOUT, "No answer.", "ask again"))


class RecordCase(TestCase):
    """Base class: a record table with a manual clock."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.issuer = TokenIssuer("n1-3fa9", self.clock, TOKEN_LIFETIME_S)
        self.table = self.make_table()
        self.token = self.issuer.current()

    def make_table(self, max_records: int = 100, max_bytes: int = 10**6) -> RecordTable:
        return RecordTable(self.issuer, self.clock, RECORD_LIFETIME_S, max_records, max_bytes)

    def begin(self, key: str = "k1", account: str = "yard", body: bytes = b"body") -> BeginResult:
        return self.table.begin(account, self.token, key, body, 0.0)

    def begin_new(self, key: str = "k1") -> Record:
        result = self.begin(key)
        assert isinstance(result, NewRequest)
        return result.record

    def error_code_of(self, key: str = "k1", **arguments: str | bytes) -> ErrorCode:
        error = self.assertRaises(RequestError, self.begin, key, **arguments)
        code = error.code
        assert isinstance(code, ErrorCode)
        return code


class RecordTableTests(RecordCase):
    """Requests that begin, repeat, finish and are evicted."""

    def test_copy_of_request_in_flight_gets_the_same_outcome(self) -> None:
        record = self.begin_new()
        joined = self.begin()
        assert isinstance(joined, DuplicateInFlight)
        self.assertIsNone(joined.record.wait(0.0))
        finisher = threading.Thread(target=record.finish, args=(ANSWER,))
        finisher.start()
        self.assertEqual(ANSWER, joined.record.wait(10.0))
        finisher.join()
        self.assertEqual(AlreadyFinished(ANSWER), self.begin())

    def test_another_account_with_the_same_key_is_another_request(self) -> None:
        self.begin_new().finish(ANSWER)
        self.assertIsInstance(self.begin(account="other"), NewRequest)

    def test_key_reused_with_another_body_is_refused(self) -> None:
        self.begin_new()
        self.assertIs(errorcodes.KEY_REUSED, self.error_code_of(body=b"changed"))

    def test_refused_request_stays_not_run(self) -> None:
        self.begin_new().finish(REFUSAL)
        self.clock.advance(TOKEN_LIFETIME_S)
        self.assertEqual(AlreadyFinished(REFUSAL), self.begin())

    def test_not_run_after_dispatch_requires_report_by_target(self) -> None:
        record = self.begin_new()
        record.mark_dispatched()
        self.assertRaises(RuntimeError, record.finish, REFUSAL)
        record.mark_not_run_by_target()
        self.assertEqual(REFUSAL, record.finish(REFUSAL))

    def test_finished_request_cannot_be_dispatched(self) -> None:
        record = self.begin_new()
        record.finish(REFUSAL)
        self.assertRaises(RuntimeError, record.mark_dispatched)

    def test_second_dispatch_is_rejected_while_first_is_outstanding(self) -> None:
        record = self.begin_new()
        record.mark_dispatched()
        self.assertRaises(RuntimeError, record.mark_dispatched)

    def test_unknown_may_become_answered_but_not_the_reverse(self) -> None:
        record = self.begin_new()
        record.mark_dispatched()
        record.finish(UNKNOWN)
        self.assertEqual(ANSWER, record.finish(ANSWER))
        self.assertEqual(ANSWER, record.finish(UNKNOWN))
        self.assertEqual(AlreadyFinished(ANSWER), self.begin())

    def test_expired_token_begins_no_request_but_recorded_outcome_is_returned(self) -> None:
        self.begin_new().finish(ANSWER)
        self.clock.advance(TOKEN_LIFETIME_S)
        self.assertEqual(AlreadyFinished(ANSWER), self.begin())
        self.assertIs(errorcodes.TOKEN_EXPIRED, self.error_code_of("k2"))

    def test_token_older_than_record_lifetime_yields_unknown(self) -> None:
        self.begin_new().finish(ANSWER)
        self.clock.advance(RECORD_LIFETIME_S)
        self.assertIs(errorcodes.UNKNOWN_RECORD_EVICTED, self.error_code_of())

    def test_unfinished_record_is_not_evicted(self) -> None:
        record = self.begin_new()
        self.clock.advance(10 * RECORD_LIFETIME_S)
        self.assertIsInstance(self.begin(), DuplicateInFlight)
        record.finish(ANSWER)
        self.assertEqual(AlreadyFinished(ANSWER), self.begin())

    def test_record_lifetime_below_twice_the_token_lifetime_is_rejected(self) -> None:
        self.assertRaises(ValueError, RecordTable, self.issuer, self.clock, 1199.0, 10)


class FullTableTests(RecordCase):
    """Requests refused because the table is full by number of records or by bytes."""

    def test_key_refused_by_full_table_stays_refused_under_its_token(self) -> None:
        self.table = self.make_table(max_records=1)
        first = self.token
        self.begin_new("k1").finish(ANSWER)
        self.clock.advance(TOKEN_LIFETIME_S / 2 - 1)
        self.assertIs(errorcodes.RECORDS_FULL, self.error_code_of("k2"))
        self.assertEqual(AlreadyFinished(ANSWER), self.begin("k1"))
        self.table = self.make_table(max_records=2)
        self.assertEqual(first, self.issuer.current())

    def test_closed_token_stays_closed_after_eviction_makes_room(self) -> None:
        self.table = self.make_table(max_bytes=8)
        record = self.begin_new("k1")
        record.mark_dispatched()
        record.finish(Outcome.answered(200, (), b"12345678"))
        self.assertIs(errorcodes.RECORDS_FULL, self.error_code_of("k2"))
        self.assertEqual(self.token, self.table.current_token())
        self.clock.advance(RECORD_LIFETIME_S)
        self.assertIs(errorcodes.UNKNOWN_RECORD_EVICTED, self.error_code_of("k2"))
        self.token = self.table.current_token()
        self.assertIsInstance(self.begin("k2"), NewRequest)

    def test_new_token_is_handed_out_after_eviction_makes_room(self) -> None:
        self.table = self.make_table(max_records=1)
        self.begin_new("k1").finish(ANSWER)
        self.clock.advance(RECORD_LIFETIME_S - 1)
        self.token = self.issuer.current()
        self.assertIs(errorcodes.RECORDS_FULL, self.error_code_of("k2"))
        self.clock.advance(1)
        self.assertIs(errorcodes.RECORDS_FULL, self.error_code_of("k2"))
        self.assertNotEqual(self.token, self.table.current_token())
        self.token = self.table.current_token()
        self.assertIsInstance(self.begin("k2"), NewRequest)


class HandOverTests(RecordCase):
    """A closed table, whose records a successor takes over."""

    def test_closed_table_refuses_new_requests(self) -> None:
        self.table.close()
        self.assertIs(errorcodes.NODE_CLOSING, self.error_code_of())

    def test_complete_tokens_are_empty_until_closed_with_nothing_in_flight(self) -> None:
        record = self.begin_new()
        self.assertEqual([], self.table.tokens_with_complete_records())
        self.table.close()
        self.assertEqual([], self.table.tokens_with_complete_records())
        record.finish(UNKNOWN)
        self.assertEqual([self.token], self.table.tokens_with_complete_records())
        self.assertEqual([OutcomeKind.UNKNOWN], [o.kind for _, o in self.table.finished_records()])

    def test_complete_tokens_omit_tokens_with_evicted_records(self) -> None:
        self.clock.advance(RECORD_LIFETIME_S)
        fresh = self.issuer.current()
        self.table.close()
        self.assertEqual([fresh], self.table.tokens_with_complete_records())
