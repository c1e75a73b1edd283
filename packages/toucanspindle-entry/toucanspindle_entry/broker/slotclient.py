"""Requests slots for this host from the brokers of the services, and runs brokers on this host.

The client resends a slot request a few times until the broker answers.  It skips a
broker that is silent for a while and asks the next one in rank, except for a hedge, which is
refused.  If none answers, this host's own broker decides on what it knows.  The client resends
attempt reports until they are acknowledged or the resends are used up.

A broker that answers other requests isn't silent but behind.  Asking the next one as well would
only add load, so the client waits for it, and doesn't resend what the broker is about to read.  A
host whose own timers fire late can't tell, so it waits once more.
"""

import asyncio
import dataclasses
import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass
from typing import Final

from logbook import Logger
from toucanspindle_core.clock import Clock

from toucanspindle_entry.broker import slotmessages
from toucanspindle_entry.broker.localbroker import LocalBroker
from toucanspindle_entry.broker.poisonsharing import PoisonSharing
from toucanspindle_entry.broker.poisontracker import PoisonTracker
from toucanspindle_entry.broker.recentretries import RecentRetries
from toucanspindle_entry.broker.retrycredit import RetryCreditSource
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    RefusalReason,
    Refused,
    SlotRequest,
)
from toucanspindle_entry.entrymetrics import EntryMetrics
from toucanspindle_entry.hosts.brokerchoice import BrokerRanking
from toucanspindle_entry.hosts.datagrams import DatagramEndpoint, Message
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.hosts.roundtrips import RoundTrips
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.targets.targethealth import AttemptOutcome
from toucanspindle_entry.targets.targetnotices import TargetNotice, decode_notice, encode_notice
from toucanspindle_entry.targets.targettable import TargetTable

# Waits for an answer before each resend and before giving up; a round trip takes about 2 ms.
REQUEST_RESEND_S: Final = (0.05, 0.1, 0.15)
# A queued request is resent this often, which also detects a broker that has failed.
QUEUED_RENEWAL_S: Final = 0.25
SILENT_BROKER_SKIP_S: Final = 1.5  # How long a broker that didn't answer is skipped.
BROKER_SILENCE_S: Final = 0.2  # A broker that sent anything within this time isn't silent.
MAX_BUSY_BROKER_WAIT_S: Final = 1.0  # For a broker that sends, but doesn't answer the request.
MAX_RESEND_WAIT_S: Final = 0.25  # Before the resends to a broker that answers late.
MAX_TIMER_DELAY_S: Final = 0.03  # A host whose timers are later than this is behind.
MAX_BROKERS_TRIED: Final = 3  # Hosts tried in order of rank before this host's own broker.
REPORT_RESEND_S: Final = (0.1, 0.2, 0.4)  # Waits for an acknowledgement.
# A grant for a request that has ended may arrive this late, and again for each resend.
ENDED_REQUEST_MEMORY_S: Final = 3.0
# Older outcomes are no use to a new broker: few episodes last so long.
RESULT_MEMORY_S: Final = 8.0
# Hosts that disagree who is alive use other brokers, but hardly any beyond this rank.
LIMITED_GRANTS_SHARED_WITH: Final = 6

log = Logger("slots")


@dataclass(frozen=True)
class SlotGrant:
    """A granted slot as the client received it from the broker.

    `unhealthy_probability` is the broker's estimate for the target, and `estimate_age_ms` the age
    of the last outcome in it.  `started_ms` identifies the target's incarnation.  `broker` is the
    IP address of the host that granted the slot, and `entry_revision` the store revision of the
    target's entry there, or 0 if it isn't known; `entry_era` is the era of that revision.
    `hedge_after_s` is how long the attempt runs before it may be hedged, or None if it may not.
    """

    slot_request_id: str
    target: str
    address: str
    started_ms: int
    unhealthy_probability: float
    estimate_age_ms: int
    broker: str
    entry_revision: int = 0
    entry_era: int = 0
    hedge_after_s: float | None = None


