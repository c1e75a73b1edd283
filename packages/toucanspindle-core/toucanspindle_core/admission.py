"""Admits requests of one service at one node: concurrency, queue, deadlines, fair shares.

The concurrency limit adapts by additive increase and multiplicative decrease: once a round (as
many releases as the limit), it grows by one when the limit was in use and latencies stayed near
the lowest level seen lately, and shrinks when targets shed or timed out, or when latencies say
that more than a share of the time is spent queueing.  Requests beyond the limit wait in a bounded
queue in weighted fair order.  A request whose predicted wait passes its deadline, and one that
finds the queue full of requests with a better claim, is refused at once: it was not run.

Account limits hold for the fleet by an equal split over the service's assigned nodes.  Limit of
this: an account whose callers use j of n assigned nodes gets j/n of its limit.
"""

import threading
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.errorcodes import ErrorCode
from toucanspindle_core.fairshare import FairQueue
from toucanspindle_core.fleetconfig import ServiceSettings
from toucanspindle_core.policy import AccountClass
from toucanspindle_core.ratelimit import RateLimiter

INITIAL_LIMIT: Final = 8.0
MIN_LIMIT: Final = 2.0
MAX_LIMIT: Final = 512.0
DECREASE_FACTOR: Final = 0.85
QUEUEING_RATIO: Final = 2.0
BASE_LATENCY_DRIFT: Final = 1.01
LATENCY_SMOOTHING: Final = 0.05


class TicketState(Enum):
    """Where an admitted request stands."""

    WAITING = "waiting"
    GRANTED = "granted"
    PUSHED_OUT = "pushed out"
    CLOSED = "closed"


@dataclass(eq=False)
class AdmissionTicket:
    """One request that was admitted or waits.

    Invariant: `settled` is set exactly when `state` isn't WAITING any more.
    """

    account: str
    account_class: AccountClass
    deadline_at: float
    state: TicketState = TicketState.WAITING
    settled: threading.Event = field(default_factory=threading.Event)

    def settle(self, state: TicketState) -> None:
        """End the wait."""
        self.state = state
        self.settled.set()


@dataclass(frozen=True)
class Refusal:
    """A request that isn't run, and why."""

    code: ErrorCode


class AdaptiveLimit:
    """Concurrency limit that follows what the service bears.

    Invariant: MIN_LIMIT <= limit <= MAX_LIMIT.
    """

    def __init__(self) -> None:
        """Create a limit at its initial value."""
        self._limit = INITIAL_LIMIT
        self._base_s = 0.0
        self._mean_s = 0.0
        self._round = 0
        self._round_peak = 0
        self._overloaded = False

    @property
    def limit(self) -> int:
        """Requests that may be in flight."""
        return int(self._limit)

    @property
    def mean_latency_s(self) -> float:
        """Smoothed latency in seconds; 0 before the first answer."""
        return self._mean_s

    def record(self, latency_s: float, ok: bool, in_flight: int) -> None:
        """Count an answer; `ok` is False when the target shed or timed out."""
        self._round += 1
        self._round_peak = max(self._round_peak, in_flight)
        if ok:
            weight = LATENCY_SMOOTHING if self._mean_s else 1.0
            self._mean_s += weight * (latency_s - self._mean_s)
        else:
            self._overloaded = True
        if self._round >= self._limit:
            self._end_round()

    def _end_round(self) -> None:
        if self._mean_s:
            drifted = self._base_s * BASE_LATENCY_DRIFT or self._mean_s
            self._base_s = min(drifted, self._mean_s)
        queueing = self._mean_s > QUEUEING_RATIO * self._base_s
        if self._overloaded or queueing:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
        elif self._round_peak >= self.limit:
            self._limit = min(MAX_LIMIT, self._limit + 1)
        self._round = 0
        self._round_peak = 0
        self._overloaded = False


