"""Specification: forwarding of one non-idempotent request in the deployed form.

One entry host holds the request.  It asks a broker for a slot, and may ask a second broker when the
first is silent, so that two grants can come.  It sends to a target over a connection of its own.
The target may have ended, and another service's target may hold its address.  A request that was
written may be queued there for any time, also after the host has given up.

Steps of the host:
    Ask, AskNextBroker    a wish for a slot, to the first and to the second broker
    Connect, Unreached    a connection to the granted target comes about, or fails
    Write                 the request is on its way
    UseLateGrant          a second grant leads to a second send (only without its guard)
    GiveBackGrant         a second grant is returned
    TryAgain              another slot, since the attempt provably didn't run
    TellNotRun, TellUnknown, TellAnswer
    TimeOut               the deadline passes: what was written is left to itself
Steps of brokers: Grant, GrantLate.
Steps of targets:
    Run, Shed             the target's queue comes to the request, or refuses it
    Misdirected           another target holds the address, sees the name, and refuses
    RunElsewhere          another target holds the address and runs it (only without its guard)
    Answer, AnswerBusy    the answer to a run: a good one, or a 503 of the target's own
    LoseAnswer            the connection ends before the answer is whole
"""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Final, NamedTuple

from spec.checking import Specification

MAX_SENDS: Final = 3
BOUNDS: Final = f"one request, {MAX_SENDS} sends at most, two brokers, targets without number"
LEFT_OUT: Final = (
    "idempotent requests, bodies, several hosts (each attempt of a caller reaches one), a target"
    " that says that it didn't run what it ran, order of the slots"
)


class Guard(Enum):
    """A condition of forwarding; removing it must break a property."""

    UNKNOWN_IS_FINAL = "what may have run isn't sent again"
    NOT_RUN_NEEDS_PROOF = "a refusal is told only if each send provably didn't run"
    BUSY_NEEDS_MARK = "a target's own 503 without its mark may have run"
    TARGET_IS_NAMED = "a request names the target that may run it"
    LATE_GRANT_GOES_BACK = "a request has one grant at a time"


class Host(Enum):
    """What the host does with the request."""

    IDLE = "holds it"
    ASKING = "asked for a slot"
    GRANTED = "has a slot"
    CONNECTED = "has a connection"
    WAITING = "waits for the answer"
    REFUSED = "got proof that it didn't run"
    UNCLEAR = "lost the answer"
    DONE = "told the caller"


class Reply(Enum):
    """What a target has put on the connection."""

    NONE = "nothing"
    ANSWER = "an answer"
    BUSY = "a 503 of its own, without the mark"
    NOT_RUN = "not run, or another target's 421"


class State(NamedTuple):
    """A state; counts are of this one request."""

    host: Host = Host.IDLE
    asked_twice: bool = False
    late_grants: int = 0
    sends: int = 0
    queued: int = 0
    reply: Reply = Reply.NONE
    may_have_run: bool = False
    runs: int = 0
    runs_elsewhere: int = 0
    told_not_run: bool = False


Step = tuple[str, State]


class ForwardingSpec:
    """Forwarding with some guards removed."""

    def __init__(self, *removed: Guard) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)

    def specification(self) -> Specification:
        """Return it in the checker's terms."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"forwarding{suffix}",
            State(),
            self.successors,
            {
                "runs at most once": lambda state: state.runs + state.runs_elsewhere <= 1,
                "not run is true": lambda state: not (state.told_not_run and state.runs),
                "runs at its own target": lambda state: state.runs_elsewhere == 0,
            },
            BOUNDS,
            LEFT_OUT,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield each step that may follow."""
        yield from self._host_steps(state)
        yield from self._grant_steps(state)
        yield from self._target_steps(state)

    def _has(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _host_steps(self, state: State) -> Iterator[Step]:
        host = state.host
        if host is Host.IDLE:
            yield "Ask", state._replace(host=Host.ASKING, asked_twice=False)
        if host is Host.ASKING:
            yield "Grant", state._replace(host=Host.GRANTED)
            if not state.asked_twice:
                yield "AskNextBroker", state._replace(asked_twice=True)
        if host is Host.GRANTED:
            yield "Unreached", state._replace(host=Host.IDLE)
            yield "Connect", state._replace(host=Host.CONNECTED)
        if host is Host.CONNECTED and state.sends < MAX_SENDS:
            yield "Write", _written(state)._replace(host=Host.WAITING, reply=Reply.NONE)
        if host is Host.WAITING:
            yield from self._reply_steps(state)
        if host is Host.REFUSED and state.sends < MAX_SENDS:
            yield "TryAgain", state._replace(host=Host.IDLE)
        if host is Host.UNCLEAR and not self._has(Guard.UNKNOWN_IS_FINAL):
            yield "TryAgain", state._replace(host=Host.IDLE)
        if host is not Host.DONE:
            yield "TimeOut", self._told(state)

    def _reply_steps(self, state: State) -> Iterator[Step]:
        yield "LoseAnswer", state._replace(host=Host.UNCLEAR)
        if state.reply is Reply.ANSWER:
            yield "TellAnswer", state._replace(host=Host.DONE)
        if state.reply is Reply.NOT_RUN:
            yield "TakeRefusal", state._replace(host=Host.REFUSED, may_have_run=False)
        if state.reply is Reply.BUSY:
            if self._has(Guard.BUSY_NEEDS_MARK):
                yield "TakeBusy", state._replace(host=Host.UNCLEAR)
            else:
                yield "TakeBusy", state._replace(host=Host.REFUSED, may_have_run=False)

    def _told(self, state: State) -> State:
        """Return the state after the host told the caller that it gives up."""
        is_proved = not state.may_have_run or not self._has(Guard.NOT_RUN_NEEDS_PROOF)
        return state._replace(host=Host.DONE, told_not_run=is_proved)

    def _grant_steps(self, state: State) -> Iterator[Step]:
        if state.asked_twice and state.late_grants == 0 and state.host is not Host.ASKING:
            yield "GrantLate", state._replace(late_grants=1, asked_twice=False)
        if state.late_grants:
            yield "GiveBackGrant", state._replace(late_grants=0)
            if not self._has(Guard.LATE_GRANT_GOES_BACK) and state.sends < MAX_SENDS:
                yield "UseLateGrant", _written(state)._replace(late_grants=0)

    def _target_steps(self, state: State) -> Iterator[Step]:
        if state.queued == 0:
            return
        left = state._replace(queued=state.queued - 1)
        yield "Run", _replied(left._replace(runs=state.runs + 1), Reply.ANSWER)
        yield "RunBusy", _replied(left._replace(runs=state.runs + 1), Reply.BUSY)
        yield "Shed", _replied(left, Reply.NOT_RUN)
        if self._has(Guard.TARGET_IS_NAMED):
            yield "Misdirected", _replied(left, Reply.NOT_RUN)
        else:
            elsewhere = left._replace(runs_elsewhere=state.runs_elsewhere + 1)
            yield "RunElsewhere", _replied(elsewhere, Reply.ANSWER)
        yield "Forget", left


def _written(state: State) -> State:
    return state._replace(sends=state.sends + 1, queued=state.queued + 1, may_have_run=True)


def _replied(state: State, reply: Reply) -> State:
    """Return the state with a reply, if the host still listens on that connection."""
    return state._replace(reply=reply) if state.host is Host.WAITING else state
