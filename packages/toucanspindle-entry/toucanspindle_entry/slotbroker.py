"""Grants the slots of one service's targets to requests of all hosts.

Every host asks the service's broker for a slot before it sends a request, and reports how the
attempt ended.  So one place knows all slots in use, all results, and all retries spent.  The
broker's state is soft: a new broker rebuilds it from what hosts report (`adopt`).

A request goes to the free slot of least expected cost: probability that the target is sick, how
full and how slow it is.  When none is free it waits in a queue ordered by priority and arrival;
when it can't be reached in time it is refused at once.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from toucanspindle_entry.fleetbudget import FleetRetryBudget
from toucanspindle_entry.floorcover import FloorCover
from toucanspindle_entry.model import TargetEntry, TargetState
from toucanspindle_entry.poisonmemory import PoisonMemory
from toucanspindle_entry.posterior import OVERDUE_RATIO, AttemptEnd, SickBelief
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    Queued,
    RefusalReason,
    Refused,
    SlotAsk,
)

LEASE_SLACK_S: Final = 0.5  # A grant whose end was never reported is freed this long after its end.
INITIAL_WORK_S: Final = 0.3  # Work time assumed before the first answer.
INITIAL_WORK_ANSWERS: Final = 4  # Answers that it counts for; the first to come back are short.
WORK_SMOOTHING: Final = 0.05  # Weight of a new work time: about the last 20 answers.
SPEED_SMOOTHING: Final = 0.06  # Weight of a new work time in a target's relative speed.
MAX_RELATIVE_WORK: Final = 5.0  # Work times have long tails; one of them says little of a target.
FULL_COST: Final = 0.08  # Cost of the last slot of a target, as a probability of failure.
SLOW_COST: Final = 0.10  # Cost of a target twice as slow as the service.
DOMAIN_COST: Final = 0.04  # Bytes between failure domains are priced, and take a little longer.
WARMUP_COST: Final = 0.10
UNCONFIRMED_COST: Final = 0.3  # An entry that lapsed while the store was away may have ended.
JITTER_COST: Final = 0.02  # Spreads requests over targets of about the same cost.
HOLD_BACK_SICK: Final = 0.4  # A target this likely sick isn't used while a better one comes free,
HOLD_BACK_GAIN: Final = 0.25  # one that is less likely sick by this much,
HOLD_BACK_WORK: Final = 1.5  # and while this many times the usual work is left until the goal.
# A target that is held back is tried with one request this long after its last one; 0.5 to 3.5 s
# were weighed in the emulator.  A request whose failure is final does so only once it has waited.
PROBE_S: Final = 1.5
PROBE_WAIT_WORK: Final = 0.5  # In times of the usual work.
# A target that joins is tried after this long, by a request that can be repeated or by any other.
JOINER_TRY_S: Final = 1.5
JOINER_TRY_ANY_S: Final = 3.5  # Operators look for joiners that got nothing after 8 s.
# In calm the floor is kept over targets less likely sick than this: the first failure of a trusted
# target, which is mostly an error of its own, leads to 0.48.
CALM_COVER_SICK: Final = 0.55
OVERDUE_FACTOR: Final = 5.0  # An attempt this many times the usual work is taken as a bad sign.
SHED_PAUSE_S: Final = 0.02  # A target that refused for lack of room gets nothing for this long.
UNREACHED_PAUSE_S: Final = 1.0
LATE_PATIENCE_SHARE: Final = 0.25  # Share of its time for which a late request may still wait.
MAX_QUEUE: Final = 2000
ENDED_MEMORY_S: Final = 2.0  # A copy of an ask may arrive this long after its request has ended.
MIN_RETRY_AFTER_S: Final = 0.2


@dataclass
class _Lease:
    host: str
    target: str
    granted_at: float
    expires_at: float
    fingerprint: str
    may_repeat: bool = False
    is_overdue: bool = False


@dataclass
class _Waiting:
    ask: SlotAsk
    arrived_at: float
    deadline_at: float
    goal_at: float


@dataclass
class _TargetBook:
    entry: TargetEntry
    belief: SickBelief = field(default_factory=SickBelief)
    leases: set[str] = field(default_factory=set)
    slowness: float = 1.0
    paused_until: float = 0.0
    warm_at: float = 0.0
    joined_at: float = float("-inf")
    confirmed: bool = True

    @property
    def has_room(self) -> bool:
        return len(self.leases) < self.entry.slots

    def cost(self, now: float, rng: random.Random) -> float:
        fullness = len(self.leases) / max(1, self.entry.slots)
        cost = self.belief.at(now) + FULL_COST * fullness
        cost += SLOW_COST * min(3.0, max(0.0, self.slowness - 1.0))
        if now < self.warm_at:
            cost += WARMUP_COST
        if not self.confirmed:
            cost += UNCONFIRMED_COST
        return cost + JITTER_COST * rng.random()


class SlotBroker:
    """The slots of one service.

    Invariant: a target has at most as many leases as slots, but for those adopted from hosts.
    """

    def __init__(self, service: str, bounds: FleetBounds, now: float, rng: random.Random) -> None:
        """Create a broker that knows no target yet."""
        self.service = service
        self._rng = rng
        self._targets: dict[str, _TargetBook] = {}
        self._leases: dict[str, _Lease] = {}
        self._queue: list[_Waiting] = []
        self._budget = FleetRetryBudget(
            bounds.retry_ratio, bounds.retry_burst, bounds.retry_window_s, now
        )
        self._cover = FloorCover(bounds.floor_share)
        self._work_s = INITIAL_WORK_S
        self._answers = 0
        self._poison = PoisonMemory()
        self._ended: dict[str, float] = {}

    @property
    def in_use(self) -> int:
        """Slots that are granted."""
        return len(self._leases)

    @property
    def waiting(self) -> int:
        """Asks in the queue."""
        return len(self._queue)

    @property
    def mean_work_s(self) -> float:
        """Smoothed time of an attempt at a target, in seconds."""
        return self._work_s

    def beliefs(self, now: float) -> dict[str, float]:
        """Return the probability of being sick by target."""
        return {name: book.belief.at(now) for name, book in self._targets.items()}

    def sick_of(self, target: str, now: float) -> float:
        """Return the probability that a target is sick; 0 for one that isn't registered."""
        book = self._targets.get(target)
        return book.belief.at(now) if book else 0.0

    def set_targets(
        self, entries: Iterable[TargetEntry], unconfirmed: frozenset[str], now: float
    ) -> list[Decision]:
        """Take over the service's registered targets; return grants that became possible."""
        known = self._targets
        self._targets = {}
        for entry in entries:
            book = known.get(entry.name)
            if book is None or book.entry.started_ms != entry.started_ms:
                book = _TargetBook(entry, warm_at=now + entry.warmup_s)
                book.belief.updated_at = now
                if known:
                    book.joined_at = now
            book.entry = entry
            book.confirmed = entry.name not in unconfirmed
            self._targets[entry.name] = book
        for lease_id, lease in self._leases.items():
            if lease.target in self._targets:
                self._targets[lease.target].leases.add(lease_id)
        self._cover.retain(self._targets)
        return self.grant_waiting(now)

    def ask(self, ask: SlotAsk, now: float) -> Decision:
        """Answer an ask; one that was answered before gets the same answer again."""
        lease = self._leases.get(ask.id)
        if lease is not None:
            return self._grant_of(ask, lease.target, now)
        if any(waiting.ask.id == ask.id for waiting in self._queue):
            return Queued(ask.id, ask.host)
        if ask.id in self._ended:
            # A late copy: nobody waits for it any more.
            return Refused(ask.id, ask.host, RefusalReason.TOO_LATE, 0.0)
        refusal = self._refusal(ask, now)
        if refusal is not None:
            self._cover.record_end(True, now)
            return refusal
        if not ask.is_retry and not ask.excluded:
            self._budget.record_first_attempt()
        waiting = _Waiting(ask, now, now + ask.time_left_s, now + ask.goal_left_s)
        if not self._is_overtaking(waiting):
            target = self._pick(waiting, now)
            if target is not None:
                return self._grant(waiting, target, now)
        return self._enqueue(waiting, now)

    def report(self, report: AttemptReport, now: float) -> list[Decision]:
        """Take the end of an attempt into account; return grants that became possible."""
        self._note_ended(report.ask_id, now)
        lease = self._leases.pop(report.ask_id, None)
        self._queue = [w for w in self._queue if w.ask.id != report.ask_id]
        book = self._targets.get(report.target)
        if book is not None:
            book.leases.discard(report.ask_id)
            if lease is not None or report.end is not AttemptEnd.WITHDRAWN:
                self._learn(book, report, now)
        self._cover_end(report, lease, now)
        return self.grant_waiting(now)

    def adopt(self, host: str, leases: Iterable[tuple[str, str, float, str]], now: float) -> None:
        """Take over a host's attempts under way: (ask id, target, seconds left, fingerprint)."""
        for ask_id, target, left_s, fingerprint in leases:
            if ask_id in self._leases:
                continue
            expires_at = now + left_s + LEASE_SLACK_S
            self._leases[ask_id] = _Lease(host, target, now, expires_at, fingerprint)
            if target in self._targets:
                self._targets[target].leases.add(ask_id)

    def adopt_result(self, target: str, end: AttemptEnd, at: float) -> None:
        """Take over a past result, told by a host when this broker was new."""
        book = self._targets.get(target)
        if book is not None and at > book.belief.updated_at - 1:
            book.belief.observe(end, max(at, book.belief.updated_at))

    def forget_leases(self) -> None:
        """Drop all leases, before they are adopted anew from the hosts."""
        self._leases.clear()
        for book in self._targets.values():
            book.leases.clear()

    def drop_host(self, host: str, now: float) -> list[Decision]:
        """Free what a host held that has ended."""
        gone = [ask_id for ask_id, lease in self._leases.items() if lease.host == host]
        for ask_id in gone:
            self._free(ask_id)
            self._cover.record_end(True, now)
        self._queue = [w for w in self._queue if w.ask.host != host]
        return self.grant_waiting(now)

    def tick(self, now: float) -> list[Decision]:
        """Expire leases, note overdue attempts, and refuse what can't be served in time."""
        for ask_id, lease in list(self._leases.items()):
            if now > lease.expires_at:
                # The end was never reported: its host has most likely ended.
                self._free(ask_id)
                self._cover.record_end(True, now)
            elif not lease.is_overdue and now - lease.granted_at > self._overdue_s():
                lease.is_overdue = True
                book = self._targets.get(lease.target)
                if book is not None:
                    book.belief.weigh(OVERDUE_RATIO, now)
        decisions = self.grant_waiting(now)
        return decisions + self._refuse_hopeless(now)

    def grant_waiting(self, now: float) -> list[Decision]:
        """Grant free slots to the asks that wait."""
        decisions: list[Decision] = []
        granted: set[str] = set()
        for waiting in self._in_order(now):
            target = self._pick(waiting, now)
            if target is not None:
                decisions.append(self._grant(waiting, target, now))
                granted.add(waiting.ask.id)
        if granted:
            self._queue = [w for w in self._queue if w.ask.id not in granted]
        return decisions

    def _in_order(self, now: float) -> list[_Waiting]:
        """Return the queue by priority; those that can still reach their goal go first."""
        if len(self._queue) < 2:
            return list(self._queue)
        return sorted(
            self._queue,
            key=lambda w: (w.ask.priority, w.goal_at - now < self._work_s / 2, w.arrived_at),
        )

    def _refusal(self, ask: SlotAsk, now: float) -> Refused | None:
        if self._poison.is_poison(ask.fingerprint, now):
            return Refused(ask.id, ask.host, RefusalReason.POISON, 0.0)
        if ask.time_left_s <= 0:
            return Refused(ask.id, ask.host, RefusalReason.TOO_LATE, 0.0)
        usable = [b for b in self._targets.values() if self._is_usable(b, ask)]
        if not usable:
            return Refused(ask.id, ask.host, RefusalReason.NO_TARGET, self._retry_after(now))
        if ask.is_retry and not self._budget.try_spend(now):
            return Refused(ask.id, ask.host, RefusalReason.NO_RETRY, 0.0)
        return None

    def _enqueue(self, waiting: _Waiting, now: float) -> Decision:
        ask = waiting.ask
        ahead = sum(1 for w in self._queue if w.ask.priority <= ask.priority)
        wait_s = (ahead + 1) * self._work_s / max(1.0, self._good_slots(now))
        if len(self._queue) >= MAX_QUEUE or wait_s > self._patience(ask):
            after = max(self._retry_after(now), wait_s / 2)
            return Refused(ask.id, ask.host, RefusalReason.OVERLOADED, after)
        self._queue.append(waiting)
        return Queued(ask.id, ask.host)

    def _patience(self, ask: SlotAsk) -> float:
        """Return how long an ask may wait: it should reach its goal, or else not wait long."""
        return max(ask.goal_left_s - self._work_s / 2, ask.time_left_s * LATE_PATIENCE_SHARE)

    def _refuse_hopeless(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        left: list[_Waiting] = []
        for waiting in self._queue:
            if waiting.deadline_at - now < self._work_s / 2:
                ask = waiting.ask
                after = self._retry_after(now)
                decisions.append(Refused(ask.id, ask.host, RefusalReason.OVERLOADED, after))
            else:
                left.append(waiting)
        self._queue = left
        return decisions

    def _is_overtaking(self, waiting: _Waiting) -> bool:
        return any(w.ask.priority <= waiting.ask.priority for w in self._queue)

    def _is_usable(self, book: _TargetBook, ask: SlotAsk) -> bool:
        return book.entry.state is TargetState.READY and book.entry.name not in ask.excluded

    def _pick(self, waiting: _Waiting, now: float) -> _TargetBook | None:
        """Return the target of least cost with a free slot; None when waiting is better."""
        best: _TargetBook | None = None
        best_cost = 0.0
        least_sick_busy = 1.0
        ask = waiting.ask
        usable = [book for book in self._targets.values() if self._is_usable(book, ask)]
        due = self._due(usable, ask, now) or self._untried_joiner(usable, ask, now)
        if due is not None:
            return due
        for book in usable:
            if not book.has_room or now < book.paused_until:
                least_sick_busy = min(least_sick_busy, book.belief.at(now))
                continue
            cost = book.cost(now, self._rng) + _domain_cost(book, ask)
            if best is None or cost < best_cost:
                best, best_cost = book, cost
        if best is None:
            return None
        sick = best.belief.at(now)
        is_better_soon = sick > HOLD_BACK_SICK and least_sick_busy < sick - HOLD_BACK_GAIN
        if (
            is_better_soon
            and self._has_time(waiting, now)
            and not self._may_probe(best, waiting, now)
        ):
            return None
        return best

    def _has_time(self, waiting: _Waiting, now: float) -> bool:
        """Return whether a request may wait for a better target.

        A first attempt waits until it would miss its goal.  A retry has mostly missed it already,
        and is better late than failed; retries are few enough not to hold up others.
        """
        until = waiting.deadline_at if waiting.ask.is_retry else waiting.goal_at
        return until - now > HOLD_BACK_WORK * self._work_s

    def _may_probe(self, book: _TargetBook, waiting: _Waiting, now: float) -> bool:
        """Return whether a request may try a target that is held back.

        Without such tries a recovered target stays unused while requests wait for the others.
        """
        if book.leases or now - self._cover.granted_at(book.entry.name) < PROBE_S:
            return False
        has_waited = now - waiting.arrived_at > PROBE_WAIT_WORK * self._work_s
        return waiting.ask.may_repeat or has_waited

    def _untried_joiner(
        self, usable: list[_TargetBook], ask: SlotAsk, now: float
    ) -> _TargetBook | None:
        """Return a target that joined a while ago and got nothing yet, if any."""
        wait_s = JOINER_TRY_S if ask.may_repeat else JOINER_TRY_ANY_S
        for book in usable:
            is_untried = book.joined_at > self._cover.granted_at(book.entry.name)
            if is_untried and now - book.joined_at > wait_s and book.has_room:
                return book
        return None

    def _due(self, usable: list[_TargetBook], ask: SlotAsk, now: float) -> _TargetBook | None:
        """Return the least sick free target that the floor calls for, if any."""
        names = self._cover.due(
            [book.entry.name for book in usable],
            lambda name: self.sick_of(name, now) < CALM_COVER_SICK,
            now,
        )
        free = [book for book in usable if book.entry.name in names and book.has_room]
        if not free:
            return None
        self._cover.spend(now)
        return min(free, key=lambda book: book.belief.at(now) + _domain_cost(book, ask))

    def _grant(self, waiting: _Waiting, book: _TargetBook, now: float) -> Grant:
        ask = waiting.ask
        expires_at = waiting.deadline_at + LEASE_SLACK_S
        self._leases[ask.id] = _Lease(
            ask.host, book.entry.name, now, expires_at, ask.fingerprint, ask.may_repeat
        )
        book.leases.add(ask.id)
        self._cover.record_grant(book.entry.name, now)
        return self._grant_of(ask, book.entry.name, now)

    def _grant_of(self, ask: SlotAsk, target: str, now: float) -> Grant:
        book = self._targets.get(target)
        age_s = max(0.0, now - book.belief.updated_at) if book else 0.0
        return Grant(ask.id, ask.host, target, self.sick_of(target, now), age_s)

    def _learn(self, book: _TargetBook, report: AttemptReport, now: float) -> None:
        end = report.end
        if end is AttemptEnd.SILENT and report.work_s < self._overdue_s():
            # The request's time was short: its end says nothing of the target.
            return
        book.belief.observe(end, now)
        if end is AttemptEnd.ANSWERED:
            self._answers += 1
            weight = max(WORK_SMOOTHING, 1 / (self._answers + INITIAL_WORK_ANSWERS))
            self._work_s += weight * (report.work_s - self._work_s)
            relative = report.work_s / max(self._work_s, 0.001)
            book.slowness += SPEED_SMOOTHING * (min(relative, MAX_RELATIVE_WORK) - book.slowness)
            self._poison.record_answer(report.fingerprint, now)
        elif end is AttemptEnd.SHED:
            book.paused_until = now + SHED_PAUSE_S
        elif end in {AttemptEnd.UNREACHED, AttemptEnd.MISDIRECTED}:
            book.paused_until = now + UNREACHED_PAUSE_S
        elif end is AttemptEnd.BROKEN:
            incarnation = f"{report.target}@{book.entry.started_ms}"
            self._poison.record_crash(report.fingerprint, incarnation, now)

    def _cover_end(self, report: AttemptReport, lease: _Lease | None, now: float) -> None:
        """Tell the cover of a request's end; a failed attempt that can be repeated is none."""
        if report.end is AttemptEnd.WITHDRAWN:
            return
        is_bad = report.end is not AttemptEnd.ANSWERED
        if not (is_bad and lease is not None and lease.may_repeat):
            self._cover.record_end(is_bad, now)

    def _note_ended(self, ask_id: str, now: float) -> None:
        self._ended[ask_id] = now
        while now - self._ended[oldest := next(iter(self._ended))] > ENDED_MEMORY_S:
            del self._ended[oldest]

    def _free(self, ask_id: str) -> None:
        lease = self._leases.pop(ask_id, None)
        if lease is not None and lease.target in self._targets:
            self._targets[lease.target].leases.discard(ask_id)

    def _good_slots(self, now: float) -> float:
        return sum(
            book.entry.slots * (1 - book.belief.at(now))
            for book in self._targets.values()
            if book.entry.state is TargetState.READY
        )

    def _overdue_s(self) -> float:
        return max(0.5, OVERDUE_FACTOR * self._work_s)

    def _retry_after(self, now: float) -> float:
        backlog_s = len(self._queue) * self._work_s / max(1.0, self._good_slots(now))
        return MIN_RETRY_AFTER_S + backlog_s * self._rng.uniform(0.5, 1.0)


def _domain_cost(book: _TargetBook, ask: SlotAsk) -> float:
    return 0.0 if book.entry.failure_domain == ask.failure_domain else DOMAIN_COST
