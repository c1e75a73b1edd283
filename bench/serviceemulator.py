"""Discrete-event simulation of one service under load, with the entry hosts' decision code.

Requests arrive at random hosts as a Poisson process.  Targets have slots and a queue of their own.
Each target alternates between healthy and unhealthy; an unhealthy one immediately fails most of the
requests that it gets.  One of three policies assigns requests to targets:

- `blind`: each host chooses by its own requests in flight and the outcomes that it saw itself;
- `told`: each host sees all requests in flight and all outcomes, some milliseconds late;
- `broker`: one `SlotBroker` grants slots to all hosts.

The caller of a refused request retries once after its Retry-After if enough time is left.  Time is
simulated and random numbers are seeded, so a run is exactly repeatable.

    python -m bench.serviceload

runs it for the tables of docs/MEASUREMENTS.md.
"""

import heapq
import itertools
import math
from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, Protocol

from toucanspindle_core.hostport import HostPort
from toucanspindle_entry.broker.retrycredit import RetryCreditSource
from toucanspindle_entry.broker.slotbroker import SlotBroker
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    RefusalReason,
    Refused,
    SlotRequest,
)
from toucanspindle_entry.model import TargetEntry, TargetState
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.targets.targethealth import AttemptOutcome, HealthEstimate

SHED_TIME_S: Final = 0.005  # In which a target rejects a request.
MESSAGE_DELAY_S: Final = 0.001  # One way between two hosts, including the processing.
SHARED_VIEW_LAG_S: Final = 0.005  # Age of the information that hosts share.
TICK_INTERVAL_S: Final = 0.1  # The interval at which an entry host calls `SlotBroker.tick`.
DOMAINS: Final = ("north", "south", "east", "west")


@dataclass(frozen=True)
class ServiceShape:
    """A service and its load; times are in seconds, `rate` is in requests per second.

    Work times are log-normal with a sigma of `spread`, or exponential if `spread` is None.  Healthy
    targets fail the share `error_share` of the requests that they run.  At any time the share
    `sick_share` of the targets is unhealthy, each for `spell_s` on average, and fails the share
    `sick_fails` of its requests.  From `shed_from_s` to `shed_until_s`, `shed_targets` targets (all
    if None) reject the share `shed_share` of what arrives at once.  A host sends a shed request
    again while it has time, or without `resends_shed` only to further targets.  Targets run only
    `real_slots` requests at once if that is set, whatever they registered.
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
    shed_share: float = 0.0
    shed_from_s: float = 0.0
    shed_until_s: float = 0.0
    shed_targets: int | None = None
    resends_shed: bool = True
    real_slots: int | None = None


@dataclass
class LoadResult:
    """Outcomes from the callers' view, as counts of requests, and the waits in seconds.

    `arrivals_s` and `repeats_s` hold the times at which callers sent a request and at which a
    target got one again, and `sheds_s` those at which a target rejected one.  `shedding_s` holds
    the times at which the broker began or ceased to take the service for shedding, by turns.
    """

    within_goal: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    attempts: int = 0
    waits_s: list[float] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    repeats_s: list[float] = field(default_factory=list)
    sheds_s: list[float] = field(default_factory=list)
    shedding_s: list[float] = field(default_factory=list)

    @property
    def total_requests(self) -> int:
        """Number of requests with any outcome."""
        return self.within_goal + self.late + self.failed + self.refused

    @property
    def unserved(self) -> int:
        """Number of requests without an answer before their deadline."""
        return self.failed + self.refused

    def worst_repeat_excess(self, ratio: float, burst: float, window_s: float) -> float:
        """Return by how much the worst window exceeds the retry budget; negative if none does.

        Windows begin or end at a repeat, while callers send requests.
        """
        worst = float("-inf")
        starts = [
            start for at in self.repeats_s for start in (at, math.nextafter(at - window_s, at))
        ]
        for start in starts:
            if not 0 <= start <= self.arrivals_s[-1] - window_s:
                continue
            repeats = bisect_left(self.repeats_s, start + window_s) - bisect_left(
                self.repeats_s, start
            )
            requests = bisect_left(self.arrivals_s, start + window_s) - bisect_left(
                self.arrivals_s, start
            )
            worst = max(worst, repeats - ratio * requests - burst)
        return worst

    @property
    def mean_wait_s(self) -> float:
        """Mean time in seconds from a request's arrival until a target began to run it."""
        return sum(self.waits_s) / max(1, len(self.waits_s))


@dataclass
class _Request:
    number: int
    host: str
    domain: str
    arrived_at: float
    work_s: float
    excluded: list[str] = field(default_factory=list)
    shed_by: list[str] = field(default_factory=list)
    sent_to: set[str] = field(default_factory=set)
    asks_shedders: bool = False
    ask_count: int = 0
    send_count: int = 0
    has_retried_refusal: bool = False


