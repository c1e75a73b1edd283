"""Records that a node received from nodes that shut down gracefully (its predecessors).

The successor answers repeated requests from these records and never dispatches them.  Each
predecessor sends its finished records in batches.  It marks the hand-over complete once it has
nothing in flight and begins nothing more.  A complete hand-over lists the tokens that it covers:
those under which no record was evicted.  If a key is absent under a covered token, the successor
may answer *not run*; in every other case of absence the outcome is *unknown*.

On the wire a covered token is a record with an empty account and key, which no request has.

Steps of spec/dispatch.py: HandOverPart, HandOver, AnswerFromInherited.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, field

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import RequestName, key_reused_error


@dataclass(frozen=True)
class InheritedRecord:
    """One finished request of a predecessor, or a token that its hand-over covers."""

    name: RequestName
    fingerprint: bytes
    outcome: Outcome

    @property
    def is_covered_token(self) -> bool:
        """Whether this record marks a covered token instead of holding a request's outcome."""
        return not self.name.account and not self.name.key


def covered_token_record(token: str) -> InheritedRecord:
    """Return the marker record that a hand-over sends for a covered token."""
    outcome = Outcome.from_error(never_begun_error())
    return InheritedRecord(RequestName("", token, ""), b"", outcome)


@dataclass
class _HandOver:
    complete: bool = False
    expires_at: float = 0.0
    records: dict[RequestName, InheritedRecord] = field(default_factory=dict)
    covered_tokens: set[str] = field(default_factory=set)

    def add(self, record: InheritedRecord) -> None:
        """Store a record unless a final outcome of the request is stored already."""
        if record.is_covered_token:
            self.covered_tokens.add(record.name.token)
            return
        known = self.records.get(record.name)
        if known is None or known.outcome.kind is OutcomeKind.UNKNOWN:
            self.records[record.name] = record

    def covers(self, token: str) -> bool:
        """Return whether a key without a record under `token` was certainly not run."""
        return self.complete and token in self.covered_tokens


class InheritedRecords:
    """Records that predecessors handed over; safe for use by several threads.

    Invariant: an absent key gets "not run" only if the hand-over is complete, covers the token
    and hasn't expired; all records of one predecessor expire together.
    """

    def __init__(self, clock: Clock, max_records: int) -> None:
        """Create an empty set for at most `max_records` records of all predecessors together."""
        self._clock = clock
        self._max_records = max_records
        self._lock = threading.Lock()
        self._by_incarnation: dict[str, _HandOver] = {}

    def __len__(self) -> int:
        """Return the number of records of all predecessors, without covered tokens."""
        return sum(len(hand_over.records) for hand_over in self._by_incarnation.values())

    def accept(
        self, incarnation: str, records: Iterable[InheritedRecord], keep_s: float, complete: bool
    ) -> bool:
        """Store one batch; return False and store nothing if there is no room.

        Keep all records of `incarnation` for at least `keep_s` seconds from now.  A sender that
        gets False or no answer must not send a batch marked complete.
        """
        batch = list(records)
        with self._lock:
            self._evict()
            hand_over = self._by_incarnation.setdefault(incarnation, _HandOver())
            requests = {record.name for record in batch if not record.is_covered_token}
            added = len(requests - hand_over.records.keys())
            if len(self) + added > self._max_records:
                return False
            for record in batch:
                hand_over.add(record)
            hand_over.complete = hand_over.complete or complete
            hand_over.expires_at = max(hand_over.expires_at, self._clock.now() + keep_s)
        return True

    def find(self, incarnation: str, name: RequestName, fingerprint: bytes) -> Outcome | None:
        """Return the outcome recorded by a predecessor, or None if the outcome is unknown.

        Raises RequestError KEY_REUSED if the key was used with another fingerprint, and
        NODE_CLOSING for a request that never reached a target and never will.
        """
        with self._lock:
            self._evict()
            hand_over = self._by_incarnation.get(incarnation)
            if hand_over is None:
                return None
            record = hand_over.records.get(name)
            never_begun = record is None and hand_over.covers(name.token)
        if never_begun:
            raise never_begun_error()
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            raise key_reused_error()
        return record.outcome

    def _evict(self) -> None:
        now = self._clock.now()
        expired = [
            incarnation
            for incarnation, hand_over in self._by_incarnation.items()
            if now >= hand_over.expires_at
        ]
        for incarnation in expired:
            del self._by_incarnation[incarnation]


def never_begun_error() -> RequestError:
    """Return the error for a request that the issuer of its token never began and never will."""
    return RequestError(
        errorcodes.NODE_CLOSING,
        "The node that issued the token has closed, and the request was not run there.",
        "ask the directory again and send the request with the new token",
    )
