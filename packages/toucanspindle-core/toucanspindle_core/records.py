"""Records of non-idempotent requests at the process that issued their token.

A request is named by account, token and key together.  `begin` is the first step of every such
request, before any filter that may refuse it: a refusal is *not run* only if no earlier copy ran
and no later copy will, and only the record can tell.  The life of a record:

    begun --mark_dispatched--> dispatched --finish--> finished (answered, unknown)
      ^------mark_not_run_by_target------'
    begun --finish--> finished (not run)

A copy that comes while its record is begun or dispatched joins it; a copy that comes later gets
the recorded outcome.  Records are evicted by age alone, and only when their token has expired
long before, so an evicted request can't look new.  The expiry is judged inside `begin`, with the
same reading of the clock as the eviction: a thread that was paused between the two could
otherwise dispatch a request whose record has gone.

When the table is full, new keys are refused and their token is closed: no new key is accepted
under it any more.  So a refused request stays not run although no record of it is kept.
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
from toucanspindle_core.tokens import TokenIssuer, expired_error

DEFAULT_MAX_BYTES: Final = 256 * 1024 * 1024


@dataclass(frozen=True)
class RequestName:
    """What names a non-idempotent request."""

    account: str
    token: str
    key: str


class RecordState(Enum):
    """How far a request has come."""

    BEGUN = "begun"
    DISPATCHED = "dispatched"
    FINISHED = "finished"


class Record:
    """One request; safe for use by several threads.

    Invariants: at most one dispatch is outstanding; NOT_RUN is recorded only if no dispatch is
    outstanding or the target itself said that it didn't run the request; ANSWERED and NOT_RUN
    are final; UNKNOWN may still become ANSWERED, or NOT_RUN on the target's word.
    """

    def __init__(
        self, table: "RecordTable", name: RequestName, fingerprint: bytes, deadline: float
    ) -> None:
        """Create a begun record; `deadline` is in seconds of the table's clock."""
        self.name = name
        self.fingerprint = fingerprint
        self.deadline = deadline
        self._table = table
        self._changed = threading.Condition()
        self._state = RecordState.BEGUN
        self._outcome: Outcome | None = None

    @property
    def state(self) -> RecordState:
        """How far the request has come."""
        return self._state

    @property
    def outcome(self) -> Outcome | None:
        """The recorded outcome, or None while there is none."""
        return self._outcome

    def mark_dispatched(self) -> None:
        """Note that the first byte is about to be written to a target (step MarkDispatched).

        Raise RuntimeError unless the record is begun.
        """
        with self._changed:
            if self._state is not RecordState.BEGUN:
                raise RuntimeError(f"a request that is {self._state.value} can't be dispatched")
            self._state = RecordState.DISPATCHED

    def mark_not_run_by_target(self) -> None:
        """Note that no byte was written after all, or that the target said it ran nothing.

        The request may then be dispatched to another target (step TargetRefuses).
        Raise RuntimeError unless the record is dispatched.
        """
        with self._changed:
            if self._state is not RecordState.DISPATCHED:
                raise RuntimeError(f"a request that is {self._state.value} wasn't dispatched")
            self._state = RecordState.BEGUN

    def finish(self, outcome: Outcome, *, not_run_by_target: bool = False) -> Outcome:
        """Record an outcome, wake those who wait, and return the outcome that stands.

        A final outcome stays as it is.  UNKNOWN may be replaced by a late answer of the target,
        or by NOT_RUN with `not_run_by_target`.  Raise RuntimeError for a NOT_RUN that isn't
        proved: the request was dispatched and the target didn't say that it ran nothing.
        """
        with self._changed:
            if self._is_final():
                assert self._outcome is not None
                return self._outcome
            self._check_not_run(outcome, not_run_by_target)
            self._outcome = outcome
            self._state = RecordState.FINISHED
            self._changed.notify_all()
        self._table._note_finished(self, outcome)
        return outcome

    def wait(self, timeout_s: float) -> Outcome | None:
        """Wait up to `timeout_s` for an outcome; return None when there is none yet."""
        with self._changed:
            self._changed.wait_for(lambda: self._outcome is not None, max(0.0, timeout_s))
            return self._outcome

    def _is_final(self) -> bool:
        return self._outcome is not None and self._outcome.kind is not OutcomeKind.UNKNOWN

    def _check_not_run(self, outcome: Outcome, not_run_by_target: bool) -> None:
        if outcome.kind is not OutcomeKind.NOT_RUN or not_run_by_target:
            return
        if self._state is not RecordState.BEGUN:
            raise RuntimeError("a dispatched request is not run only on the target's word")


@dataclass(frozen=True)
class Started:
    """The request is new: its bearer dispatches it and must finish the record in every case."""

    record: Record


@dataclass(frozen=True)
class Joined:
    """Another copy is being served: wait for its outcome; without one it is *unknown*."""

    record: Record


@dataclass(frozen=True)
class Finished:
    """The request has an outcome already."""

    outcome: Outcome


Begun = Started | Joined | Finished


@dataclass(frozen=True)
class _Kept:
    finished_at: float
    size_bytes: int


