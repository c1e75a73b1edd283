"""The broker of one service on this host: takes over from an earlier broker, then grants slots.

On its first slot request, or after a time without any, the local broker asks all hosts for the
slots that they hold and the outcomes that they observed recently.  It waits a few milliseconds for
the answers before it decides on the requests that arrived in the meantime.  If the event loop has
stood still during the wait, the answers are still to be read, so it waits once more.
"""

import asyncio
import random
from collections.abc import Iterable, Sequence
from typing import Any, Final, Protocol

from logbook import Logger
from toucanspindle_core.clock import Clock

from toucanspindle_entry.broker.poisontracker import PoisonTracker
from toucanspindle_entry.broker.slotbroker import SlotBroker
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    Refused,
    SlotRequest,
)
from toucanspindle_entry.broker.targetchoice import AVOID_MIN_UNHEALTHY
from toucanspindle_entry.model import TargetEntry
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.targets.targethealth import AttemptOutcome
from toucanspindle_entry.targets.targetnotices import TargetNotice

TAKEOVER_WAIT_S: Final = 0.008  # Hosts answer within 2 ms unless their network or CPU is slow.
MAX_TAKEOVER_DELAY_S: Final = 0.004  # A timer that is later than this begins another wait.
MAX_TAKEOVER_WAITS: Final = 4
STATE_EXPIRY_S: Final = 3.0  # After this long without a slot request the state is outdated.
TICK_INTERVAL_S: Final = 0.1  # Between calls of `SlotBroker.tick`.

log = Logger("broker")


class HostLink(Protocol):
    """Connects a local broker to all hosts."""

    @property
    def fleet_size(self) -> int | None:
        """Number of hosts, or None while it isn't known."""
        ...

    @property
    def poison_tracker(self) -> PoisonTracker:
        """The tracker for the brokers of all services on this host."""
        ...

    def send_decision(self, service: str, decision: Decision) -> None:
        """Send a decision to the host that requested the slot."""
        ...

    def request_sync(self, service: str) -> None:
        """Ask all hosts for their slots and recent outcomes of a service."""
        ...

    def limit_share(self, service: str) -> float:
        """Return the share of the targets' limits that a broker on this host may grant."""
        ...

    def share_limited_grants(self, service: str, grants: list[tuple[TargetNotice, int]]) -> None:
        """Tell the hosts that may be brokers too what was granted of limited targets."""
        ...

    def count_held_retry(self, service: str) -> None:
        """Count a retry that is held back while targets shed requests."""
        ...

    def record_shedding(self, service: str, is_shedding: bool) -> None:
        """Record that the targets of a service begin or stop to shed requests."""
        ...

    def share_crashes(self, service: str, fingerprint: str) -> None:
        """Tell other hosts which targets a request crashed; none if one has answered."""
        ...


