"""Specification: dispatch of one non-idempotent request, identified by account, token and key.

Node A's first incarnation issued the token.  The caller sends copies of the request to A and to
another node B, which is also A's successor.  The network may delay a copy for any time.  A paused
process takes no step while the token ages; the interleavings cover every such pause.

Steps of the caller and the network:
    SendToIssuer, SendToOther, LoseCopy.
Steps of the issuer:
    BeginRecord           creates the record of a new request under a valid token
    JoinInFlight          a copy of a request without an outcome waits for the outcome
    AnswerFromRecord      answers a copy of a finished request with the recorded outcome
    RefuseExpired         the token has expired but no record was evicted: not run
    AnswerForgotten       the token is so old that its records may be evicted: unknown
    RefuseFull            the table is full: not run, and the token accepts no new keys
    RefuseClosing         the table is closed: not run
    RefuseBegun           overload, deadline or no target, before any dispatch: not run
    MarkDispatched        records the dispatch before the first byte is written
    WriteRequest          writes the first byte to a target
    ConnectRefused        the target accepted no byte; another target may be tried
    TargetRefuses         the target states that it ran nothing (shed, or cancelled before run)
    ReceiveAnswer         records the target's answer, even one that arrives late
    ReportUnknown         a timeout or a reset after the first byte: unknown
    CapacityChanges       the table becomes full, or has room again
    EvictRecord           evicts a finished record that has reached its lifetime
    CloseIssuer, HandOver graceful shutdown: close the table, then send the final batch of records
    HandOverPart          sends a batch of records that isn't the final one
    CrashIssuer, Exit, RestartAtSameAddress
Steps of the other node:
    AskIssuer             forwards the copy; while the issuer is unreachable: unknown
    AnswerFromInherited   a successor answers from the inherited records and never dispatches
    ExpireInherited       a successor discards all inherited records of a predecessor together
Steps of the target:
    RunRequest, ShedRequest, LoseAnswer.
Time: TokenExpires, RecordsAge.
"""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Final

from spec.checking import Specification
from spec.dispatchstate import (
    MAX_COPIES,
    MAX_DISPATCHES,
    InheritedState,
    IssuerState,
    RecordState,
    Reply,
    State,
    TokenAge,
)

BOUNDS: Final = (
    f"one request key, {MAX_COPIES} copies, {MAX_DISPATCHES} dispatches, an issuer and its"
    " restart, one other node that is also the successor"
)
OMITTED: Final = (
    "bodies and fingerprints, several accounts and keys, a forged token, two successors, a target"
    " that breaks its contract (states that it ran nothing although it ran the request),"
    " interleaving of threads inside one step"
)


class Guard(Enum):
    """A condition of the protocol; without it, the checker must find a violation."""

    RECORD_BEFORE_DISPATCH = "each request has one record, and its copies wait for that record"
    RECORD_BEFORE_REFUSAL = "no filter refuses a request before the record lookup"
    REMEMBER_NOT_RUN = "a request refused before dispatch keeps its record"
    EXPIRED_NEVER_BEGINS = "no new request is accepted under an expired token of any age"
    EXPIRY_INSIDE_BEGIN = "the expiry check and the creation of the record are one atomic step"
    EVICT_BY_AGE_ONLY = "a record is kept for its lifetime, even when the table is full"
    RECORDS_OUTLIVE_TOKENS = "the record lifetime is twice the token lifetime"
    UNFINISHED_STAYS = (
        "a request without an outcome keeps its record, even if the caller disconnects"
    )
    FORGOTTEN_IS_UNKNOWN = "a token whose records may have been evicted yields unknown"
    FULL_CLOSES_TOKEN = "after a refusal because the table is full, the token accepts no new keys"
    MARK_BEFORE_WRITE = "the dispatch is recorded before the first byte is written"
    RESET_IS_UNKNOWN = "after the first byte, a request is not run only if the target states so"
    ONLY_ISSUER_DISPATCHES = "a node that isn't the issuer never dispatches"
    SILENT_ISSUER_IS_UNKNOWN = "while the issuer is unreachable the answer is unknown"
    TOKEN_NAMES_INCARNATION = "a restarted process rejects the tokens of its previous incarnation"
    CLOSE_BEFORE_HAND_OVER = "the table is closed before the hand-over is complete"
    BEGUN_BLOCKS_HAND_OVER = "the hand-over waits until no request is begun but not dispatched"
    ABSENT_NEEDS_COMPLETE = "a missing record proves not run only in a complete hand-over"
    HAND_OVER_NAMES_TOKENS = "a complete hand-over lists the tokens without evicted records"
    SUCCESSOR_NEVER_DISPATCHES = "a successor answers from inherited records and never dispatches"
    LAPSE_AS_A_WHOLE = "a successor discards the records and the completeness mark together"