class RecordTable:
    """All records of one incarnation; safe for use by several threads.

    Invariants: a record that isn't finished is never evicted, a finished one stays for at least
    `lifetime_s`; a key refused for lack of room is never accepted under the same token later;
    after `close` no record is begun.
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

        `max_bytes` bounds the outcomes kept; requests in flight may exceed it by their answers.
        Raise ValueError when records wouldn't outlive tokens twice over.
        """
        if lifetime_s < 2 * issuer.lifetime_s:
            raise ValueError("records must live at least twice as long as tokens")
        self._issuer = issuer
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._records: dict[RequestName, Record] = {}
        self._finished: OrderedDict[RequestName, _Kept] = OrderedDict()
        self._closed_tokens: dict[str, float] = {}
        self._bytes = 0
        self._closed = False

    @property
    def lifetime_s(self) -> float:
        """Seconds for which a finished record is kept at least."""
        return self._lifetime_s

    @property
    def unfinished(self) -> int:
        """Number of requests without an outcome."""
        return len(self._records) - len(self._finished)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def begin(
        self, account: str, token: str, key: str, fingerprint: bytes, deadline: float
    ) -> Begun:
        """Find or create the record of a request (steps BeginRecord, JoinInFlight, ...).

        Raise RequestError: TOKEN_INVALID; KEY_REUSED for another fingerprint; TOKEN_EXPIRED,
        RECORDS_FULL or NODE_CLOSING for a request that never ran and never will; and
        UNKNOWN_FORGOTTEN when the token is so old that a record of it may have been evicted.
        """
        minted_at = self._issuer.minted_at(token)
        name = RequestName(account, token, key)
        with self._lock:
            now = self._clock.now()
            self._evict(now)
            record = self._records.get(name)
            if record is not None:
                return _rejoin(record, fingerprint)
            self._check_new(token, minted_at, now)
            record = Record(self, name, fingerprint, deadline)
            self._records[name] = record
        return Started(record)

    def renew_token(self) -> str:
        """Return the token to hand out: a fresh one if the current is closed and there is room."""
        token = self._issuer.current()
        with self._lock:
            self._evict(self._clock.now())
            needed = token in self._closed_tokens and not self._is_full()
        return self._issuer.rotate() if needed else token

    def close(self) -> None:
        """Begin no record from now on; those begun may still finish (step CloseIssuer)."""
        with self._lock:
            self._closed = True

    def finished(self) -> Iterator[tuple[Record, Outcome]]:
        """Yield the finished records with their outcomes, oldest first, as of this call."""
        with self._lock:
            records = [self._records[name] for name in self._finished]
        for record in records:
            if record.outcome is not None:
                yield record, record.outcome

    def complete_tokens(self) -> list[str]:
        """Return the tokens under which `finished` yields every request that was ever begun.

        Empty unless the table is closed and nothing is in flight (step HandOver).  Older tokens
        are left out: records under them may have been evicted.
        """
        with self._lock:
            if not self._closed or len(self._records) > len(self._finished):
                return []
            return self._issuer.tokens_since(self._clock.now() - self._lifetime_s)

    def _check_new(self, token: str, minted_at: float, now: float) -> None:
        if now - minted_at >= self._lifetime_s:
            raise _forgotten_error()
        if self._issuer.is_expired(minted_at, now):
            raise expired_error()
        if self._closed:
            raise _closing_error()
        if self._is_full():
            self._closed_tokens[token] = now
        if token in self._closed_tokens:
            raise _full_error()

    def _is_full(self) -> bool:
        return len(self._records) >= self._max_records or self._bytes >= self._max_bytes

    def _note_finished(self, record: Record, outcome: Outcome) -> None:
        with self._lock:
            if self._records.get(record.name) is not record:
                return
            previous = self._finished.pop(record.name, None)
            self._bytes += outcome.size_bytes - (previous.size_bytes if previous else 0)
            self._finished[record.name] = _Kept(self._clock.now(), outcome.size_bytes)

    def _evict(self, now: float) -> None:
        while self._finished:
            name, kept = next(iter(self._finished.items()))
            if now - kept.finished_at < self._lifetime_s:
                break
            del self._finished[name]
            del self._records[name]
            self._bytes -= kept.size_bytes
        for token in [t for t, at in self._closed_tokens.items() if now - at >= self._lifetime_s]:
            del self._closed_tokens[token]


def _rejoin(record: Record, fingerprint: bytes) -> Begun:
    if record.fingerprint != fingerprint:
        raise key_reused_error()
    if record.outcome is not None:
        return Finished(record.outcome)
    return Joined(record)


def key_reused_error() -> RequestError:
    """Return the error for a key that comes with another request."""
    return RequestError(
        errorcodes.KEY_REUSED,
        "The idempotency key was used with another method, path or body.",
        "draw a fresh key for each new request, and resend a request without any change",
    )


def _full_error() -> RequestError:
    return RequestError(
        errorcodes.RECORDS_FULL,
        "The node can't record another request under this token.",
        "ask the directory again and send the request with the fresh token to another node",
    )


def _closing_error() -> RequestError:
    return RequestError(
        errorcodes.NODE_CLOSING,
        "The node is closing and the request was not run.",
        "ask the directory again and send the request with the fresh token to another node",
    )


def _forgotten_error() -> RequestError:
    return RequestError(
        errorcodes.UNKNOWN_FORGOTTEN,
        "The token is older than the records kept, so the outcome can't be told any more.",
        "find out at the target whether the request ran before asking for it again",
    )
