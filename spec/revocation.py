"""Specification: the time limit for keys that a plan takes away.

Version 1 of the plan has a key, and version 2 takes it away.  Two hosts learn the version from the
store or from each other.  A host at version 1 uses the key while its last proven moment is at most
BOUND ticks ago.  The store may once return to a copy with version 1, in a new era; its operator
writes version 2 again within REWRITE_TICKS.  A cut, a suspension or an outage is a period in which
the affected steps aren't taken, while time goes on.  A question and its answer are in transit for
any time; what the answer says is sampled when the question is sent, which is the worst case.

Steps of a host:
    AskStore, AskPeer  sends a call to the store, or a probe to the other host
    Receive            receives the answer
    LoseAnswer         stops waiting for it
    HearPlan           learns a newer version by relay, without any proof
    BeginRequest       receives the first bytes of a request with the key
    RunRequest         checks and runs a request with the key that was sent just now
    Restart            loses all state
Steps of the store: Revoke, Restore, WriteAgain.
Others: Tick, TickAsleep (a tick that a host's clock doesn't count; only without its guard).
"""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Final, NamedTuple

from spec.checking import Specification

BOUND: Final = 2
TOO_OLD: Final = BOUND + 1
REWRITE_TICKS: Final = 2
WAIT_TICKS: Final = REWRITE_TICKS  # For which a host distrusts a store after it sees a new era.
NO_PLAN: Final = 0
WITH_KEY: Final = 1
WITHOUT_KEY: Final = 2
UNKNOWN_ERA: Final = -1

BOUNDS: Final = (
    f"2 hosts, one key, a limit of {BOUND} ticks, one question of a host at a time, one return of"
    f" the store to a copy, which is written again within {REWRITE_TICKS} ticks"
)
OMITTED: Final = (
    "several changes of the plan, an operator that doesn't write again what the copy lacks, the"
    " margin, clocks of different rates, plans that can't be decoded"
)


class Guard(Enum):
    """A condition of the protocol; without it, the checker must find a violation."""

    STORE_FROM_SENDING = "an answer of the store counts from the sending of its call"
    PEER_FROM_SENDING = "an answer of a host counts from the sending of its probe"
    PEER_AGE = "the age that a host tells of its own moment is subtracted"
    SAME_VERSION = "the moment of another host counts only for the same version"
    CHECK_AT_RUN = "the age is checked after the whole request was received"
    CLOCK_COUNTS_SUSPENSION = "a host's clock runs on while the host is suspended"
    NEVER_OLDER = "a host never goes back to an older version"
    WAIT_AFTER_NEW_ERA = "calls sent shortly after a new era was seen prove nothing"
    WAIT_AFTER_FIRST_ERA = "a host that starts takes an era above 0 for a new one"


class Answer(NamedTuple):
    """A question and its answer in transit.

    `age`: ticks since the question was sent; `peer_age`: age that a host tells, 0 for the store;
    `is_trusted`: whether the host trusted the store when it sent the call.
    """

    is_from_store: bool
    age: int
    version: int
    peer_age: int = 0
    era: int = 0
    is_trusted: bool = True


class Host(NamedTuple):
    """State of one host.

    `age`: ticks since its last proven moment; `distrust_ticks`: for which calls prove nothing;
    `may_run_begun`: it would have run a request when the first bytes of it came.
    """

    version: int = WITH_KEY
    age: int = TOO_OLD
    era: int = 0
    distrust_ticks: int = 0
    answer: Answer | None = None
    may_run_begun: bool = False


class State(NamedTuple):
    """One state of the protocol.

    `revoked_ticks`: ticks since the key was taken away, None before; `restored_ticks`: since the
    store returned to a copy, None before.
    """

    store_version: int = WITH_KEY
    revoked_ticks: int | None = None
    restored_ticks: int | None = None
    hosts: tuple[Host, Host] = (Host(), Host())
    ran_late: bool = False


Step = tuple[str, State]


