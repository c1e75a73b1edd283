"""Records that a node took over from others that shut down gracefully.

The successor answers from them and never dispatches.  Each predecessor sends its finished
records in batches, then marks the hand-over complete, once nothing is in flight there and nothing
more will be begun.  A complete hand-over names the tokens that it covers: those of which no
record was evicted.  For a key that is absent under a covered token the successor may say *not
run*; in every other case of absence the outcome is *unknown*.

A covered token travels as a record whose account and key are empty, which no request has.
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
    def covers_token(self) -> bool:
        """Whether this stands for a covered token."""
        return not self.name.account and not self.name.key


def covered_token_record(token: str) -> InheritedRecord:
    """Return the record that stands for a covered token."""
    outcome = Outcome.from_error(never_begun_error())
    return InheritedRecord(RequestName("", token, ""), b"", outcome)


@dataclass
class _Inheritance:
    complete: bool = False
    kept_until: float = 0.0
    records: dict[RequestName, InheritedRecord] = field(default_factory=dict)
    covered_tokens: set[str] = field(default_factory=set)

    def add(self, record: InheritedRecord) -> None:
        """Keep a record unless a final outcome of the request is known already."""
        if record.covers_token:
            self.covered_tokens.add(record.name.token)
            return
        known = self.records.get(record.name)
        if known is None or known.outcome.kind is OutcomeKind.UNKNOWN:
            self.records[record.name] = record

    def covers(self, token: str) -> bool:
        """Return whether absence under `token` proves that nothing ran."""
        return self.complete and token in self.covered_tokens


class InheritedRecords:
    """What predecessors handed over; safe for use by several threads.

    Invariant: "not run" is answered for an absent key only if the hand-over is complete, covers
    the token and hasn't lapsed; a predecessor's records lapse together.
    """

    def __init__(self, clock: Clock, max_records: int) -> None:
        """Create an empty set that holds at most `max_records` records of all predecessors."""
        self._clock = clock
        self._max_records = max_records
        self._lock = threading.Lock()
        self._by_incarnation: dict[str, _Inheritance] = {}

    def __len__(self) -> int:
        """Return the number of records kept."""
        return sum(len(inheritance.records) for inheritance in self._by_incarnation.values())

    def accept(
        self, incarnation: str, records: Iterable[InheritedRecord], keep_s: float, complete: bool
    ) -> bool:
        """Take over one batch (step HandOver); return False, taking nothing, when it is too big.

        A sender that gets False or no answer must not send a batch marked complete.
        """
        batch = list(records)
        with self._lock:
            self._evict()
            inheritance = self._by_incarnation.setdefault(incarnation, _Inheritance())
            requests = {record.name for record in batch if not record.covers_token}
            added = len(requests - inheritance.records.keys())
            if len(self) + added > self._max_records:
                return False
            for record in batch:
                inheritance.add(record)
            inheritance.complete = inheritance.complete or complete
            inheritance.kept_until = max(inheritance.kept_until, self._clock.now() + keep_s)
        return True

    def find(self, incarnation: str, name: RequestName, fingerprint: bytes) -> Outcome | None:
        """Return the outcome at a predecessor (step AnswerFromInherited), or None: unknown.

        Raise RequestError KEY_REUSED for another fingerprint, and NODE_CLOSING for a request
        that never reached a target and never will.
        """
        with self._lock:
            self._evict()
            inheritance = self._by_incarnation.get(incarnation)
            if inheritance is None:
                return None
            record = inheritance.records.get(name)
            never_begun = record is None and inheritance.covers(name.token)
        if never_begun:
            raise never_begun_error()
        if record is None:
            return None
        if record.fingerprint != fingerprint:
            raise key_reused_error()
        return record.outcome

    def _evict(self) -> None:
        now = self._clock.now()
        lapsed = [name for name, kept in self._by_incarnation.items() if now >= kept.kept_until]
        for incarnation in lapsed:
            del self._by_incarnation[incarnation]


def never_begun_error() -> RequestError:
    """Return the error for a request that its issuer never began and never will."""
    return RequestError(
        errorcodes.NODE_CLOSING,
        "The node that issued the token has closed, and the request was not run there.",
        "ask the directory again and send the request with the fresh token",
    )
