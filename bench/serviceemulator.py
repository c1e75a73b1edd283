"""Emulates one service under load, with the very decisions that entry hosts make.

Requests arrive at random hosts as a Poisson process.  Targets have slots and a queue of their own;
each alternates between well and sick, and a sick one fails most of what it is sent, at once.
Requests are spread in one of three ways:

- `blind`: each host chooses by what it alone has under way and has seen end;
- `told`: each host sees all requests under way and all ends, some milliseconds late;
- `broker`: one `SlotBroker` grants slots, asked by every host.

Refused requests come back after their Retry-After if their caller has the time.  Time is simulated
and random numbers are seeded, so a run repeats exactly.

    python -m bench.serviceload

plays the tables of docs/MEASUREMENTS.md with it.
"""

import heapq
import itertools
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, Protocol

from toucanspindle_core.hostport import HostPort
from toucanspindle_entry.model import TargetEntry, TargetState
from toucanspindle_entry.posterior import AttemptEnd, SickBelief
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.slotbroker import SlotBroker
from toucanspindle_entry.slottypes import AttemptReport, Decision, Grant, Refused, SlotAsk

MESSAGE_S: Final = 0.001  # One way between two hosts, with the time to handle it.
TOLD_LAG_S: Final = 0.005  # What all hosts tell each other is this old when it is used.
TICK_S: Final = 0.1  # As often as a seat ticks its broker.
DOMAINS: Final = ("north", "south", "east", "west")


@dataclass(frozen=True)
class ServiceShape:
    """A service and the requests for it; times in seconds, `rate` in requests a second.

    Work times are log-normal with `spread` as their sigma, or exponential with a spread of None.
    A well target fails `error_share` of what it runs.  Of all targets `sick_share` are sick at any
    time, for `spell_s` on average, and fail `sick_fails` of what they are sent.
    """

    name: str
    targets: int
    slots: int
    work_s: float
    rate: float
    goal_s: float
    deadline_s: float
    idempotent: bool
    spread: float | None = 0.8
    error_share: float = 0.012
    sick_share: float = 0.3
    spell_s: float = 5.0
    sick_fails: float = 0.9
    target_queue: int = 16
    max_attempts: int = 2
    hosts: int = 40
    retry_ratio: float = 0.2
    retry_burst: float = 60.0


@dataclass
class Outcome:
    """What callers saw: counts of requests, and waits for a slot in seconds."""

    in_goal: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    attempts: int = 0
    waits: list[float] = field(default_factory=list)

    @property
    def asked(self) -> int:
        """All requests."""
        return self.in_goal + self.late + self.failed + self.refused

    @property
    def mean_wait_s(self) -> float:
        """Mean time from arrival until a target began to work."""
        return sum(self.waits) / max(1, len(self.waits))


@dataclass
class _Request:
    number: int
    host: str
    domain: str
    arrived_at: float
    work_s: float
    excluded: list[str] = field(default_factory=list)
    sent: int = 0
    returned: bool = False


@dataclass
class _Target:
    entry: TargetEntry
    rng: Random
    shape: ServiceShape
    sick: bool = False
    changes_at: float = 0.0
    running: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)

    @property
    def stay_s(self) -> float:
        """Mean time for which the present state lasts."""
        shape = self.shape
        if self.sick:
            return shape.spell_s
        return shape.spell_s * (1 - shape.sick_share) / shape.sick_share

    def is_sick(self, now: float) -> bool:
        """Advance the spells to `now`; return whether one is on."""
        if self.shape.sick_share <= 0:
            return False
        while now >= self.changes_at:
            self.sick = not self.sick
            self.changes_at += self.rng.expovariate(1 / self.stay_s)
        return self.sick


class Spread(Protocol):
    """A way to spread requests over targets."""

    def ask(self, ask: SlotAsk, answer: Callable[[Decision], None]) -> None:
        """Answer a host's wish for a slot, now or later."""
        ...

    def report(self, report: AttemptReport, host: str) -> None:
        """Take note of the end of an attempt."""
        ...