Step = tuple[str, State]

_FINISHED: Final = (RecordState.NOT_RUN, RecordState.UNKNOWN, RecordState.ANSWERED)
_IN_FLIGHT: Final = (RecordState.BEGUN, RecordState.DISPATCHED, RecordState.WRITTEN)
_RUNNING: Final = (IssuerState.OPEN, IssuerState.CLOSED, IssuerState.HANDED_OVER)
_INHERITED_BY_RECORD: Final = {
    RecordState.NONE: InheritedState.ABSENT,
    RecordState.BEGUN: InheritedState.ABSENT,
    RecordState.DISPATCHED: InheritedState.UNKNOWN,
    RecordState.WRITTEN: InheritedState.UNKNOWN,
    RecordState.NOT_RUN: InheritedState.NOT_RUN,
    RecordState.UNKNOWN: InheritedState.UNKNOWN,
    RecordState.ANSWERED: InheritedState.ANSWERED,
}


class DispatchSpec:
    """The dispatch protocol, optionally with some guards removed."""

    def __init__(self, *removed: Guard) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)

    def specification(self) -> Specification:
        """Return the state machine and its properties for `spec.checking.check`."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"dispatch{suffix}",
            State(),
            self.successors,
            {
                "runs at most once": lambda state: state.runs <= 1,
                "not run is true": lambda state: not (state.reported_not_run and state.runs),
            },
            BOUNDS,
            OMITTED,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield the name and the resulting state of each step enabled in `state`."""
        yield from _caller_steps(state)
        if state.issuer in _RUNNING:
            if state.copies_to_issuer:
                yield from self._steps_on_copy_at_issuer(
                    state._replace(copies_to_issuer=state.copies_to_issuer - 1)
                )
            yield from self._dispatch_steps(state)
            yield from self._eviction_steps(state)
            yield from self._shutdown_steps(state)
        if state.issuer in (IssuerState.EXITED, IssuerState.REPLACED):
            yield from self._steps_after_issuer_exit(state)
        yield from self._other_node_steps(state)
        yield from _target_steps(state)
        yield from _time_steps(state)

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _steps_on_copy_at_issuer(self, state: State) -> Iterator[Step]:
        if not self._has_guard(Guard.RECORD_BEFORE_REFUSAL):
            yield "RefuseUnrecorded", state._replace(reported_not_run=True)
        if state.record in _FINISHED:
            is_reported = state.reported_not_run or state.record is RecordState.NOT_RUN
            yield "AnswerFromRecord", state._replace(reported_not_run=is_reported)
        elif state.record in _IN_FLIGHT:
            yield "JoinInFlight", state
            if not self._has_guard(Guard.RECORD_BEFORE_DISPATCH) and state.dispatches_left:
                yield "DispatchCopy", _with_request_written(state, state.record)
        else:
            yield from self._steps_on_new_request(state)

    def _steps_on_new_request(self, state: State) -> Iterator[Step]:
        not_run = state._replace(reported_not_run=True)
        can_begin_expired = not self._has_guard(Guard.EXPIRED_NEVER_BEGINS)
        if state.token_age is TokenAge.RECORDS_EVICTABLE and not can_begin_expired:
            if self._has_guard(Guard.FORGOTTEN_IS_UNKNOWN):
                yield "AnswerForgotten", state
            else:
                yield "RefuseExpired", not_run
        elif state.token_age is TokenAge.EXPIRED and not can_begin_expired:
            yield "RefuseExpired", not_run
        elif state.issuer is not IssuerState.OPEN and self._has_guard(Guard.CLOSE_BEFORE_HAND_OVER):
            yield "RefuseClosing", not_run
        elif not state.has_capacity or state.token_closed:
            closes_token = self._has_guard(Guard.FULL_CLOSES_TOKEN)
            yield "RefuseFull", not_run._replace(token_closed=closes_token)
        elif self._has_guard(Guard.EXPIRY_INSIDE_BEGIN):
            yield "BeginRecord", state._replace(record=RecordState.BEGUN)
        else:
            yield "CheckExpiry", state._replace(threads_past_check=state.threads_past_check + 1)

    def _dispatch_steps(self, state: State) -> Iterator[Step]:
        if state.threads_past_check and state.record is RecordState.NONE:
            with_record = state._replace(
                threads_past_check=state.threads_past_check - 1, record=RecordState.BEGUN
            )
            yield "BeginRecord", with_record
        if state.record is RecordState.BEGUN:
            refused_record = (
                RecordState.NOT_RUN if self._has_guard(Guard.REMEMBER_NOT_RUN) else RecordState.NONE
            )
            yield "RefuseBegun", state._replace(record=refused_record, reported_not_run=True)
            if state.dispatches_left and self._has_guard(Guard.MARK_BEFORE_WRITE):
                yield "MarkDispatched", state._replace(record=RecordState.DISPATCHED)
            elif state.dispatches_left:
                yield "WriteRequest", _with_request_written(state, RecordState.BEGUN)
        if state.record is RecordState.DISPATCHED:
            yield "ConnectRefused", state._replace(record=RecordState.BEGUN)
            yield "WriteRequest", _with_request_written(state, RecordState.WRITTEN)
        if state.record is RecordState.WRITTEN:
            yield "ReportUnknown", state._replace(record=RecordState.UNKNOWN)
            if not self._has_guard(Guard.RESET_IS_UNKNOWN):
                yield "RetryAfterReset", state._replace(record=RecordState.BEGUN)
        yield from _reply_steps(state)

    def _eviction_steps(self, state: State) -> Iterator[Step]:
        yield "CapacityChanges", state._replace(has_capacity=not state.has_capacity)
        min_age_to_evict = TokenAge.RECORDS_EVICTABLE
        if not self._has_guard(Guard.RECORDS_OUTLIVE_TOKENS):
            min_age_to_evict = TokenAge.EXPIRED
        if not self._has_guard(Guard.EVICT_BY_AGE_ONLY):
            min_age_to_evict = TokenAge.VALID
        if state.record in _FINISHED and state.token_age >= min_age_to_evict:
            yield "EvictRecord", state._replace(record=RecordState.NONE)
        if state.record in _IN_FLIGHT and not self._has_guard(Guard.UNFINISHED_STAYS):
            yield "DropRecord", state._replace(record=RecordState.NONE)

    def _shutdown_steps(self, state: State) -> Iterator[Step]:
        yield "CrashIssuer", _with_issuer_exited(state)
        if state.issuer is IssuerState.OPEN:
            yield "CloseIssuer", state._replace(issuer=IssuerState.CLOSED)
        if state.issuer is IssuerState.CLOSED:
            if state.inherited is InheritedState.NOTHING:
                yield "HandOverPart", state._replace(inherited=InheritedState.PARTIAL)
            is_blocked = state.record is RecordState.BEGUN and self._has_guard(
                Guard.BEGUN_BLOCKS_HAND_OVER
            )
            if not is_blocked:
                inherited = self._inherited_on_hand_over(state)
                yield "HandOver", state._replace(
                    issuer=IssuerState.HANDED_OVER, inherited=inherited
                )
        if state.issuer is IssuerState.HANDED_OVER and state.record not in _IN_FLIGHT:
            yield "Exit", _with_issuer_exited(state)

    def _inherited_on_hand_over(self, state: State) -> InheritedState:
        inherited = _INHERITED_BY_RECORD[state.record]
        is_token_listed = state.token_age is not TokenAge.RECORDS_EVICTABLE or not self._has_guard(
            Guard.HAND_OVER_NAMES_TOKENS
        )
        if inherited is InheritedState.ABSENT and not is_token_listed:
            return InheritedState.NOT_LISTED
        return inherited

    def _steps_after_issuer_exit(self, state: State) -> Iterator[Step]:
        if state.issuer is IssuerState.EXITED:
            yield "RestartAtSameAddress", state._replace(issuer=IssuerState.REPLACED)
            return
        accepts_old_token = (
            not self._has_guard(Guard.TOKEN_NAMES_INCARNATION) and state.token_age is TokenAge.VALID
        )
        if accepts_old_token and state.copies_to_issuer and state.dispatches_left:
            accepted = state._replace(copies_to_issuer=state.copies_to_issuer - 1)
            yield "BeginForPredecessor", _with_request_written(accepted, RecordState.NONE)

    def _other_node_steps(self, state: State) -> Iterator[Step]:
        if not state.copies_to_other:
            return
        after_receipt = state._replace(copies_to_other=state.copies_to_other - 1)
        yield "AskIssuer", after_receipt._replace(
            copies_to_issuer=after_receipt.copies_to_issuer + 1
        )
        if not self._has_guard(Guard.SILENT_ISSUER_IS_UNKNOWN):
            yield "RefuseSilentIssuer", after_receipt._replace(reported_not_run=True)
        if not self._has_guard(Guard.ONLY_ISSUER_DISPATCHES) and state.dispatches_left:
            yield "DispatchElsewhere", _with_request_written(after_receipt, state.record)
        yield from self._successor_steps(state, after_receipt)

    def _successor_steps(self, state: State, after_receipt: State) -> Iterator[Step]:
        is_not_run_proved = state.inherited in (InheritedState.ABSENT, InheritedState.NOT_RUN)
        if state.inherited is InheritedState.PARTIAL and not self._has_guard(
            Guard.ABSENT_NEEDS_COMPLETE
        ):
            is_not_run_proved = True
        if state.inherited is not InheritedState.NOTHING:
            is_reported = state.reported_not_run or is_not_run_proved
            yield "AnswerFromInherited", after_receipt._replace(reported_not_run=is_reported)
            if not self._has_guard(Guard.SUCCESSOR_NEVER_DISPATCHES) and state.dispatches_left:
                yield "DispatchAtSuccessor", _with_request_written(after_receipt, state.record)
            remaining = InheritedState.NOTHING
            is_complete = state.inherited is not InheritedState.PARTIAL
            if is_complete and not self._has_guard(Guard.LAPSE_AS_A_WHOLE):
                remaining = InheritedState.ABSENT
            yield "ExpireInherited", state._replace(inherited=remaining)


