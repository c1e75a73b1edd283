"""Emulator of how hosts learn of each other's starts and ends, in virtual time, without network.

Each host runs the real prober and announcer.  Datagrams take a millisecond; links lose a share of
them, and a host can be off, cut off from the others or frozen.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

import orjson
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.hostannouncer import HostAnnouncer
from toucanspindle_entry.hosts.hostprober import HostProber, HostStatus
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import HostEntry

from tests.virtualtime import LoopClock

MESSAGE_DELAY_S: Final = 0.001
SEEDS: Final = 3  # Hosts that a starting host knows from its settings.
REPEAT_INTERVAL_S: Final = 0.5  # Of the entry node's housekeeping.
LISTING_AFTER_S: Final = 0.6  # A starting host lists the others in the store then.
MIN_NAMED_SHARE: Final = 0.9
READY_AFTER_S: Final = 0.1  # A starting host reads the store first.


class MemberHost:
    """One incarnation of a host; what arrives while it is frozen is handled when it wakes up.

    The datagrams of a host that is behind leave `answer_delay_s` late.
    """

    def __init__(self, fleet: "EmulatedMembership", ip: str, incarnation: str) -> None:
        self.ip = ip
        self.is_running = True
        self.is_ready = False
        self.is_cut_off = False
        self.is_frozen = False
        self.answer_delay_s = 0.0
        self.started_at = asyncio.get_running_loop().time()
        self.undisturbed_since = self.started_at
        self._fleet = fleet
        self._held_back: list[Callable[[], None]] = []
        rng = random.Random(fleet.rng.random())
        self.hosts = LiveHosts(HostEntry(ip, ip, "beaufort", incarnation), rng)
        self.announcer = HostAnnouncer(self.hosts, self.send, lambda: self.is_ready)
        self.prober = HostProber(self.hosts, self.send, self, LoopClock(), rng)
        loop = asyncio.get_running_loop()
        self._probing = loop.create_task(self.prober.run())
        self._repeating = loop.create_task(self._repeat())

    @property
    def host_status(self) -> HostStatus:
        return HostStatus(0, self.is_ready, 0)

    def handle_host_status(self, status: HostStatus, asked_at: float | None) -> None:
        return

    def greet_all(self) -> None:
        """Greet all hosts like the entry node, which lists them in the store as well."""
        self.announcer.greet_all()
        self._fleet.list_hosts(self)

    @property
    def directory(self) -> set[str]:
        """The other hosts that this host names to callers."""
        return set(self.hosts.alive_ips())

    def send(self, ip: str, message: Message) -> None:
        self._fleet.deliver(self, ip, message)

    def receive(self, ip: str, message: Message) -> None:
        """Handle a datagram like the entry node does."""
        now = asyncio.get_running_loop().time()
        if self.prober.handle_message(ip, message):
            if message[0] == "probe" and ip not in self.hosts.peers:
                self.announcer.greet(ip)
        elif message[0] in {"hello", "welcome"}:
            self.announcer.handle_hello(ip, message, now)
            self.prober.check_sender(ip)
        elif self.announcer.handle_message(ip, message):
            return
        elif message[0] == "leave":
            self.hosts.set_leaving(ip, message[1])

    def when_awake(self, action: Callable[[], None]) -> None:
        if self.is_frozen:
            self._held_back.append(action)
        else:
            action()

    def close(self) -> None:
        """End the process."""
        self.is_running = False
        self._probing.cancel()
        self._repeating.cancel()

    def freeze(self) -> None:
        self.is_frozen = True
        self._probing.cancel()

    def wake_up(self) -> None:
        """Go on; the entry node greets all others when it finds that it was suspended."""
        if not self.is_frozen or not self.is_running:
            return
        self.is_frozen = False
        self._probing = asyncio.get_running_loop().create_task(self.prober.run())
        self.greet_all()
        held_back, self._held_back = self._held_back, []
        for action in held_back:
            action()

    def become_ready(self) -> None:
        """Tell the other hosts that this one takes requests now."""
        if self.is_running:
            self.is_ready = True
            self.announcer.greet_all()

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(REPEAT_INTERVAL_S)
            if not self.is_frozen:
                self.announcer.repeat()


class EmulatedMembership:
    """A fleet of hosts that know each other; create it inside a running loop."""

    def __init__(self, size: int, loss: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.off_since: dict[str, float] = {}
        self._incarnations = 0
        self.bytes_sent = 0
        self.datagrams: Counter[str] = Counter()  # Sent by each host, without the lost ones.
        self.hosts: dict[str, MemberHost] = {}
        for n in range(size):
            self.start(f"10.0.0.{n}")
        for host in self.running():
            host.is_ready = True
            for other in self.running():
                host.hosts.add_host(other.hosts.own, 0.0)
                host.hosts.record_probe_answer(other.ip, 0.0)

    def list_hosts(self, host: MemberHost) -> None:
        """Let a host greet those that it doesn't know, by the registrations of all hosts."""
        for ip in self.hosts:
            host.announcer.greet_first(ip)

    def running(self) -> list[MemberHost]:
        """Return the hosts that aren't off."""
        return [host for host in self.hosts.values() if host.is_running]

    def start(self, ip: str) -> MemberHost:
        """Start a host, which greets its seeds."""
        self._incarnations += 1
        seeds = self.running()[:SEEDS]
        host = MemberHost(self, ip, f"{ip}-{self._incarnations}")
        self.hosts[ip] = host
        self.off_since.pop(ip, None)
        for seed in seeds:
            host.announcer.greet(seed.ip)
            host.announcer.ask_for_hosts(seed.ip)
        asyncio.get_running_loop().call_later(READY_AFTER_S, host.become_ready)
        asyncio.get_running_loop().call_later(LISTING_AFTER_S, self.list_hosts, host)
        return host

    def power_off(self, ip: str) -> None:
        """End a host without notice."""
        self.hosts[ip].close()
        self.off_since[ip] = asyncio.get_running_loop().time()

    def stop(self, ip: str, grace_s: float) -> None:
        """Shut a host down: it tells the others, and ends after `grace_s`."""
        host = self.hosts[ip]
        host.is_ready = False
        for peer in list(host.hosts.peers):
            host.send(peer, ["leave", host.hosts.own.incarnation])
        asyncio.get_running_loop().call_later(grace_s, self.power_off, ip)

    def freeze(self, ip: str, for_s: float) -> None:
        """Freeze a host."""
        host = self.hosts[ip]
        host.freeze()
        asyncio.get_running_loop().call_later(for_s, self._end_disturbance, host)

    def cut_off(self, ip: str, for_s: float) -> None:
        """Cut a host off from all others; callers still reach it."""
        host = self.hosts[ip]
        host.is_cut_off = True
        asyncio.get_running_loop().call_later(for_s, self._end_disturbance, host)

    def _end_disturbance(self, host: MemberHost) -> None:
        host.is_cut_off = False
        host.wake_up()
        host.undisturbed_since = asyncio.get_running_loop().time()

    def deliver(self, sender: MemberHost, ip: str, message: Message) -> None:
        """Deliver a datagram, unless the network loses it or one of the two hosts fails."""
        sender.when_awake(lambda: self._send(sender, ip, message))

    def _send(self, sender: MemberHost, ip: str, message: Message) -> None:
        receiver = self.hosts.get(ip)
        if receiver is None or self.rng.random() < self.loss:
            return
        if any(host.is_cut_off or not host.is_running for host in (sender, receiver)):
            return

        def receive() -> None:
            if receiver.is_running and self.hosts[ip] is receiver:
                receiver.receive(sender.ip, message)

        self.datagrams[sender.ip] += 1
        self.bytes_sent += len(orjson.dumps(message))
        delay_s = MESSAGE_DELAY_S + sender.answer_delay_s
        asyncio.get_running_loop().call_later(delay_s, receiver.when_awake, receive)

    def calm_hosts(self, calm_for_s: float) -> list[MemberHost]:
        """Return the hosts that have run without a disturbance for `calm_for_s`."""
        now = asyncio.get_running_loop().time()
        return [
            host
            for host in self.running()
            if not host.is_frozen
            and not host.is_cut_off
            and now - host.undisturbed_since >= calm_for_s
        ]

    def stale_entries(self, off_for_s: float, calm_for_s: float) -> list[str]:
        """Return which calm hosts name hosts that have been off for `off_for_s`."""
        now = asyncio.get_running_loop().time()
        return [
            f"{now:.1f} s: {host.ip} names {ip}, off for {now - since:.1f} s"
            for host in self.calm_hosts(calm_for_s)
            for ip, since in self.off_since.items()
            if now - since >= off_for_s and ip in host.directory
        ]

    def little_named(self, calm_for_s: float) -> list[str]:
        """Return which calm hosts that are ready are named by too few of the others."""
        calm = self.calm_hosts(calm_for_s)
        return [
            f"{other.ip} is named by {count} of {len(calm) - 1}"
            for other in calm
            if other.is_ready
            and (count := sum(1 for host in calm if other.ip in host.directory))
            < MIN_NAMED_SHARE * (len(calm) - 1)
        ]
