"""Specification: ejection permits and the floor.

A service may have one target ejected; its object in the platform grants that permit to at most
one of two holders.  Time moves in ticks of half a lease; each process measures by its own clock,
which runs also while it is paused.  A pause, a cut or an outage is a stretch in which the steps
concerned aren't taken.  `seen` stands for all followers together: for each target the ticks for
which some follower may still leave it out.

Steps of a holder:
    SendGrant        read the object, then send a conditional write: acquire, renew or take over
    ReceiveGrant     the lease counts from before the write was sent
    WatchOther       note the other's grant as it is now
    Eject, Readmit   a target goes out under the permit, or comes back
    NoticeLapse      its own lease is over: it ejects nothing
    SendRelease      give the permit back, once nothing may be left out under it any more
    LearnLeaving     it hears that a target leaves: the budget is used up by that
Steps of the platform:
    TakeEffect, RefuseWrite, LoseWrite, LoseReply
    StopWaiting, TakeEffectLate: a write that its holder has given up waiting for may still
    arrive; explored on request only, for the number of states
Steps of a follower:
    Pull             it learns what a holder ejects, for the rest of the holder's lease
Others: TargetLeaves, Tick.
"""

from collections.abc import Iterable, Iterator
from enum import Enum, IntEnum
from typing import Final, NamedTuple

from spec.checking import Specification

LEASE_TICKS: Final = 2
WATCH_TICKS: Final = LEASE_TICKS
TARGETS: Final = 2
NOBODY: Final = -1
BUDGET: Final = 1


BOUNDS: Final = (
    f"2 holders, {TARGETS} targets that may be ejected and one that leaves, a budget of {BUDGET},"
    f" leases of {LEASE_TICKS} ticks"
)
LEFT_OUT: Final = (
    "budgets above one, clocks of different rates, several services, a holder that restarts (it"
    " comes back as another holder), a floor that changes other than by a leaving target"
)


class Guard(Enum):
    """A condition of the protocol; removing it must break a property."""

    GRANT_WITHIN_BUDGET = "a permit is granted only while the budget has room"
    CONDITIONAL_WRITE = "a write takes effect only on the version that was read"
    WATCH_WHOLE_LEASE = "a grant is taken over after it stood unchanged for a whole lease"
    LEASE_FROM_SENDING = "a lease counts from before its write was sent"
    LEASE_AT_PULL = "a holder looks at its own clock whenever it is asked"
    LAPSE_FROM_PULL_START = "a follower counts the lapse from the start of its pull"
    LAPSE_AT_FOLLOWER = "an ejection lapses at its followers unless renewed"
    ONE_PERMIT_ONE_TARGET = "a permit is used for another target only once the first has lapsed"
    RETURN_AFTER_LAPSE = "a permit is given back only once nothing is left out under it"
    UNUSED_WHILE_RETURNED = "a permit isn't used any more once its return was sent"
    LEAVING_COUNTS = "a leaving target uses up budget"


class Write(IntEnum):
    """A holder's write: on its way to the platform, or its answer on the way back."""

    NONE = 0
    GRANT = 1
    RELEASE = 2
    GRANTED = 3


class Holder(NamedTuple):
    """One holder.

    `left`: ticks of its lease; `cooling`: per target, ticks for which followers may still leave
    out what it readmitted; `write_age`: ticks since the write was sent; `watched`: ticks for which
    it saw the other's grant, or NOBODY; `write_current`, `watch_current`: the object hasn't
    changed since it was read.
    """

    left: int = 0
    ejected: int = NOBODY
    cooling: tuple[int, ...] = (0,) * TARGETS
    write: Write = Write.NONE
    write_current: bool = False
    write_age: int = 0
    watched: int = NOBODY
    watch_current: bool = False
    knows_leaving: bool = False
    late_write: Write = Write.NONE
    late_current: bool = False


class Answer(NamedTuple):
    """An answer on its way to a follower, in use only when lapses count from its arrival."""

    target: int
    left: int


