"""Hosts that get slots from one another: lost messages, silent brokers, and takeovers.

The hosts run in one event loop; their datagrams pass through a fake network that drops messages
and cuts hosts off, one way or both.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import cast

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.brokerchoice import rank_brokers
from toucanspindle_entry.datagrams import DatagramPort, Message
from toucanspindle_entry.livehosts import LiveHosts
from toucanspindle_entry.model import HostEntry
from toucanspindle_entry.posterior import AttemptEnd
from toucanspindle_entry.slotclient import SlotClient, SlotGrant
from toucanspindle_entry.slottypes import AttemptReport, Refused
from toucanspindle_entry.targettable import TargetTable

from tests.entrycase import BOUNDS, ask, target

SERVICE = "orders"
IPS = tuple(f"10.0.0.{n}" for n in range(1, 6))
BROKER, SECOND = rank_brokers(SERVICE, IPS)[:2]
OTHERS = [ip for ip in IPS if ip not in {BROKER, SECOND}]


class Network:
    """Passes messages between hosts, or drops them."""

    def __init__(self, loss: float = 0.0) -> None:
        self.clients: dict[str, SlotClient] = {}
        self.deaf: set[str] = set()
        self.mute: set[str] = set()
        self.sent: Counter[str] = Counter()
        self._loss = loss
        self._rng = random.Random(7)

    def pass_on(self, sender: str, receiver: str, message: Message) -> None:
        self.sent[message[0]] += 1
        lost = self._rng.random() < self._loss
        if lost or sender in self.mute or receiver in self.deaf:
            return
        asyncio.get_running_loop().call_later(
            0.001, self.clients[receiver].receive, sender, message
        )


class Port:
    """One host's port in the fake network."""

    def __init__(self, network: Network, ip: str) -> None:
        self._network = network
        self._ip = ip

    def send(self, ip: str, message: Message) -> None:
        self._network.pass_on(self._ip, ip, message)


