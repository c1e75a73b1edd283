"""Deduplication records of non-idempotent requests, held by the process that issued their token.

Account, token and key together identify a request.  `begin` is the first step of every such
request, before any filter that may refuse it: a refusal may be reported as *not run* only if no
earlier copy ran and no later copy will run, and only the record shows that.  States of a record:

    begun --mark_dispatched--> dispatched --finish--> finished (answered, unknown)
      ^------mark_not_run_by_target------'
    begun --finish--> finished (not run)

A copy that arrives while its record is begun or dispatched waits for the same outcome; a copy
that arrives later gets the recorded outcome.  Records are evicted by age alone, at least one token
lifetime after their token has expired, so a request whose record was evicted can't be taken for a
new one.  `begin` checks the expiry of the token with the same clock reading as the eviction: with
two readings, a thread that is paused in between could dispatch a request whose record was evicted.

When the table is full, `begin` refuses new keys and closes their token: it accepts no new key
under that token any more.  A refused request therefore stays not run although no record is kept.

The steps named in docstrings are those of spec/dispatch.py.
"""

import threading
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.tokens import TokenIssuer, token_expired_error

DEFAULT_MAX_BYTES: Final = 256 * 1024 * 1024


@dataclass(frozen=True)
class RequestName:
    """Identity of a non-idempotent request."""

    account: str
    token: str
    key: str


class RecordState(Enum):
    """State of a record; see the module docstring for the transitions."""

    BEGUN = "begun"
    DISPATCHED = "dispatched"
    FINISHED = "finished"


class Record:
    """Record of one request; safe for use by several threads.

    Invariants: at most one dispatch is outstanding; NOT_RUN is recorded only if no dispatch is
    outstanding or the target itself reported that it didn't run the request; ANSWERED and NOT_RUN
    are final; UNKNOWN may still become ANSWERED, or NOT_RUN if the target reports that.
    """

    def __init__(
        self, table: "RecordTable", name: RequestName, fingerprint: bytes, deadline: float
    ) -> None:
        """Create a record in state BEGUN; `deadline` is in seconds of the table's clock."""
        self.name = name
        self.fingerprint = fingerprint
        self.deadline = deadline
        self._table = table
        self._condition = threading.Condition()
        self._state = RecordState.BEGUN
        self._outcome: Outcome | None = None

    @property
    def state(self) -> RecordState:
        """Current state of the record."""
        return self._state

    @property
    def outcome(self) -> Outcome | None:
        """The recorded outcome, or None while there is none."""
        return self._outcome

    def mark_dispatched(self) -> None:
        """Move to DISPATCHED, before the first byte is written to a target (step MarkDispatched).

        Raises RuntimeError unless the state is BEGUN.
        """
        with self._condition:
            if self._state is not RecordState.BEGUN:
                raise RuntimeError(f"a request in state {self._state.value} can't be dispatched")
            self._state = RecordState.DISPATCHED

    def mark_not_run_by_target(self) -> None:
        """Return to BEGUN: no byte was written, or the target reported the request as not run.

        The request may then be dispatched to another target (step TargetRefuses).
        Raises RuntimeError unless the state is DISPATCHED.
        """
        with self._condition:
            if self._state is not RecordState.DISPATCHED:
                raise RuntimeError(
                    f"a request in state {self._state.value} has no dispatch to withdraw"
                )
            self._state = RecordState.BEGUN

    def finish(self, outcome: Outcome, *, not_run_by_target: bool = False) -> Outcome:
        """Record an outcome, wake the waiting threads, and return the outcome now in force.

        A final outcome is not replaced.  UNKNOWN may be replaced by a late answer of the target,
        or by NOT_RUN with `not_run_by_target`.  Raises RuntimeError for a NOT_RUN without proof:
        the request was dispatched and the target didn't report that it didn't run it.
        """
        with self._condition:
            if self._is_final():
                assert self._outcome is not None
                return self._outcome
            self._check_not_run(outcome, not_run_by_target)
            self._outcome = outcome
            self._state = RecordState.FINISHED
            self._condition.notify_all()
        self._table._note_finished(self, outcome)
        return outcome

    def wait(self, timeout_s: float) -> Outcome | None:
        """Block up to `timeout_s` for an outcome; return None if there is none by then."""
        with self._condition:
            self._condition.wait_for(lambda: self._outcome is not None, max(0.0, timeout_s))
            return self._outcome

    def _is_final(self) -> bool:
        return self._outcome is not None and self._outcome.kind is not OutcomeKind.UNKNOWN

    def _check_not_run(self, outcome: Outcome, not_run_by_target: bool) -> None:
        if outcome.kind is not OutcomeKind.NOT_RUN or not_run_by_target:
            return
        if self._state is not RecordState.BEGUN:
            raise RuntimeError("a dispatched request can be NOT_RUN only if the target reports it")