class State(NamedTuple):
    """One state; `known_for`: ticks since every holder has known that a target leaves."""

    granted_to: int = NOBODY
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    seen: tuple[int, ...] = (0,) * TARGETS
    leaving: bool = False
    known_for: int = 0
    answer: Answer | None = None


Step = tuple[str, State]


class PermitSpec:
    """The protocol with some guards removed."""

    def __init__(self, *removed: Guard, late_writes: bool = False) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)
        self._late_writes = late_writes

    def specification(self) -> Specification:
        """Return it in the checker's terms."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"permits{suffix}",
            State(),
            self.successors,
            {
                "ejections stay within the floor": lambda state: _left_out(state) <= BUDGET,
                "a known leaving target ends ejections within a lease": lambda state: (
                    state.known_for < LEASE_TICKS or not _left_out(state)
                ),
            },
            BOUNDS,
            LEFT_OUT,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield each step that may follow."""
        for index, holder in enumerate(state.holders):
            for name, changed in self._holder_steps(state, index, holder):
                yield name, _with_holder(state, index, changed)
            yield from self._platform_steps(state, index, holder)
            yield from self._pull_steps(state, holder)
        if not state.leaving:
            yield "TargetLeaves", state._replace(leaving=True)
        yield "Tick", self._tick(state)

    def _has(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _holder_steps(
        self, state: State, index: int, holder: Holder
    ) -> Iterator[tuple[str, Holder]]:
        if holder.write is Write.NONE and self._may_ask(state, index, holder):
            yield "SendGrant", holder._replace(
                write=Write.GRANT, write_current=True, write_age=0, watched=NOBODY
            )
        if holder.write is Write.GRANTED:
            yield "ReceiveGrant", self._granted(holder)
        if state.granted_to == 1 - index and holder.watched == NOBODY:
            yield "WatchOther", holder._replace(watched=0, watch_current=True)
        if holder.ejected == NOBODY:
            yield from self._eject_steps(holder)
        elif holder.left > 0:
            yield "Readmit", _readmitted(holder)
        else:
            yield "NoticeLapse", holder._replace(ejected=NOBODY)
        if self._may_return(state, index, holder):
            left = 0 if self._has(Guard.UNUSED_WHILE_RETURNED) else holder.left
            yield "SendRelease", holder._replace(
                left=left, write=Write.RELEASE, write_current=True, write_age=0
            )
        if state.leaving and not holder.knows_leaving:
            told = _readmitted(holder) if self._has(Guard.LEAVING_COUNTS) else holder
            yield "LearnLeaving", told._replace(knows_leaving=True)

    def _may_ask(self, state: State, index: int, holder: Holder) -> bool:
        if holder.left == 0 and holder.ejected != NOBODY:
            return False
        if state.granted_to in (NOBODY, index):
            return True
        if not self._has(Guard.GRANT_WITHIN_BUDGET):
            return True
        needed = WATCH_TICKS if self._has(Guard.WATCH_WHOLE_LEASE) else 0
        current = holder.watch_current or not self._has(Guard.CONDITIONAL_WRITE)
        return holder.watched >= needed and current

    def _granted(self, holder: Holder) -> Holder:
        age = holder.write_age if self._has(Guard.LEASE_FROM_SENDING) else 0
        left = max(holder.left, LEASE_TICKS - age)
        return holder._replace(left=left, write=Write.NONE, write_age=0)

    def _eject_steps(self, holder: Holder) -> Iterator[tuple[str, Holder]]:
        if holder.left == 0 or (holder.knows_leaving and self._has(Guard.LEAVING_COUNTS)):
            return
        for target in range(TARGETS):
            others = [t for place, t in enumerate(holder.cooling) if place != target]
            if not any(others) or not self._has(Guard.ONE_PERMIT_ONE_TARGET):
                yield "Eject", holder._replace(ejected=target)

    def _may_return(self, state: State, index: int, holder: Holder) -> bool:
        if state.granted_to != index or holder.ejected != NOBODY:
            return False
        cooled = not any(holder.cooling) or not self._has(Guard.RETURN_AFTER_LAPSE)
        return cooled and holder.write is Write.NONE

    def _platform_steps(self, state: State, index: int, holder: Holder) -> Iterator[Step]:
        if holder.late_write is not Write.NONE:
            yield from self._late_steps(state, index, holder)
        idle = holder._replace(write=Write.NONE, write_current=False, write_age=0)
        if holder.write is Write.GRANTED:
            yield "LoseReply", _with_holder(state, index, idle)
        if holder.write not in (Write.GRANT, Write.RELEASE):
            return
        yield "LoseWrite", _with_holder(state, index, idle)
        if self._late_writes and holder.late_write is Write.NONE:
            late = idle._replace(late_write=holder.write, late_current=holder.write_current)
            yield "StopWaiting", _with_holder(state, index, late)
        if holder.write_current or not self._has(Guard.CONDITIONAL_WRITE):
            done = holder._replace(
                write=Write.GRANTED if holder.write is Write.GRANT else Write.NONE
            )
            yield "TakeEffect", _took_effect(state, index, done, holder.write)
        else:
            yield "RefuseWrite", _with_holder(state, index, idle)

    def _late_steps(self, state: State, index: int, holder: Holder) -> Iterator[Step]:
        done = holder._replace(late_write=Write.NONE, late_current=False)
        yield "LoseWrite", _with_holder(state, index, done)
        if holder.late_current or not self._has(Guard.CONDITIONAL_WRITE):
            yield "TakeEffectLate", _took_effect(state, index, done, holder.late_write)

    def _pull_steps(self, state: State, holder: Holder) -> Iterator[Step]:
        if holder.ejected != NOBODY:
            left = holder.left if self._has(Guard.LEASE_AT_PULL) else LEASE_TICKS
            if self._has(Guard.LAPSE_FROM_PULL_START):
                yield "Pull", _seen(state, holder.ejected, left)
            elif state.answer is None and left:
                yield "Pull", state._replace(answer=Answer(holder.ejected, left))
        if state.answer is not None:
            arrived = _seen(state, state.answer.target, state.answer.left)
            yield "PullArrives", arrived._replace(answer=None)

    def _tick(self, state: State) -> State:
        aged = (_aged(state.holders[0]), _aged(state.holders[1]))
        seen = tuple(max(0, ticks - 1) for ticks in state.seen)
        if not self._has(Guard.LAPSE_AT_FOLLOWER):
            seen = state.seen
        known = all(holder.knows_leaving for holder in state.holders)
        known_for = min(LEASE_TICKS, state.known_for + 1) if known else 0
        return state._replace(holders=aged, seen=seen, known_for=known_for)


def _readmitted(holder: Holder) -> Holder:
    if holder.ejected == NOBODY:
        return holder
    cooling = list(holder.cooling)
    cooling[holder.ejected] = holder.left
    return holder._replace(ejected=NOBODY, cooling=tuple(cooling))


def _took_effect(state: State, index: int, holder: Holder, write: Write) -> State:
    first, second = _with_holder(state, index, holder).holders
    return state._replace(
        granted_to=index if write is Write.GRANT else NOBODY,
        holders=(_outdated(first), _outdated(second)),
    )


def _outdated(holder: Holder) -> Holder:
    return holder._replace(write_current=False, watch_current=False, late_current=False)


def _aged(holder: Holder) -> Holder:
    return holder._replace(
        left=max(0, holder.left - 1),
        cooling=tuple(max(0, ticks - 1) for ticks in holder.cooling),
        write_age=min(LEASE_TICKS, holder.write_age + 1) if holder.write is not Write.NONE else 0,
        watched=min(WATCH_TICKS, holder.watched + 1) if holder.watched != NOBODY else NOBODY,
    )


def _seen(state: State, target: int, left: int) -> State:
    seen = list(state.seen)
    seen[target] = max(seen[target], left)
    return state._replace(seen=tuple(seen))


def _left_out(state: State) -> int:
    return sum(ticks > 0 for ticks in state.seen)


def _with_holder(state: State, index: int, holder: Holder) -> State:
    first, second = state.holders
    return state._replace(holders=(holder, second) if index == 0 else (first, holder))