class ServiceAdmission:
    """Admission of one service at one node; safe for use by several threads.

    Invariants: granted tickets that aren't released never exceed the limit at the time of their
    grant; at most `queue_limit` tickets wait.
    """

    def __init__(self, settings: ServiceSettings, clock: Clock) -> None:
        """Create the admission of a service from its merged settings."""
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._limit = AdaptiveLimit()
        self._in_flight = 0
        self._queue: FairQueue[AdmissionTicket] = FairQueue()
        self._accounts = RateLimiter(settings.account_requests_per_s, settings.fan_in, clock)

    @property
    def limit(self) -> int:
        """Present concurrency limit."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Granted tickets that aren't released."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Tickets in the queue."""
        return len(self._queue)

    def update(self, settings: ServiceSettings, assigned_nodes: int) -> None:
        """Take over new settings and the number of nodes that the service is assigned to."""
        with self._lock:
            self._settings = settings
            self._accounts.update(settings.account_requests_per_s, assigned_nodes)

    def try_admit(
        self, account: str, account_class: AccountClass, deadline_s: float
    ) -> AdmissionTicket | Refusal:
        """Admit a request that must be answered in `deadline_s` seconds, without waiting.

        A ticket in state WAITING goes to `wait` next; each ticket that was granted must be
        released.
        """
        with self._lock:
            if not self._accounts.try_take(account):
                return Refusal(errorcodes.ACCOUNT_LIMITED)
            ticket = AdmissionTicket(account, account_class, self._clock.now() + deadline_s)
            if self._comes_too_late(deadline_s):
                return Refusal(errorcodes.DEADLINE_TOO_SHORT)
            if self._in_flight < self._limit.limit and not len(self._queue):
                self._grant(ticket)
                return ticket
            if self._predicted_answer_s() > deadline_s:
                return Refusal(errorcodes.DEADLINE_TOO_SHORT)
            if not self._make_room(ticket):
                return Refusal(errorcodes.OVERLOADED)
            self._queue.push(account, account_class, ticket)
            return ticket

    def wait(self, ticket: AdmissionTicket) -> Refusal | None:
        """Block until the ticket is granted (None), or is refused."""
        while ticket.state is TicketState.WAITING:
            remaining_s = ticket.deadline_at - self._clock.now()
            if remaining_s <= 0 or not ticket.settled.wait(remaining_s):
                self.abandon(ticket)
        if ticket.state is TicketState.GRANTED:
            return None
        pushed_out = ticket.state is TicketState.PUSHED_OUT
        return Refusal(errorcodes.OVERLOADED if pushed_out else errorcodes.DEADLINE_TOO_SHORT)

    def abandon(self, ticket: AdmissionTicket) -> None:
        """Close a ticket that still waits; one that was granted meanwhile stays granted."""
        with self._lock:
            if ticket.state is TicketState.WAITING:
                self._queue.remove(ticket.account, ticket.account_class, ticket)
                ticket.settle(TicketState.CLOSED)

    def release(self, ticket: AdmissionTicket, latency_s: float, ok: bool) -> None:
        """End a granted request.

        `latency_s` is the time at the target in seconds; `ok` is False only when the target shed
        or timed out, since a wrong answer says nothing about the load.
        """
        with self._lock:
            if ticket.state is not TicketState.GRANTED:
                return
            ticket.state = TicketState.CLOSED
            self._limit.record(latency_s, ok, self._in_flight)
            self._in_flight -= 1
            self._grant_waiting()

    def _grant(self, ticket: AdmissionTicket) -> None:
        self._in_flight += 1
        ticket.settle(TicketState.GRANTED)

    def _grant_waiting(self) -> None:
        while self._in_flight < self._limit.limit:
            ticket = self._queue.pop()
            if ticket is None:
                return
            if ticket.deadline_at - self._clock.now() < self._limit.mean_latency_s / 2:
                ticket.settle(TicketState.CLOSED)
                continue
            self._grant(ticket)

    def _comes_too_late(self, deadline_s: float) -> bool:
        # With nothing in flight the request goes ahead, or a mean latency that was once high
        # could refuse every request for ever.
        hopeless = deadline_s < self._limit.mean_latency_s / 2
        return deadline_s <= 0 or (hopeless and self._in_flight > 0)

    def _predicted_answer_s(self) -> float:
        turns = 1 + (len(self._queue) + 1) / max(1, self._limit.limit)
        return turns * self._limit.mean_latency_s

    def _make_room(self, ticket: AdmissionTicket) -> bool:
        if len(self._queue) < self._settings.queue_limit:
            return True
        evicted = self._queue.push_out(ticket.account, ticket.account_class)
        if evicted is None:
            return False
        evicted.settle(TicketState.PUSHED_OUT)
        return True
