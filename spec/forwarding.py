"""Specification: forwarding of one non-idempotent request in the deployed form.

One entry host holds the request.  It requests a slot from a broker, and may request one from a
second broker while the first doesn't answer, so that it may receive two grants.  It sends the
request to the granted target over a connection of its own.  The target may have ended, and a
target of another service may use its address.  A written request may stay queued at the target
for any time, even after the host has given up.

Steps of the host:
    RequestSlot           requests a slot from the first broker
    RequestNextSlot       requests a slot from the second broker
    Connect, ConnectFails opens a connection to the granted target, or fails to
    Write                 writes the request
    UseLateGrant          sends the request again under a second grant (only without its guard)
    ReturnGrant           returns a second grant to its broker
    ReceiveRefusal        receives proof that the last send didn't run
    ReceiveBusy           receives a 503 of the target itself, without the not-run header
    TryAgain              requests another slot after an attempt that provably didn't run
    ReturnAnswer          returns the target's answer to the caller
    TimeOut               the deadline passes: the host reports not run or unknown; a written
                          request stays at the target
Steps of brokers: Grant, GrantLate.
Steps of targets:
    Run, RunBusy          run the queued request, and answer with a result or with a 503
    Shed                  refuses the queued request without running it
    Misdirected           another target at the address sees a foreign target name and refuses
    RunElsewhere          another target at the address runs the request (only without its guard)
    DropQueued            drops the queued request without running or answering it
    LoseAnswer            the connection ends before the answer is complete
"""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Final, NamedTuple

from spec.checking import Specification

MAX_SENDS: Final = 3
BOUNDS: Final = f"one request, {MAX_SENDS} sends at most, two brokers, any number of targets"
OMITTED: Final = (
    "idempotent requests, bodies, several hosts (each attempt of a caller reaches one), a target"
    " that ran the request and states that it didn't, order of the slots"
)


class Guard(Enum):
    """A condition of the protocol; without it, the checker must find a violation."""

    UNKNOWN_IS_FINAL = "a request that may have run isn't sent again"
    NOT_RUN_NEEDS_PROOF = "the host reports not run only if every send provably didn't run"
    UNMARKED_BUSY_MAY_HAVE_RUN = (
        "a request answered with a 503 without the not-run header may have run"
    )
    TARGET_IS_NAMED = "a request names the only target that may run it"
    SECOND_GRANT_IS_RETURNED = "a request uses one grant at a time; a second grant is returned"


class HostState(Enum):
    """State of the request at the host."""

    IDLE = "has no slot requested"
    REQUESTING = "has requested a slot"
    GRANTED = "has a slot"
    CONNECTED = "has a connection"
    WAITING = "waits for the answer"
    REFUSED = "received proof that the last send didn't run"
    ANSWER_LOST = "lost the answer; the request may have run"
    REPORTED = "reported an outcome to the caller"


class Reply(Enum):
    """Reply that a target has written to the connection."""

    NONE = "nothing"
    ANSWER = "an answer"
    BUSY = "a 503 of the target itself, without the not-run header"
    NOT_RUN = "a not-run refusal, or a 421 from another target"


class State(NamedTuple):
    """One state of the protocol.

    `send_count`: times the host wrote the request; `queued_count`: copies in targets' queues;
    `runs`, `runs_elsewhere`: runs at the addressed target and at another target with its address.
    """

    host: HostState = HostState.IDLE
    asked_second_broker: bool = False
    late_grant_count: int = 0
    send_count: int = 0
    queued_count: int = 0
    reply: Reply = Reply.NONE
    may_have_run: bool = False
    runs: int = 0
    runs_elsewhere: int = 0
    reported_not_run: bool = False


Step = tuple[str, State]


