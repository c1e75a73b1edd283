"""Tests of how hosts learn of each other's start and readiness."""

import random

from testtools import TestCase
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.hostannouncer import MAX_READY_HELLOS, HostAnnouncer
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import HostEntry


class AnnouncedHost:
    """A host with an announcer; `outbox` holds the messages that are on their way."""

    def __init__(self, name: str) -> None:
        self.ip = name
        self.is_ready = False
        self.outbox: list[tuple[str, Message]] = []
        self.hosts = LiveHosts(HostEntry(name, name, "beaufort", f"{name}-1"), random.Random(1))
        self.announcer = HostAnnouncer(
            self.hosts,
            lambda ip, message: self.outbox.append((ip, message)),
            lambda: self.is_ready,
        )

    def become_ready(self) -> None:
        self.is_ready = True
        self.announcer.greet_all()


def deliver(*hosts: AnnouncedHost) -> None:
    """Deliver all messages until none is on its way."""
    by_ip = {host.ip: host for host in hosts}
    while any(host.outbox for host in hosts):
        for host in hosts:
            deliver_from(host, by_ip)


def deliver_from(host: AnnouncedHost, by_ip: dict[str, AnnouncedHost]) -> None:
    messages, host.outbox = host.outbox, []
    for ip, message in messages:
        if not by_ip[ip].announcer.handle_message(host.ip, message):
            by_ip[ip].announcer.handle_hello(host.ip, message, 0.0)


class ReadinessTests(TestCase):
    """A host that others take for unready is no broker for them, but for the rest of the fleet."""

    def test_host_that_becomes_ready_between_hello_and_welcome_is_known_as_ready(self) -> None:
        """Hosts start within milliseconds, so that this happens to some pairs at each start."""
        starting, other = AnnouncedHost("a"), AnnouncedHost("b")
        other.is_ready = True
        by_ip = {"a": starting, "b": other}
        starting.announcer.greet("b")
        deliver_from(starting, by_ip)
        starting.become_ready()
        deliver(starting, other)
        self.assertEqual(["a"], other.hosts.alive_ips())
        self.assertEqual(["b"], starting.hosts.alive_ips())

    def test_lost_hello_of_a_ready_host_is_repeated(self) -> None:
        starting, other = AnnouncedHost("a"), AnnouncedHost("b")
        other.is_ready = True
        starting.announcer.greet("b")
        deliver(starting, other)
        starting.become_ready()
        starting.outbox.clear()
        self.assertEqual([], other.hosts.alive_ips())
        starting.announcer.repeat()
        deliver(starting, other)
        self.assertEqual(["a"], other.hosts.alive_ips())

    def test_hello_is_not_repeated_without_end(self) -> None:
        """A host that is gone answers no hello; one that confirmed gets no more of them."""
        starting, other = AnnouncedHost("a"), AnnouncedHost("b")
        other.is_ready = True
        starting.announcer.greet("b")
        deliver(starting, other)
        starting.become_ready()
        for _ in range(20):
            starting.announcer.repeat()
        self.assertEqual(MAX_READY_HELLOS, len(starting.outbox))
        deliver(starting, other)
        starting.announcer.repeat()
        self.assertEqual([], starting.outbox)

    def test_all_hosts_of_a_fleet_that_starts_at_once_know_each_other_as_ready(self) -> None:
        rng = random.Random(3)
        for _ in range(20):
            hosts = [AnnouncedHost(f"h{n}") for n in range(8)]
            by_ip = {host.ip: host for host in hosts}
            for host in hosts:
                for other in hosts:
                    if other is not host:
                        host.announcer.greet(other.ip)
            waiting = list(hosts)
            while waiting:
                deliver_from(rng.choice(hosts), by_ip)
                if rng.random() < 0.3:
                    waiting.pop(rng.randrange(len(waiting))).become_ready()
            deliver(*hosts)
            for host in hosts:
                self.assertEqual(7, len(host.hosts.alive_ips()), host.ip)
