"""Slot scheduling for one service: assigns the requests of all hosts to the service's targets.

Every host requests a slot from the service's broker before it sends a request to a target, and
reports the outcome of the attempt.  The broker therefore sees all slots in use, all outcomes and
all retries.  Its state is soft: a new broker rebuilds it from the reports of the hosts
(`adopt_leases`, `adopt_result`).  Its retry budget is what the hosts deposit with their requests.

The broker grants the free slot of least expected cost.  The cost adds up the probability that the
target is unhealthy, its utilization, its slowness, and surcharges for another failure domain, for
warm-up and for an unconfirmed registration.  When no suitable slot is free, the request waits in a
queue ordered by priority and arrival.  The broker refuses a request at once when the expected wait
is longer than the request may wait.  While targets shed requests, retries are held back and sent
as `sheddingcontrol` decides.
"""

import dataclasses
import random
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final

from toucanspindle_entry.broker.activetargetfloor import ActiveTargetFloor
from toucanspindle_entry.broker.failuretimes import FailureTimes
from toucanspindle_entry.broker.fleetretrybudget import FleetRetryBudget
from toucanspindle_entry.broker.hedging import HedgePolicy
from toucanspindle_entry.broker.poisontracker import PoisonTracker
from toucanspindle_entry.broker.retrycredit import BURST_SHARE
from toucanspindle_entry.broker.sheddingcontrol import SheddingControl
from toucanspindle_entry.broker.slotlease import LEASE_GRACE_S, Lease
from toucanspindle_entry.broker.slotqueue import PendingRequest, SlotQueue
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    Queued,
    RefusalReason,
    Refused,
    SlotRequest,
)
from toucanspindle_entry.broker.targetcandidates import TargetCandidates
from toucanspindle_entry.broker.targetchoice import AVOID_MIN_UNHEALTHY, TargetChoice, is_eligible
from toucanspindle_entry.broker.targetlimits import TargetLimits
from toucanspindle_entry.broker.targetrecord import TargetRecord
from toucanspindle_entry.model import TargetEntry
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.targets.targethealth import (
    ANSWER_AFTER_SETTLED_RATIO,
    OVERDUE_LIKELIHOOD_RATIO,
    SETTLED_LIKELIHOOD_RATIO,
    AttemptOutcome,
)
from toucanspindle_entry.targets.targetnotices import TargetNotice

# Outcomes of which unhealthy targets bring about many soon after the request arrives.
FAST_OUTCOMES: Final = frozenset({AttemptOutcome.FAILED, AttemptOutcome.CONNECTION_LOST})
# Outcomes that don't show a target failing by itself.
HARMLESS_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.ANSWERED,
        AttemptOutcome.SHED,
        AttemptOutcome.WITHDRAWN,
        AttemptOutcome.CANCELLED,
    }
)
INITIAL_WORK_S: Final = 0.3  # Assumed time of an attempt before the first answer.
INITIAL_WORK_WEIGHT: Final = 4  # In answers; the first answers to arrive are the shortest ones.
WORK_SMOOTHING: Final = 0.05  # Smoothing factor of the mean; averages about 20 answers.
SLOWNESS_SMOOTHING: Final = 0.06  # Smoothing factor of a target's slowness.
# Work times are long-tailed, so a single long one is weak evidence of a slow target.
MAX_RELATIVE_WORK: Final = 5.0  # Multiples of the mean work time.
OVERDUE_WORK_TIMES: Final = 5.0  # A longer attempt is evidence that the target is unhealthy.
SHED_PAUSE_S: Final = 0.02  # The broker skips a target for this long after it shed a request.
CONNECT_FAILED_PAUSE_S: Final = 1.0  # The same after a failed connect or a misdirected request.
LATE_WAIT_SHARE: Final = 0.25  # Share of its remaining time that a late request may wait.
MAX_QUEUE_LENGTH: Final = 2000
# Queued requests in a row that no free target suits before a search for grants ends.  The periodic
# work searches the whole queue.
MAX_PASSED_OVER: Final = 16
# A duplicate of a slot request may arrive this long after the request has ended or was refused.
ENDED_REQUEST_MEMORY_S: Final = 2.0
MIN_RETRY_AFTER_S: Final = 0.2
MAX_REJECTED_BEFORE: Final = 1000  # Rejected requests counted from one slot request.


