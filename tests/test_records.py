"""Tests of the records of non-idempotent requests."""

import threading

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import Begun, Finished, Joined, Record, RecordTable, Started
from toucanspindle_core.tokens import TokenIssuer

TOKEN_LIFETIME_S = 600.0
RECORD_LIFETIME_S = 1200.0
ANSWER = Outcome.answered(201, (("content-type", "text/plain"),), b"lot 7")
REFUSAL = Outcome.from_error(RequestError(errorcodes.OVERLOADED, "No room.", "wait"))
UNKNOWN = Outcome.from_error(RequestError(errorcodes.UNKNOWN_TIMEOUT, "No answer.", "ask again"))


class RecordCase(TestCase):
    """A table with a clock that the test moves."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.issuer = TokenIssuer("n1-3fa9", self.clock, TOKEN_LIFETIME_S)
        self.table = self.make_table()
        self.token = self.issuer.current()

    def make_table(self, max_records: int = 100, max_bytes: int = 10**6) -> RecordTable:
        return RecordTable(self.issuer, self.clock, RECORD_LIFETIME_S, max_records, max_bytes)

    def begin(self, key: str = "k1", account: str = "yard", body: bytes = b"body") -> Begun:
        return self.table.begin(account, self.token, key, body, 0.0)

    def started(self, key: str = "k1") -> Record:
        begun = self.begin(key)
        assert isinstance(begun, Started)
        return begun.record

    def refusal_of(self, key: str = "k1", **arguments: str | bytes) -> ErrorCode:
        error = self.assertRaises(RequestError, self.begin, key, **arguments)
        code = error.code
        assert isinstance(code, ErrorCode)
        return code


class RecordTableTests(RecordCase):
    """Beginning, joining, finishing and evicting."""

    def test_a_copy_in_flight_joins_and_gets_the_same_outcome(self) -> None:
        record = self.started()
        joined = self.begin()
        assert isinstance(joined, Joined)
        self.assertIsNone(joined.record.wait(0.0))
        finisher = threading.Thread(target=record.finish, args=(ANSWER,))
        finisher.start()
        self.assertEqual(ANSWER, joined.record.wait(10.0))
        finisher.join()
        self.assertEqual(Finished(ANSWER), self.begin())

    def test_another_account_with_the_same_key_is_another_request(self) -> None:
        self.started().finish(ANSWER)
        self.assertIsInstance(self.begin(account="other"), Started)

    def test_a_key_with_another_body_is_refused(self) -> None:
        self.started()
        self.assertIs(errorcodes.KEY_REUSED, self.refusal_of(body=b"changed"))

    def test_a_refused_request_stays_not_run(self) -> None:
        self.started().finish(REFUSAL)
        self.clock.advance(TOKEN_LIFETIME_S)
        self.assertEqual(Finished(REFUSAL), self.begin())

    def test_not_run_after_dispatch_needs_the_targets_word(self) -> None:
        record = self.started()
        record.mark_dispatched()
        self.assertRaises(RuntimeError, record.finish, REFUSAL)
        record.mark_not_run_by_target()
        self.assertEqual(REFUSAL, record.finish(REFUSAL))

    def test_a_finished_request_is_not_dispatched(self) -> None:
        record = self.started()
        record.finish(REFUSAL)
        self.assertRaises(RuntimeError, record.mark_dispatched)

    def test_a_second_dispatch_needs_the_end_of_the_first(self) -> None:
        record = self.started()
        record.mark_dispatched()
        self.assertRaises(RuntimeError, record.mark_dispatched)

    def test_unknown_becomes_answered_and_never_the_other_way(self) -> None:
        record = self.started()
        record.mark_dispatched()
        record.finish(UNKNOWN)
        self.assertEqual(ANSWER, record.finish(ANSWER))
        self.assertEqual(ANSWER, record.finish(UNKNOWN))
        self.assertEqual(Finished(ANSWER), self.begin())

    def test_an_expired_token_begins_nothing_but_its_records_answer(self) -> None:
        self.started().finish(ANSWER)
        self.clock.advance(TOKEN_LIFETIME_S)
        self.assertEqual(Finished(ANSWER), self.begin())
        self.assertIs(errorcodes.TOKEN_EXPIRED, self.refusal_of("k2"))

    def test_a_token_older_than_the_records_yields_unknown(self) -> None:
        self.started().finish(ANSWER)
        self.clock.advance(RECORD_LIFETIME_S)
        self.assertIs(errorcodes.UNKNOWN_FORGOTTEN, self.refusal_of())

    def test_an_unfinished_record_is_never_evicted(self) -> None:
        record = self.started()
        self.clock.advance(10 * RECORD_LIFETIME_S)
        self.assertIsInstance(self.begin(), Joined)
        record.finish(ANSWER)
        self.assertEqual(Finished(ANSWER), self.begin())

    def test_records_must_outlive_tokens_twice_over(self) -> None:
        self.assertRaises(ValueError, RecordTable, self.issuer, self.clock, 1199.0, 10)


class FullTableTests(RecordCase):
    """A table without room."""

    def test_a_key_refused_for_lack_of_room_never_runs_under_its_token(self) -> None:
        self.table = self.make_table(max_records=1)
        first = self.token
        self.started("k1").finish(ANSWER)
        self.clock.advance(TOKEN_LIFETIME_S / 2 - 1)
        self.assertIs(errorcodes.RECORDS_FULL, self.refusal_of("k2"))
        self.assertEqual(Finished(ANSWER), self.begin("k1"))
        self.table = self.make_table(max_records=2)
        self.assertEqual(first, self.issuer.current())

    def test_a_closed_token_stays_closed_when_there_is_room_again(self) -> None:
        self.table = self.make_table(max_bytes=8)
        record = self.started("k1")
        record.mark_dispatched()
        record.finish(Outcome.answered(200, (), b"12345678"))
        self.assertIs(errorcodes.RECORDS_FULL, self.refusal_of("k2"))
        self.assertEqual(self.token, self.table.renew_token())
        self.clock.advance(RECORD_LIFETIME_S)
        self.assertIs(errorcodes.UNKNOWN_FORGOTTEN, self.refusal_of("k2"))
        self.token = self.table.renew_token()
        self.assertIsInstance(self.begin("k2"), Started)

    def test_a_fresh_token_is_handed_out_once_there_is_room(self) -> None:
        self.table = self.make_table(max_records=1)
        self.started("k1").finish(ANSWER)
        self.clock.advance(RECORD_LIFETIME_S - 1)
        self.token = self.issuer.current()
        self.assertIs(errorcodes.RECORDS_FULL, self.refusal_of("k2"))
        self.clock.advance(1)
        self.assertIs(errorcodes.RECORDS_FULL, self.refusal_of("k2"))
        self.assertNotEqual(self.token, self.table.renew_token())
        self.token = self.table.renew_token()
        self.assertIsInstance(self.begin("k2"), Started)


class HandOverTests(RecordCase):
    """What a closing table says about itself."""

    def test_a_closed_table_begins_nothing(self) -> None:
        self.table.close()
        self.assertIs(errorcodes.NODE_CLOSING, self.refusal_of())

    def test_tokens_are_complete_only_when_closed_with_nothing_in_flight(self) -> None:
        record = self.started()
        self.assertEqual([], self.table.complete_tokens())
        self.table.close()
        self.assertEqual([], self.table.complete_tokens())
        record.finish(UNKNOWN)
        self.assertEqual([self.token], self.table.complete_tokens())
        self.assertEqual([OutcomeKind.UNKNOWN], [o.kind for _, o in self.table.finished()])

    def test_tokens_whose_records_may_be_gone_are_left_out(self) -> None:
        self.clock.advance(RECORD_LIFETIME_S)
        fresh = self.issuer.current()
        self.table.close()
        self.assertEqual([fresh], self.table.complete_tokens())
