"""Tests of the credits of one host: what it returns, to whom, and what it decides alone."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import cast

from testtools import TestCase
from toucanspindle_entry.accounts import quotamessages
from toucanspindle_entry.accounts.quotaclient import MAX_REFUSAL_S, QuotaClient, QuotaCredit
from toucanspindle_entry.accounts.quotakeeper import (
    AccountLimits,
    LoneQuota,
    QuotaAnswer,
    QuotaRules,
)
from toucanspindle_entry.hosts.brokerchoice import rank_brokers
from toucanspindle_entry.hosts.datagrams import DatagramEndpoint, Message
from toucanspindle_entry.hosts.livehosts import ISOLATION_TIMEOUT_S, LiveHosts
from toucanspindle_entry.model import ClientAccount, HostEntry

from tests.entrycase import BOUNDS
from tests.virtualtime import LoopClock, run_in_virtual_time

RULES = QuotaRules(BOUNDS)
ACCOUNT = ClientAccount("a", ("a",), 0, rate_per_s=1.0, burst=1.0)
KEEPER, SECOND_KEEPER, OWN = rank_brokers("account a", [f"10.0.0.{n}" for n in range(1, 4)])


class LoneQuotaTests(TestCase):
    def test_returned_credit_keeps_the_rest_of_the_bucket(self) -> None:
        """Guards against a bucket that is cut to one token when a credit is returned."""
        limits = AccountLimits(1, 100.0, 100.0)
        alone = LoneQuota(RULES, random.Random(1))
        self.assertIsNone(alone.take("a", limits, 4, 0.0, 60.0))
        alone.give_back("a", 60.0, 60.0)
        taken = 0
        while alone.take("a", limits, 4, 0.0, 60.0) is None:
            taken += 1
        self.assertEqual(int(RULES.capacity(limits, 1 / 4)), taken)

    def test_credit_returned_after_the_bucket_was_full_does_not_count(self) -> None:
        """Guards against a surge that times out and runs twice: by its returns and new tokens."""
        limits = AccountLimits(1, 100.0, 100.0)
        alone = LoneQuota(RULES, random.Random(1))
        for now in (60.0, 70.0):
            while alone.take("a", limits, 4, 0.0, now) is None:
                pass
        for _ in range(20):
            alone.give_back("a", 60.0, 70.0)
        self.assertIsNotNone(alone.take("a", limits, 4, 0.0, 70.0))


class FakeEndpoint:
    """Records the datagrams of one host; `silent` are the keepers that don't answer."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self.silent: set[str] = set()
        self.client: QuotaClient | None = None

    def send(self, ip: str, message: Message) -> None:
        self.sent.append((ip, message))
        if message[0] == "quota-ask" and ip not in self.silent:
            grant = quotamessages.encode_answer(message[1], QuotaAnswer(message[3], 0.0))
            assert self.client is not None
            asyncio.get_running_loop().call_soon(self.client.handle_message, ip, grant)

    def of_kind(self, kind: str) -> list[tuple[str, Message]]:
        return [(ip, message) for ip, message in self.sent if message[0] == kind]


class QuotaClientTests(TestCase):
    """One host, which is the last of three in rank; the test answers for the keepers."""

    def play(self, script: Callable[[QuotaClient, FakeEndpoint], Awaitable[None]]) -> None:
        async def main() -> None:
            rng = random.Random(1)
            hosts = LiveHosts(HostEntry(OWN, OWN, "beaufort", OWN), rng)
            now = asyncio.get_running_loop().time()
            for ip in (KEEPER, SECOND_KEEPER):
                hosts.add_host(HostEntry(ip, ip, "beaufort", ip), now)
                hosts.record_probe_answer(ip, now)
            client = QuotaClient(hosts, BOUNDS, LoopClock(), rng, lambda _: False)
            endpoint = FakeEndpoint()
            endpoint.client = client
            client.attach(cast(DatagramEndpoint, endpoint), lambda _: None)
            await script(client, endpoint)

        run_in_virtual_time(main())

    def test_grant_that_arrives_late_is_returned_once(self) -> None:
        """Guards against credit that is lost at a slow keeper, or returned for each resend."""

        async def script(client: QuotaClient, endpoint: FakeEndpoint) -> None:
            endpoint.silent = {KEEPER}
            await client.acquire(ACCOUNT, 5.0)
            (_, question), *_ = endpoint.of_kind("quota-ask")
            grant = quotamessages.encode_answer(question[1], QuotaAnswer(2, 0.0))
            client.handle_message(SECOND_KEEPER, grant)
            self.assertEqual([], endpoint.of_kind("quota-return"))
            client.handle_message(KEEPER, grant)
            client.handle_message(KEEPER, grant)
            returns = [(ip, message[1:3]) for ip, message in endpoint.of_kind("quota-return")]
            self.assertEqual([(KEEPER, ["a", 2])], returns)

        self.play(script)

    def test_credit_goes_back_to_the_keeper_that_granted_it(self) -> None:
        """Guards against returns that are lost once this host has decided alone."""

        async def script(client: QuotaClient, endpoint: FakeEndpoint) -> None:
            granted = await client.acquire(ACCOUNT, 5.0)
            assert isinstance(granted, QuotaCredit)
            endpoint.silent = {KEEPER, SECOND_KEEPER}
            await asyncio.sleep(1.0)
            while not client.counts["granted_alone"]:
                await client.acquire(ACCOUNT, 5.0)
                await asyncio.sleep(0.1)
            endpoint.sent.clear()
            client.give_back(granted)
            returns = [(ip, message[1:3]) for ip, message in endpoint.of_kind("quota-return")]
            self.assertEqual([(KEEPER, ["a", 1])], returns)

        self.play(script)

    def test_request_at_its_deadline_is_refused(self) -> None:
        """Guards against credit of this host alone that is spent on a request out of time."""

        async def script(client: QuotaClient, endpoint: FakeEndpoint) -> None:
            endpoint.silent = {KEEPER, SECOND_KEEPER}
            self.assertIsInstance(await client.acquire(ACCOUNT, 0.05), float)
            self.assertEqual(0, client.counts["granted_alone"] + client.counts["refused_alone"])

        self.play(script)

    def test_refusal_of_a_host_alone_is_short(self) -> None:
        """Guards against callers that wait for many seconds although a keeper is soon found."""

        async def script(client: QuotaClient, _: FakeEndpoint) -> None:
            account = ClientAccount("a", ("a",), 0, rate_per_s=0.1, burst=1.0)
            await asyncio.sleep(ISOLATION_TIMEOUT_S + 0.1)
            while isinstance(refused := await client.acquire(account, 5.0), QuotaCredit):
                pass
            self.assertEqual(1, client.counts["refused_alone"])
            self.assertEqual(MAX_REFUSAL_S, refused)

        self.play(script)