@dataclass
class _Target:
    number: int
    entry: TargetEntry
    rng: Random
    shape: ServiceShape
    unhealthy: bool = False
    next_change_at: float = 0.0
    running: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)

    @property
    def mean_state_duration_s(self) -> float:
        """Mean duration in seconds of the current state, healthy or unhealthy."""
        shape = self.shape
        if self.unhealthy:
            return shape.spell_s
        return shape.spell_s * (1 - shape.sick_share) / shape.sick_share

    def is_unhealthy(self, now: float) -> bool:
        """Advance the state to `now`; return whether the target is unhealthy."""
        if self.shape.sick_share <= 0:
            return False
        while now >= self.next_change_at:
            self.unhealthy = not self.unhealthy
            self.next_change_at += self.rng.expovariate(1 / self.mean_state_duration_s)
        return self.unhealthy


class AssignmentPolicy(Protocol):
    """Policy that assigns requests to targets."""

    def request_slot(self, slot_request: SlotRequest, answer: Callable[[Decision], None]) -> None:
        """Decide on a host's slot request; call `answer` with the decision, now or later."""
        ...

    def record_attempt(self, report: AttemptReport, host: str) -> None:
        """Record the outcome of an attempt by `host`."""
        ...


class Emulator:
    """Simulates one service."""

    def __init__(self, shape: ServiceShape, seed: int, policy: str) -> None:
        """Prepare a run; `policy` is "blind", "told" or "broker"."""
        self.shape = shape
        self.now = 0.0
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.targets = {
            t.entry.name: t for t in (self._make_target(n) for n in range(shape.targets))
        }
        self.result = LoadResult()
        self._credit_sources: dict[str, RetryCreditSource] = {}
        self._policy: AssignmentPolicy = _POLICIES[policy](self, Random(seed + 1))
        self._arriving = True

    @property
    def entries(self) -> list[TargetEntry]:
        """Registered entries of all targets."""
        return [target.entry for target in self.targets.values()]

    @property
    def has_arrivals(self) -> bool:
        """Whether more requests will arrive."""
        return self._arriving

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run `action` after `delay_s` seconds of simulated time."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run(self, seconds: float) -> LoadResult:
        """Simulate `seconds` of arrivals until their last event; return the result."""
        arrival, number = 0.0, 0
        while arrival < seconds:
            arrival += self._rng.expovariate(self.shape.rate)
            self.schedule(arrival, self._make_arrival(number))
            number += 1
        self.schedule(arrival, self._end_arrivals)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    # Requests.

    def _make_arrival(self, number: int) -> Callable[[], None]:
        host = self._rng.randrange(self.shape.hosts)
        work_s = self._draw_work_s()

        def arrive() -> None:
            domain = DOMAINS[host % len(DOMAINS)]
            self.result.arrivals_s.append(self.now)
            self._request_slot(_Request(number, f"h{host}", domain, self.now, work_s))

        return arrive

    def _request_slot(self, request: _Request) -> None:
        shape = self.shape
        age_s = self.now - request.arrived_at
        excluded = [*request.excluded, *request.shed_by]
        allowed: list[str] = []
        if request.asks_shedders:
            excluded, allowed = request.excluded, request.shed_by
        request.ask_count += 1
        slot_request = SlotRequest(
            id=f"{request.number}.{request.ask_count}",
            host=request.host,
            failure_domain=request.domain,
            priority=1,
            time_left_s=shape.deadline_s - age_s,
            goal_left_s=max(0.0, shape.goal_s - age_s),
            is_retry=request.send_count > 0,
            can_retry=shape.idempotent and request.send_count + 1 < shape.max_attempts,
            excluded=tuple(excluded),
            fingerprint=str(request.number),
            retry_credit=self._credit_source(request.host).take(
                request.ask_count == 1, shape.hosts, self.now
            ),
            allowed_targets=tuple(allowed),
        )
        self._policy.request_slot(
            slot_request, lambda decision: self._handle_decision(request, slot_request, decision)
        )

    def _credit_source(self, host: str) -> RetryCreditSource:
        source = self._credit_sources.get(host)
        if source is None:
            source = RetryCreditSource(self.shape.retry_ratio, self.shape.retry_burst, 10.0)
            self._credit_sources[host] = source
        return source

    def _handle_decision(
        self, request: _Request, slot_request: SlotRequest, decision: Decision
    ) -> None:
        if isinstance(decision, Grant):
            self._send_to_target(request, slot_request, self.targets[decision.target])
        elif isinstance(decision, Refused):
            self._handle_refusal(request, decision)

    def _handle_refusal(self, request: _Request, decision: Refused) -> None:
        lacks_other_target = decision.reason is RefusalReason.NO_TARGET and request.shed_by
        if lacks_other_target and not request.asks_shedders:
            request.asks_shedders = True
            self._request_slot(request)
            return
        if request.send_count:
            self.result.failed += 1
            return
        left_s = request.arrived_at + self.shape.deadline_s - self.now
        if decision.retry_after_s > left_s / 3 or request.has_retried_refusal:
            self.result.refused += 1
            return
        request.has_retried_refusal = True
        self.schedule(decision.retry_after_s, lambda: self._request_slot(request))

    def _send_to_target(
        self, request: _Request, slot_request: SlotRequest, target: _Target
    ) -> None:
        self.result.attempts += 1
        request.send_count += 1
        request.sent_to.add(target.entry.name)
        sent_at = self.now
        if request.send_count > 1:
            self.result.repeats_s.append(self.now)

        def report_outcome(outcome: AttemptOutcome) -> None:
            self._handle_outcome(request, slot_request, target, outcome, sent_at)

        if self._is_shedding(target) and target.rng.random() < self.shape.shed_share:
            self.result.sheds_s.append(self.now)
            self.schedule(SHED_TIME_S, lambda: report_outcome(AttemptOutcome.SHED))
        elif target.is_unhealthy(self.now) and target.rng.random() < self.shape.sick_fails:
            self.schedule(MESSAGE_DELAY_S, lambda: report_outcome(AttemptOutcome.FAILED))
        elif target.running < (self.shape.real_slots or target.entry.slots):
            self._start_work(request, target, report_outcome)
        elif len(target.queue) < self.shape.target_queue:
            target.queue.append(lambda: self._start_work(request, target, report_outcome))
        else:
            self.schedule(MESSAGE_DELAY_S, lambda: report_outcome(AttemptOutcome.SHED))

    def _is_shedding(self, target: _Target) -> bool:
        shape = self.shape
        is_affected = shape.shed_targets is None or target.number < shape.shed_targets
        return is_affected and shape.shed_from_s <= self.now < shape.shed_until_s

    def _start_work(
        self, request: _Request, target: _Target, report_outcome: Callable[[AttemptOutcome], None]
    ) -> None:
        if self.now > request.arrived_at + self.shape.deadline_s:
            report_outcome(AttemptOutcome.SHED)
            return
        target.running += 1
        self.result.waits_s.append(self.now - request.arrived_at)
        fails = target.rng.random() < self.shape.error_share
        outcome = AttemptOutcome.FAILED if fails else AttemptOutcome.ANSWERED

        def finish() -> None:
            target.running -= 1
            if target.queue:
                target.queue.popleft()()
            report_outcome(outcome)

        self.schedule(request.work_s, finish)

    def _handle_outcome(
        self,
        request: _Request,
        slot_request: SlotRequest,
        target: _Target,
        outcome: AttemptOutcome,
        sent_at: float,
    ) -> None:
        report = AttemptReport(
            slot_request.id,
            target.entry.name,
            outcome,
            self.now - sent_at,
            slot_request.fingerprint,
        )
        self._policy.record_attempt(report, request.host)
        latency_s = self.now - request.arrived_at
        if outcome is AttemptOutcome.ANSWERED and latency_s <= self.shape.deadline_s:
            if latency_s <= self.shape.goal_s:
                self.result.within_goal += 1
            else:
                self.result.late += 1
            return
        if outcome is AttemptOutcome.SHED and self.shape.resends_shed:
            if target.entry.name not in request.shed_by:
                request.shed_by.append(target.entry.name)
            request.asks_shedders = len(request.sent_to) >= self.shape.max_attempts
            if self.now + 0.05 < request.arrived_at + self.shape.deadline_s:
                self._request_slot(request)
            else:
                self.result.refused += 1
            return
        request.excluded.append(target.entry.name)
        if target.entry.name in request.shed_by:
            request.shed_by.remove(target.entry.name)
        can_retry = self.shape.idempotent or outcome is AttemptOutcome.SHED
        in_time = latency_s < self.shape.deadline_s
        may_send = len(request.sent_to) < self.shape.max_attempts
        if can_retry and in_time and may_send:
            self._request_slot(request)
        elif outcome is AttemptOutcome.SHED:
            self.result.refused += 1
        else:
            self.result.failed += 1

    # Set-up and random values.

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
        target = _Target(
            number, entry, rng, self.shape, unhealthy=rng.random() < self.shape.sick_share
        )
        target.next_change_at = (
            rng.expovariate(1 / target.mean_state_duration_s) if self.shape.sick_share else 0.0
        )
        return target

    def _draw_work_s(self) -> float:
        mean_s, sigma = self.shape.work_s, self.shape.spread
        if sigma is None:
            return self._rng.expovariate(1 / mean_s)
        return self._rng.lognormvariate(math.log(mean_s) - sigma * sigma / 2, sigma)


