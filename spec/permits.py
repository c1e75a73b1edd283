"""Specification: ejection permits and the floor.

A service may have one target ejected.  An object in the platform grants that permit to at most one
of two holders.  Time advances in ticks of half a lease.  Each process measures time with its own
clock, which also runs while the process is paused.  A pause, a partition or an outage is a period
in which the affected steps aren't taken.  `exclusion_ticks` covers all followers together: for
each target, the ticks for which some follower may still exclude it.

Steps of a holder:
    SendGrant        reads the object and sends a conditional write: acquire, renew or take over
    ReceiveGrant     starts the lease, counted from before the write was sent
    WatchOther       starts to observe the other holder's grant
    Eject, Readmit   ejects a target under the permit, or readmits it
    NoticeLapse      observes that its lease has expired, and ejects nothing
    SendRelease      returns the permit once no follower can exclude a target under it
    LearnLeaving     learns that a target is leaving, which uses up the budget
Steps of the platform:
    TakeEffect, RefuseWrite, LoseWrite, LoseReply
    StopWaiting, TakeEffectLate: a write that its holder has stopped waiting for may still take
    effect; explored only on request, since it multiplies the number of states
Steps of a follower:
    Pull             learns what a holder ejects, for the rest of the holder's lease
Others: TargetLeaves, Tick.
"""

from collections.abc import Iterable, Iterator
from enum import Enum, IntEnum
from typing import Final, NamedTuple

from spec.checking import Specification

LEASE_TICKS: Final = 2
WATCH_TICKS: Final = LEASE_TICKS
TARGETS: Final = 2
UNSET: Final = -1
BUDGET: Final = 1


BOUNDS: Final = (
    f"2 holders, {TARGETS} targets that may be ejected and one that leaves, a budget of {BUDGET},"
    f" leases of {LEASE_TICKS} ticks"
)
OMITTED: Final = (
    "budgets above one, clocks of different rates, several services, a holder that restarts (it"
    " counts as another holder), changes of the floor other than by a leaving target"
)


class Guard(Enum):
    """A condition of the protocol; without it, the checker must find a violation."""

    GRANT_WITHIN_BUDGET = "a permit is granted only while the budget has room"
    CONDITIONAL_WRITE = "a write takes effect only on the version that was read"
    WATCH_WHOLE_LEASE = "a grant is taken over only after it was unchanged for a whole lease"
    LEASE_FROM_SENDING = "a lease is counted from before its write was sent"
    LEASE_AT_PULL = "a holder computes the remaining lease from its clock at each pull"
    LAPSE_FROM_PULL_START = "a follower counts the time to the lapse from the start of its pull"
    LAPSE_AT_FOLLOWER = "an ejection lapses at its followers unless renewed"
    ONE_PERMIT_ONE_TARGET = "a permit is used for another target only once the first has lapsed"
    RETURN_AFTER_LAPSE = "a permit is returned only when no follower excludes a target under it"
    UNUSED_WHILE_RETURNED = "a permit isn't used after its return was sent"
    LEAVING_COUNTS = "a leaving target uses up budget"


class Write(IntEnum):
    """A holder's write in transit to the platform, or the reply in transit back."""

    NONE = 0
    GRANT = 1
    RELEASE = 2
    GRANTED = 3


class Holder(NamedTuple):
    """State of one holder.

    `lease_ticks`: remaining ticks of its lease; `ejected`: the target that it ejects, or UNSET.
    `readmitted_ticks`: per target, ticks for which followers may still exclude a target that this
    holder readmitted.
    `write_age`: ticks since the write was sent.
    `watched_ticks`: ticks for which it observed the other's grant, or UNSET.
    `is_write_current`, `is_watch_current`, `is_late_write_current`: the object hasn't changed
    since the holder read it.
    `late_write`: a write in transit that the holder no longer waits for.
    """

    lease_ticks: int = 0
    ejected: int = UNSET
    readmitted_ticks: tuple[int, ...] = (0,) * TARGETS
    write: Write = Write.NONE
    is_write_current: bool = False
    write_age: int = 0
    watched_ticks: int = UNSET
    is_watch_current: bool = False
    knows_target_leaves: bool = False
    late_write: Write = Write.NONE
    is_late_write_current: bool = False


class Answer(NamedTuple):
    """An answer in transit to a follower; used only without the guard LAPSE_FROM_PULL_START."""

    target: int
    lease_ticks: int


class State(NamedTuple):
    """One state of the protocol.

    `granted_to`: the holder that the object names, or UNSET; `exclusion_ticks`: per target, ticks
    for which some follower may exclude it; `all_know_leaving_ticks`: ticks since every holder
    knows that a target is leaving.
    """

    granted_to: int = UNSET
    holders: tuple[Holder, Holder] = (Holder(), Holder())
    exclusion_ticks: tuple[int, ...] = (0,) * TARGETS
    target_is_leaving: bool = False
    all_know_leaving_ticks: int = 0
    answer: Answer | None = None