@dataclass(frozen=True)
class NewRequest:
    """The request is new: the caller of `begin` dispatches it and must always call `finish`."""

    record: Record


@dataclass(frozen=True)
class DuplicateInFlight:
    """Another copy is in flight: wait for its outcome; without one the outcome is *unknown*."""

    record: Record


@dataclass(frozen=True)
class AlreadyFinished:
    """An earlier copy has an outcome, which may be UNKNOWN; return it and don't dispatch."""

    outcome: Outcome


BeginResult = NewRequest | DuplicateInFlight | AlreadyFinished


@dataclass(frozen=True)
class _FinishedEntry:
    finished_at: float
    size_bytes: int


class RecordTable:
    """All records of one incarnation; safe for use by several threads.

    Invariants: an unfinished record is never evicted, and a finished one is kept for at least
    `lifetime_s`; a key that was refused because the table was full is never accepted later under
    the same token; no record is begun after `close`.
    """

    def __init__(
        self,
        issuer: TokenIssuer,
        clock: Clock,
        lifetime_s: float,
        max_records: int,
        max_bytes: int = DEFAULT_MAX_BYTES,
    ) -> None:
        """Create an empty table.

        `max_bytes` bounds the size of the outcomes kept; the answers of requests already in flight
        may exceed it.  Raises ValueError if `lifetime_s` is below twice the token lifetime.
        """
        if lifetime_s < 2 * issuer.lifetime_s:
            raise ValueError("the record lifetime must be at least twice the token lifetime")
        self._issuer = issuer
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._records: dict[RequestName, Record] = {}
        self._finished: OrderedDict[RequestName, _FinishedEntry] = OrderedDict()
        self._closed_tokens: dict[str, float] = {}
        self._stored_bytes = 0
        self._closed = False

    @property
    def lifetime_s(self) -> float:
        """Minimum number of seconds for which a finished record is kept."""
        return self._lifetime_s

    @property
    def unfinished_count(self) -> int:
        """Number of records without an outcome."""
        return len(self._records) - len(self._finished)

    def __len__(self) -> int:
        """Return the number of records, finished or not."""
        return len(self._records)

    def begin(
        self, account: str, token: str, key: str, fingerprint: bytes, deadline: float
    ) -> BeginResult:
        """Find or create the record of a request (steps BeginRecord, JoinInFlight, ...).

        `deadline` is in seconds of the table's clock.  Raises RequestError: TOKEN_INVALID;
        KEY_REUSED if the key was used with another fingerprint; TOKEN_EXPIRED, RECORDS_FULL or
        NODE_CLOSING for a request that never ran and never will; UNKNOWN_RECORD_EVICTED if the
        token is so old that a record under it may have been evicted.
        """
        minted_at = self._issuer.minted_at(token)
        name = RequestName(account, token, key)
        with self._lock:
            now = self._clock.now()
            self._evict(now)
            record = self._records.get(name)
            if record is not None:
                return _result_for_copy(record, fingerprint)
            self._check_may_begin(token, minted_at, now)
            record = Record(self, name, fingerprint, deadline)
            self._records[name] = record
        return NewRequest(record)

    def current_token(self) -> str:
        """Return the token to hand out: a new one if the current is closed and there is room."""
        token = self._issuer.current()
        with self._lock:
            self._evict(self._clock.now())
            needs_new_token = token in self._closed_tokens and not self._is_full()
        return self._issuer.rotate() if needs_new_token else token

    def close(self) -> None:
        """Refuse new requests from now on; those begun may still finish (step CloseIssuer)."""
        with self._lock:
            self._closed = True

    def finished_records(self) -> Iterator[tuple[Record, Outcome]]:
        """Yield a snapshot of the finished records with their outcomes, oldest first."""
        with self._lock:
            records = [self._records[name] for name in self._finished]
        for record in records:
            if record.outcome is not None:
                yield record, record.outcome

    def tokens_with_complete_records(self) -> list[str]:
        """Return the tokens for which `finished_records` yields every request that was ever begun.

        The list is empty unless the table is closed and nothing is in flight (step HandOver).
        Older tokens are omitted: records under them may have been evicted.
        """
        with self._lock:
            if not self._closed or len(self._records) > len(self._finished):
                return []
            return self._issuer.tokens_minted_after(self._clock.now() - self._lifetime_s)

    def _check_may_begin(self, token: str, minted_at: float, now: float) -> None:
        if now - minted_at >= self._lifetime_s:
            raise _record_evicted_error()
        if self._issuer.is_expired(minted_at, now):
            raise token_expired_error()
        if self._closed:
            raise _closing_error()
        if self._is_full():
            self._closed_tokens[token] = now
        if token in self._closed_tokens:
            raise _table_full_error()

    def _is_full(self) -> bool:
        return len(self._records) >= self._max_records or self._stored_bytes >= self._max_bytes

    def _note_finished(self, record: Record, outcome: Outcome) -> None:
        with self._lock:
            if self._records.get(record.name) is not record:
                return
            replaced = self._finished.pop(record.name, None)
            self._stored_bytes += outcome.size_bytes - (replaced.size_bytes if replaced else 0)
            self._finished[record.name] = _FinishedEntry(self._clock.now(), outcome.size_bytes)

    def _evict(self, now: float) -> None:
        while self._finished:
            name, entry = next(iter(self._finished.items()))
            if now - entry.finished_at < self._lifetime_s:
                break
            del self._finished[name]
            del self._records[name]
            self._stored_bytes -= entry.size_bytes
        for token in [t for t, at in self._closed_tokens.items() if now - at >= self._lifetime_s]:
            del self._closed_tokens[token]


def _result_for_copy(record: Record, fingerprint: bytes) -> BeginResult:
    if record.fingerprint != fingerprint:
        raise key_reused_error()
    if record.outcome is not None:
        return AlreadyFinished(record.outcome)
    return DuplicateInFlight(record)


def key_reused_error() -> RequestError:
    """Return the error for a key that was used before with another method, path or body."""
    return RequestError(
        errorcodes.KEY_REUSED,
        "The idempotency key was used with another method, path or body.",
        "generate a new key for each new request, and resend a request without any change",
    )


def _table_full_error() -> RequestError:
    return RequestError(
        errorcodes.RECORDS_FULL,
        "The node can't record another request under this token.",
        "ask the directory again and send the request with the new token to another node",
    )


def _closing_error() -> RequestError:
    return RequestError(
        errorcodes.NODE_CLOSING,
        "The node is closing and the request was not run.",
        "ask the directory again and send the request with the new token to another node",
    )


def _record_evicted_error() -> RequestError:
    return RequestError(
        errorcodes.UNKNOWN_RECORD_EVICTED,
        "The token is older than the records kept, so the outcome is no longer known.",
        "check at the target whether the request ran before sending it again",
    )