@dataclass
class _PendingRequest:
    """A slot request without a decision; `answered` is set by each answer, `queued` included.

    `broker` is the host that is asked now.  `deadline_at` and `goal_at` are in seconds of the
    client's clock; the times left in `slot_request` are those of the first send.
    """

    service: str
    slot_request: SlotRequest
    deadline_at: float
    goal_at: float
    future: asyncio.Future[SlotGrant | Refused]
    answered: asyncio.Event
    broker: str = ""

    def clear_deposits(self) -> None:
        """Leave out of further sends what may count only once: the credit and the rejections."""
        self.slot_request = dataclasses.replace(
            self.slot_request, retry_credit=0.0, rejected_before=0
        )

    def slot_request_at(self, now: float) -> SlotRequest:
        """Return the slot request with the times that are left now."""
        return dataclasses.replace(
            self.slot_request,
            time_left_s=max(0.0, self.deadline_at - now),
            goal_left_s=max(0.0, self.goal_at - now),
        )


@dataclass
class _HeldSlot:
    """A slot that this host holds; `expires_at` is in seconds of the client's clock."""

    service: str
    target: str
    expires_at: float
    fingerprint: str
    body_bytes: int = 0


class SlotClient:
    """Acquires and reports slots for this host, and runs the brokers assigned to it."""

    def __init__(
        self,
        hosts: LiveHosts,
        targets: TargetTable,
        bounds: FleetBounds,
        clock: Clock,
        rng: random.Random,
        *,
        metrics: EntryMetrics | None = None,
    ) -> None:
        """Create a client; call `attach` before the first slot request.

        The brokers on this host count in `metrics`.

        `clock` must count the time for which the host is suspended.  Otherwise a broker that wakes
        up would grant retries with credit that should have expired.
        """
        self._hosts = hosts
        self._targets = targets
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._metrics = metrics if metrics is not None else EntryMetrics()
        self._endpoint: DatagramEndpoint | None = None
        self._own_ip = hosts.own.ip
        self._ids = itertools.count(1)
        self._local_brokers: dict[str, LocalBroker] = {}
        self._credit_sources: dict[str, RetryCreditSource] = {}
        self._pending: dict[str, _PendingRequest] = {}
        self._held_slots: dict[str, _HeldSlot] = {}
        self._ended_at: dict[str, float] = {}  # By slot request id, in the order of time.
        self._recent_results: deque[tuple[float, str, str, AttemptOutcome]] = deque()
        self._recent_retries = RecentRetries(bounds.retry_window_s)
        # The timer for the next resend and the time of the first send, by broker and request id.
        self._unacknowledged: dict[tuple[str, str], tuple[asyncio.TimerHandle, float]] = {}
        self._skipped_until: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}  # Last answer of each broker.
        self._round_trips = RoundTrips()
        # When a skipped broker was first sent a request, by broker and request id, oldest first.
        self._asked_in_vain: dict[tuple[str, str], float] = {}
        self._rejected: Counter[str] = Counter()
        self._ranking = BrokerRanking(hosts)
        self._poison = PoisonSharing(hosts, self._ranking, clock, self._send)

    @property
    def local_brokers(self) -> dict[str, LocalBroker]:
        """The brokers on this host, by service."""
        return self._local_brokers

    @property
    def fleet_size(self) -> int | None:
        """Number of hosts, or None while it isn't known."""
        return self._hosts.fleet_size

    @property
    def poison_tracker(self) -> PoisonTracker:
        """The tracker for the brokers of all services on this host."""
        return self._poison.tracker

    def attach(self, endpoint: DatagramEndpoint) -> None:
        """Set the datagram endpoint for sending messages."""
        self._endpoint = endpoint

    def next_slot_request_id(self) -> str:
        """Return a slot request id that is unique over all hosts and incarnations."""
        return f"{self._hosts.own.incarnation}.{next(self._ids)}"

    def targets_changed(self) -> None:
        """Pass the registered targets to the brokers on this host."""
        for service, local_broker in self._local_brokers.items():
            self._set_targets(local_broker, service)

    def invalidate_brokers(self) -> None:
        """Make each broker on this host take over again before its next decision."""
        for local_broker in self._local_brokers.values():
            local_broker.expire_state()

    def release_host(self, ip: str) -> None:
        """Release the slots that the brokers on this host granted to an ended host."""
        for local_broker in self._local_brokers.values():
            local_broker.release_host(ip)

    async def acquire(
        self, service: str, slot_request: SlotRequest, starts_request: bool = False
    ) -> SlotGrant | Refused:
        """Wait for a slot or a refusal; a cancellation withdraws the request.

        `starts_request` is true for the first slot request of a caller's request.  The client sets
        the host, failure domain and retry credit of the slot request.
        """
        own = self._hosts.own
        now = self._clock.now()
        slot_request = dataclasses.replace(
            slot_request,
            host=own.ip,
            failure_domain=own.failure_domain,
            retry_credit=self._credit_source(service).take(
                starts_request, self._hosts.fleet_size, now
            ),
            rejected_before=self._rejected.pop(service, 0),
        )
        pending = _PendingRequest(
            service,
            slot_request,
            now + slot_request.time_left_s,
            now + slot_request.goal_left_s,
            asyncio.get_running_loop().create_future(),
            asyncio.Event(),
        )
        self._pending[slot_request.id] = pending
        broker = ""
        try:
            while True:
                broker = self._choose_broker(service)
                pending.broker = broker
                asked_at = self._clock.now()
                if await self._request_from_broker(broker, pending):
                    break
                self._skip_broker(broker, service)
                self._asked_in_vain[broker, slot_request.id] = asked_at
                # The broker may have granted a slot and only its answers were lost.
                self._send_report(service, broker, _withdrawal_report(slot_request.id, ""))
                if slot_request.is_hedge:
                    # Another broker doesn't know what this one granted.  A hedge isn't worth that.
                    refused = Refused(slot_request.id, own.ip, RefusalReason.OVERLOADED, 0.0)
                    pending.future.set_result(refused)
                    break
                # The broker may have received the deposits, so no other one may get them.
                pending.clear_deposits()
        except asyncio.CancelledError:
            self._pending.pop(slot_request.id, None)
            self._send_report(service, broker, _withdrawal_report(slot_request.id, ""))
            raise
        self._pending.pop(slot_request.id, None)
        decision = pending.future.result()
        if isinstance(decision, SlotGrant):
            if slot_request.is_retry:
                self._recent_retries.record(service, self._clock.now())
            self._held_slots[slot_request.id] = _HeldSlot(
                service,
                decision.target,
                pending.deadline_at,
                slot_request.fingerprint,
                slot_request.body_bytes,
            )
        return decision

    def count_rejected(self, service: str) -> None:
        """Count a request that was rejected for its account's quota, for the next slot request.

        The broker has to know of it: operators count it among the requests that aren't served.
        """
        self._rejected[service] += 1

    def report_attempt(self, service: str, grant: SlotGrant, report: AttemptReport) -> None:
        """Report the outcome of a granted attempt to its broker; this releases the slot."""
        self._held_slots.pop(report.slot_request_id, None)
        self._remember_ended(report.slot_request_id)
        if report.outcome is not AttemptOutcome.WITHDRAWN:
            now = self._clock.now()
            self._recent_results.append((now, service, report.target, report.outcome))
            while self._recent_results and now - self._recent_results[0][0] > RESULT_MEMORY_S:
                self._recent_results.popleft()
        self._send_report(service, grant.broker, report)

    def handle_message(self, ip: str, message: Message) -> bool:
        """Handle a message of the slot protocol; return False for any other message."""
        kind = message[0]
        if kind == "ask":
            service, slot_request = slotmessages.decode_slot_request(ip, message)
            self._local_broker(service).request_slot(slot_request)
        elif kind in {"grant", "queued", "refused"}:
            self._record_heard(ip)
            self._handle_answer(ip, message)
        elif kind == "end":
            service, report = slotmessages.decode_report(message)
            if self._endpoint is not None:
                self._endpoint.send(ip, ["noted", report.slot_request_id])
            self._local_broker(service).record_attempt(report)
        elif kind == "noted":
            self._record_heard(ip)
            timer, sent_at = self._unacknowledged.pop((ip, message[1]), (None, 0.0))
            if timer is not None:
                timer.cancel()
                self._round_trips.record(ip, self._clock.now() - sent_at)
        elif kind == "sync":
            self._send_held_state(ip, message[1])
        elif kind == "held":
            self._local_broker(message[1]).adopt_host_state(
                ip, message[2], message[3], message[7] if len(message) > 7 else ()
            )
            for fingerprint, targets in message[4] if len(message) > 4 else ():
                self._poison.tracker.adopt(str(fingerprint), targets, self._clock.now())
            notices = message[5] if len(message) > 5 else []
            self._local_broker(message[1]).adopt_notices(map(decode_notice, notices))
            retries = message[6] if len(message) > 6 else []
            self._local_broker(message[1]).adopt_retries(
                (int(count), age_ms / 1000) for count, age_ms in retries
            )
        elif kind == "crashed":
            self._poison.handle_message(ip, message)
        elif kind == "granted":
            grants = [(decode_notice(notice), int(count)) for notice, count in message[2]]
            self._local_broker(str(message[1])).debit_limited_grants(grants)
        else:
            return False
        return True

    # Slot requests.

    def _choose_broker(self, service: str) -> str:
        """Return the highest-ranked host that isn't skipped; otherwise this host."""
        now = self._clock.now()
        for ip in self._ranking.live(service)[:MAX_BROKERS_TRIED]:
            if ip == self._own_ip or now >= self._skipped_until.get(ip, 0.0):
                return ip
        return self._own_ip

    def is_skipped(self, ip: str) -> bool:
        """Return whether a host is skipped as a broker since it was silent."""
        return self._clock.now() < self._skipped_until.get(ip, 0.0)

    def _skip_broker(self, broker: str, service: str) -> None:
        log.warning("event=broker_silent service={} broker={}", service, broker)
        self._skipped_until[broker] = self._clock.now() + SILENT_BROKER_SKIP_S

    def _record_heard(self, broker: str) -> None:
        """Record that a broker has sent an answer; it isn't silent."""
        self._heard_at[broker] = self._clock.now()
        self._skipped_until.pop(broker, None)

    async def _request_from_broker(self, broker: str, pending: _PendingRequest) -> bool:
        """Request a slot from one broker; return False if it doesn't answer."""
        if broker == self._own_ip:
            self._local_broker(pending.service).request_slot(
                pending.slot_request_at(self._clock.now())
            )
            await pending.future
            return True
        while True:
            pending.answered.clear()
            if not await self._send_until_answered(broker, pending):
                return False
            if pending.future.done():
                return True
            # The request is queued; resend it regularly until the broker decides, without the
            # deposits that the broker has: it may restart after it has used them.
            pending.clear_deposits()
            if await _wait_for_decision(pending.future, QUEUED_RENEWAL_S):
                return True

    async def _send_until_answered(self, broker: str, pending: _PendingRequest) -> bool:
        """Send a slot request until the broker answers; return False if it is silent."""
        assert self._endpoint is not None
        loop = asyncio.get_running_loop()
        started_at = self._clock.now()
        waits = iter(REQUEST_RESEND_S)
        wait_s = next(waits)
        is_read_soon = False
        while True:
            if not is_read_soon:
                slot_request = pending.slot_request_at(self._clock.now())
                message = slotmessages.encode_slot_request(pending.service, slot_request)
                self._endpoint.send(broker, message)
            sent_at = self._clock.now()
            this_wait_s = self._round_trips.wait_s(broker, wait_s, MAX_RESEND_WAIT_S)
            timeout_at = loop.time() + this_wait_s
            if await _wait_for_answer(pending, this_wait_s):
                self._round_trips.record(broker, self._clock.now() - started_at)
                return True
            now = self._clock.now()
            if loop.time() - timeout_at > MAX_TIMER_DELAY_S:
                is_read_soon = True
                continue
            heard_at = self._heard_at.get(broker, float("-inf"))
            is_read_soon = heard_at > sent_at and not is_read_soon
            next_wait_s = next(waits, None)
            wait_s = next_wait_s or 2 * wait_s
            if next_wait_s is None and (
                now - heard_at > BROKER_SILENCE_S or now - started_at > MAX_BUSY_BROKER_WAIT_S
            ):
                return False

    def _handle_answer(self, broker: str, message: Message) -> None:
        slot_request_id = str(message[1])
        pending = self._pending.get(slot_request_id)
        if pending is not None and pending.broker != broker:
            # The request moved to another broker, and this one was told so.
            self._measure_late_answer(broker, slot_request_id)
            return
        if pending is None or pending.future.done():
            self._measure_late_answer(broker, slot_request_id)
            if (
                message[0] == "grant"
                and slot_request_id not in self._held_slots
                and slot_request_id not in self._ended_at
                and pending is None
            ):
                # The request was withdrawn or moved to another broker; release the slot.
                self._remember_ended(slot_request_id)
                report = _withdrawal_report(slot_request_id, str(message[3]))
                self._send_report(str(message[2]), broker, report)
            return
        if message[0] == "grant":
            # Brokers of earlier versions send no revision.  An era of 0 is left out.
            (
                _,
                _,
                _,
                target,
                unhealthy_probability,
                estimate_age_ms,
                address,
                started_ms,
                *origin,
            ) = message
            grant = SlotGrant(
                slot_request_id,
                target,
                address,
                started_ms,
                unhealthy_probability,
                estimate_age_ms,
                broker,
                int(origin[0]) if origin else 0,
                int(origin[1]) if len(origin) > 1 else 0,
                int(origin[2]) / slotmessages.MS_PER_S if len(origin) > 2 else None,
            )
            pending.future.set_result(grant)
        elif message[0] == "refused":
            pending.future.set_result(slotmessages.decode_refusal(broker, message))
        pending.answered.set()

    def _measure_late_answer(self, broker: str, slot_request_id: str) -> None:
        """Record how long a broker took that was skipped meanwhile."""
        asked_at = self._asked_in_vain.pop((broker, slot_request_id), None)
        if asked_at is not None:
            self._round_trips.record(broker, self._clock.now() - asked_at)

    def _remember_ended(self, slot_request_id: str) -> None:
        """Remember that a slot was released, and forget those of long ago."""
        now = self._clock.now()
        self._ended_at.pop(slot_request_id, None)
        self._ended_at[slot_request_id] = now
        while now - self._ended_at[oldest := next(iter(self._ended_at))] > ENDED_REQUEST_MEMORY_S:
            del self._ended_at[oldest]
        while self._asked_in_vain:
            key, asked_at = next(iter(self._asked_in_vain.items()))
            if now - asked_at <= ENDED_REQUEST_MEMORY_S:
                break
            del self._asked_in_vain[key]

    # Attempt reports.

    def _send_report(self, service: str, broker: str, report: AttemptReport) -> None:
        if broker in {"", self._own_ip}:
            self._local_broker(service).record_attempt(report)
            return
        self._resend_report(broker, slotmessages.encode_report(service, report), 0)

    def _resend_report(self, broker: str, message: Message, resends: int) -> None:
        """Send a report and schedule the next resend, unless an acknowledgement cancels it."""
        assert self._endpoint is not None
        key = (broker, str(message[2]))
        self._endpoint.send(broker, message)
        _, sent_at = self._unacknowledged.pop(key, (None, self._clock.now()))
        if resends < len(REPORT_RESEND_S):
            wait_s = self._round_trips.wait_s(broker, REPORT_RESEND_S[resends], MAX_RESEND_WAIT_S)
            timer = asyncio.get_running_loop().call_later(
                wait_s, self._resend_report, broker, message, resends + 1
            )
            self._unacknowledged[key] = (timer, sent_at)

    # Brokers on this host.

    def _credit_source(self, service: str) -> RetryCreditSource:
        source = self._credit_sources.get(service)
        if source is None:
            bounds = self._bounds
            source = RetryCreditSource(
                bounds.retry_ratio, bounds.retry_burst, bounds.retry_window_s
            )
            self._credit_sources[service] = source
        return source

    def _local_broker(self, service: str) -> LocalBroker:
        local_broker = self._local_brokers.get(service)
        if local_broker is None:
            local_broker = LocalBroker(service, self._bounds, self._clock, self._rng, self)
            self._local_brokers[service] = local_broker
            self._set_targets(local_broker, service)
        return local_broker

    def _set_targets(self, local_broker: LocalBroker, service: str) -> None:
        local_broker.set_targets(self._targets.of_service(service), self._targets.unconfirmed)
        local_broker.adopt_notices(self._targets.notices_of_service(service))

    def send_decision(self, service: str, decision: Decision) -> None:
        """Send a decision of a local broker to the host that requested the slot."""
        target = self._targets.get(decision.target) if isinstance(decision, Grant) else None
        message = slotmessages.encode_decision(service, decision, target)
        if decision.host == self._own_ip:
            self._handle_answer(self._own_ip, message)
        elif self._endpoint is not None:
            self._endpoint.send(decision.host, message)

    def request_sync(self, service: str) -> None:
        """Ask all hosts for their slots and recent outcomes of a service.

        Each host answers with a `held` message; this host's own state is adopted directly.
        """
        if self._endpoint is None:
            return
        for ip in self._hosts.alive_ips():
            self._endpoint.send(ip, ["sync", service])
        self._send_held_state(self._own_ip, service)

    def count_held_retry(self, service: str) -> None:
        """Count a retry that is held back while targets shed requests."""
        self._metrics.count_held_retry(service)

    def record_shedding(self, service: str, is_shedding: bool) -> None:
        """Record that the targets of a service begin or stop to shed requests."""
        self._metrics.record_shedding(service, is_shedding)

    def share_crashes(self, service: str, fingerprint: str) -> None:
        """Tell other hosts which targets a request crashed; none if one has answered."""
        self._poison.share(service, fingerprint)

    def limit_share(self, service: str) -> float:
        """Return the share of the targets' limits that a broker on this host may grant.

        A host that the others may ask too has the share of the hosts that it believes alive.  Any
        other host decides for itself alone.
        """
        fleet_size = self._hosts.possible_hosts
        if self._hosts.is_isolated(self._clock.now()) or self._own_ip not in self._brokers(service):
            return 1 / fleet_size
        return (len(self._hosts.alive_ips()) + 1) / fleet_size

    def share_limited_grants(self, service: str, grants: list[tuple[TargetNotice, int]]) -> None:
        """Tell the hosts that may be brokers of a service what was granted of limited targets."""
        encoded = [[encode_notice(notice), count] for notice, count in grants]
        for ip in self._brokers(service):
            if ip != self._own_ip and self._endpoint is not None:
                self._endpoint.send(ip, ["granted", service, encoded])

    def _send(self, ip: str, message: Message) -> None:
        if self._endpoint is not None:
            self._endpoint.send(ip, message)

    def _brokers(self, service: str) -> list[str]:
        """Return the hosts that may be brokers of a service, by rank.

        Hosts that are dead for this host may be alive for others, so they count beside
        LIMITED_GRANTS_SHARED_WITH live ones.
        """
        alive = {*self._hosts.alive_ips(), self._own_ip}
        ranked = self._ranking.known(service)
        live_ranks = [rank for rank, ip in enumerate(ranked) if ip in alive]
        return ranked[: live_ranks[:LIMITED_GRANTS_SHARED_WITH][-1] + 1]

    def _send_held_state(self, ip: str, service: str) -> None:
        """Send what this host knows of a service to its new broker.

        These are the slots that it holds, its recent outcomes, the notices of targets and the
        poison messages.
        """
        now = self._clock.now()
        leases = [
            [
                slot_request_id,
                held_slot.target,
                int((held_slot.expires_at - now) * 1000),
                held_slot.fingerprint,
            ]
            for slot_request_id, held_slot in self._held_slots.items()
            if held_slot.service == service
        ]
        body_sizes = [
            [slot_request_id, held_slot.body_bytes]
            for slot_request_id, held_slot in self._held_slots.items()
            if held_slot.service == service and held_slot.body_bytes
        ]
        results = [
            [target, outcome.value, int((now - ended_at) * 1000)]
            for ended_at, result_service, target, outcome in self._recent_results
            if result_service == service and now - ended_at < RESULT_MEMORY_S
        ]
        retries = self._recent_retries.of_service(service, now)
        if ip == self._own_ip:
            self._local_broker(service).adopt_host_state(ip, leases, results, body_sizes)
            self._local_broker(service).adopt_retries(
                (count, age_ms / 1000) for count, age_ms in retries
            )
            return
        poison = self._poison.tracker.poison_messages(now)
        notices = [encode_notice(notice) for notice in self._targets.notices_of_service(service)]
        if self._endpoint is not None and (leases or results or poison or notices or retries):
            state = [leases, results, poison, notices, retries, body_sizes]
            self._endpoint.send(ip, ["held", service, *state])


def _withdrawal_report(slot_request_id: str, target: str) -> AttemptReport:
    return AttemptReport(slot_request_id, target, AttemptOutcome.WITHDRAWN, 0.0, "")


async def _wait_for_answer(pending: _PendingRequest, timeout_s: float) -> bool:
    """Return whether the broker answered within `timeout_s` seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await pending.answered.wait()
    except TimeoutError:
        return pending.future.done()
    return True


async def _wait_for_decision(future: asyncio.Future[SlotGrant | Refused], timeout_s: float) -> bool:
    done, _ = await asyncio.wait([future], timeout=timeout_s)
    return bool(done)
