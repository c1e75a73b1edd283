"""Admission control for one service at one node: concurrency, queue, deadlines and fair shares.

The concurrency limit adapts by additive increase and multiplicative decrease (AIMD).  It changes
at most once per round, which is as many releases as the limit.  It grows by one if the limit was
reached and latencies stayed near the lowest recent level.  It shrinks if targets shed or timed
out, or if the mean latency exceeds QUEUEING_RATIO times the base latency, a sign of queueing.

Requests above the limit wait in a bounded queue in weighted fair order.  A request is refused
immediately, without being run, if its predicted answer time exceeds its deadline, or if the queue
is full and it can't evict a request of a class or account that is further over its share.

Fleet-wide account limits are split equally over the nodes assigned to the service.  An account
whose callers use only j of n assigned nodes therefore gets only j/n of its limit.
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
BASE_LATENCY_DRIFT: Final = 1.01  # Per round, so that the base follows a lasting rise.
LATENCY_SMOOTHING: Final = 0.05


class TicketState(Enum):
    """State of a request that was admitted or queued."""

    WAITING = "waiting"
    GRANTED = "granted"
    EVICTED = "pushed out"
    CLOSED = "closed"


@dataclass(eq=False)
class AdmissionTicket:
    """A request that was admitted or is queued.

    Invariant: `settled` is set if and only if `state` is no longer WAITING.
    """

    account: str
    account_class: AccountClass
    deadline_at: float
    state: TicketState = TicketState.WAITING
    settled: threading.Event = field(default_factory=threading.Event)

    def settle(self, state: TicketState) -> None:
        """Set the final state of the wait and wake up the waiting thread."""
        self.state = state
        self.settled.set()


@dataclass(frozen=True)
class Refusal:
    """Refusal of a request, which was not run, with the reason."""

    code: ErrorCode


class AdaptiveLimit:
    """AIMD concurrency limit of one service; see the module docstring.

    Invariant: MIN_LIMIT <= limit <= MAX_LIMIT.
    """

    def __init__(self) -> None:
        """Create a limit at its initial value."""
        self._limit = INITIAL_LIMIT
        self._base_latency_s = 0.0
        self._mean_latency_s = 0.0
        self._round_releases = 0
        self._round_peak_in_flight = 0
        self._overloaded = False

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        return int(self._limit)

    @property
    def mean_latency_s(self) -> float:
        """Smoothed latency in seconds; 0 before the first answer."""
        return self._mean_latency_s

    def record(self, latency_s: float, ok: bool, in_flight: int) -> None:
        """Record the end of a request; `ok` is False when the target shed or timed out.

        `latency_s` is ignored unless `ok`; `in_flight` includes the request.
        """
        self._round_releases += 1
        self._round_peak_in_flight = max(self._round_peak_in_flight, in_flight)
        if ok:
            weight = LATENCY_SMOOTHING if self._mean_latency_s else 1.0
            self._mean_latency_s += weight * (latency_s - self._mean_latency_s)
        else:
            self._overloaded = True
        if self._round_releases >= self._limit:
            self._end_round()

    def _end_round(self) -> None:
        if self._mean_latency_s:
            drifted_base_s = self._base_latency_s * BASE_LATENCY_DRIFT or self._mean_latency_s
            self._base_latency_s = min(drifted_base_s, self._mean_latency_s)
        queueing = self._mean_latency_s > QUEUEING_RATIO * self._base_latency_s
        if self._overloaded or queueing:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
        elif self._round_peak_in_flight >= self.limit:
            self._limit = min(MAX_LIMIT, self._limit + 1)
        self._round_releases = 0
        self._round_peak_in_flight = 0
        self._overloaded = False


class ServiceAdmission:
    """Admission control for one service at one node; thread-safe.

    Invariants: when a ticket is granted, the unreleased granted tickets don't exceed the limit; at
    most `queue_limit` tickets wait.
    """

    def __init__(self, settings: ServiceSettings, clock: Clock) -> None:
        """Create the admission control of a service from its merged settings."""
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._limit = AdaptiveLimit()
        self._in_flight = 0
        self._queue: FairQueue[AdmissionTicket] = FairQueue()
        self._account_limiter = RateLimiter(settings.account_requests_per_s, settings.fan_in, clock)

    @property
    def limit(self) -> int:
        """Current concurrency limit."""
        return self._limit.limit

    @property
    def in_flight(self) -> int:
        """Number of granted tickets that haven't been released."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of tickets in the queue."""
        return len(self._queue)

    def update(self, settings: ServiceSettings, assigned_nodes: int) -> None:
        """Apply new settings and the number of nodes assigned to the service."""
        with self._lock:
            self._settings = settings
            self._account_limiter.update(settings.account_requests_per_s, assigned_nodes)

    def try_admit(
        self, account: str, account_class: AccountClass, deadline_s: float
    ) -> AdmissionTicket | Refusal:
        """Admit, queue or refuse a request that must be answered in `deadline_s` seconds.

        Doesn't block.  The caller passes a ticket in state WAITING to `wait` next, and must
        release every ticket that is granted.
        """
        with self._lock:
            if not self._account_limiter.try_acquire(account):
                return Refusal(errorcodes.ACCOUNT_LIMITED)
            ticket = AdmissionTicket(account, account_class, self._clock.now() + deadline_s)
            if self._cannot_meet_deadline(deadline_s):
                return Refusal(errorcodes.DEADLINE_TOO_SHORT)
            if self._in_flight < self._limit.limit and not len(self._queue):
                self._grant(ticket)
                return ticket
            if self._predicted_answer_time_s() > deadline_s:
                return Refusal(errorcodes.DEADLINE_TOO_SHORT)
            if not self._make_room(ticket):
                return Refusal(errorcodes.OVERLOADED)
            self._queue.push(account, account_class, ticket)
            return ticket

    def wait(self, ticket: AdmissionTicket) -> Refusal | None:
        """Block until the ticket is granted, evicted or past its deadline.

        Returns None if it was granted, otherwise the refusal: OVERLOADED if it was evicted, else
        DEADLINE_TOO_SHORT.
        """
        while ticket.state is TicketState.WAITING:
            remaining_s = ticket.deadline_at - self._clock.now()
            if remaining_s <= 0 or not ticket.settled.wait(remaining_s):
                self.abandon(ticket)
        if ticket.state is TicketState.GRANTED:
            return None
        was_evicted = ticket.state is TicketState.EVICTED
        return Refusal(errorcodes.OVERLOADED if was_evicted else errorcodes.DEADLINE_TOO_SHORT)

    def abandon(self, ticket: AdmissionTicket) -> None:
        """Close a ticket that is still queued; a ticket already granted stays granted."""
        with self._lock:
            if ticket.state is TicketState.WAITING:
                self._queue.remove(ticket.account, ticket.account_class, ticket)
                ticket.settle(TicketState.CLOSED)

    def release(self, ticket: AdmissionTicket, latency_s: float, ok: bool) -> None:
        """Release a granted ticket and grant queued ones; does nothing if it isn't granted.

        `latency_s` is the time that the target took, in seconds.  `ok` is False only if the target
        shed or timed out, because other failures don't indicate load.
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
        """Grant queued tickets up to the limit, and close those that can't meet their deadline."""
        while self._in_flight < self._limit.limit:
            ticket = self._queue.pop()
            if ticket is None:
                return
            if ticket.deadline_at - self._clock.now() < self._limit.mean_latency_s / 2:
                ticket.settle(TicketState.CLOSED)
                continue
            self._grant(ticket)

    def _cannot_meet_deadline(self, deadline_s: float) -> bool:
        # A request is admitted while nothing is in flight.  Otherwise a mean latency that was high
        # once would never be updated, and every request would be refused forever.
        too_short = deadline_s < self._limit.mean_latency_s / 2
        return deadline_s <= 0 or (too_short and self._in_flight > 0)

    def _predicted_answer_time_s(self) -> float:
        rounds = 1 + (len(self._queue) + 1) / max(1, self._limit.limit)
        return rounds * self._limit.mean_latency_s

    def _make_room(self, ticket: AdmissionTicket) -> bool:
        if len(self._queue) < self._settings.queue_limit:
            return True
        evicted = self._queue.evict(ticket.account, ticket.account_class)
        if evicted is None:
            return False
        evicted.settle(TicketState.EVICTED)
        return True