class ForwardingSpec:
    """The forwarding protocol, optionally with some guards removed."""

    def __init__(self, *removed: Guard) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)

    def specification(self) -> Specification:
        """Return the state machine and its properties for `spec.checking.check`."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"forwarding{suffix}",
            State(),
            self.successors,
            {
                "runs at most once": lambda state: state.runs + state.runs_elsewhere <= 1,
                "not run is true": lambda state: not (state.reported_not_run and state.runs),
                "runs at its own target": lambda state: state.runs_elsewhere == 0,
            },
            BOUNDS,
            OMITTED,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield the name and the resulting state of each step enabled in `state`."""
        yield from self._host_steps(state)
        yield from self._grant_steps(state)
        yield from self._target_steps(state)

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _host_steps(self, state: State) -> Iterator[Step]:
        host = state.host
        if host is HostState.IDLE:
            yield "RequestSlot", state._replace(
                host=HostState.REQUESTING, asked_second_broker=False
            )
        if host is HostState.REQUESTING:
            yield "Grant", state._replace(host=HostState.GRANTED)
            if not state.asked_second_broker:
                yield "RequestNextSlot", state._replace(asked_second_broker=True)
        if host is HostState.GRANTED:
            yield "ConnectFails", state._replace(host=HostState.IDLE)
            yield "Connect", state._replace(host=HostState.CONNECTED)
        if host is HostState.CONNECTED and state.send_count < MAX_SENDS:
            yield "Write", _with_request_written(state)._replace(
                host=HostState.WAITING, reply=Reply.NONE
            )
        if host is HostState.WAITING:
            yield from self._reply_steps(state)
        if host is HostState.REFUSED and state.send_count < MAX_SENDS:
            yield "TryAgain", state._replace(host=HostState.IDLE)
        if host is HostState.ANSWER_LOST and not self._has_guard(Guard.UNKNOWN_IS_FINAL):
            yield "TryAgain", state._replace(host=HostState.IDLE)
        if host is not HostState.REPORTED:
            yield "TimeOut", self._with_host_given_up(state)

    def _reply_steps(self, state: State) -> Iterator[Step]:
        yield "LoseAnswer", state._replace(host=HostState.ANSWER_LOST)
        if state.reply is Reply.ANSWER:
            yield "ReturnAnswer", state._replace(host=HostState.REPORTED)
        if state.reply is Reply.NOT_RUN:
            yield "ReceiveRefusal", state._replace(host=HostState.REFUSED, may_have_run=False)
        if state.reply is Reply.BUSY:
            if self._has_guard(Guard.UNMARKED_BUSY_MAY_HAVE_RUN):
                yield "ReceiveBusy", state._replace(host=HostState.ANSWER_LOST)
            else:
                yield "ReceiveBusy", state._replace(host=HostState.REFUSED, may_have_run=False)

    def _with_host_given_up(self, state: State) -> State:
        """Return the state after the host gave up and reported not run or unknown to the caller."""
        is_not_run_proved = not state.may_have_run or not self._has_guard(Guard.NOT_RUN_NEEDS_PROOF)
        return state._replace(host=HostState.REPORTED, reported_not_run=is_not_run_proved)

    def _grant_steps(self, state: State) -> Iterator[Step]:
        if (
            state.asked_second_broker
            and state.late_grant_count == 0
            and state.host is not HostState.REQUESTING
        ):
            yield "GrantLate", state._replace(late_grant_count=1, asked_second_broker=False)
        if state.late_grant_count:
            yield "ReturnGrant", state._replace(late_grant_count=0)
            if not self._has_guard(Guard.SECOND_GRANT_IS_RETURNED) and state.send_count < MAX_SENDS:
                yield "UseLateGrant", _with_request_written(state)._replace(late_grant_count=0)

    def _target_steps(self, state: State) -> Iterator[Step]:
        if state.queued_count == 0:
            return
        dequeued = state._replace(queued_count=state.queued_count - 1)
        yield "Run", _with_reply(dequeued._replace(runs=state.runs + 1), Reply.ANSWER)
        yield "RunBusy", _with_reply(dequeued._replace(runs=state.runs + 1), Reply.BUSY)
        yield "Shed", _with_reply(dequeued, Reply.NOT_RUN)
        if self._has_guard(Guard.TARGET_IS_NAMED):
            yield "Misdirected", _with_reply(dequeued, Reply.NOT_RUN)
        else:
            run_elsewhere = dequeued._replace(runs_elsewhere=state.runs_elsewhere + 1)
            yield "RunElsewhere", _with_reply(run_elsewhere, Reply.ANSWER)
        yield "DropQueued", dequeued


def _with_request_written(state: State) -> State:
    return state._replace(
        send_count=state.send_count + 1, queued_count=state.queued_count + 1, may_have_run=True
    )


def _with_reply(state: State, reply: Reply) -> State:
    """Return the state with a reply, or `state` if the host no longer waits for one."""
    return state._replace(reply=reply) if state.host is HostState.WAITING else state