def _caller_steps(state: State) -> Iterator[Step]:
    if state.sends_left:
        sent = state._replace(sends_left=state.sends_left - 1)
        yield "SendToIssuer", sent._replace(copies_to_issuer=state.copies_to_issuer + 1)
        yield "SendToOther", sent._replace(copies_to_other=state.copies_to_other + 1)
    if state.copies_to_issuer:
        yield "LoseCopy", state._replace(copies_to_issuer=state.copies_to_issuer - 1)


def _reply_steps(state: State) -> Iterator[Step]:
    if state.record not in (RecordState.WRITTEN, RecordState.UNKNOWN):
        return
    received = state._replace(reply=Reply.NONE)
    if state.reply is Reply.ANSWER:
        yield "ReceiveAnswer", received._replace(record=RecordState.ANSWERED)
    if state.reply is Reply.REFUSAL and state.record is RecordState.WRITTEN:
        yield "TargetRefuses", received._replace(record=RecordState.BEGUN)
    if state.reply is Reply.REFUSAL and state.record is RecordState.UNKNOWN:
        yield "TargetRefuses", received._replace(record=RecordState.NOT_RUN, reported_not_run=True)


def _target_steps(state: State) -> Iterator[Step]:
    if state.requests_at_targets:
        after_receipt = state._replace(requests_at_targets=state.requests_at_targets - 1)
        yield "RunRequest", after_receipt._replace(runs=min(2, state.runs + 1), reply=Reply.ANSWER)
        yield "ShedRequest", after_receipt._replace(reply=Reply.REFUSAL)
    if state.reply is not Reply.NONE:
        yield "LoseAnswer", state._replace(reply=Reply.NONE)


def _time_steps(state: State) -> Iterator[Step]:
    if state.token_age is TokenAge.VALID:
        yield "TokenExpires", state._replace(token_age=TokenAge.EXPIRED)
    if state.token_age is TokenAge.EXPIRED:
        yield "RecordsAge", state._replace(token_age=TokenAge.RECORDS_EVICTABLE)


def _with_request_written(state: State, record: RecordState) -> State:
    return state._replace(
        record=record,
        requests_at_targets=state.requests_at_targets + 1,
        dispatches_left=state.dispatches_left - 1,
    )


def _with_issuer_exited(state: State) -> State:
    return state._replace(
        issuer=IssuerState.EXITED, record=RecordState.NONE, threads_past_check=0, reply=Reply.NONE
    )
