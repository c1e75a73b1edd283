"""Specification: dispatch of one non-idempotent request, named by account, token and key.

Node A's first incarnation issued the token.  The caller sends copies of the request to A and to
another node B, which is also A's successor; a copy may stay under way for any time.  A pause of a
process is a stretch in which it takes no step while the token ages; every interleaving has them.

Steps of the caller and the network:
    SendToIssuer, SendToOther, LoseCopy.
Steps of the issuer:
    BeginRecord           a new request under a valid token gets its record
    JoinInFlight          a copy of a request that has no outcome yet waits for it
    AnswerFromRecord      a copy of a finished request gets the recorded outcome
    RefuseExpired         the token has expired and no record was evicted yet: not run
    AnswerForgotten       the token is older than the records: unknown
    RefuseFull            no room: not run, and the token is closed to new keys
    RefuseClosing         the table is closed: not run
    RefuseBegun           overload, deadline, no target, before any dispatch: not run
    MarkDispatched        recorded before the first byte is written
    WriteRequest          the first byte goes to a target
    ConnectRefused        the target took no byte; another target may be tried
    TargetRefuses         the target says that it ran nothing (shed, or cancelled before run)
    ReceiveAnswer         the target's answer is recorded, also a late one
    TellUnknown           a timeout or a reset after the first byte
    EvictRecord           a finished record has reached its age
    CloseIssuer, HandOver graceful shutdown: close the table, then hand over, marked complete
    HandOverPart          a batch that isn't the last
    CrashIssuer, Exit, RestartAtSameAddress
Steps of the other node:
    AskIssuer             forwards the copy; while the issuer can't be heard: unknown
    AnswerFromInherited   a successor answers from what was handed over, and never dispatches
    LapseInheritance      a successor forgets a predecessor as a whole
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
    Age,
    Inherited,
    Issuer,
    Record,
    Reply,
    State,
)

BOUNDS: Final = (
    f"one request name, {MAX_COPIES} copies, {MAX_DISPATCHES} dispatches, an issuer and its"
    " restart, one other node that is also the successor"
)
LEFT_OUT: Final = (
    "bodies and fingerprints, several accounts and keys, a forged token, two successors, a target"
    " that breaks its contract (says that it ran nothing though it did), threads inside one step"
)


class Guard(Enum):
    """A condition of the protocol; removing it must break a property."""

    RECORD_BEFORE_DISPATCH = "a request has a record, which copies join"
    RECORD_BEFORE_REFUSAL = "no filter refuses a request before its record is looked up"
    REMEMBER_NOT_RUN = "a refused request keeps its record"
    EXPIRED_NEVER_BEGINS = "no request begins under an expired token, however old"
    EXPIRY_INSIDE_BEGIN = "the expiry is judged in the step that creates the record"
    EVICT_BY_AGE_ONLY = "a record stays for its lifetime, also when the table is full"
    RECORDS_OUTLIVE_TOKENS = "records live twice as long as tokens"
    UNFINISHED_STAYS = "a request without outcome keeps its record, whoever hangs up"
    FORGOTTEN_IS_UNKNOWN = "a token older than the records yields unknown"
    FULL_CLOSES_TOKEN = "a refusal for lack of room closes the token"
    MARK_BEFORE_WRITE = "the dispatch is recorded before the first byte is written"
    RESET_IS_UNKNOWN = "after the first byte only the target's word makes a request not run"
    ONLY_ISSUER_DISPATCHES = "a node that isn't the issuer never dispatches"
    SILENT_ISSUER_IS_UNKNOWN = "while the issuer can't be heard the answer is unknown"
    TOKEN_NAMES_INCARNATION = "a restarted process refuses its predecessor's tokens"
    CLOSE_BEFORE_HAND_OVER = "the table is closed before the hand-over is complete"
    BEGUN_BLOCKS_HAND_OVER = "no complete hand-over while a request isn't in it"
    ABSENT_NEEDS_COMPLETE = "absence from an incomplete hand-over proves nothing"
    HAND_OVER_NAMES_TOKENS = "a complete hand-over names the tokens of which nothing was evicted"
    SUCCESSOR_NEVER_DISPATCHES = "a successor only answers"
    LAPSE_AS_A_WHOLE = "a successor forgets records and completeness together"


Step = tuple[str, State]

_FINISHED: Final = (Record.NOT_RUN, Record.UNKNOWN, Record.ANSWERED)
_IN_FLIGHT: Final = (Record.BEGUN, Record.DISPATCHED, Record.WRITTEN)
_RUNNING: Final = (Issuer.UP, Issuer.CLOSED, Issuer.HANDED_OVER)
_HANDED_OVER_AS: Final = {
    Record.NONE: Inherited.ABSENT,
    Record.BEGUN: Inherited.ABSENT,
    Record.DISPATCHED: Inherited.UNKNOWN,
    Record.WRITTEN: Inherited.UNKNOWN,
    Record.NOT_RUN: Inherited.NOT_RUN,
    Record.UNKNOWN: Inherited.UNKNOWN,
    Record.ANSWERED: Inherited.ANSWERED,
}


class DispatchSpec:
    """The protocol with some guards removed."""

    def __init__(self, *removed: Guard) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)

    def specification(self) -> Specification:
        """Return it in the checker's terms."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"dispatch{suffix}",
            State(),
            self.successors,
            {
                "runs at most once": lambda state: state.runs <= 1,
                "not run is true": lambda state: not (state.told_not_run and state.runs),
            },
            BOUNDS,
            LEFT_OUT,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield each step that may follow."""
        yield from _caller_steps(state)
        if state.issuer in _RUNNING:
            if state.to_issuer:
                yield from self._copy_at_issuer(state._replace(to_issuer=state.to_issuer - 1))
            yield from self._dispatch_steps(state)
            yield from self._upkeep_steps(state)
            yield from self._shutdown_steps(state)
        if state.issuer in (Issuer.GONE, Issuer.REPLACED):
            yield from self._after_the_issuer(state)
        yield from self._other_node_steps(state)
        yield from _target_steps(state)
        yield from _time_steps(state)

    def _has(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _copy_at_issuer(self, state: State) -> Iterator[Step]:
        if not self._has(Guard.RECORD_BEFORE_REFUSAL):
            yield "RefuseUnrecorded", state._replace(told_not_run=True)
        if state.record in _FINISHED:
            told = state.told_not_run or state.record is Record.NOT_RUN
            yield "AnswerFromRecord", state._replace(told_not_run=told)
        elif state.record in _IN_FLIGHT:
            yield "JoinInFlight", state
            if not self._has(Guard.RECORD_BEFORE_DISPATCH) and state.dispatches_left:
                yield "DispatchCopy", _written(state, state.record)
        else:
            yield from self._new_at_issuer(state)

    def _new_at_issuer(self, state: State) -> Iterator[Step]:
        not_run = state._replace(told_not_run=True)
        may_begin_late = not self._has(Guard.EXPIRED_NEVER_BEGINS)
        if state.age is Age.FORGOTTEN and not may_begin_late:
            if self._has(Guard.FORGOTTEN_IS_UNKNOWN):
                yield "AnswerForgotten", state
            else:
                yield "RefuseExpired", not_run
        elif state.age is Age.EXPIRED and not may_begin_late:
            yield "RefuseExpired", not_run
        elif state.issuer is not Issuer.UP and self._has(Guard.CLOSE_BEFORE_HAND_OVER):
            yield "RefuseClosing", not_run
        elif not state.has_room or state.token_closed:
            closes = self._has(Guard.FULL_CLOSES_TOKEN)
            yield "RefuseFull", not_run._replace(token_closed=closes)
        elif self._has(Guard.EXPIRY_INSIDE_BEGIN):
            yield "BeginRecord", state._replace(record=Record.BEGUN)
        else:
            yield "CheckExpiry", state._replace(checked=state.checked + 1)

    def _dispatch_steps(self, state: State) -> Iterator[Step]:
        if state.checked and state.record is Record.NONE:
            begun = state._replace(checked=state.checked - 1, record=Record.BEGUN)
            yield "BeginRecord", begun
        if state.record is Record.BEGUN:
            kept = Record.NOT_RUN if self._has(Guard.REMEMBER_NOT_RUN) else Record.NONE
            yield "RefuseBegun", state._replace(record=kept, told_not_run=True)
            if state.dispatches_left and self._has(Guard.MARK_BEFORE_WRITE):
                yield "MarkDispatched", state._replace(record=Record.DISPATCHED)
            elif state.dispatches_left:
                yield "WriteRequest", _written(state, Record.BEGUN)
        if state.record is Record.DISPATCHED:
            yield "ConnectRefused", state._replace(record=Record.BEGUN)
            yield "WriteRequest", _written(state, Record.WRITTEN)
        if state.record is Record.WRITTEN:
            yield "TellUnknown", state._replace(record=Record.UNKNOWN)
            if not self._has(Guard.RESET_IS_UNKNOWN):
                yield "RetryAfterReset", state._replace(record=Record.BEGUN)
        yield from _reply_steps(state)

    def _upkeep_steps(self, state: State) -> Iterator[Step]:
        yield "RoomChanges", state._replace(has_room=not state.has_room)
        needed_age = Age.FORGOTTEN
        if not self._has(Guard.RECORDS_OUTLIVE_TOKENS):
            needed_age = Age.EXPIRED
        if not self._has(Guard.EVICT_BY_AGE_ONLY):
            needed_age = Age.VALID
        if state.record in _FINISHED and state.age >= needed_age:
            yield "EvictRecord", state._replace(record=Record.NONE)
        if state.record in _IN_FLIGHT and not self._has(Guard.UNFINISHED_STAYS):
            yield "DropRecord", state._replace(record=Record.NONE)

    def _shutdown_steps(self, state: State) -> Iterator[Step]:
        yield "CrashIssuer", _gone(state)
        if state.issuer is Issuer.UP:
            yield "CloseIssuer", state._replace(issuer=Issuer.CLOSED)
        if state.issuer is Issuer.CLOSED:
            if state.inherited is Inherited.NOTHING:
                yield "HandOverPart", state._replace(inherited=Inherited.PARTIAL)
            blocked = state.record is Record.BEGUN and self._has(Guard.BEGUN_BLOCKS_HAND_OVER)
            if not blocked:
                inherited = self._handed_over(state)
                yield "HandOver", state._replace(issuer=Issuer.HANDED_OVER, inherited=inherited)
        if state.issuer is Issuer.HANDED_OVER and state.record not in _IN_FLIGHT:
            yield "Exit", _gone(state)

    def _handed_over(self, state: State) -> Inherited:
        inherited = _HANDED_OVER_AS[state.record]
        covered = state.age is not Age.FORGOTTEN or not self._has(Guard.HAND_OVER_NAMES_TOKENS)
        if inherited is Inherited.ABSENT and not covered:
            return Inherited.NOT_COVERED
        return inherited

    def _after_the_issuer(self, state: State) -> Iterator[Step]:
        if state.issuer is Issuer.GONE:
            yield "RestartAtSameAddress", state._replace(issuer=Issuer.REPLACED)
            return
        accepts = not self._has(Guard.TOKEN_NAMES_INCARNATION) and state.age is Age.VALID
        if accepts and state.to_issuer and state.dispatches_left:
            accepted = state._replace(to_issuer=state.to_issuer - 1)
            yield "BeginForPredecessor", _written(accepted, Record.NONE)

    def _other_node_steps(self, state: State) -> Iterator[Step]:
        if not state.to_other:
            return
        taken = state._replace(to_other=state.to_other - 1)
        yield "AskIssuer", taken._replace(to_issuer=taken.to_issuer + 1)
        if not self._has(Guard.SILENT_ISSUER_IS_UNKNOWN):
            yield "RefuseSilentIssuer", taken._replace(told_not_run=True)
        if not self._has(Guard.ONLY_ISSUER_DISPATCHES) and state.dispatches_left:
            yield "DispatchElsewhere", _written(taken, state.record)
        yield from self._successor_steps(state, taken)

    def _successor_steps(self, state: State, taken: State) -> Iterator[Step]:
        proves_not_run = state.inherited in (Inherited.ABSENT, Inherited.NOT_RUN)
        if state.inherited is Inherited.PARTIAL and not self._has(Guard.ABSENT_NEEDS_COMPLETE):
            proves_not_run = True
        if state.inherited is not Inherited.NOTHING:
            told = state.told_not_run or proves_not_run
            yield "AnswerFromInherited", taken._replace(told_not_run=told)
            if not self._has(Guard.SUCCESSOR_NEVER_DISPATCHES) and state.dispatches_left:
                yield "DispatchAtSuccessor", _written(taken, state.record)
            lapsed = Inherited.NOTHING
            complete = state.inherited is not Inherited.PARTIAL
            if complete and not self._has(Guard.LAPSE_AS_A_WHOLE):
                lapsed = Inherited.ABSENT
            yield "LapseInheritance", state._replace(inherited=lapsed)


def _caller_steps(state: State) -> Iterator[Step]:
    if state.sends_left:
        sent = state._replace(sends_left=state.sends_left - 1)
        yield "SendToIssuer", sent._replace(to_issuer=state.to_issuer + 1)
        yield "SendToOther", sent._replace(to_other=state.to_other + 1)
    if state.to_issuer:
        yield "LoseCopy", state._replace(to_issuer=state.to_issuer - 1)


def _reply_steps(state: State) -> Iterator[Step]:
    if state.record not in (Record.WRITTEN, Record.UNKNOWN):
        return
    received = state._replace(reply=Reply.NONE)
    if state.reply is Reply.ANSWER:
        yield "ReceiveAnswer", received._replace(record=Record.ANSWERED)
    if state.reply is Reply.REFUSAL and state.record is Record.WRITTEN:
        yield "TargetRefuses", received._replace(record=Record.BEGUN)
    if state.reply is Reply.REFUSAL and state.record is Record.UNKNOWN:
        yield "TargetRefuses", received._replace(record=Record.NOT_RUN, told_not_run=True)


def _target_steps(state: State) -> Iterator[Step]:
    if state.at_target:
        taken = state._replace(at_target=state.at_target - 1)
        yield "RunRequest", taken._replace(runs=min(2, state.runs + 1), reply=Reply.ANSWER)
        yield "ShedRequest", taken._replace(reply=Reply.REFUSAL)
    if state.reply is not Reply.NONE:
        yield "LoseAnswer", state._replace(reply=Reply.NONE)


def _time_steps(state: State) -> Iterator[Step]:
    if state.age is Age.VALID:
        yield "TokenExpires", state._replace(age=Age.EXPIRED)
    if state.age is Age.EXPIRED:
        yield "RecordsAge", state._replace(age=Age.FORGOTTEN)


def _written(state: State, record: Record) -> State:
    return state._replace(
        record=record,
        at_target=state.at_target + 1,
        dispatches_left=state.dispatches_left - 1,
    )


def _gone(state: State) -> State:
    return state._replace(issuer=Issuer.GONE, record=Record.NONE, checked=0, reply=Reply.NONE)