class SlotClientTests(TestCase):
    def run_fleet(
        self, script: Callable[[Network], Awaitable[None]], slots: int = 4, loss: float = 0.0
    ) -> None:
        """Run a script over five hosts and four targets."""

        async def run() -> None:
            network = Network(loss)
            for ip in IPS:
                network.clients[ip] = make_client(network, ip, slots)
            async with asyncio.timeout(20):
                await script(network)

        asyncio.run(run())

    def test_all_hosts_use_one_account_of_slots(self) -> None:
        """Herd: forty asks at once from all hosts never hold a slot twice."""

        async def script(network: Network) -> None:
            grants = await asyncio.gather(
                *(acquire(network, IPS[n % 5], goal_left_s=5.0) for n in range(8))
            )
            taken = Counter(grant.target for grant in grants)
            self.assertEqual(8, sum(taken.values()))
            self.assertLessEqual(max(taken.values()), 2)

        self.run_fleet(script, slots=2)

    def test_failure_seen_by_one_host_steers_the_next_request_of_another(self) -> None:
        async def script(network: Network) -> None:
            grant = await acquire(network, OTHERS[0])
            finish(network, OTHERS[0], grant, AttemptEnd.FAILED)
            await asyncio.sleep(0.02)
            after = await acquire(network, OTHERS[1])
            self.assertNotEqual(grant.target, after.target)

        self.run_fleet(script)

    def test_lost_messages_cost_milliseconds(self) -> None:
        async def script(network: Network) -> None:
            for n in range(60):
                grant = await acquire(network, OTHERS[n % 3])
                finish(network, OTHERS[n % 3], grant, AttemptEnd.ANSWERED)
            await asyncio.sleep(0.8)
            self.assertEqual(0, network.clients[BROKER].seats[SERVICE].broker.in_use)

        self.run_fleet(script, loss=0.1)

    def test_grant_that_comes_too_late_is_given_back(self) -> None:
        """A grant for a request that has ended meanwhile frees its slot at once."""

        async def script(network: Network) -> None:
            await acquire(network, OTHERS[0])
            broker = network.clients[BROKER].seats[SERVICE].broker
            late = ["ask", "late.1", SERVICE, "beaufort", 1, 8000, 5000, 0, 0, [], ""]
            network.pass_on(OTHERS[1], BROKER, late)
            while broker.in_use < 2:
                await asyncio.sleep(0.001)
            while broker.in_use > 1:
                await asyncio.sleep(0.005)

        self.run_fleet(script)

    def test_silent_broker_is_passed_over(self) -> None:
        """Killed, frozen or cut off either way: the next in rank takes over."""

        async def script(network: Network) -> None:
            await acquire(network, OTHERS[0])
            for cut in (network.mute, network.deaf):
                cut.add(BROKER)
                for ip in (*OTHERS, SECOND):
                    grant = await acquire(network, ip)
                    self.assertNotEqual(BROKER, grant.broker)
                cut.clear()

        self.run_fleet(script)

    def test_new_broker_knows_what_hosts_hold_and_saw(self) -> None:
        async def script(network: Network) -> None:
            sick = await acquire(network, OTHERS[0])
            finish(network, OTHERS[0], sick, AttemptEnd.FAILED)
            held = [await acquire(network, OTHERS[1]) for _ in range(3)]
            network.mute.add(BROKER)
            grants = [await acquire(network, OTHERS[2]) for _ in range(3)]
            self.assertEqual({SECOND}, {grant.broker for grant in grants})
            seat = network.clients[SECOND].seats[SERVICE]
            self.assertEqual(len(held) + len(grants), seat.broker.in_use)
            self.assertNotIn(sick.target, {grant.target for grant in grants})

        self.run_fleet(script)

    def test_host_that_is_cut_off_decides_alone(self) -> None:
        async def script(network: Network) -> None:
            network.deaf.add(OTHERS[0])
            grant = await acquire(network, OTHERS[0])
            self.assertEqual(OTHERS[0], grant.broker)

        self.run_fleet(script)

    def test_caller_that_leaves_the_queue_frees_its_place(self) -> None:
        async def script(network: Network) -> None:
            for _ in range(4):
                await acquire(network, OTHERS[0], goal_left_s=5.0)
            waiting = asyncio.create_task(acquire(network, OTHERS[1], goal_left_s=5.0))
            broker = network.clients[BROKER].seats[SERVICE].broker
            while not broker.waiting:
                await asyncio.sleep(0.005)
            waiting.cancel()
            while broker.waiting:
                await asyncio.sleep(0.005)

        self.run_fleet(script, slots=1)

    def test_brokerage_that_was_forgotten_is_rebuilt(self) -> None:
        """A host that was suspended mustn't trust what it holds."""

        async def script(network: Network) -> None:
            await acquire(network, OTHERS[0])
            syncs = network.sent["sync"]
            network.clients[BROKER].forget_brokerage()
            await acquire(network, OTHERS[0])
            self.assertEqual(syncs + len(IPS) - 1, network.sent["sync"])
            self.assertEqual(2, network.clients[BROKER].seats[SERVICE].broker.in_use)

        self.run_fleet(script)


def make_client(network: Network, ip: str, slots: int) -> SlotClient:
    clock = MonotonicClock()
    hosts = LiveHosts(HostEntry(ip, ip, "beaufort", ip), random.Random(ip))
    for other in IPS:
        hosts.learn(HostEntry(other, other, "beaufort", other), clock.now())
    table = TargetTable(clock)
    table.replace_all([target(name, slots=slots) for name in "abcd"], after_outage=False)
    client = SlotClient(hosts, table, BOUNDS, clock, random.Random(ip))
    client.attach(cast(DatagramPort, Port(network, ip)))
    return client


async def acquire(network: Network, ip: str, goal_left_s: float = 1.5) -> SlotGrant:
    client = network.clients[ip]
    outcome = await client.acquire(
        SERVICE, ask(client.next_ask_id(), time_left_s=8.0, goal_left_s=goal_left_s)
    )
    assert not isinstance(outcome, Refused), outcome
    return outcome


def finish(network: Network, ip: str, grant: SlotGrant, end: AttemptEnd) -> None:
    report = AttemptReport(grant.ask_id, grant.target, end, 0.02, "")
    network.clients[ip].finish(SERVICE, grant, report)
