"""Tests of InheritedRecords, the records a successor received from its predecessors."""

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.errors import RequestError
from toucanspindle_core.inheritedrecords import (
    InheritedRecord,
    InheritedRecords,
    covered_token_record,
)
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.records import RequestName

KEEP_S = 1200.0
ANSWER = Outcome.answered(200, (), b"lot 7")
UNKNOWN = Outcome.from_error(RequestError(errorcodes.UNKNOWN_TIMEOUT, "No answer.", "ask again"))
NAME = RequestName("yard", "n1.0.mac", "k1")
ABSENT = RequestName("yard", "n1.0.mac", "k2")


class InheritedRecordsTests(TestCase):
    """A successor that answers repeated requests from a predecessor's records."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.inherited = InheritedRecords(self.clock, 3)

    def accept(self, outcome: Outcome = ANSWER, complete: bool = False) -> None:
        records = [InheritedRecord(NAME, b"print", outcome), covered_token_record("n1.0.mac")]
        self.assertTrue(self.inherited.accept("n1", records, KEEP_S, complete))

    def find(self, name: RequestName = NAME, fingerprint: bytes = b"print") -> Outcome | None:
        return self.inherited.find("n1", name, fingerprint)

    def error_code_of(self, name: RequestName, fingerprint: bytes = b"print") -> object:
        return self.assertRaises(RequestError, self.find, name, fingerprint).code

    def test_recorded_outcome_is_returned(self) -> None:
        self.accept()
        self.assertEqual(ANSWER, self.find())
        self.assertIs(errorcodes.KEY_REUSED, self.error_code_of(NAME, b"changed"))

    def test_absent_key_is_not_run_only_after_complete_hand_over(self) -> None:
        self.accept()
        self.assertIsNone(self.find(ABSENT))
        self.accept(complete=True)
        self.assertIs(errorcodes.NODE_CLOSING, self.error_code_of(ABSENT))

    def test_absent_key_under_uncovered_token_is_unknown(self) -> None:
        self.accept(complete=True)
        self.assertIsNone(self.find(RequestName("yard", "n1.9.mac", "k2")))

    def test_records_and_covered_tokens_expire_together(self) -> None:
        self.accept(complete=True)
        self.clock.advance(KEEP_S)
        self.assertIsNone(self.find())
        self.assertIsNone(self.find(ABSENT))

    def test_final_outcome_is_not_replaced_by_unknown(self) -> None:
        self.accept(ANSWER)
        self.accept(UNKNOWN)
        self.assertEqual(ANSWER, self.find())

    def test_batch_beyond_the_limit_is_refused_as_a_whole(self) -> None:
        records = [
            InheritedRecord(RequestName("yard", "n1.0.mac", str(n)), b"", ANSWER) for n in range(4)
        ]
        self.assertFalse(self.inherited.accept("n1", records, KEEP_S, False))
        self.assertEqual(0, len(self.inherited))

    def test_covered_tokens_do_not_count_towards_the_record_limit(self) -> None:
        records = [
            InheritedRecord(RequestName("yard", "n1.0.mac", str(n)), b"", ANSWER) for n in range(3)
        ]
        tokens = [covered_token_record(f"n1.{n}.mac") for n in range(2)]
        self.assertTrue(self.inherited.accept("n1", records + tokens, KEEP_S, True))
        self.assertIs(
            errorcodes.NODE_CLOSING, self.error_code_of(RequestName("yard", "n1.1.mac", "k"))
        )