Step = tuple[str, State]


class PermitSpec:
    """The permit protocol, optionally with some guards removed."""

    def __init__(self, *removed: Guard, late_writes: bool = False) -> None:
        """Build the specification without the guards `removed`.

        With `late_writes`, a write may take effect after its holder has stopped waiting for it.
        """
        self._removed = frozenset(removed)
        self._late_writes = late_writes

    def specification(self) -> Specification:
        """Return the state machine and its properties for `spec.checking.check`."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"permits{suffix}",
            State(),
            self.successors,
            {
                "ejections stay within the floor": lambda state: _excluded_count(state) <= BUDGET,
                "a known leaving target ends ejections within a lease": lambda state: (
                    state.all_know_leaving_ticks < LEASE_TICKS or not _excluded_count(state)
                ),
            },
            BOUNDS,
            OMITTED,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield the name and the resulting state of each step enabled in `state`."""
        for index, holder in enumerate(state.holders):
            for name, changed_holder in self._holder_steps(state, index, holder):
                yield name, _with_holder(state, index, changed_holder)
            yield from self._platform_steps(state, index, holder)
            yield from self._pull_steps(state, holder)
        if not state.target_is_leaving:
            yield "TargetLeaves", state._replace(target_is_leaving=True)
        yield "Tick", self._next_tick(state)

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _holder_steps(
        self, state: State, index: int, holder: Holder
    ) -> Iterator[tuple[str, Holder]]:
        if holder.write is Write.NONE and self._can_request_grant(state, index, holder):
            yield "SendGrant", holder._replace(
                write=Write.GRANT, is_write_current=True, write_age=0, watched_ticks=UNSET
            )
        if holder.write is Write.GRANTED:
            yield "ReceiveGrant", self._with_grant(holder)
        if state.granted_to == 1 - index and holder.watched_ticks == UNSET:
            yield "WatchOther", holder._replace(watched_ticks=0, is_watch_current=True)
        if holder.ejected == UNSET:
            yield from self._eject_steps(holder)
        elif holder.lease_ticks > 0:
            yield "Readmit", _with_readmission(holder)
        else:
            yield "NoticeLapse", holder._replace(ejected=UNSET)
        if self._can_release(state, index, holder):
            lease_ticks = 0 if self._has_guard(Guard.UNUSED_WHILE_RETURNED) else holder.lease_ticks
            yield "SendRelease", holder._replace(
                lease_ticks=lease_ticks, write=Write.RELEASE, is_write_current=True, write_age=0
            )
        if state.target_is_leaving and not holder.knows_target_leaves:
            informed = (
                _with_readmission(holder) if self._has_guard(Guard.LEAVING_COUNTS) else holder
            )
            yield "LearnLeaving", informed._replace(knows_target_leaves=True)

    def _can_request_grant(self, state: State, index: int, holder: Holder) -> bool:
        if holder.lease_ticks == 0 and holder.ejected != UNSET:
            return False
        if state.granted_to in (UNSET, index):
            return True
        if not self._has_guard(Guard.GRANT_WITHIN_BUDGET):
            return True
        min_watched = WATCH_TICKS if self._has_guard(Guard.WATCH_WHOLE_LEASE) else 0
        is_current = holder.is_watch_current or not self._has_guard(Guard.CONDITIONAL_WRITE)
        return holder.watched_ticks >= min_watched and is_current

    def _with_grant(self, holder: Holder) -> Holder:
        age = holder.write_age if self._has_guard(Guard.LEASE_FROM_SENDING) else 0
        lease_ticks = max(holder.lease_ticks, LEASE_TICKS - age)
        return holder._replace(lease_ticks=lease_ticks, write=Write.NONE, write_age=0)

    def _eject_steps(self, holder: Holder) -> Iterator[tuple[str, Holder]]:
        if holder.lease_ticks == 0 or (
            holder.knows_target_leaves and self._has_guard(Guard.LEAVING_COUNTS)
        ):
            return
        for target in range(TARGETS):
            other_exclusions = [
                t
                for other_target, t in enumerate(holder.readmitted_ticks)
                if other_target != target
            ]
            if not any(other_exclusions) or not self._has_guard(Guard.ONE_PERMIT_ONE_TARGET):
                yield "Eject", holder._replace(ejected=target)

    def _can_release(self, state: State, index: int, holder: Holder) -> bool:
        if state.granted_to != index or holder.ejected != UNSET:
            return False
        is_readmission_over = not any(holder.readmitted_ticks) or not self._has_guard(
            Guard.RETURN_AFTER_LAPSE
        )
        return is_readmission_over and holder.write is Write.NONE

    def _platform_steps(self, state: State, index: int, holder: Holder) -> Iterator[Step]:
        if holder.late_write is not Write.NONE:
            yield from self._late_write_steps(state, index, holder)
        without_write = holder._replace(write=Write.NONE, is_write_current=False, write_age=0)
        if holder.write is Write.GRANTED:
            yield "LoseReply", _with_holder(state, index, without_write)
        if holder.write not in (Write.GRANT, Write.RELEASE):
            return
        yield "LoseWrite", _with_holder(state, index, without_write)
        if self._late_writes and holder.late_write is Write.NONE:
            late = without_write._replace(
                late_write=holder.write, is_late_write_current=holder.is_write_current
            )
            yield "StopWaiting", _with_holder(state, index, late)
        if holder.is_write_current or not self._has_guard(Guard.CONDITIONAL_WRITE):
            after_write = holder._replace(
                write=Write.GRANTED if holder.write is Write.GRANT else Write.NONE
            )
            yield "TakeEffect", _with_write_applied(state, index, after_write, holder.write)
        else:
            yield "RefuseWrite", _with_holder(state, index, without_write)

    def _late_write_steps(self, state: State, index: int, holder: Holder) -> Iterator[Step]:
        after_write = holder._replace(late_write=Write.NONE, is_late_write_current=False)
        yield "LoseWrite", _with_holder(state, index, after_write)
        if holder.is_late_write_current or not self._has_guard(Guard.CONDITIONAL_WRITE):
            yield "TakeEffectLate", _with_write_applied(
                state, index, after_write, holder.late_write
            )

    def _pull_steps(self, state: State, holder: Holder) -> Iterator[Step]:
        if holder.ejected != UNSET:
            lease_ticks = (
                holder.lease_ticks if self._has_guard(Guard.LEASE_AT_PULL) else LEASE_TICKS
            )
            if self._has_guard(Guard.LAPSE_FROM_PULL_START):
                yield "Pull", _with_exclusion(state, holder.ejected, lease_ticks)
            elif state.answer is None and lease_ticks:
                yield "Pull", state._replace(answer=Answer(holder.ejected, lease_ticks))
        if state.answer is not None:
            with_exclusion = _with_exclusion(state, state.answer.target, state.answer.lease_ticks)
            yield "PullArrives", with_exclusion._replace(answer=None)

    def _next_tick(self, state: State) -> State:
        aged_holders = (_after_tick(state.holders[0]), _after_tick(state.holders[1]))
        exclusion_ticks = tuple(max(0, ticks - 1) for ticks in state.exclusion_ticks)
        if not self._has_guard(Guard.LAPSE_AT_FOLLOWER):
            exclusion_ticks = state.exclusion_ticks
        all_know = all(holder.knows_target_leaves for holder in state.holders)
        all_know_leaving_ticks = (
            min(LEASE_TICKS, state.all_know_leaving_ticks + 1) if all_know else 0
        )
        return state._replace(
            holders=aged_holders,
            exclusion_ticks=exclusion_ticks,
            all_know_leaving_ticks=all_know_leaving_ticks,
        )


