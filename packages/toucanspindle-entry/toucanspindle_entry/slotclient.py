"""Gets slots for this host's requests from the brokers of their services, and serves as broker.

An ask is sent again every few milliseconds until the broker answers.  A broker that stays silent is
passed over for a while and the next in rank is asked; when nobody answers, this host decides
alone on what it knows.  Reports of ends are repeated until they are noted.
"""

import asyncio
import dataclasses
import itertools
import random
from collections import deque
from dataclasses import dataclass
from typing import Final

from logbook import Logger
from toucanspindle_core.clock import Clock

from toucanspindle_entry import slotmessages
from toucanspindle_entry.brokerchoice import rank_brokers
from toucanspindle_entry.brokerseat import BrokerSeat
from toucanspindle_entry.datagrams import DatagramPort, Message
from toucanspindle_entry.livehosts import LiveHosts
from toucanspindle_entry.posterior import AttemptEnd
from toucanspindle_entry.settings import FleetBounds
from toucanspindle_entry.slottypes import AttemptReport, Decision, Grant, Refused, SlotAsk
from toucanspindle_entry.targettable import TargetTable

RESEND_S: Final = (0.015, 0.03, 0.06)  # Waits for an answer; a round trip takes about 2 ms.
KEEP_QUEUED_S: Final = 0.25  # A queued ask is renewed this often, and its broker's life checked.
PASS_OVER_S: Final = 1.5  # A silent broker isn't asked for this long.
RANKS_ASKED: Final = 3  # Brokers that are tried before the host decides alone.
REPORT_RESEND_S: Final = (0.05, 0.1, 0.2)
RESULT_MEMORY_S: Final = 8.0  # Two spells; older results say nothing to a new broker.

log = Logger("slots")


@dataclass(frozen=True)
class SlotGrant:
    """A slot at a target, as told by a broker.

    `sick` is the broker's belief of the target, and `sick_age_ms` the age of the last result in it.
    """

    ask_id: str
    target: str
    address: str
    started_ms: int
    sick: float
    sick_age_ms: int
    broker: str


@dataclass
class _Pending:
    service: str
    ask: SlotAsk
    future: asyncio.Future[SlotGrant | Refused]
    heard: asyncio.Event


@dataclass
class _Held:
    service: str
    target: str
    expires_at: float
    fingerprint: str


