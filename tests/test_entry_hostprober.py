"""Tests of probing other hosts and of what hosts tell each other about third ones."""

import asyncio
import random
from collections.abc import Callable

from testtools import TestCase
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.hostprober import GREETING_REPEAT_S, HostProber, HostStatus
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import HostEntry

from tests.virtualtime import LoopClock, run_in_virtual_time


class ProbingHost:
    """A host with three peers; those in `answering` answer its probes."""

    def __init__(self) -> None:
        own = HostEntry("own", "own", "beaufort", "own-1")
        self.hosts = LiveHosts(own, random.Random(1))
        for ip in ("a", "b", "c"):
            self.hosts.add_host(HostEntry(ip, ip, "beaufort", f"{ip}-1"), 0.0)
            self.hosts.record_probe_answer(ip, 0.0)
        self.answering = {"a", "b", "c"}
        self.sent: list[tuple[str, Message]] = []
        self.greetings = 0
        self.prober = HostProber(self.hosts, self.send, self, LoopClock(), random.Random(1))

    @property
    def host_status(self) -> HostStatus:
        return HostStatus(1, True, 5)

    def handle_host_status(self, status: HostStatus, asked_at: float | None) -> None:
        return

    def greet_all(self) -> None:
        self.greetings += 1

    def send(self, ip: str, message: Message) -> None:
        self.sent.append((ip, message))
        if message[0] == "probe" and ip in self.answering:
            answer = ["alive", message[1], 1, 1, 5, []]
            asyncio.get_running_loop().call_later(0.002, self.prober.handle_message, ip, answer)

    def probed(self) -> set[str]:
        return {ip for ip, message in self.sent if message[0] == "probe"}


class ProbingCase(TestCase):
    """Plays a moment of a host in virtual time."""

    def play(self, act: Callable[[ProbingHost], None], wait_s: float = 1.0) -> ProbingHost:
        hosts: list[ProbingHost] = []

        async def main() -> None:
            host = ProbingHost()
            hosts.append(host)
            act(host)
            await asyncio.sleep(wait_s)

        run_in_virtual_time(main())
        return hosts[0]


class SuspectTests(ProbingCase):
    """What other hosts tell is checked by probes before it counts."""

    # Guards against a live host that is taken for dead on the word of one other host.
    def test_reported_host_that_answers_stays_alive(self) -> None:
        host = self.play(
            lambda host: self.assertTrue(host.prober.handle_message("a", ["dead", "b"]))
        )
        self.assertEqual({"b"}, host.probed())
        self.assertIn("b", host.hosts.alive_ips())

    def test_reported_host_that_is_off_is_dead_within_half_a_second(self) -> None:
        def report(host: ProbingHost) -> None:
            host.answering.discard("b")
            host.prober.handle_message("a", ["dead", "b"])

        host = self.play(report, wait_s=0.5)
        self.assertNotIn("b", host.hosts.alive_ips())
        self.assertIn(("c", ["dead", "b"]), host.sent)

    def test_report_of_a_dead_or_unknown_host_is_ignored(self) -> None:
        def report(host: ProbingHost) -> None:
            for _ in range(3):
                host.hosts.record_missed_probe("a", 0.0)
            host.prober.handle_message("a", ["dead", "b"])
            host.prober.handle_message("stranger", ["dead", "b"])

        self.assertEqual(set(), self.play(report).probed())

    # Guards against a report that was missed and is never repeated.
    def test_host_named_in_an_answer_to_a_probe_is_checked(self) -> None:
        def answer(host: ProbingHost) -> None:
            host.answering.discard("b")
            host.prober.handle_message("a", ["alive", 99, 1, 1, 5, ["b"]])

        self.assertNotIn("b", self.play(answer).hosts.alive_ips())

    def test_answer_names_hosts_that_are_not_alive(self) -> None:
        def probe(host: ProbingHost) -> None:
            host.hosts.set_leaving("b", "b-1")
            host.prober.handle_message("a", ["probe", 7])

        self.assertEqual([("a", ["alive", 7, 1, 1, 5, ["b"]])], self.play(probe).sent)

    def test_answer_of_an_earlier_version_is_accepted(self) -> None:
        host = self.play(
            lambda host: self.assertTrue(host.prober.handle_message("a", ["alive", 1, 1]))
        )
        self.assertIn("a", host.hosts.alive_ips())


class ReturningHostTests(ProbingCase):
    """A host that was off the network is found alive again without waiting for a random probe."""

    def test_dead_host_that_sends_a_probe_is_probed(self) -> None:
        def act(host: ProbingHost) -> None:
            for _ in range(3):
                host.hosts.record_missed_probe("a", 0.0)
            host.prober.handle_message("a", ["probe", 7])

        self.assertIn("a", self.play(act).hosts.alive_ips())

    # Guards against a host that was cut off briefly and stays dead for most of the fleet.
    def test_host_that_is_named_as_not_alive_greets_all(self) -> None:
        def act(host: ProbingHost) -> None:
            host.prober.handle_message("a", ["alive", 99, 1, 1, 5, ["own"]])
            host.prober.handle_message("b", ["alive", 98, 1, 1, 5, ["own"]])

        self.assertEqual(2, self.play(act).greetings)  # Once, and repeated.

    def test_first_answer_after_an_isolation_greets_all(self) -> None:
        async def main() -> None:
            host = ProbingHost()
            await asyncio.sleep(5.0)
            for _ in range(2):
                host.prober.handle_message("a", ["alive", 99, 1, 1, 5, []])
            self.assertEqual(1, host.greetings)
            await asyncio.sleep(GREETING_REPEAT_S)
            self.assertEqual(2, host.greetings)

        run_in_virtual_time(main())