class Emulator:
    """Plays one service."""

    def __init__(self, shape: ServiceShape, seed: int, spread: str) -> None:
        """Prepare a run; `spread` is blind, told or broker."""
        self.shape = shape
        self.now = 0.0
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.targets = {
            t.entry.name: t for t in (self._make_target(n) for n in range(shape.targets))
        }
        self.outcome = Outcome()
        self._spread: Spread = _SPREADS[spread](self, Random(seed + 1))
        self._arriving = True

    @property
    def entries(self) -> list[TargetEntry]:
        """The registered targets."""
        return [target.entry for target in self.targets.values()]

    @property
    def has_arrivals(self) -> bool:
        """Whether requests still arrive."""
        return self._arriving

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run(self, seconds: float) -> Outcome:
        """Play a number of seconds of arrivals, and what they lead to."""
        arrival, number = 0.0, 0
        while arrival < seconds:
            arrival += self._rng.expovariate(self.shape.rate)
            self.at(arrival, self._arrival(number))
            number += 1
        self.at(arrival, self._end_arrivals)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    # Requests.

    def _arrival(self, number: int) -> Callable[[], None]:
        host = self._rng.randrange(self.shape.hosts)
        work_s = self._work_s()

        def arrive() -> None:
            domain = DOMAINS[host % len(DOMAINS)]
            self._ask(_Request(number, f"h{host}", domain, self.now, work_s))

        return arrive

    def _ask(self, request: _Request) -> None:
        shape = self.shape
        age_s = self.now - request.arrived_at
        ask = SlotAsk(
            id=f"{request.number}.{request.sent}.{int(request.returned)}",
            host=request.host,
            failure_domain=request.domain,
            priority=1,
            time_left_s=shape.deadline_s - age_s,
            goal_left_s=max(0.0, shape.goal_s - age_s),
            is_retry=request.sent > 0,
            may_repeat=shape.idempotent and request.sent + 1 < shape.max_attempts,
            excluded=tuple(request.excluded),
            fingerprint=str(request.number),
        )
        self._spread.ask(ask, lambda decision: self._decided(request, ask, decision))

    def _decided(self, request: _Request, ask: SlotAsk, decision: Decision) -> None:
        if isinstance(decision, Grant):
            self._send(request, ask, self.targets[decision.target])
        elif isinstance(decision, Refused):
            self._refused(request, decision)

    def _refused(self, request: _Request, decision: Refused) -> None:
        if request.sent:
            self.outcome.failed += 1
            return
        left_s = request.arrived_at + self.shape.deadline_s - self.now
        if decision.retry_after_s > left_s / 3 or request.returned:
            self.outcome.refused += 1
            return
        request.returned = True
        self.at(decision.retry_after_s, lambda: self._ask(request))

    def _send(self, request: _Request, ask: SlotAsk, target: _Target) -> None:
        self.outcome.attempts += 1
        request.sent += 1
        sent_at = self.now

        def end(how: AttemptEnd) -> None:
            self._ended(request, ask, target, how, sent_at)

        if target.is_sick(self.now) and target.rng.random() < self.shape.sick_fails:
            self.at(MESSAGE_S, lambda: end(AttemptEnd.FAILED))
        elif target.running < target.entry.slots:
            self._start(request, target, end)
        elif len(target.queue) < self.shape.target_queue:
            target.queue.append(lambda: self._start(request, target, end))
        else:
            self.at(MESSAGE_S, lambda: end(AttemptEnd.SHED))

    def _start(self, request: _Request, target: _Target, end: Callable[[AttemptEnd], None]) -> None:
        if self.now > request.arrived_at + self.shape.deadline_s:
            end(AttemptEnd.SHED)
            return
        target.running += 1
        self.outcome.waits.append(self.now - request.arrived_at)
        fails = target.rng.random() < self.shape.error_share
        how = AttemptEnd.FAILED if fails else AttemptEnd.ANSWERED

        def finish() -> None:
            target.running -= 1
            if target.queue:
                target.queue.popleft()()
            end(how)

        self.at(request.work_s, finish)

    def _ended(
        self, request: _Request, ask: SlotAsk, target: _Target, how: AttemptEnd, sent_at: float
    ) -> None:
        report = AttemptReport(ask.id, target.entry.name, how, self.now - sent_at, ask.fingerprint)
        self._spread.report(report, request.host)
        latency_s = self.now - request.arrived_at
        if how is AttemptEnd.ANSWERED and latency_s <= self.shape.deadline_s:
            if latency_s <= self.shape.goal_s:
                self.outcome.in_goal += 1
            else:
                self.outcome.late += 1
            return
        request.excluded.append(target.entry.name)
        may_repeat = self.shape.idempotent or how is AttemptEnd.SHED
        in_time = latency_s < self.shape.deadline_s
        if may_repeat and in_time and request.sent < self.shape.max_attempts:
            self._ask(request)
        elif how is AttemptEnd.SHED:
            self.outcome.refused += 1
        else:
            self.outcome.failed += 1

    # Upkeep.

    def _end_arrivals(self) -> None:
        self._arriving = False

    def _make_target(self, number: int) -> _Target:
        entry = TargetEntry(
            name=f"t{number}",
            service=self.shape.name,
            address=HostPort("127.0.0.1", 9000 + number),
            failure_domain=DOMAINS[number % len(DOMAINS)],
            slots=self.shape.slots,
            state=TargetState.READY,
            started_ms=1,
            warmup_s=0.0,
        )
        rng = Random(self._rng.getrandbits(32))
        target = _Target(entry, rng, self.shape, sick=rng.random() < self.shape.sick_share)
        target.changes_at = rng.expovariate(1 / target.stay_s) if self.shape.sick_share else 0.0
        return target

    def _work_s(self) -> float:
        mean_s, spread = self.shape.work_s, self.shape.spread
        if spread is None:
            return self._rng.expovariate(1 / mean_s)
        return self._rng.lognormvariate(math.log(mean_s) - spread * spread / 2, spread)