class SlotClient:
    """Slots for this host, and the seats that it holds as broker."""

    def __init__(
        self,
        hosts: LiveHosts,
        targets: TargetTable,
        bounds: FleetBounds,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a client; `port` is set before the first ask."""
        self._hosts = hosts
        self._targets = targets
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._port: DatagramPort | None = None
        self._own_ip = hosts.own.ip
        self._ids = itertools.count(1)
        self._seats: dict[str, BrokerSeat] = {}
        self._pending: dict[str, _Pending] = {}
        self._held: dict[str, _Held] = {}
        self._results: deque[tuple[float, str, str, AttemptEnd]] = deque()
        self._unnoted: dict[tuple[str, str], asyncio.TimerHandle] = {}
        self._passed_over: dict[str, float] = {}

    @property
    def seats(self) -> dict[str, BrokerSeat]:
        """The brokers at this host, by service."""
        return self._seats

    def attach(self, port: DatagramPort) -> None:
        """Use a datagram port."""
        self._port = port

    def next_ask_id(self) -> str:
        """Return an id that is unique over all hosts and incarnations."""
        return f"{self._hosts.own.incarnation}.{next(self._ids)}"

    def targets_changed(self) -> None:
        """Tell the brokers at this host of changed registrations."""
        for service, seat in self._seats.items():
            seat.set_targets(self._targets.of_service(service), self._targets.unconfirmed)

    def forget_brokerage(self) -> None:
        """Have the brokers at this host ask the others anew before they decide again."""
        for seat in self._seats.values():
            seat.lapse()

    def host_ended(self, ip: str) -> None:
        """Free what an ended host held here."""
        for seat in self._seats.values():
            seat.drop_host(ip)

    async def acquire(self, service: str, ask: SlotAsk) -> SlotGrant | Refused:
        """Wait for a slot or a refusal; a cancellation withdraws the ask."""
        own = self._hosts.own
        ask = dataclasses.replace(ask, host=own.ip, failure_domain=own.failure_domain)
        pending = _Pending(
            service, ask, asyncio.get_running_loop().create_future(), asyncio.Event()
        )
        self._pending[ask.id] = pending
        broker = ""
        try:
            while True:
                broker = self._choose_broker(service)
                if await self._ask_broker(broker, pending):
                    break
                self._pass_over(broker, service)
                # It may have granted a slot, and only its answers were lost.
                self._send_report(service, broker, _withdrawn(ask.id, ""))
        except asyncio.CancelledError:
            self._pending.pop(ask.id, None)
            self._send_report(service, broker, _withdrawn(ask.id, ""))
            raise
        self._pending.pop(ask.id, None)
        outcome = pending.future.result()
        if isinstance(outcome, SlotGrant):
            expires_at = self._clock.now() + ask.time_left_s
            self._held[ask.id] = _Held(service, outcome.target, expires_at, ask.fingerprint)
        return outcome

    def finish(self, service: str, grant: SlotGrant, report: AttemptReport) -> None:
        """Report the end of a granted attempt."""
        self._held.pop(report.ask_id, None)
        if report.end is not AttemptEnd.WITHDRAWN:
            now = self._clock.now()
            self._results.append((now, service, report.target, report.end))
            while self._results and now - self._results[0][0] > RESULT_MEMORY_S:
                self._results.popleft()
        self._send_report(service, grant.broker, report)

    def receive(self, ip: str, message: Message) -> bool:
        """Handle a message about slots; return False for one of another kind."""
        kind = message[0]
        if kind == "ask":
            service, ask = slotmessages.decode_ask(ip, message)
            self._seat(service).ask(ask)
        elif kind in {"grant", "queued", "refused"}:
            self._take_answer(ip, message)
        elif kind == "end":
            service, report = slotmessages.decode_report(message)
            if self._port is not None:
                self._port.send(ip, ["noted", report.ask_id])
            self._seat(service).report(report)
        elif kind == "noted":
            timer = self._unnoted.pop((ip, message[1]), None)
            if timer is not None:
                timer.cancel()
        elif kind == "sync":
            self._answer_sync(ip, message[1])
        elif kind == "held":
            self._seat(message[1]).adopt(ip, message[2], message[3])
        else:
            return False
        return True

    # Asking.

    def _choose_broker(self, service: str) -> str:
        now = self._clock.now()
        candidates = [*self._hosts.alive(), self._own_ip]
        for ip in rank_brokers(service, candidates)[:RANKS_ASKED]:
            if ip == self._own_ip or now >= self._passed_over.get(ip, 0.0):
                return ip
        return self._own_ip

    def _pass_over(self, broker: str, service: str) -> None:
        log.warning("event=broker_silent service={} broker={}", service, broker)
        self._passed_over[broker] = self._clock.now() + PASS_OVER_S

    async def _ask_broker(self, broker: str, pending: _Pending) -> bool:
        """Ask one broker; return False when it is silent."""
        if broker == self._own_ip:
            self._seat(pending.service).ask(pending.ask)
            await pending.future
            return True
        assert self._port is not None
        message = slotmessages.encode_ask(pending.service, pending.ask)
        waits = iter(RESEND_S)
        while True:
            wait_s = next(waits, None)
            if wait_s is None:
                return False
            pending.heard.clear()
            self._port.send(broker, message)
            if not await _wait_any(pending, wait_s):
                continue
            if pending.future.done():
                return True
            # The ask is queued: renew it now and then.
            if await _wait_future(pending.future, KEEP_QUEUED_S):
                return True
            waits = iter(RESEND_S)

    def _take_answer(self, broker: str, message: Message) -> None:
        ask_id = str(message[1])
        pending = self._pending.get(ask_id)
        if pending is None or pending.future.done():
            if message[0] == "grant" and ask_id not in self._held and pending is None:
                # The slot came after its request had gone elsewhere: give it back.
                report = _withdrawn(ask_id, str(message[3]))
                self._send_report(str(message[2]), broker, report)
            return
        if message[0] == "grant":
            _, _, _, target, sick, sick_age_ms, address, started_ms = message
            grant = SlotGrant(ask_id, target, address, started_ms, sick, sick_age_ms, broker)
            pending.future.set_result(grant)
        elif message[0] == "refused":
            pending.future.set_result(slotmessages.decode_refusal(broker, message))
        pending.heard.set()

    # Reporting.

    def _send_report(self, service: str, broker: str, report: AttemptReport) -> None:
        if broker in {"", self._own_ip}:
            self._seat(service).report(report)
            return
        self._resend_report(broker, slotmessages.encode_report(service, report), 0)

    def _resend_report(self, broker: str, message: Message, tries: int) -> None:
        assert self._port is not None
        key = (broker, str(message[2]))
        self._port.send(broker, message)
        self._unnoted.pop(key, None)
        if tries < len(REPORT_RESEND_S):
            self._unnoted[key] = asyncio.get_running_loop().call_later(
                REPORT_RESEND_S[tries], self._resend_report, broker, message, tries + 1
            )

    # Serving as broker.

    def _seat(self, service: str) -> BrokerSeat:
        seat = self._seats.get(service)
        if seat is None:
            seat = BrokerSeat(service, self._bounds, self._clock, self._rng, self)
            self._seats[service] = seat
            seat.set_targets(self._targets.of_service(service), self._targets.unconfirmed)
        return seat

    def deliver(self, service: str, decision: Decision) -> None:
        """Pass a decision of a seat to the host that asked."""
        target = self._targets.get(decision.target) if isinstance(decision, Grant) else None
        message = slotmessages.encode_decision(service, decision, target)
        if decision.host == self._own_ip:
            self._take_answer(self._own_ip, message)
        elif self._port is not None:
            self._port.send(decision.host, message)

    def request_sync(self, service: str) -> None:
        """Ask all hosts what they hold and saw of a service."""
        if self._port is None:
            return
        for ip in self._hosts.alive():
            self._port.send(ip, ["sync", service])
        self._answer_sync(self._own_ip, service)

    def _answer_sync(self, ip: str, service: str) -> None:
        now = self._clock.now()
        leases = [
            [ask_id, held.target, int((held.expires_at - now) * 1000), held.fingerprint]
            for ask_id, held in self._held.items()
            if held.service == service
        ]
        results = [
            [target, end.value, int((now - at) * 1000)]
            for at, of_service, target, end in self._results
            if of_service == service and now - at < RESULT_MEMORY_S
        ]
        if ip == self._own_ip:
            self._seat(service).adopt(ip, leases, results)
        elif self._port is not None and (leases or results):
            self._port.send(ip, ["held", service, leases, results])


def _withdrawn(ask_id: str, target: str) -> AttemptReport:
    return AttemptReport(ask_id, target, AttemptEnd.WITHDRAWN, 0.0, "")


async def _wait_any(pending: _Pending, seconds: float) -> bool:
    """Wait until the broker has been heard; return whether it was in time."""
    try:
        async with asyncio.timeout(seconds):
            await pending.heard.wait()
    except TimeoutError:
        return pending.future.done()
    return True


async def _wait_future(future: asyncio.Future[SlotGrant | Refused], seconds: float) -> bool:
    done, _ = await asyncio.wait([future], timeout=seconds)
    return bool(done)