class LocalBroker:
    """Runs the `SlotBroker` of one service on this host, with its takeovers and its timer."""

    def __init__(
        self,
        service: str,
        bounds: FleetBounds,
        clock: Clock,
        rng: random.Random,
        link: "HostLink",
    ) -> None:
        """Create an inactive local broker; its first slot request starts a takeover."""
        self._service = service
        self._clock = clock
        self._link = link
        self._poison_tracker = link.poison_tracker
        self._broker = SlotBroker(service, bounds, rng, link.poison_tracker)
        self._last_request_at = float("-inf")
        self._deferred_requests: list[SlotRequest] | None = None
        self._was_shedding = False
        self._tick_timer: asyncio.TimerHandle | None = None

    @property
    def broker(self) -> SlotBroker:
        """The slot broker that decides."""
        return self._broker

    @property
    def is_active(self) -> bool:
        """Whether a slot request arrived within the last `STATE_EXPIRY_S` seconds."""
        return self._clock.now() - self._last_request_at < STATE_EXPIRY_S

    def set_targets(self, entries: Iterable[TargetEntry], unconfirmed: frozenset[str]) -> None:
        """Replace the service's registered targets and send the grants that became possible."""
        self._send_decisions(self._broker.set_targets(entries, unconfirmed, self._clock.now()))

    def request_slot(self, slot_request: SlotRequest) -> None:
        """Decide on a slot request, at once or at the end of a takeover."""
        if not self.is_active and self._deferred_requests is None:
            self._begin_takeover()
        self._last_request_at = self._clock.now()
        self._arm_tick()
        self._broker.set_fleet_size(self._link.fleet_size)
        self._update_limit_share()
        if self._deferred_requests is not None:
            if all(deferred.id != slot_request.id for deferred in self._deferred_requests):
                self._deferred_requests.append(slot_request)
            return
        self._decide(slot_request, self._last_request_at)

    def record_attempt(self, report: AttemptReport) -> None:
        """Record the outcome of an attempt and send the grants that became possible."""
        now = self._clock.now()
        probability_before = self._broker.unhealthy_probability(report.target, now)
        crashed_before = self._poison_tracker.crashed_targets(report.fingerprint)
        decisions = self._broker.record_attempt(report, now)
        if self._poison_tracker.crashed_targets(report.fingerprint) != crashed_before:
            self._link.share_crashes(self._service, report.fingerprint)
        self._log_health_change(
            report, probability_before, self._broker.unhealthy_probability(report.target, now)
        )
        self._send_decisions(decisions)

    def adopt_host_state(
        self,
        host: str,
        leases: list[list[Any]],
        results: list[list[Any]],
        body_sizes: Iterable[Sequence[Any]] = (),
    ) -> None:
        """Adopt the slots that a host holds and the outcomes that it observed.

        Each lease is [slot request id, target, ms left, fingerprint], each result [target, outcome,
        age in ms].  Results are applied in order of time.  `body_sizes` holds [slot request id,
        bytes] of the leases with a body.
        """
        now = self._clock.now()
        self._broker.adopt_leases(
            host,
            [
                (str(lease_id), str(target), left_ms / 1000, str(fingerprint))
                for lease_id, target, left_ms, fingerprint in leases
            ],
            now,
            {str(lease_id): int(size) for lease_id, size in body_sizes},
        )
        for target, outcome, age_ms in sorted(results, key=lambda result: -result[2]):
            self._broker.adopt_result(str(target), AttemptOutcome(outcome), now - age_ms / 1000)

    def adopt_retries(self, retries: Iterable[tuple[int, float]]) -> None:
        """Count the retries that a host sent recently, each given by a number and its age in s."""
        now = self._clock.now()
        for count, age_s in retries:
            self._broker.adopt_retries(count, now - age_s)

    def adopt_notices(self, notices: Iterable[TargetNotice]) -> None:
        """Heed what targets said of themselves to a host."""
        for notice in notices:
            self._broker.adopt_notice(notice, self._clock.now())

    def debit_limited_grants(self, grants: Iterable[tuple[TargetNotice, int]]) -> None:
        """Count what another broker has granted of limited targets."""
        for notice, count in grants:
            self._broker.debit_limited_grants(notice, count, self._clock.now())

    def expire_state(self) -> None:
        """Treat the state as outdated, so that the next slot request starts a takeover."""
        self._last_request_at = float("-inf")

    def release_host(self, host: str) -> None:
        """Release the slots and queued requests of a host that has ended."""
        self._send_decisions(self._broker.release_host(host, self._clock.now()))

    def _log_health_change(
        self, report: AttemptReport, probability_before: float, probability_after: float
    ) -> None:
        """Log when a target's estimate crosses the threshold above which it is avoided."""
        if (probability_before > AVOID_MIN_UNHEALTHY) == (probability_after > AVOID_MIN_UNHEALTHY):
            return
        log.info(
            "event={} service={} target={} sick_before={:.2f} sick={:.2f} end={} ask={}",
            "target_distrusted" if probability_after > probability_before else "target_trusted",
            self._service,
            report.target,
            probability_before,
            probability_after,
            report.outcome.value,
            report.slot_request_id,
        )

    def _begin_takeover(self) -> None:
        """Request the state of all hosts and defer slot requests for `TAKEOVER_WAIT_S`."""
        log.info("event=broker_takeover service={}", self._service)
        self._deferred_requests = []
        self._broker.clear_leases(self._clock.now())
        self._link.request_sync(self._service)
        self._wait_for_takeover(MAX_TAKEOVER_WAITS)

    def _wait_for_takeover(self, waits_left: int) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + TAKEOVER_WAIT_S

        def end_wait() -> None:
            if waits_left > 1 and loop.time() - due_at > MAX_TAKEOVER_DELAY_S:
                self._wait_for_takeover(waits_left - 1)
            else:
                self._end_takeover()

        loop.call_at(due_at, end_wait)

    def _end_takeover(self) -> None:
        deferred_requests, self._deferred_requests = self._deferred_requests or [], None
        self._update_limit_share()
        now = self._clock.now()
        for slot_request in deferred_requests:
            self._decide(slot_request, now)
        self._broker.forget_saved_credit()

    def _decide(self, slot_request: SlotRequest, now: float) -> None:
        held_before = self._broker.held_retries
        self._send_decision(self._broker.request_slot(slot_request, now))
        if self._broker.held_retries > held_before:
            self._link.count_held_retry(self._service)
        self._log_shedding_change()

    def _log_shedding_change(self) -> None:
        """Log when the targets of the service begin or stop to shed requests."""
        is_shedding = self._broker.is_shedding
        if is_shedding == self._was_shedding:
            return
        self._was_shedding = is_shedding
        self._link.record_shedding(self._service, is_shedding)
        log.info(
            "event={} service={} shed={:.2f} held={} saved={:.0f} in_use={}",
            "shedding_begins" if is_shedding else "shedding_ends",
            self._service,
            self._broker.shed_share,
            self._broker.held_retries,
            self._broker.saved_retries(self._clock.now()),
            self._broker.slots_in_use,
        )

    def _arm_tick(self) -> None:
        if self._tick_timer is None:
            self._tick_timer = asyncio.get_running_loop().call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self._update_limit_share()
        self._send_decisions(self._broker.tick(self._clock.now()))
        if self.is_active or self._broker.slots_in_use or self._broker.queue_length:
            self._arm_tick()

    def _update_limit_share(self) -> None:
        if self._broker.has_limited_targets:
            self._broker.set_limit_share(self._link.limit_share(self._service), self._clock.now())

    def _send_decisions(self, decisions: list[Decision]) -> None:
        self._log_shedding_change()
        for decision in decisions:
            self._send_decision(decision)

    def _send_decision(self, decision: Decision) -> None:
        if isinstance(decision, Refused):
            log.info(
                "event=slot_refused service={} ask={} host={} reason={} waiting={} in_use={}"
                " work_ms={} retry_after_ms={}",
                self._service,
                decision.slot_request_id,
                decision.host,
                decision.reason.value,
                self._broker.queue_length,
                self._broker.slots_in_use,
                int(self._broker.mean_work_s * 1000),
                int(decision.retry_after_s * 1000),
            )
        elif isinstance(decision, Grant) and decision.retry_wait_s is not None:
            log.info(
                "event=retry_granted service={} ask={} host={} target={} waited_ms={}"
                " credit={:.1f}",
                self._service,
                decision.slot_request_id,
                decision.host,
                decision.target,
                int(decision.retry_wait_s * 1000),
                self._broker.retry_credit,
            )
        self._link.send_decision(self._service, decision)
        if grants := self._broker.take_limited_grants():
            self._link.share_limited_grants(self._service, grants)