def _with_readmission(holder: Holder) -> Holder:
    if holder.ejected == UNSET:
        return holder
    readmitted_ticks = list(holder.readmitted_ticks)
    readmitted_ticks[holder.ejected] = holder.lease_ticks
    return holder._replace(ejected=UNSET, readmitted_ticks=tuple(readmitted_ticks))


def _with_write_applied(state: State, index: int, holder: Holder, write: Write) -> State:
    first, second = _with_holder(state, index, holder).holders
    return state._replace(
        granted_to=index if write is Write.GRANT else UNSET,
        holders=(_with_reads_outdated(first), _with_reads_outdated(second)),
    )


def _with_reads_outdated(holder: Holder) -> Holder:
    return holder._replace(
        is_write_current=False, is_watch_current=False, is_late_write_current=False
    )


def _after_tick(holder: Holder) -> Holder:
    return holder._replace(
        lease_ticks=max(0, holder.lease_ticks - 1),
        readmitted_ticks=tuple(max(0, ticks - 1) for ticks in holder.readmitted_ticks),
        write_age=min(LEASE_TICKS, holder.write_age + 1) if holder.write is not Write.NONE else 0,
        watched_ticks=(
            min(WATCH_TICKS, holder.watched_ticks + 1) if holder.watched_ticks != UNSET else UNSET
        ),
    )


def _with_exclusion(state: State, target: int, lease_ticks: int) -> State:
    exclusion_ticks = list(state.exclusion_ticks)
    exclusion_ticks[target] = max(exclusion_ticks[target], lease_ticks)
    return state._replace(exclusion_ticks=tuple(exclusion_ticks))


def _excluded_count(state: State) -> int:
    return sum(ticks > 0 for ticks in state.exclusion_ticks)


def _with_holder(state: State, index: int, holder: Holder) -> State:
    first, second = state.holders
    return state._replace(holders=(holder, second) if index == 0 else (first, holder))
