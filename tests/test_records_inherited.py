"""Tests of the records that a successor took over."""

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
    """Answering for a predecessor."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.inherited = InheritedRecords(self.clock, 3)

    def accept(self, outcome: Outcome = ANSWER, complete: bool = False) -> None:
        records = [InheritedRecord(NAME, b"print", outcome), covered_token_record("n1.0.mac")]
        self.assertTrue(self.inherited.accept("n1", records, KEEP_S, complete))

    def find(self, name: RequestName = NAME, fingerprint: bytes = b"print") -> Outcome | None:
        return self.inherited.find("n1", name, fingerprint)

    def refusal_of(self, name: RequestName, fingerprint: bytes = b"print") -> object:
        return self.assertRaises(RequestError, self.find, name, fingerprint).code

    def test_answers_with_the_recorded_outcome(self) -> None:
        self.accept()
        self.assertEqual(ANSWER, self.find())
        self.assertIs(errorcodes.KEY_REUSED, self.refusal_of(NAME, b"changed"))

    def test_absence_means_not_run_only_when_complete(self) -> None:
        self.accept()
        self.assertIsNone(self.find(ABSENT))
        self.accept(complete=True)
        self.assertIs(errorcodes.NODE_CLOSING, self.refusal_of(ABSENT))

    def test_absence_under_a_token_that_is_not_covered_is_unknown(self) -> None:
        self.accept(complete=True)
        self.assertIsNone(self.find(RequestName("yard", "n1.9.mac", "k2")))

    def test_records_and_completeness_lapse_together(self) -> None:
        self.accept(complete=True)
        self.clock.advance(KEEP_S)
        self.assertIsNone(self.find())
        self.assertIsNone(self.find(ABSENT))

    def test_a_final_outcome_is_not_replaced_by_unknown(self) -> None:
        self.accept(ANSWER)
        self.accept(UNKNOWN)
        self.assertEqual(ANSWER, self.find())

    def test_a_batch_without_room_is_refused_whole(self) -> None:
        records = [
            InheritedRecord(RequestName("yard", "n1.0.mac", str(n)), b"", ANSWER) for n in range(4)
        ]
        self.assertFalse(self.inherited.accept("n1", records, KEEP_S, False))
        self.assertEqual(0, len(self.inherited))

    def test_covered_tokens_take_no_room_from_records(self) -> None:
        records = [
            InheritedRecord(RequestName("yard", "n1.0.mac", str(n)), b"", ANSWER) for n in range(3)
        ]
        tokens = [covered_token_record(f"n1.{n}.mac") for n in range(2)]
        self.assertTrue(self.inherited.accept("n1", records + tokens, KEEP_S, True))
        self.assertIs(
            errorcodes.NODE_CLOSING, self.refusal_of(RequestName("yard", "n1.1.mac", "k"))
        )