class _BrokerSpread:
    """One broker that every host asks."""

    def __init__(self, emulator: Emulator, rng: Random) -> None:
        shape = emulator.shape
        bounds = FleetBounds(2.0, 6.0, shape.retry_ratio, 10.0, shape.retry_burst, 3.0, 0.7)
        self._emulator = emulator
        self._broker = SlotBroker(shape.name, bounds, 0.0, rng)
        self._broker.set_targets(emulator.entries, frozenset(), 0.0)
        self._answers: dict[str, Callable[[Decision], None]] = {}
        emulator.at(TICK_S, self._tick)

    def ask(self, ask: SlotAsk, answer: Callable[[Decision], None]) -> None:
        """Pass an ask to the broker."""

        def arrive() -> None:
            self._answers[ask.id] = answer
            self._emit([self._broker.ask(ask, self._emulator.now)])

        self._emulator.at(MESSAGE_S, arrive)

    def report(self, report: AttemptReport, host: str) -> None:  # noqa: ARG002
        """Pass an end to the broker."""
        emulator = self._emulator
        emulator.at(MESSAGE_S, lambda: self._emit(self._broker.report(report, emulator.now)))

    def _tick(self) -> None:
        self._emit(self._broker.tick(self._emulator.now))
        if self._emulator.has_arrivals or self._answers:
            self._emulator.at(TICK_S, self._tick)

    def _emit(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Grant | Refused):
                answer = self._answers.pop(decision.ask_id)
                self._emulator.at(MESSAGE_S, _later(answer, decision))


class _ChoosingSpread:
    """Hosts that choose by themselves: fewest under way, among the targets least likely sick."""

    lag_s: float | None = None  # None: a host knows only what it did itself.

    def __init__(self, emulator: Emulator, rng: Random) -> None:
        self._emulator = emulator
        self._rng = rng
        self._under_way: Counter[tuple[str, str]] = Counter()
        self._beliefs: dict[tuple[str, str], SickBelief] = {}

    def ask(self, ask: SlotAsk, answer: Callable[[Decision], None]) -> None:
        """Choose at once."""
        now = self._emulator.now
        view = self._view(ask.host)
        usable = [e for e in self._emulator.entries if e.name not in ask.excluded]
        best = min(
            usable,
            key=lambda entry: (
                self._belief(view, entry.name).at(now)
                + self._under_way[view, entry.name] / entry.slots
                + 0.01 * self._rng.random()
            ),
        )
        self._tell(ask.host, lambda seen: self._count(seen, best.name, 1))
        answer(Grant(ask.id, ask.host, best.name, 0.0, 0.0))

    def report(self, report: AttemptReport, host: str) -> None:
        """Learn from an end."""

        def learn(seen: str) -> None:
            self._count(seen, report.target, -1)
            self._belief(seen, report.target).observe(report.end, self._emulator.now)

        self._tell(host, learn)

    def _view(self, host: str) -> str:
        return host if self.lag_s is None else "all"

    def _tell(self, host: str, learn: Callable[[str], None]) -> None:
        if self.lag_s is None:
            learn(host)
        else:
            self._emulator.at(self.lag_s, lambda: learn("all"))

    def _count(self, view: str, target: str, change: int) -> None:
        self._under_way[view, target] += change

    def _belief(self, view: str, target: str) -> SickBelief:
        return self._beliefs.setdefault((view, target), SickBelief())


class _ToldSpread(_ChoosingSpread):
    lag_s = TOLD_LAG_S


_SPREADS: Final[dict[str, Callable[[Emulator, Random], Spread]]] = {
    "blind": _ChoosingSpread,
    "told": _ToldSpread,
    "broker": _BrokerSpread,
}


def _later(answer: Callable[[Decision], None], decision: Decision) -> Callable[[], None]:
    return lambda: answer(decision)