class RevocationSpec:
    """The time limit for revoked keys, optionally with some guards removed."""

    def __init__(self, *removed: Guard) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)

    def specification(self) -> Specification:
        """Return the state machine and its properties for `spec.checking.check`."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"revocation{suffix}",
            State(),
            self.successors,
            {"no key is used after its time limit": lambda state: not state.ran_late},
            BOUNDS,
            OMITTED,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield the name and the resulting state of each step enabled in `state`."""
        for index, host in enumerate(state.hosts):
            for name, changed_host in self._host_steps(state, host, state.hosts[1 - index]):
                yield name, _with_host(state, index, changed_host)
            if self._may_run(host):
                is_late = state.revoked_ticks is not None and state.revoked_ticks > BOUND
                yield "RunRequest", state._replace(ran_late=state.ran_late or is_late)
        yield from _store_steps(state)
        yield from self._ticks(state)

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _host_steps(self, state: State, host: Host, peer: Host) -> Iterator[tuple[str, Host]]:
        if host.answer is None:
            era = 0 if state.restored_ticks is None else 1
            trusted = host.distrust_ticks == 0
            call = Answer(True, 0, state.store_version, era=era, is_trusted=trusted)
            yield "AskStore", host._replace(answer=call)
            if peer.version != NO_PLAN:
                probe = Answer(False, 0, peer.version, peer.age)
                yield "AskPeer", host._replace(answer=probe)
        else:
            yield "LoseAnswer", host._replace(answer=None)
            if host.answer.is_from_store:
                yield "Receive", self._with_store_answer(host, host.answer)
            else:
                yield "Receive", self._with_peer_answer(host, host.answer)
        if NO_PLAN < host.version < peer.version:
            yield "HearPlan", host._replace(version=peer.version)
        if not self._has_guard(Guard.CHECK_AT_RUN) and _is_fresh(host):
            yield "BeginRequest", host._replace(may_run_begun=True)
        yield "Restart", Host(version=NO_PLAN, era=UNKNOWN_ERA)

    def _may_run(self, host: Host) -> bool:
        if not self._has_guard(Guard.CHECK_AT_RUN) and host.may_run_begun:
            return True
        return _is_fresh(host)

    def _with_store_answer(self, host: Host, answer: Answer) -> Host:
        is_first = host.era == UNKNOWN_ERA
        if answer.era > host.era and (answer.era > 0 or not is_first):
            guard = Guard.WAIT_AFTER_FIRST_ERA if is_first else Guard.WAIT_AFTER_NEW_ERA
            if self._has_guard(guard):
                host = host._replace(distrust_ticks=WAIT_TICKS)
                answer = answer._replace(is_trusted=False)
        if answer.version > host.version or not self._has_guard(Guard.NEVER_OLDER):
            host = host._replace(version=answer.version)
        if answer.is_trusted and answer.version >= host.version:
            age = answer.age if self._has_guard(Guard.STORE_FROM_SENDING) else 0
            host = host._replace(age=min(host.age, age))
        return host._replace(era=max(host.era, answer.era), answer=None)

    def _with_peer_answer(self, host: Host, answer: Answer) -> Host:
        age = answer.age if self._has_guard(Guard.PEER_FROM_SENDING) else 0
        age += answer.peer_age if self._has_guard(Guard.PEER_AGE) else 0
        if answer.version == host.version or not self._has_guard(Guard.SAME_VERSION):
            host = host._replace(age=min(host.age, age))
        return host._replace(answer=None)

    def _ticks(self, state: State) -> Iterator[Step]:
        restored_ticks = state.restored_ticks
        if restored_ticks is not None:
            restored_ticks = min(REWRITE_TICKS, restored_ticks + 1)
            lacks_version = state.revoked_ticks is not None and state.store_version == WITH_KEY
            if restored_ticks == REWRITE_TICKS and lacks_version:
                return  # The operator writes again first.
        revoked_ticks = state.revoked_ticks
        if revoked_ticks is not None:
            revoked_ticks = min(BOUND + 1, revoked_ticks + 1)
        first, second = state.hosts
        ticked = state._replace(restored_ticks=restored_ticks, revoked_ticks=revoked_ticks)
        yield "Tick", ticked._replace(hosts=(_after_tick(first), _after_tick(second)))
        if not self._has_guard(Guard.CLOCK_COUNTS_SUSPENSION):
            yield "TickAsleep", ticked._replace(hosts=(first, _after_tick(second)))


def _store_steps(state: State) -> Iterator[Step]:
    if state.revoked_ticks is None:
        yield "Revoke", state._replace(store_version=WITHOUT_KEY, revoked_ticks=0)
    elif state.restored_ticks is None:
        yield "Restore", state._replace(store_version=WITH_KEY, restored_ticks=0)
    elif state.store_version == WITH_KEY:
        yield "WriteAgain", state._replace(store_version=WITHOUT_KEY)


def _is_fresh(host: Host) -> bool:
    return host.version == WITH_KEY and host.age <= BOUND


def _after_tick(host: Host) -> Host:
    answer = host.answer
    if answer is not None:
        answer = answer._replace(age=min(TOO_OLD, answer.age + 1))
    return host._replace(
        age=min(TOO_OLD, host.age + 1),
        distrust_ticks=max(0, host.distrust_ticks - 1),
        answer=answer,
    )


def _with_host(state: State, index: int, host: Host) -> State:
    hosts = (host, state.hosts[1]) if index == 0 else (state.hosts[0], host)
    return state._replace(hosts=hosts)