class _BrokerPolicy:
    """One slot broker for all hosts."""

    def __init__(self, emulator: Emulator, rng: Random) -> None:
        shape = emulator.shape
        bounds = FleetBounds(2.0, 6.0, shape.retry_ratio, 10.0, shape.retry_burst, 3.0, 0.7)
        self._emulator = emulator
        self._broker = SlotBroker(shape.name, bounds, rng)
        self._broker.set_targets(emulator.entries, frozenset(), 0.0)
        self._pending_answers: dict[str, Callable[[Decision], None]] = {}
        emulator.schedule(TICK_INTERVAL_S, self._tick)

    def request_slot(self, slot_request: SlotRequest, answer: Callable[[Decision], None]) -> None:
        """Send a slot request to the broker."""

        def arrive() -> None:
            self._pending_answers[slot_request.id] = answer
            self._deliver([self._broker.request_slot(slot_request, self._emulator.now)])

        self._emulator.schedule(MESSAGE_DELAY_S, arrive)

    def record_attempt(self, report: AttemptReport, host: str) -> None:  # noqa: ARG002
        """Send a report to the broker."""
        emulator = self._emulator
        emulator.schedule(
            MESSAGE_DELAY_S,
            lambda: self._deliver(self._broker.record_attempt(report, emulator.now)),
        )

    def _tick(self) -> None:
        self._deliver(self._broker.tick(self._emulator.now))
        if self._emulator.has_arrivals or self._pending_answers:
            self._emulator.schedule(TICK_INTERVAL_S, self._tick)

    def _deliver(self, decisions: list[Decision]) -> None:
        changes_s = self._emulator.result.shedding_s
        if self._broker.is_shedding != bool(len(changes_s) % 2):
            changes_s.append(self._emulator.now)
        for decision in decisions:
            if isinstance(decision, Grant | Refused):
                answer = self._pending_answers.pop(decision.slot_request_id)
                self._emulator.schedule(MESSAGE_DELAY_S, _make_delivery(answer, decision))


