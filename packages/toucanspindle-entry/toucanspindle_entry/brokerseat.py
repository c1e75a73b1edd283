"""The broker of one service at this host: takes over from a predecessor, then grants slots.

On its first ask, or after a pause, the seat asks all hosts what they hold and saw of the service,
waits a few milliseconds for their answers, and only then decides.
"""

import asyncio
import random
from collections.abc import Iterable
from typing import Any, Final, Protocol

from logbook import Logger
from toucanspindle_core.clock import Clock

from toucanspindle_entry.model import TargetEntry
from toucanspindle_entry.posterior import AttemptEnd
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.slotbroker import HOLD_BACK_SICK, SlotBroker
from toucanspindle_entry.slottypes import AttemptReport, Decision, Refused, SlotAsk

TAKEOVER_WAIT_S: Final = 0.008  # Hosts answer within 2 ms unless their link or core is slow.
SEAT_IDLE_S: Final = 3.0  # After so long without an ask, what the seat holds is taken for old.
TICK_S: Final = 0.1

log = Logger("broker")


class SeatLink(Protocol):
    """How a seat reaches the other hosts."""

    def deliver(self, service: str, decision: Decision) -> None:
        """Pass a decision on a service's slots to the host that asked."""
        ...

    def request_sync(self, service: str) -> None:
        """Ask all hosts what they hold and saw of a service."""
        ...


class BrokerSeat:
    """One service's broker at this host."""

    def __init__(
        self,
        service: str,
        bounds: FleetBounds,
        clock: Clock,
        rng: random.Random,
        link: "SeatLink",
    ) -> None:
        """Create a seat that isn't in use yet."""
        self._service = service
        self._clock = clock
        self._deliver = link.deliver
        self._request_sync = link.request_sync
        self._broker = SlotBroker(service, bounds, clock.now(), rng)
        self._asked_at = float("-inf")
        self._held: list[SlotAsk] | None = None
        self._tick_timer: asyncio.TimerHandle | None = None

    @property
    def broker(self) -> SlotBroker:
        """The decisions."""
        return self._broker

    @property
    def is_active(self) -> bool:
        """Whether hosts have asked lately."""
        return self._clock.now() - self._asked_at < SEAT_IDLE_S

    def set_targets(self, entries: Iterable[TargetEntry], unconfirmed: frozenset[str]) -> None:
        """Take over the service's registered targets."""
        self._emit(self._broker.set_targets(entries, unconfirmed, self._clock.now()))

    def ask(self, ask: SlotAsk) -> None:
        """Decide on an ask, at once or after the takeover."""
        if not self.is_active and self._held is None:
            self._begin_takeover()
        self._asked_at = self._clock.now()
        self._arm_tick()
        if self._held is not None:
            if all(held.id != ask.id for held in self._held):
                self._held.append(ask)
            return
        self._hand_out(self._broker.ask(ask, self._asked_at))

    def report(self, report: AttemptReport) -> None:
        """Take the end of an attempt."""
        now = self._clock.now()
        before = self._broker.sick_of(report.target, now)
        decisions = self._broker.report(report, now)
        self._log_belief(report, before, self._broker.sick_of(report.target, now))
        self._emit(decisions)

    def adopt(self, host: str, leases: list[list[Any]], results: list[list[Any]]) -> None:
        """Take over what a host holds and saw."""
        now = self._clock.now()
        self._broker.adopt(
            host, [(str(i), str(t), left / 1000, str(f)) for i, t, left, f in leases], now
        )
        for target, end, age_ms in sorted(results, key=lambda result: -result[2]):
            self._broker.adopt_result(str(target), AttemptEnd(end), now - age_ms / 1000)

    def lapse(self) -> None:
        """Take what the seat holds for old; the next ask leads to a takeover."""
        self._asked_at = float("-inf")

    def drop_host(self, host: str) -> None:
        """Free what a host held that has ended."""
        self._emit(self._broker.drop_host(host, self._clock.now()))

    def _log_belief(self, report: AttemptReport, before: float, after: float) -> None:
        """Log a belief that crosses the bound at which a target is held back."""
        if (before > HOLD_BACK_SICK) == (after > HOLD_BACK_SICK):
            return
        log.info(
            "event={} service={} target={} sick_before={:.2f} sick={:.2f} end={} ask={}",
            "target_distrusted" if after > before else "target_trusted",
            self._service,
            report.target,
            before,
            after,
            report.end.value,
            report.ask_id,
        )

    def _begin_takeover(self) -> None:
        log.info("event=broker_takeover service={}", self._service)
        self._held = []
        self._broker.forget_leases()
        self._request_sync(self._service)
        asyncio.get_running_loop().call_later(TAKEOVER_WAIT_S, self._end_takeover)

    def _end_takeover(self) -> None:
        held, self._held = self._held or [], None
        now = self._clock.now()
        for ask in held:
            self._hand_out(self._broker.ask(ask, now))

    def _arm_tick(self) -> None:
        if self._tick_timer is None:
            self._tick_timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self._emit(self._broker.tick(self._clock.now()))
        if self.is_active or self._broker.in_use or self._broker.waiting:
            self._arm_tick()

    def _emit(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._hand_out(decision)

    def _hand_out(self, decision: Decision) -> None:
        if isinstance(decision, Refused):
            log.info(
                "event=slot_refused service={} ask={} host={} reason={} waiting={} in_use={}"
                " work_ms={} retry_after_ms={}",
                self._service,
                decision.ask_id,
                decision.host,
                decision.reason.value,
                self._broker.waiting,
                self._broker.in_use,
                int(self._broker.mean_work_s * 1000),
                int(decision.retry_after_s * 1000),
            )
        self._deliver(self._service, decision)
