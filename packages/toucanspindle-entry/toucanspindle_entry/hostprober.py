"""Probes the other hosts one at a time, and exchanges with them which hosts are dead.

    ["probe", sequence number]
    ["alive", sequence number, plan version, is ready, newest change of targets, hosts not alive]
    ["dead", ip]

A host that misses a probe is probed again at once.  The one that finds it dead reports this to all
live hosts, which probe it as well: on a network that loses packets a report alone is weak evidence.
A report can be missed, and a host that leaves is not reported, so each answer to a probe also names
some hosts that aren't alive for its sender.

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

from toucanspindle_entry.datagrams import Message
from toucanspindle_entry.livehosts import LiveHosts

PROBE_INTERVAL_S: Final = 0.25  # Probes one host per interval.
MAX_HOSTS_NAMED: Final = 16  # In one answer; several answers a second name all of them.
MIN_GREETING_INTERVAL_S: Final = 1.0  # Between two rounds of greetings to all hosts.
GREETING_REPEAT_S: Final = 0.4
PROBE_TIMEOUT_S: Final = 0.12  # A round trip takes 2 ms, and longer with a slow host.

log = Logger("node")


@dataclass(frozen=True)
class HostStatus:
    """What a host tells of itself in its answer to a probe.

    `newest_change` is the store revision of the newest change of targets that it has seen; None
    if the host, of an earlier version, tells none.
    """

    plan_version: int
    is_ready: bool
    newest_change: int | None


class ProbeOwner(Protocol):
    """The process that probes and is probed."""

    @property
    def host_status(self) -> HostStatus:
        """What this host tells of itself."""
        ...

    def handle_host_status(self, status: HostStatus) -> None:
        """Process what another host tells of itself."""
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
    ) -> None:
        """Create a prober; `owner` gets the status in each answer of another host."""
        self._hosts = hosts
        self._send = send
        self._owner = owner
        self._clock = clock
        self._rng = rng
        self._pending: dict[int, tuple[str, asyncio.TimerHandle]] = {}
        self._last_seq = 0
        self._greeted_at = float("-inf")

    async def run(self) -> None:
        """Probe one other host in each interval, forever."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
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
            self._send(
                ip,
                [
                    "alive",
                    message[1],
                    status.plan_version,
                    int(status.is_ready),
                    status.newest_change,
                    self._hosts.sample_not_alive(MAX_HOSTS_NAMED),
                ],
            )
            self.check_sender(ip)
        elif kind == "alive":
            self._handle_answer(ip, message)
        elif kind == "dead":
            reporter = self._hosts.peers.get(ip)
            if reporter is not None and reporter.is_alive:
                self._check_suspect(message[1])
        else:
            return False
        return True

    def check_sender(self, ip: str) -> None:
        """Probe a host that has sent a message, if it is dead for this host."""
        peer = self._hosts.peers.get(ip)
        if peer is not None and peer.is_dead and not self._is_probed(ip):
            self._probe(ip)

    def _handle_answer(self, ip: str, message: Message) -> None:
        """Mark a host as alive, and as ready or not; pass its status on."""
        _, seq, plan_version, *options = message
        probe = self._pending.pop(seq, None)
        if probe is not None:
            probe[1].cancel()
        if self._hosts.is_isolated(self._clock.now()):
            self._greet_all("was isolated", ip)
        if self._hosts.record_probe_answer(ip, self._clock.now()):
            log.info("event=host_alive host={}", ip)
        is_ready = bool(options[0]) if options else True
        newest_change = int(options[1]) if len(options) > 1 else None
        for suspect in options[2] if len(options) > 2 else ():
            if suspect == self._hosts.own.ip and self._owner.host_status.is_ready:
                self._greet_all("not alive for another host", ip)
            self._check_suspect(suspect)
        if options:
            self._hosts.set_ready(ip, is_ready)
        self._owner.handle_host_status(HostStatus(int(plan_version), is_ready, newest_change))

    def _check_suspect(self, ip: str) -> None:
        """Probe a host that isn't alive for another host, if it is alive for this one."""
        peer = self._hosts.peers.get(ip)
        if peer is not None and peer.is_alive and not self._is_probed(ip):
            self._probe(ip)

    def _greet_all(self, reason: str, ip: str) -> None:
        """Greet all hosts, after an answer of the host `ip`."""
        now = self._clock.now()
        if now - self._greeted_at > MIN_GREETING_INTERVAL_S:
            self._greeted_at = now
            log.info("event=greeting_all why={!r} host={}", reason, ip)
            self._owner.greet_all()
            # At 3% loss, one in eleven hosts misses the greeting or the probe that follows it.
            asyncio.get_running_loop().call_later(GREETING_REPEAT_S, self._owner.greet_all)

    def _is_probed(self, ip: str) -> bool:
        return any(pending_ip == ip for pending_ip, _ in self._pending.values())

    def _probe(self, ip: str) -> None:
        self._last_seq += 1
        seq = self._last_seq
        self._send(ip, ["probe", seq])
        timer = asyncio.get_running_loop().call_later(PROBE_TIMEOUT_S, self._handle_timeout, seq)
        self._pending[seq] = (ip, timer)

    def _handle_timeout(self, seq: int) -> None:
        """Count a missed probe; report a newly dead host, or probe a live one again at once."""
        ip, _ = self._pending.pop(seq)
        peer = self._hosts.peers.get(ip)
        was_alive = peer is not None and peer.is_alive
        now = self._clock.now()
        if self._hosts.record_missed_probe(ip, now):
            log.warning("event=host_dead host={} why='missed probes'", ip)
            for other in self._hosts.alive_ips():
                self._send(other, ["dead", ip])
        elif was_alive and not self._hosts.is_isolated(now):
            self._probe(ip)
