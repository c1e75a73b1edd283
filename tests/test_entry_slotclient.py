"""Tests of the slot client: lost messages, brokers that don't answer, and takeovers.

The hosts run in one event loop.  Their datagrams pass through a fake network that drops messages
at random and can cut off a host in either direction.
"""

import asyncio
import dataclasses
import itertools
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, cast

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.broker.localbroker import TAKEOVER_WAIT_S
from toucanspindle_entry.broker.slotclient import SlotClient, SlotGrant
from toucanspindle_entry.broker.slotmessages import decode_slot_request
from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    RefusalReason,
    Refused,
    SlotRequest,
)
from toucanspindle_entry.hosts.brokerchoice import rank_brokers
from toucanspindle_entry.hosts.datagrams import DatagramEndpoint, Message
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import HostEntry
from toucanspindle_entry.targets.targethealth import AttemptOutcome
from toucanspindle_entry.targets.targettable import TargetTable

from tests.entrycase import BOUNDS, slot_request, target

SERVICE = "orders"
IPS = tuple(f"10.0.0.{n}" for n in range(1, 6))
BROKER, SECOND_BROKER = rank_brokers(SERVICE, IPS)[:2]
OTHER_HOSTS = [ip for ip in IPS if ip not in {BROKER, SECOND_BROKER}]


class FakeNetwork:
    """Delivers messages between hosts after 1 ms, or drops them."""

    def __init__(self, loss: float = 0.0) -> None:
        self.clients: dict[str, SlotClient] = {}
        self.not_receiving: set[str] = set()
        self.not_sending: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.sent_by: Counter[tuple[str, str]] = Counter()
        self.asked: list[tuple[str, SlotRequest]] = []  # The broker, and what it was sent.
        self._loss = loss
        self._rng = random.Random(7)

    def pending(self, ip: str) -> list[Any]:
        """Return the slot requests of a host that wait for a decision."""
        return list(self.clients[ip]._pending.values())

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        self.sent[message[0]] += 1
        self.sent_by[sender, message[0]] += 1
        if message[0] == "ask":
            self.asked.append((receiver, decode_slot_request(sender, message)[1]))
        is_lost = self._rng.random() < self._loss
        if is_lost or sender in self.not_sending or receiver in self.not_receiving:
            return
        asyncio.get_running_loop().call_later(
            0.001, self.clients[receiver].handle_message, sender, message
        )


class FakeEndpoint:
    """Stand-in for the `DatagramEndpoint` of one host."""

    def __init__(self, network: FakeNetwork, ip: str) -> None:
        self._network = network
        self._ip = ip

    def send(self, ip: str, message: Message) -> None:
        self._network.deliver(self._ip, ip, message)


