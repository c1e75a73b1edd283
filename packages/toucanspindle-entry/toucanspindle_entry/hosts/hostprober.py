"""Probes the other hosts one at a time, and exchanges with them which hosts are dead.

    ["probe", sequence number]
    ["alive", sequence number, plan version, capacity, newest change of targets, hosts not alive,
     age of the plan's confirmation in ms, era of the store]
    ["dead", ip, ...]

The age is sent only in fleets with a time limit for revoked keys, and is null without a
confirmation.  It is told in an answer, so that its receiver can date it from the sending of its own
probe, see `planfreshness`.  The era is sent only if it isn't 0.

A host that misses a probe is probed again at once, with a longer timeout.  A host that finds
another one dead by a probe of its own reports this to the live hosts.  They probe it as well, since
on a network that loses packets a report alone is weak evidence, and pass it on to a few hosts.  A
report can be missed, and a host that leaves is not reported, so each answer to a probe also names
some hosts that aren't alive for its sender.

Under load, late answers must not add load.  A host whose timers fire late doesn't count a missed
probe, as the answer may wait to be read.  A host that misses the answers of several others in a row
is likely behind itself, so it waits longer until one of them answers.  A host that answers late is
given twice that time from then on.  The reports that a host sends and the suspects that it probes
at a time are limited.

In turn a dead host that sends a message is probed at once.  A host that finds itself named, or gets
answers again after it was isolated, greets all others.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from logbook import Logger
from toucanspindle_core.clock import Clock

from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.hosts.roundtrips import RoundTrips

PROBE_INTERVAL_S: Final = 0.25  # Probes one host per interval.
MISSED_PROBE_INTERVAL_S: Final = 0.08
MAX_HOSTS_NAMED: Final = 16  # In one answer; several answers a second name all of them.
# Between two rounds of greetings to all hosts; doubled for each round that follows at once.
MIN_GREETING_INTERVAL_S: Final = 1.0
MAX_GREETING_INTERVAL_S: Final = 8.0
GREETING_REPEAT_S: Final = 0.4
# For the first probe of a host and for those after missed ones.  A round trip takes 2 ms, and
# longer with a slow host or behind large responses on a slow link.
PROBE_TIMEOUTS_S: Final = (0.12, 0.15, 0.2)
# A host that misses answers of more hosts in a row is likely behind itself.
MAX_MISSED_HOSTS: Final = 5
TIMEOUT_FACTOR_STEP: Final = 0.5  # Lengthens its timeouts for each further host.
MAX_TIMEOUT_FACTOR: Final = 3.0
MAX_PROBE_TIMEOUT_S: Final = 0.8  # For a host that answers late.
LATE_ANSWER_MEMORY_S: Final = 3.0  # A later answer isn't measured.
MAX_TIMER_DELAY_S: Final = 0.03  # A host whose timers are later than this is behind.
MAX_SUSPECTS_PROBED: Final = 64  # Hosts that others report, probed at a time.
# A reported host that answered this recently isn't probed for another report.
SUSPECT_CLEARED_S: Final = 0.5
REPORTS_PER_S: Final = 400.0  # Datagrams with reports, in the mean.
MAX_REPORTS: Final = 1500.0  # Datagrams with reports, at once.
# Hosts found dead within this time share a report to all hosts, or one that is passed on.
REPORT_DELAY_S: Final = 0.1
PASSED_ON_DELAY_S: Final = 0.02
MAX_HOSTS_REPORTED: Final = 64  # In one datagram.
REPORT_PASSED_ON_TO: Final = 3  # Hosts, at random.

log = Logger("node")


@dataclass
class _PendingProbe:
    """A probe without an answer so far; `is_report_check` if another host reported the host.

    `sent_at` is in seconds of the event loop, and `asked_at` of the prober's clock, which also
    counts the time for which the host was suspended.
    """

    ip: str
    sent_at: float
    asked_at: float
    timer: asyncio.TimerHandle
    is_report_check: bool


@dataclass(frozen=True)
class HostStatus:
    """What a host tells of itself in its answer to a probe.

    `newest_change` is the store revision of the newest change of targets that it has seen; None
    if the host, of an earlier version, tells none.  `plan_age_ms` is how long ago the plan version
    was certainly the newest one; None if that isn't known, or if the fleet doesn't tell it.
    `store_era` is the era of the revision.
    """

    plan_version: int
    is_ready: bool
    newest_change: int | None
    plan_age_ms: int | None = None
    store_era: int = 0


class ProbeOwner(Protocol):
    """The process that probes and is probed."""

    @property
    def host_status(self) -> HostStatus:
        """What this host tells of itself."""
        ...

    def handle_host_status(self, status: HostStatus, asked_at: float | None) -> None:
        """Process what another host tells of itself.

        `asked_at` is when the probe was sent that it answers, or None if that isn't known.
        """
        ...

    def greet_all(self) -> None:
        """Tell the other hosts that this one is alive."""
        ...


class HostProber:
    """Finds out which of the hosts in `LiveHosts` are alive."""

    def __init__(
        self,
        hosts: LiveHosts,
        send: Callable[[str, Message], None],
        owner: ProbeOwner,
        clock: Clock,
        rng: random.Random,
        *,
        first_seq: int = 1,
        tells_plan_age: bool = False,
    ) -> None:
        """Create a prober; `owner` gets the status in each answer of another host.

        `first_seq` is the number of the first probe.  With `tells_plan_age` its answers tell the
        age of the plan's confirmation.
        """
        self._hosts = hosts
        self._send = send
        self._owner = owner
        self._clock = clock
        self._rng = rng
        self._pending: dict[int, _PendingProbe] = {}
        self._timed_out: dict[int, tuple[str, float]] = {}  # Host and time by probe, oldest first.
        self._round_trips = RoundTrips()
        self._probed: set[str] = set()
        self._suspects: dict[str, None] = {}  # Reported hosts that wait for a probe, oldest first.
        self._suspects_probed = 0
        self._cleared_at: dict[str, float] = {}
        # Hosts chosen at random that missed a probe since the last answer of any host.
        self._missed_hosts: set[str] = set()
        self._found_dead: list[str] = []
        self._confirmed_dead: list[str] = []  # Other hosts reported these first.
        self._report_tokens = MAX_REPORTS
        self._reported_at = float("-inf")
        self._last_seq = first_seq - 1
        self._tells_plan_age = tells_plan_age
        self._greeted_at = float("-inf")
        self._greeting_interval_s = MIN_GREETING_INTERVAL_S

    async def run(self) -> None:
        """Probe one other host in each interval, forever.

        After a missed probe the interval is shorter, to find out soon whether others answer.
        """
        while True:
            interval_s = MISSED_PROBE_INTERVAL_S if self._missed_hosts else PROBE_INTERVAL_S
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            ip = self._hosts.choose_probe_host()
            if ip is not None:
                self._probe(ip)

    def handle_message(self, ip: str, message: Message) -> bool:
        """Handle a message about the state of hosts; return False for any other message.

        Raises ValueError, TypeError or IndexError for a malformed one.
        """
        kind = message[0]
        if kind == "probe":
            status = self._owner.host_status
            answer = [
                "alive",
                message[1],
                status.plan_version,
                self._hosts.own_capacity if status.is_ready else 0,
                status.newest_change,
                self._hosts.sample_not_alive(MAX_HOSTS_NAMED),
            ]
            if self._tells_plan_age or status.store_era:
                answer.append(status.plan_age_ms)
            if status.store_era:
                answer.append(status.store_era)
            self._send(ip, answer)
            self.check_sender(ip)
        elif kind == "alive":
            self._handle_answer(ip, message)
        elif kind == "dead":
            reporter = self._hosts.peers.get(ip)
            if reporter is not None and reporter.is_alive:
                for suspect in message[1 : 1 + MAX_HOSTS_REPORTED]:
                    self._check_suspect(suspect)
        else:
            return False
        return True

    def ask(self, ip: str) -> None:
        """Probe a host for what it tells of itself, unless a probe of it has no answer yet."""
        if ip not in self._probed:
            self._probe(ip)

    def check_sender(self, ip: str) -> None:
        """Probe a host that has sent a message, if it is dead for this host."""
        peer = self._hosts.peers.get(ip)
        if peer is not None and peer.is_dead and ip not in self._probed:
            self._probe(ip)

    def check_silent(self, ip: str) -> None:
        """Probe a live host that didn't answer another question."""
        self._check_suspect(ip)

    def _handle_answer(self, ip: str, message: Message) -> None:
        """Mark a host as alive, and as ready or not; pass its status on."""
        _, seq, plan_version, *options = message
        probe = self._pending.get(seq)
        if probe is not None:
            probe.timer.cancel()
            self._end_probe(seq)
            if probe.is_report_check:
                self._cleared_at[ip] = self._clock.now()
            self._missed_hosts.clear()
        self._measure_round_trip(ip, seq, probe)
        if self._hosts.is_isolated(self._clock.now()):
            self._greet_all("was isolated", ip)
        if self._hosts.record_probe_answer(ip, self._clock.now()):
            log.info("event=host_alive host={}", ip)
        # Hosts of earlier versions tell whether they are ready in place of their capacity.
        is_ready = bool(options[0]) if options else True
        newest_change = int(options[1]) if len(options) > 1 else None
        store_era = int(options[4]) if len(options) > 4 else 0
        for suspect in options[2] if len(options) > 2 else ():
            if suspect == self._hosts.own.ip and self._owner.host_status.is_ready:
                self._greet_all("not alive for another host", ip)
            self._check_suspect(suspect)
        if options:
            self._hosts.set_capacity(ip, float(options[0]))
        plan_age_ms = int(options[3]) if len(options) > 3 and options[3] is not None else None
        status = HostStatus(int(plan_version), is_ready, newest_change, plan_age_ms, store_era)
        asked_at = probe.asked_at if probe is not None and probe.ip == ip else None
        self._owner.handle_host_status(status, asked_at)

    def _check_suspect(self, ip: str) -> None:
        """Probe a host that isn't alive for another host, if it is alive for this one."""
        peer = self._hosts.peers.get(ip)
        if peer is None or not peer.is_alive or ip in self._probed:
            return
        cleared_at = self._cleared_at.get(ip, float("-inf"))
        if self._clock.now() - cleared_at > SUSPECT_CLEARED_S:
            self._suspects[ip] = None
            self._probe_suspects()

    def _probe_suspects(self) -> None:
        """Probe the next reported hosts, if not too many are being probed.

        An isolated host waits, as it could find no host dead.
        """
        if self._hosts.is_isolated(self._clock.now()):
            return
        while self._suspects and self._suspects_probed < MAX_SUSPECTS_PROBED:
            ip = next(iter(self._suspects))
            del self._suspects[ip]
            peer = self._hosts.peers.get(ip)
            if peer is not None and peer.is_alive and ip not in self._probed:
                self._probe(ip, is_report_check=True)

    def _greet_all(self, reason: str, ip: str) -> None:
        """Greet all hosts, after an answer of the host `ip`."""
        now = self._clock.now()
        if now - self._greeted_at > self._greeting_interval_s:
            is_calm = now - self._greeted_at > MAX_GREETING_INTERVAL_S
            longer_s = min(MAX_GREETING_INTERVAL_S, 2 * self._greeting_interval_s)
            self._greeting_interval_s = MIN_GREETING_INTERVAL_S if is_calm else longer_s
            self._greeted_at = now
            log.info("event=greeting_all why={!r} host={}", reason, ip)
            self._owner.greet_all()
            # At 3% loss, one in eleven hosts misses the greeting or the probe that follows it.
            asyncio.get_running_loop().call_later(GREETING_REPEAT_S, self._owner.greet_all)

    def _probe(self, ip: str, is_report_check: bool = False) -> None:
        self._last_seq += 1
        seq = self._last_seq
        asked_at = self._clock.now()
        self._send(ip, ["probe", seq])
        peer = self._hosts.peers.get(ip)
        missed = peer.missed_probes if peer is not None else 0
        timeout_s = PROBE_TIMEOUTS_S[min(missed, len(PROBE_TIMEOUTS_S) - 1)]
        timeout_s = self._round_trips.wait_s(
            ip, timeout_s * self._timeout_factor(), MAX_PROBE_TIMEOUT_S
        )
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._handle_timeout, seq)
        self._pending[seq] = _PendingProbe(ip, loop.time(), asked_at, timer, is_report_check)
        self._probed.add(ip)
        self._suspects_probed += is_report_check

    def _measure_round_trip(self, ip: str, seq: int, probe: _PendingProbe | None) -> None:
        """Record how long a host took to answer a probe, in time or late."""
        if probe is not None:
            host, sent_at = probe.ip, probe.sent_at
        else:
            host, sent_at = self._timed_out.pop(seq, ("", 0.0))
        if host == ip:
            self._round_trips.record(ip, asyncio.get_running_loop().time() - sent_at)

    def _remember_timed_out(self, seq: int, probe: _PendingProbe) -> None:
        """Remember a probe whose answer may still come, and forget those for which it is late."""
        self._timed_out[seq] = (probe.ip, probe.sent_at)
        forget_before = asyncio.get_running_loop().time() - LATE_ANSWER_MEMORY_S
        for oldest, (_, sent_at) in list(self._timed_out.items()):
            if sent_at >= forget_before:
                break
            del self._timed_out[oldest]

    def _timeout_factor(self) -> float:
        surplus = max(0, len(self._missed_hosts) - MAX_MISSED_HOSTS)
        return min(MAX_TIMEOUT_FACTOR, 1.0 + TIMEOUT_FACTOR_STEP * surplus)

    def _end_probe(self, seq: int) -> _PendingProbe:
        probe = self._pending.pop(seq)
        self._probed.discard(probe.ip)
        self._suspects_probed -= probe.is_report_check
        if self._suspects:
            asyncio.get_running_loop().call_soon(self._probe_suspects)
        return probe

    def _handle_timeout(self, seq: int) -> None:
        """Count a missed probe; report a newly dead host, or probe a live one again at once."""
        probe = self._end_probe(seq)
        self._remember_timed_out(seq, probe)
        ip = probe.ip
        peer = self._hosts.peers.get(ip)
        was_alive = peer is not None and peer.is_alive
        now = self._clock.now()
        if asyncio.get_running_loop().time() - probe.timer.when() > MAX_TIMER_DELAY_S:
            if was_alive:
                self._probe(ip, probe.is_report_check)
            return
        if not probe.is_report_check:
            self._missed_hosts.add(ip)
        if self._hosts.record_missed_probe(ip, now):
            log.warning("event=host_dead host={} why='missed probes'", ip)
            self._report_dead(ip, probe.is_report_check)
        elif was_alive and self._hosts.is_isolated(now):
            self._suspects[ip] = None
        elif was_alive:
            self._probe(ip, probe.is_report_check)

    def _report_dead(self, ip: str, is_known: bool) -> None:
        """Report a dead host to others, together with those found dead shortly after."""
        loop = asyncio.get_running_loop()
        if is_known:
            if not self._confirmed_dead:
                loop.call_later(PASSED_ON_DELAY_S, self._pass_on_reports)
            self._confirmed_dead.append(ip)
        else:
            if not self._found_dead:
                loop.call_later(REPORT_DELAY_S, self._report_to_all)
            self._found_dead.append(ip)

    def _report_to_all(self) -> None:
        found_dead, self._found_dead = self._found_dead, []
        receivers = self._hosts.alive_ips()
        self._send_report(found_dead, receivers, len(receivers))

    def _pass_on_reports(self) -> None:
        confirmed_dead, self._confirmed_dead = self._confirmed_dead, []
        self._send_report(confirmed_dead, self._hosts.alive_ips(), REPORT_PASSED_ON_TO)

    def _send_report(self, found_dead: list[str], receivers: list[str], count: int) -> None:
        """Send a report to `count` of the receivers, or to as many as the limit allows."""
        now = self._clock.now()
        refill = REPORTS_PER_S * (now - self._reported_at)
        self._report_tokens = min(MAX_REPORTS, self._report_tokens + refill)
        self._reported_at = now
        count = min(count, len(receivers), int(self._report_tokens))
        self._report_tokens -= count
        message = ["dead", *found_dead[:MAX_HOSTS_REPORTED]]
        for receiver in self._rng.sample(receivers, count):
            self._send(receiver, message)