class SlotBroker:
    """Grants, queues and refuses the slot requests for one service.

    All times are seconds of the owner's clock, passed in as `now`.

    Invariant: a target has at most as many leases as slots, not counting leases adopted from hosts.
    """

    def __init__(
        self,
        service: str,
        bounds: FleetBounds,
        rng: random.Random,
        poison_tracker: PoisonTracker | None = None,
    ) -> None:
        """Create a broker without targets and with an empty retry budget, for a single host.

        `poison_tracker` is shared by the brokers of a host; without it the broker has its own.
        """
        self.service = service
        self._rng = rng
        self._targets: dict[str, TargetRecord] = {}
        self._leases: dict[str, Lease] = {}
        self._queue = SlotQueue()
        self._retry_budget = FleetRetryBudget(
            bounds.retry_ratio, bounds.retry_burst, bounds.retry_window_s, rng
        )
        # The usual rule grants at most the ratio of the later requests and what hosts create of the
        # burst, so earlier retries up to the rest of the burst can't exceed the bound with it.
        self._max_usual_retries = bounds.retry_burst * (1 - BURST_SHARE)
        self._adopted_retries = 0
        self._adopted_until = float("-inf")
        self._shedding = SheddingControl(bounds.retry_ratio, bounds.retry_window_s)
        self._active_floor = ActiveTargetFloor(bounds.floor_share)
        self._mean_work_s = INITIAL_WORK_S
        self._answer_count = 0
        self._poison_tracker = poison_tracker or PoisonTracker()
        self._limits = TargetLimits(rng)
        self._candidates = TargetCandidates(self._limits, self._active_floor, rng)
        self._choice = TargetChoice(self._candidates, self._active_floor)
        self._hedging = HedgePolicy(bounds.hedge_share)
        self._failure_times = FailureTimes()
        self._unsettled: deque[tuple[float, str]] = deque()  # Time of the grant, slot request id.
        self._ended_at: dict[str, float] = {}
        self._refusals: dict[str, tuple[float, Refused]] = {}
        self._evicted: list[Decision] = []  # Refusals that are told at the next tick.

    @property
    def slots_in_use(self) -> int:
        """Number of leases, that is of slots granted and not yet released."""
        return len(self._leases)

    @property
    def retry_credit(self) -> float:
        """Number of retries that the retry budget allows at once."""
        return self._retry_budget.credit

    @property
    def queue_length(self) -> int:
        """Number of queued slot requests, with the retries that are held back."""
        return len(self._queue) + len(self._shedding)

    @property
    def is_shedding(self) -> bool:
        """Whether the targets of the service shed requests, as of the last call."""
        return self._shedding.is_shedding

    @property
    def shed_share(self) -> float:
        """The smoothed share of the attempts that are shed."""
        return self._shedding.shed_share

    @property
    def held_retries(self) -> int:
        """Number of retries that are held back."""
        return len(self._shedding)

    def saved_retries(self, now: float) -> float:
        """Return the number of retries that the budget's window allows."""
        return self._retry_budget.window.balance(now)

    @property
    def has_limited_targets(self) -> bool:
        """Whether any target has limited its requests."""
        return bool(self._limits)

    @property
    def mean_work_s(self) -> float:
        """Exponentially smoothed time of an answered attempt, in seconds."""
        return self._mean_work_s

    def forget_saved_credit(self) -> None:
        """Forget the retry credit that was saved up, at a takeover.

        A host that was suspended reads credit that hosts created long before.
        """
        self._retry_budget.window.forget_deposits()

    def set_fleet_size(self, fleet_size: int | None) -> None:
        """Set the number of hosts that share the retry budget, or None while it isn't known."""
        self._retry_budget.set_fleet_size(fleet_size)

    def set_limit_share(self, share: float, now: float) -> None:
        """Set the share of each target's limit that this broker may grant, from 0 to 1."""
        self._limits.set_share(share, now)

    def take_limited_grants(self) -> list[tuple[TargetNotice, int]]:
        """Return the grants of limited targets since the last call, for the other brokers."""
        return self._limits.take_granted()

    def debit_limited_grants(self, notice: TargetNotice, count: int, now: float) -> None:
        """Count grants of another broker against the limit that it knows."""
        self.adopt_notice(notice, now)
        self._limits.debit(notice.target, notice.started_ms, count, now)

    def unhealthy_probabilities(self, now: float) -> dict[str, float]:
        """Return the probability that each registered target is unhealthy, by target name."""
        return {name: record.health.unhealthy_at(now) for name, record in self._targets.items()}

    def unhealthy_probability(self, target: str, now: float) -> float:
        """Return the probability that a target is unhealthy; 0 for an unregistered target."""
        record = self._targets.get(target)
        return record.health.unhealthy_at(now) if record else 0.0

    def set_targets(
        self, entries: Iterable[TargetEntry], unconfirmed: frozenset[str], now: float
    ) -> list[Decision]:
        """Replace the service's registered targets; return the grants that became possible.

        `unconfirmed` names targets whose entry lapsed during a store outage.  A target with a new
        `started_ms` is a new incarnation and starts without history.
        """
        previous = self._targets
        self._targets = {}
        for entry in entries:
            record = previous.get(entry.name)
            if record is None or record.entry.started_ms != entry.started_ms:
                record = TargetRecord(entry, warmed_up_at=now + entry.warmup_s)
                record.health.updated_at = now
                if previous:
                    record.joined_at = now
            record.entry = entry
            record.is_confirmed = entry.name not in unconfirmed
            self._targets[entry.name] = record
        for lease_id, lease in self._leases.items():
            if lease.target in self._targets:
                self._targets[lease.target].add_lease(lease_id, lease.body_bytes)
        self._active_floor.retain_targets(self._targets)
        self._limits.retain((name, r.entry.started_ms) for name, r in self._targets.items())
        self._candidates.set_records(self._targets)
        return self._refuse_without_target(now) + self.grant_queued(now)

    def request_slot(self, slot_request: SlotRequest, now: float) -> Decision:
        """Grant, queue or refuse a slot request.

        The call is idempotent: a resent request gets the grant, queue place or refusal that it
        already has, and deposits its retry credit only once.
        """
        lease = self._leases.get(slot_request.id)
        if lease is not None:
            return self._make_grant(slot_request, lease.target, now)
        if slot_request.id in self._queue or slot_request.id in self._shedding:
            return Queued(slot_request.id, slot_request.host)
        if slot_request.id in self._ended_at:
            # This is a delayed duplicate; its host no longer waits for an answer.
            return Refused(slot_request.id, slot_request.host, RefusalReason.TOO_LATE, 0.0)
        if slot_request.id in self._refusals:
            return self._refusals[slot_request.id][1]
        self._retry_budget.deposit(slot_request.retry_credit, slot_request.host, now)
        rejected = min(slot_request.rejected_before, MAX_REJECTED_BEFORE)
        self._active_floor.record_rejected(rejected, now)
        decision = self._decide(slot_request, now)
        if isinstance(decision, Refused):
            self._remember_refusal(decision, now)
        return decision

    def _decide(self, slot_request: SlotRequest, now: float) -> Decision:
        """Decide on a slot request that isn't a duplicate."""
        self._settle_leases(now)
        if slot_request.is_hedge:
            return self._decide_hedge(slot_request, now)
        refusal = self._check_admission(slot_request, now)
        if refusal is not None:
            self._active_floor.record_request_end(True, now)
            return refusal
        pending = PendingRequest(
            slot_request, now, now + slot_request.time_left_s, now + slot_request.goal_left_s
        )
        if slot_request.is_retry and self._shedding.saves_credit(now):
            return self._send_or_hold(pending, now)
        if not self._queue.has_as_urgent(slot_request):
            self._candidates.refresh(now)
            target = self._choice.choose(pending, self._mean_work_s, now)
            if target is not None:
                self._queue.charge(slot_request, self._mean_work_s)
                return self._grant(pending, target, now)
        return self._enqueue_or_refuse(pending, now)

    def _decide_hedge(self, slot_request: SlotRequest, now: float) -> Decision:
        """Grant a hedge a free slot of a healthy target, or refuse it; it never waits."""
        refusal = self._check_admission(dataclasses.replace(slot_request, is_retry=False), now)
        if refusal is not None:
            return refusal
        is_allowed = self._hedging.may_hedge(
            waiting=self.queue_length,
            is_shedding=self._shedding.saves_credit(now),
            retry_credit=self._retry_budget.credit if self._retry_budget.has_credit(now) else 0.0,
            now=now,
        )
        if not is_allowed:
            return Refused(
                slot_request.id, slot_request.host, RefusalReason.RETRY_BUDGET_EXHAUSTED, 0.0
            )
        self._candidates.refresh(now)
        best = self._candidates.cheapest(
            slot_request.failure_domain, slot_request.excluded, slot_request.body_bytes
        )
        if best is None or best.unhealthy_probability > AVOID_MIN_UNHEALTHY:
            return Refused(slot_request.id, slot_request.host, RefusalReason.OVERLOADED, 0.0)
        self._hedging.record_hedge(now)
        pending = PendingRequest(
            slot_request, now, now + slot_request.time_left_s, now + slot_request.goal_left_s
        )
        return self._grant(pending, best.record, now)

    def record_attempt(self, report: AttemptReport, now: float) -> list[Decision]:
        """Release an attempt's slot and learn from its outcome; return new grants.

        A report also removes its slot request from the queue.
        """
        self._settle_leases(now)
        self._remember_ended(report.slot_request_id, now)
        # The report names no target if the host withdrew the request without knowing of the grant.
        lease = self._release_lease(report.slot_request_id, now)
        has_connect_failed = report.outcome is AttemptOutcome.CONNECT_FAILED
        if lease and lease.retry_credit_at is not None and has_connect_failed:
            # No target has seen this retry.
            self._retry_budget.refund(lease.retry_credit_at, lease.granted_at, now)
        self._queue.remove(report.slot_request_id)
        self._shedding.remove(report.slot_request_id)
        record = self._targets.get(report.target)
        is_evidence = lease is not None or report.outcome is not AttemptOutcome.WITHDRAWN
        if record is not None and is_evidence:
            utilization = len(record.leases) / max(1, record.entry.slots)
            self._shedding.record_outcome(report, utilization, now)
            self._update_target(record, report, lease is not None and lease.is_settled, now)
            self._candidates.update(record, now)
        if report.notice is not None:
            self.adopt_notice(report.notice, now)
        self._record_floor_result(report, lease, now)
        return self.grant_queued(now)

    def adopt_leases(
        self,
        host: str,
        leases: Iterable[tuple[str, str, float, str]],
        now: float,
        body_bytes: Mapping[str, int] | None = None,
    ) -> None:
        """Adopt a host's attempts in progress from an earlier broker.

        Each lease is (slot request id, target, seconds left, fingerprint).  Known ids are skipped.
        `body_bytes` holds the sizes of the bodies by slot request id.
        """
        for slot_request_id, target, time_left_s, fingerprint in leases:
            if slot_request_id in self._leases:
                continue
            expires_at = now + time_left_s + LEASE_GRACE_S
            lease = Lease(host, target, now, expires_at, fingerprint)
            lease.body_bytes = (body_bytes or {}).get(slot_request_id, 0)
            self._leases[slot_request_id] = lease
            if target in self._targets:
                self._targets[target].add_lease(slot_request_id, lease.body_bytes)
        self._candidates.invalidate()

    def adopt_result(self, target: str, outcome: AttemptOutcome, observed_at: float) -> None:
        """Learn from an outcome that a host observed before this broker took over.

        An outcome more than 1 s older than the target's estimate is ignored.
        """
        record = self._targets.get(target)
        if record is not None and observed_at > record.health.updated_at - 1:
            record.health.observe(outcome, max(observed_at, record.health.updated_at))
            self._candidates.invalidate()

    def adopt_retries(self, count: int, sent_at: float) -> None:
        """Count retries that a host sent before this broker took over.

        If there are more than the usual rule leaves room for, the earlier broker may have spent
        saved credit, so the rule of the window applies until a window after the newest.
        """
        self._retry_budget.window.adopt_spent(count, sent_at)
        self._adopted_retries += count
        self._adopted_until = max(self._adopted_until, sent_at)
        if self._adopted_retries > self._max_usual_retries:
            self._shedding.adopt_sent(self._adopted_until)

    def adopt_notice(self, notice: TargetNotice, now: float) -> None:
        """Heed what a target said of itself to any host; ignore another incarnation's notice."""
        self._limits.adopt(notice, now)
        record = self._targets.get(notice.target)
        if record is None or record.entry.started_ms != notice.started_ms:
            return
        # An earlier response may be reported later, so only a restart ends the leaving.
        if notice.is_leaving and not record.is_leaving:
            record.is_leaving = True
            self._candidates.update(record, now)
            self._evicted += self._refuse_without_target(now)

    def clear_leases(self, now: float) -> None:
        """Drop all leases, before they are adopted again from the hosts."""
        self._leases.clear()
        self._retry_budget.window.forget_spent()
        self._adopted_retries = 0
        self._adopted_until = float("-inf")
        self._limits.forget_savings(now)
        for record in self._targets.values():
            record.clear_leases()
        self._candidates.invalidate()

    def release_host(self, host: str, now: float) -> list[Decision]:
        """Release the slots and queued requests of a host that has ended; return new grants."""
        lease_ids = [
            slot_request_id for slot_request_id, lease in self._leases.items() if lease.host == host
        ]
        for slot_request_id in lease_ids:
            self._release_lease(slot_request_id, now)
            self._active_floor.record_request_end(True, now)
        self._queue.remove_host(host)
        self._shedding.remove_host(host)
        return self.grant_queued(now)

    def tick(self, now: float) -> list[Decision]:
        """Do the periodic work; return the decisions that follow from it.

        Expires leases, counts overdue attempts as evidence against their targets, grants free
        slots, and refuses queued requests that can't finish before their deadline.
        """
        self._settle_leases(now)
        for slot_request_id, lease in list(self._leases.items()):
            if now > lease.expires_at:
                # The outcome was never reported; the host has probably ended.
                self._release_lease(slot_request_id, now)
                self._active_floor.record_request_end(True, now)
            elif not lease.is_overdue and now - lease.granted_at > self._overdue_after_s():
                lease.is_overdue = True
                record = self._targets.get(lease.target)
                if record is not None:
                    record.health.apply_likelihood_ratio(OVERDUE_LIKELIHOOD_RATIO, now)
                    self._candidates.update(record, now)
        self._shedding.update(now)
        self._queue.reorder(now, self._mean_work_s)
        decisions = self.grant_queued(now, len(self._queue))
        return decisions + self._refuse_unservable(now)

    def grant_queued(self, now: float, max_passed_over: int = MAX_PASSED_OVER) -> list[Decision]:
        """Grant free slots to queued requests in priority order; return the grants.

        The search ends after `max_passed_over` requests in a row that no free target suits, without
        those that only their body or their allowed targets keep from the free ones.
        """
        if not len(self._queue) and not len(self._shedding):
            return []
        self._candidates.refresh(now)
        return self._grant_waiting(now, max_passed_over) + self._grant_held(now, max_passed_over)

    def _grant_waiting(self, now: float, max_passed_over: int) -> list[Decision]:
        """Grant free slots to the queue."""
        grants: list[tuple[PendingRequest, Grant]] = []
        passed_over = 0
        blocked_bytes = float("inf")  # No target has room for a body of this size.
        for pending in self._queue:
            if not self._candidates.has_free_target or passed_over > max_passed_over:
                break
            if pending.slot_request.is_retry and not self._has_retry_credit(now):
                continue
            slot_request = pending.slot_request
            if slot_request.body_bytes >= blocked_bytes:
                self._queue.set_blocked(slot_request.id, True)
                continue
            target = self._choice.choose(pending, self._mean_work_s, now)
            if target is None:
                is_blocked = self._choice.is_blocked(slot_request)
                self._queue.set_blocked(slot_request.id, is_blocked)
                passed_over += not is_blocked
                if is_blocked and not (slot_request.allowed_targets or slot_request.excluded):
                    blocked_bytes = slot_request.body_bytes
                continue
            passed_over = 0
            grants.append((pending, self._grant(pending, target, now)))
        for pending, _ in grants:
            self._queue.remove_granted(pending.slot_request.id)
        return [grant for _, grant in grants]

    def _send_or_hold(self, pending: PendingRequest, now: float) -> Decision:
        """Send a retry at once if credit may be spent on it, or hold it back.

        After the shedding, those that were held back go first.
        """
        is_next = self._shedding.is_shedding or not len(self._shedding)
        if is_next and not len(self._queue) and self._may_send_retry(now, was_held=False):
            self._candidates.refresh(now)
            target = self._choice.choose(pending, self._mean_work_s, now)
            if target is not None:
                return self._grant(pending, target, now)
        self._shedding.hold(pending)
        return Queued(pending.slot_request.id, pending.slot_request.host)

    def _grant_held(self, now: float, max_passed_over: int) -> list[Decision]:
        """Send retries that are held back, as far as credit and free slots allow.

        When all slots are in use, they join the queue, which shares the slots.
        """
        grants: list[tuple[PendingRequest, Grant]] = []
        queued: list[PendingRequest] = []
        passed_over = 0
        for pending in self._shedding:
            if passed_over > max_passed_over or not self._may_send_retry(
                now, len(queued), was_held=True
            ):
                break
            target = self._choice.choose(pending, self._mean_work_s, now)
            if target is not None:
                grants.append((pending, self._grant(pending, target, now)))
                passed_over = 0
            elif self._candidates.has_free_target or self._shedding.is_shedding:
                passed_over += not self._choice.is_blocked(pending.slot_request)
            else:
                queued.append(pending)
        for pending, _ in grants:
            self._shedding.remove(pending.slot_request.id)
        for pending in queued:
            self._shedding.remove(pending.slot_request.id)
            self._queue.add(pending, now, self._mean_work_s)
        return [grant for _, grant in grants]

    def _may_send_retry(self, now: float, also_waiting: int = 0, *, was_held: bool) -> bool:
        """Return whether saved credit may be spent beside the retries that wait for a slot."""
        window = self._retry_budget.window
        balance = window.balance(now) - self._queue.retries - also_waiting
        return self._shedding.may_send(balance, window.deposited(now), now, was_held=was_held)

    def _has_retry_credit(self, now: float) -> bool:
        """Return whether a retry in the queue may be granted."""
        if self._shedding.saves_credit(now):
            return self._retry_budget.window.balance(now) >= 1
        return self._retry_budget.has_credit(now)

    def _check_admission(self, slot_request: SlotRequest, now: float) -> Refused | None:
        """Return a refusal if the request can't be served at all.

        A retry is admitted if there is credit for it and for the retries in the queue.
        """
        if self._poison_tracker.is_poison(slot_request.fingerprint, now):
            return Refused(slot_request.id, slot_request.host, RefusalReason.POISON, 0.0)
        if slot_request.time_left_s <= 0:
            return Refused(slot_request.id, slot_request.host, RefusalReason.TOO_LATE, 0.0)
        if not any(is_eligible(record, slot_request) for record in self._targets.values()):
            return Refused(
                slot_request.id,
                slot_request.host,
                RefusalReason.NO_TARGET,
                self._retry_after_s(now),
            )
        if (
            slot_request.is_retry
            and not self._shedding.saves_credit(now)
            and not self._retry_budget.may_admit(self._queue.retries, now)
        ):
            return Refused(
                slot_request.id, slot_request.host, RefusalReason.RETRY_BUDGET_EXHAUSTED, 0.0
            )
        return None

    def _enqueue_or_refuse(self, pending: PendingRequest, now: float) -> Decision:
        """Queue a request, or refuse it if the queue is full or the expected wait too long."""
        slot_request = pending.slot_request
        requests_ahead = self._queue.count_ahead_of(pending, now, self._mean_work_s)
        wait_s = (requests_ahead + 1) * self._mean_work_s / max(1.0, self._healthy_slots(now))
        is_full = len(self._queue) >= MAX_QUEUE_LENGTH
        last = self._queue.last() if is_full and self._queue.shares_by_account else None
        if requests_ahead >= len(self._queue):
            last = None
        if (is_full and last is None) or wait_s > self._max_wait_s(slot_request):
            retry_after_s = max(self._retry_after_s(now), wait_s / 2)
            return Refused(
                slot_request.id, slot_request.host, RefusalReason.OVERLOADED, retry_after_s
            )
        if last is not None:
            # The last one is of the account that is furthest above its share.
            self._evicted.append(self._refuse_waiting(last, now))
        self._queue.add(pending, now, self._mean_work_s)
        self._queue.set_blocked(slot_request.id, self._choice.is_blocked(slot_request))
        return Queued(slot_request.id, slot_request.host)

    def _max_wait_s(self, slot_request: SlotRequest) -> float:
        """Return how long a request may be queued, in seconds.

        It may wait as long as it can meet its latency goal.  A request that misses its goal anyway
        may wait for a share of its remaining time.
        """
        return max(
            slot_request.goal_left_s - self._mean_work_s / 2,
            slot_request.time_left_s * LATE_WAIT_SHARE,
        )

    def _refuse_unservable(self, now: float) -> list[Decision]:
        """Remove and refuse queued requests that can't finish before their deadline.

        Where accounts share, those that came later may have gone ahead, so the expected wait is
        checked again.
        """
        decisions, self._evicted = self._evicted, []
        unservable = self._queue.remove_due_before(now + self._mean_work_s / 2)
        unservable += self._shedding.remove_unservable(self._mean_work_s, now)
        if self._queue.shares_by_account:
            wait_per_request_s = self._mean_work_s / max(1.0, self._healthy_slots(now))
            latest_s = now + self._mean_work_s / 2
            ahead = 0  # Those that are kept.
            for pending in self._queue:
                if latest_s + ahead * wait_per_request_s > pending.deadline_at:
                    unservable.append(pending)
                else:
                    ahead += 1
        return decisions + [self._refuse_waiting(pending, now) for pending in unservable]

    def _refuse_without_target(self, now: float) -> list[Decision]:
        """Remove and refuse held retries whose allowed targets have all left."""
        stranded = [
            pending
            for pending in self._shedding
            if pending.slot_request.allowed_targets
            and not any(
                name in self._targets and is_eligible(self._targets[name], pending.slot_request)
                for name in pending.slot_request.allowed_targets
            )
        ]
        for pending in stranded:
            self._shedding.remove(pending.slot_request.id)
        return [self._refuse_waiting(pending, now, RefusalReason.NO_TARGET) for pending in stranded]

    def _refuse_waiting(
        self,
        pending: PendingRequest,
        now: float,
        reason: RefusalReason = RefusalReason.OVERLOADED,
    ) -> Refused:
        """Remove and refuse a request that waits."""
        slot_request = pending.slot_request
        self._queue.remove(slot_request.id)
        refusal = Refused(slot_request.id, slot_request.host, reason, self._retry_after_s(now))
        self._remember_refusal(refusal, now)
        return refusal

    def _grant(self, pending: PendingRequest, record: TargetRecord, now: float) -> Grant:
        slot_request = pending.slot_request
        # Retries are counted when they reach a target, which a queued one does later.
        retry_credit_at = self._spend_retry_credit(now) if slot_request.is_retry else None
        self._shedding.record_grant(slot_request.id, slot_request.is_retry, now)
        if not slot_request.is_retry:
            self._hedging.record_request(now)
        expires_at = pending.deadline_at + LEASE_GRACE_S
        self._leases[slot_request.id] = Lease(
            slot_request.host,
            record.entry.name,
            now,
            expires_at,
            slot_request.fingerprint,
            # A hedge that fails isn't the end of its request either.
            slot_request.can_retry or slot_request.is_hedge,
            retry_credit_at,
            body_bytes=slot_request.body_bytes,
        )
        record.add_lease(slot_request.id, slot_request.body_bytes)
        self._unsettled.append((now, slot_request.id))
        self._limits.take(record.entry.name, record.entry.started_ms, now)
        self._active_floor.record_grant(record.entry.name, now)
        self._candidates.update(record, now)
        retry_wait_s = now - pending.arrived_at if slot_request.is_retry else None
        return self._make_grant(slot_request, record.entry.name, now, retry_wait_s)

    def _spend_retry_credit(self, now: float) -> float:
        """Take the credit of one retry; return when it was deposited, if it wasn't saved."""
        if not self._shedding.saves_credit(now):
            return self._retry_budget.spend(now)
        self._retry_budget.spend_saved(now)
        self._shedding.record_sent(now)
        return now

    def _make_grant(
        self,
        slot_request: SlotRequest,
        target: str,
        now: float,
        retry_wait_s: float | None = None,
    ) -> Grant:
        record = self._targets.get(target)
        age_s = max(0.0, now - record.health.updated_at) if record else 0.0
        return Grant(
            slot_request.id,
            slot_request.host,
            target,
            self.unhealthy_probability(target, now),
            age_s,
            retry_wait_s,
            self._hedging.delay_s if slot_request.can_retry else None,
        )

    def _settle_leases(self, now: float) -> None:
        """Count attempts that have outlived the failures as evidence for their targets."""
        settled_after_s = self._failure_times.settled_after_s(self._mean_work_s)
        if settled_after_s is None:
            self._unsettled.clear()
            return
        while self._unsettled and now - self._unsettled[0][0] > settled_after_s:
            _, slot_request_id = self._unsettled.popleft()
            lease = self._leases.get(slot_request_id)
            record = self._targets.get(lease.target) if lease is not None else None
            if lease is not None and record is not None:
                lease.is_settled = True
                record.health.apply_likelihood_ratio(SETTLED_LIKELIHOOD_RATIO, now)
                self._candidates.update(record, now)

    def _update_target(
        self, record: TargetRecord, report: AttemptReport, is_settled: bool, now: float
    ) -> None:
        """Update a target's health, slowness and pause, and the poison tracker, from a report.

        The answer of a settled attempt tells little more, as it was settled long before.
        """
        outcome = report.outcome
        if outcome in {AttemptOutcome.ANSWERED, AttemptOutcome.CANCELLED}:
            self._hedging.record_attempt(report.work_s)
        if outcome is AttemptOutcome.TIMED_OUT and report.work_s < self._overdue_after_s():
            # The request's timeout was too short to be evidence against the target.
            return
        if is_settled and outcome is AttemptOutcome.ANSWERED:
            record.health.apply_likelihood_ratio(ANSWER_AFTER_SETTLED_RATIO, now)
        else:
            record.health.observe(outcome, now)
        if outcome not in HARMLESS_OUTCOMES:
            self._active_floor.record_failure(record.entry.name, now)
        if outcome in FAST_OUTCOMES:
            self._failure_times.record(report.work_s)
        if outcome is AttemptOutcome.ANSWERED:
            self._answer_count += 1
            weight = max(WORK_SMOOTHING, 1 / (self._answer_count + INITIAL_WORK_WEIGHT))
            self._mean_work_s += weight * (report.work_s - self._mean_work_s)
            relative_work = report.work_s / max(self._mean_work_s, 0.001)
            record.slowness += SLOWNESS_SMOOTHING * (
                min(relative_work, MAX_RELATIVE_WORK) - record.slowness
            )
            self._poison_tracker.record_answer(report.fingerprint, now)
        elif outcome is AttemptOutcome.CANCELLED:
            # It would have taken longer, so it can only show that the target is slower.
            relative_work = min(report.work_s / max(self._mean_work_s, 0.001), MAX_RELATIVE_WORK)
            record.slowness += SLOWNESS_SMOOTHING * max(0.0, relative_work - record.slowness)
        elif outcome is AttemptOutcome.SHED:
            record.paused_until = now + SHED_PAUSE_S
        elif outcome in {AttemptOutcome.CONNECT_FAILED, AttemptOutcome.MISDIRECTED}:
            record.paused_until = now + CONNECT_FAILED_PAUSE_S
        elif outcome is AttemptOutcome.CONNECTION_LOST:
            incarnation = f"{report.target}@{record.entry.started_ms}"
            self._poison_tracker.record_crash(report.fingerprint, incarnation, now)

    def _record_floor_result(self, report: AttemptReport, lease: Lease | None, now: float) -> None:
        """Count the end of a request towards the service's failure rate.

        A failed attempt isn't the end of its request if the request can be retried.
        """
        if report.outcome in {AttemptOutcome.WITHDRAWN, AttemptOutcome.CANCELLED}:
            return
        is_failure = report.outcome is not AttemptOutcome.ANSWERED
        if not (is_failure and lease is not None and lease.can_retry):
            self._active_floor.record_request_end(is_failure, now)

    def _remember_ended(self, slot_request_id: str, now: float) -> None:
        """Remember an ended request, and forget those that ended too long ago."""
        self._ended_at[slot_request_id] = now
        while now - self._ended_at[oldest := next(iter(self._ended_at))] > ENDED_REQUEST_MEMORY_S:
            del self._ended_at[oldest]

    def _remember_refusal(self, refusal: Refused, now: float) -> None:
        """Remember a refusal, and forget those that are too old for a duplicate."""
        self._refusals[refusal.slot_request_id] = (now, refusal)
        while (
            now - self._refusals[oldest := next(iter(self._refusals))][0] > ENDED_REQUEST_MEMORY_S
        ):
            del self._refusals[oldest]

    def _release_lease(self, slot_request_id: str, now: float) -> Lease | None:
        """Remove a lease and free its slot; return the lease, or None if it is unknown."""
        lease = self._leases.pop(slot_request_id, None)
        if lease is not None and lease.target in self._targets:
            record = self._targets[lease.target]
            record.remove_lease(slot_request_id)
            self._candidates.update(record, now)
        return lease

    def _healthy_slots(self, now: float) -> float:
        return self._candidates.expected_healthy_slots(self._mean_work_s, now)

    def _overdue_after_s(self) -> float:
        """Return the time in seconds after which an attempt is overdue; at least 0.5 s."""
        return max(0.5, OVERDUE_WORK_TIMES * self._mean_work_s)

    def _retry_after_s(self, now: float) -> float:
        """Return the retry delay of a refused caller in seconds; randomized to spread retries."""
        backlog_s = len(self._queue) * self._mean_work_s / max(1.0, self._healthy_slots(now))
        return MIN_RETRY_AFTER_S + backlog_s * self._rng.uniform(0.5, 1.0)