class SlotClientTests(TestCase):
    def run_fleet(
        self, scenario: Callable[[FakeNetwork], Awaitable[None]], slots: int = 4, loss: float = 0.0
    ) -> None:
        """Run a scenario with five hosts and four targets of `slots` slots each."""

        async def run() -> None:
            network = FakeNetwork(loss)
            for ip in IPS:
                network.clients[ip] = make_client(network, ip, slots)
            async with asyncio.timeout(20):
                await scenario(network)

        asyncio.run(run())

    def test_concurrent_requests_never_exceed_the_slots_of_a_target(self) -> None:
        """Concurrent requests from all hosts never exceed a target's slots."""

        async def scenario(network: FakeNetwork) -> None:
            grants = await asyncio.gather(
                *(acquire(network, IPS[n % 5], goal_left_s=5.0) for n in range(8))
            )
            slots_by_target = Counter(grant.target for grant in grants)
            self.assertEqual(8, sum(slots_by_target.values()))
            self.assertLessEqual(max(slots_by_target.values()), 2)

        self.run_fleet(scenario, slots=2)

    def test_failure_seen_by_one_host_diverts_requests_of_another(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            grant = await acquire(network, OTHER_HOSTS[0])
            report_outcome(network, OTHER_HOSTS[0], grant, AttemptOutcome.FAILED)
            await asyncio.sleep(0.02)
            after = await acquire(network, OTHER_HOSTS[1])
            self.assertNotEqual(grant.target, after.target)

        self.run_fleet(scenario)

    def test_lost_messages_leave_no_slot_in_use(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            for n in range(60):
                grant = await acquire(network, OTHER_HOSTS[n % 3])
                report_outcome(network, OTHER_HOSTS[n % 3], grant, AttemptOutcome.ANSWERED)
            await asyncio.sleep(0.8)
            self.assertEqual(0, network.clients[BROKER].local_brokers[SERVICE].broker.slots_in_use)

        self.run_fleet(scenario, loss=0.1)

    def test_late_grant_is_released(self) -> None:
        """A grant that arrives after its request has ended would keep the slot until it expires."""

        async def scenario(network: FakeNetwork) -> None:
            await acquire(network, OTHER_HOSTS[0])
            broker = network.clients[BROKER].local_brokers[SERVICE].broker
            late_request = ["ask", "late.1", SERVICE, "beaufort", 1, 8000, 5000, 0, 0, [], ""]
            network.deliver(OTHER_HOSTS[1], BROKER, late_request)
            while broker.slots_in_use < 2:
                await asyncio.sleep(0.001)
            while broker.slots_in_use > 1:
                await asyncio.sleep(0.005)

        self.run_fleet(scenario)

    # Guards against a slot that stays in use at a broker whose late grant is taken for the answer
    # of the broker that was asked next.
    def test_late_grant_of_a_skipped_broker_is_not_used(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            client = network.clients[OTHER_HOSTS[0]]
            network.not_sending.add(BROKER)
            task = asyncio.get_running_loop().create_task(acquire(network, OTHER_HOSTS[0]))
            while not network.clients[SECOND_BROKER].local_brokers:
                await asyncio.sleep(0.001)
            asked = network.pending(OTHER_HOSTS[0])[0].slot_request.id
            late_grant = ["grant", asked, SERVICE, "late", 0.1, 1, "127.0.0.1:9", 1, 1]
            client.handle_message(BROKER, late_grant)
            self.assertEqual(SECOND_BROKER, (await task).broker)

        self.run_fleet(scenario)

    def test_silent_broker_is_skipped(self) -> None:
        """The next in rank replaces a broker that is killed, frozen or cut off either way."""

        async def scenario(network: FakeNetwork) -> None:
            await acquire(network, OTHER_HOSTS[0])
            for blocked in (network.not_sending, network.not_receiving):
                blocked.add(BROKER)
                for ip in (*OTHER_HOSTS, SECOND_BROKER):
                    grant = await acquire(network, ip)
                    self.assertNotEqual(BROKER, grant.broker)
                blocked.clear()

        self.run_fleet(scenario)

    def test_new_broker_adopts_held_slots_and_recent_outcomes(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            failed_grant = await acquire(network, OTHER_HOSTS[0])
            report_outcome(network, OTHER_HOSTS[0], failed_grant, AttemptOutcome.FAILED)
            held = [await acquire(network, OTHER_HOSTS[1]) for _ in range(3)]
            network.not_sending.add(BROKER)
            grants = [await acquire(network, OTHER_HOSTS[2]) for _ in range(3)]
            self.assertEqual({SECOND_BROKER}, {grant.broker for grant in grants})
            local_broker = network.clients[SECOND_BROKER].local_brokers[SERVICE]
            self.assertEqual(len(held) + len(grants), local_broker.broker.slots_in_use)
            self.assertNotIn(failed_grant.target, {grant.target for grant in grants})

        self.run_fleet(scenario)

    # Guards against a takeover that ends before the answers of the hosts are read, since the event
    # loop stood still meanwhile.
    def test_new_broker_whose_event_loop_stands_still_adopts_held_slots(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            grant = await acquire(network, OTHER_HOSTS[0])
            network.not_receiving.add(BROKER)
            network.not_sending.add(BROKER)
            second = network.clients[SECOND_BROKER]
            syncs = network.sent["sync"]
            task = asyncio.get_running_loop().create_task(acquire(network, OTHER_HOSTS[1]))
            while SECOND_BROKER not in {p.broker for p in network.pending(OTHER_HOSTS[1])}:
                await asyncio.sleep(0.001)
            while network.sent["sync"] == syncs:
                await asyncio.sleep(0)
            time.sleep(4 * TAKEOVER_WAIT_S)  # The answers are on their way, but not read.
            broker = second.local_brokers[SERVICE].broker
            while not broker.slots_in_use:
                await asyncio.sleep(0)
            # What the hosts hold is known before the first grant.
            self.assertEqual(0, network.sent_by[SECOND_BROKER, "grant"])
            await task
            self.assertEqual(2, broker.slots_in_use, grant.target)

        self.run_fleet(scenario)

    def test_isolated_host_uses_its_own_broker(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            network.not_receiving.add(OTHER_HOSTS[0])
            grant = await acquire(network, OTHER_HOSTS[0])
            self.assertEqual(OTHER_HOSTS[0], grant.broker)

        self.run_fleet(scenario)

    def test_cancelled_request_leaves_the_queue(self) -> None:
        async def scenario(network: FakeNetwork) -> None:
            for _ in range(4):
                await acquire(network, OTHER_HOSTS[0], goal_left_s=5.0)
            queued = asyncio.create_task(acquire(network, OTHER_HOSTS[1], goal_left_s=5.0))
            broker = network.clients[BROKER].local_brokers[SERVICE].broker
            while not broker.queue_length:
                await asyncio.sleep(0.005)
            queued.cancel()
            while broker.queue_length:
                await asyncio.sleep(0.005)

        self.run_fleet(scenario, slots=1)

    def test_queued_request_gives_a_restarted_broker_no_credit_again(self) -> None:
        """A broker may spend credit and restart before the queued requests are resent."""

        async def scenario(network: FakeNetwork) -> None:
            for _ in range(4):
                await acquire(network, OTHER_HOSTS[0], goal_left_s=5.0)
            queued = asyncio.create_task(
                acquire(network, OTHER_HOSTS[1], goal_left_s=5.0, starts_request=True)
            )
            broker = network.clients[BROKER].local_brokers[SERVICE].broker
            while not broker.queue_length:
                await asyncio.sleep(0.005)
            self.assertEqual(BOUNDS.retry_ratio, broker.retry_credit)
            restarted = network.clients[BROKER] = make_client(network, BROKER, slots=1)
            while SERVICE not in restarted.local_brokers or not (
                restarted.local_brokers[SERVICE].broker.queue_length
            ):
                await asyncio.sleep(0.005)
            self.assertEqual(0.0, restarted.local_brokers[SERVICE].broker.retry_credit)
            queued.cancel()

        self.run_fleet(scenario, slots=1)

    def test_each_send_states_the_time_that_is_left(self) -> None:
        """Guards against brokers that count the deadline and the goal from a resend."""

        async def scenario(network: FakeNetwork) -> None:
            for _ in range(4):
                await acquire(network, OTHER_HOSTS[0], goal_left_s=5.0)
            del network.asked[:]
            queued = asyncio.create_task(acquire(network, OTHER_HOSTS[1], goal_left_s=5.0))
            while len(network.asked) < 2:
                await asyncio.sleep(0.005)
            network.not_sending.add(BROKER)
            while network.asked[-1][0] != SECOND_BROKER:
                await asyncio.sleep(0.005)
            queued.cancel()
            self.assertGreater(len(network.asked), 3)  # A renewal, a resend and a move.
            for (_, earlier), (_, later) in itertools.pairwise(network.asked):
                self.assertLess(later.time_left_s, earlier.time_left_s)
                self.assertLess(later.goal_left_s, earlier.goal_left_s)

        self.run_fleet(scenario, slots=1)

    def test_rejected_requests_count_at_one_broker(self) -> None:
        """Guards against rejections that count again in a renewal or at the next broker."""

        async def scenario(network: FakeNetwork) -> None:
            for _ in range(4):
                await acquire(network, OTHER_HOSTS[0], goal_left_s=5.0)
            del network.asked[:]
            for ip, silent_broker in ((OTHER_HOSTS[1], None), (OTHER_HOSTS[2], BROKER)):
                if silent_broker is not None:
                    network.not_receiving.add(silent_broker)
                network.clients[ip].count_rejected(SERVICE)
                queued = asyncio.create_task(acquire(network, ip, goal_left_s=5.0))
                # A renewal at the first broker, or a move to the second one.
                next_broker = BROKER if silent_broker is None else SECOND_BROKER
                while len(network.asked) < 2 or network.asked[-1][0] != next_broker:
                    await asyncio.sleep(0.005)
                queued.cancel()
                self.assertEqual(1, network.asked[0][1].rejected_before)
                self.assertEqual(0, network.asked[-1][1].rejected_before)
                await asyncio.sleep(0)  # The request is withdrawn.
                del network.asked[:]

        self.run_fleet(scenario, slots=1)

    def test_hedge_is_refused_when_its_broker_is_silent(self) -> None:
        """Guards against hedges that are granted twice, by brokers that don't know each other's."""

        async def scenario(network: FakeNetwork) -> None:
            network.not_sending.add(BROKER)
            client = network.clients[OTHER_HOSTS[0]]
            request = slot_request(client.next_slot_request_id(), is_retry=True)
            hedge = dataclasses.replace(request, is_hedge=True)
            decision = await client.acquire(SERVICE, hedge)
            assert isinstance(decision, Refused), decision
            self.assertEqual(RefusalReason.OVERLOADED, decision.reason)
            self.assertEqual({BROKER}, {broker for broker, _ in network.asked})

        self.run_fleet(scenario)

    def test_invalidated_broker_rebuilds_its_state(self) -> None:
        """The broker of a host that was suspended has outdated leases."""

        async def scenario(network: FakeNetwork) -> None:
            await acquire(network, OTHER_HOSTS[0])
            syncs = network.sent["sync"]
            network.clients[BROKER].invalidate_brokers()
            await acquire(network, OTHER_HOSTS[0])
            self.assertEqual(syncs + len(IPS) - 1, network.sent["sync"])
            self.assertEqual(2, network.clients[BROKER].local_brokers[SERVICE].broker.slots_in_use)

        self.run_fleet(scenario)


def make_client(network: FakeNetwork, ip: str, slots: int) -> SlotClient:
    clock = MonotonicClock()
    hosts = LiveHosts(HostEntry(ip, ip, "beaufort", ip), random.Random(ip))
    for other in IPS:
        hosts.add_host(HostEntry(other, other, "beaufort", other), clock.now())
    table = TargetTable(clock)
    table.replace_all([target(name, slots=slots) for name in "abcd"], grace_until=None)
    client = SlotClient(hosts, table, BOUNDS, clock, random.Random(ip))
    client.attach(cast(DatagramEndpoint, FakeEndpoint(network, ip)))
    return client


async def acquire(
    network: FakeNetwork, ip: str, goal_left_s: float = 1.5, starts_request: bool = False
) -> SlotGrant:
    client = network.clients[ip]
    outcome = await client.acquire(
        SERVICE,
        slot_request(client.next_slot_request_id(), time_left_s=8.0, goal_left_s=goal_left_s),
        starts_request,
    )
    assert not isinstance(outcome, Refused), outcome
    return outcome


def report_outcome(
    network: FakeNetwork, ip: str, grant: SlotGrant, outcome: AttemptOutcome
) -> None:
    report = AttemptReport(grant.slot_request_id, grant.target, outcome, 0.02, "")
    network.clients[ip].report_attempt(SERVICE, grant, report)