class _PerHostPolicy:
    """Hosts choose targets themselves.

    A host takes the target with the least sum of its unhealthy probability and its requests in
    flight per slot.
    """

    view_lag_s: float | None = None  # None: each host has a view of its own requests only.

    def __init__(self, emulator: Emulator, rng: Random) -> None:
        self._emulator = emulator
        self._rng = rng
        self._in_flight: Counter[tuple[str, str]] = Counter()
        self._health_by_view: dict[tuple[str, str], HealthEstimate] = {}

    def request_slot(self, slot_request: SlotRequest, answer: Callable[[Decision], None]) -> None:
        """Grant the best target at once."""
        now = self._emulator.now
        view = self._view_of(slot_request.host)
        eligible = [
            entry for entry in self._emulator.entries if entry.name not in slot_request.excluded
        ]
        best = min(
            eligible,
            key=lambda entry: (
                self._health(view, entry.name).unhealthy_at(now)
                + self._in_flight[view, entry.name] / entry.slots
                + 0.01 * self._rng.random()
            ),
        )
        self._update_view(
            slot_request.host, lambda updated: self._add_in_flight(updated, best.name, 1)
        )
        answer(Grant(slot_request.id, slot_request.host, best.name, 0.0, 0.0))

    def record_attempt(self, report: AttemptReport, host: str) -> None:
        """Update the views with an outcome."""

        def update(view: str) -> None:
            self._add_in_flight(view, report.target, -1)
            self._health(view, report.target).observe(report.outcome, self._emulator.now)

        self._update_view(host, update)

    def _view_of(self, host: str) -> str:
        return host if self.view_lag_s is None else "all"

    def _update_view(self, host: str, update: Callable[[str], None]) -> None:
        if self.view_lag_s is None:
            update(host)
        else:
            self._emulator.schedule(self.view_lag_s, lambda: update("all"))

    def _add_in_flight(self, view: str, target: str, change: int) -> None:
        self._in_flight[view, target] += change

    def _health(self, view: str, target: str) -> HealthEstimate:
        return self._health_by_view.setdefault((view, target), HealthEstimate())


class _SharedViewPolicy(_PerHostPolicy):
    """The same choice, but all hosts share one view that lags behind."""

    view_lag_s = SHARED_VIEW_LAG_S


_POLICIES: Final[dict[str, Callable[[Emulator, Random], AssignmentPolicy]]] = {
    "blind": _PerHostPolicy,
    "told": _SharedViewPolicy,
    "broker": _BrokerPolicy,
}


def _make_delivery(answer: Callable[[Decision], None], decision: Decision) -> Callable[[], None]:
    return lambda: answer(decision)
