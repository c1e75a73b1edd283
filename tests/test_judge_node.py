"""Tests of a node's judge with a fake agent: evidence in, ejections out."""

import asyncio
from collections.abc import Callable
from typing import TypeVar, cast

from testtools import TestCase
from toucanspindle_core.control_pb2 import (
    EjectionSet,
    EjectionSets,
    EvidenceBatch,
    EvidenceReport,
    Member,
    QuarantineEntry,
    TargetEvidence,
)
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.permits import Permits
from toucanspindle_core.platformclient import PlatformClient
from toucanspindle_core.policy import FleetPolicy, merge_policy
from toucanspindle_core.processsettings import ProcessSettings
from toucanspindle_node.judge import EvidenceJudge

from tests.test_judge import FakePlatform

T = TypeVar("T")
SERVICE = "orders"
FEED_S = 0.05
TIMEOUT_S = 20.0


def make_policy(generation: int, floor_percent: int) -> FleetPolicy:
    """Return a configuration of one service with eight targets."""
    targets = [
        {"name": f"t{i}", "address": f"127.0.0.1:{9000 + i}", "failure_domain": "bole"}
        for i in range(8)
    ]
    route = {"method": "GET", "path_prefix": "/", "operation": "lookup", "idempotent": True}
    config = FleetConfig.model_validate(
        {
            "fleet": "addis",
            "failure_domains": ["bole"],
            "defaults": {"capacity_floor_percent": floor_percent},
            "services": [{"name": SERVICE, "targets": targets, "routes": [route]}],
        }
    )
    return merge_policy(config, generation)


class FakeAgent:
    """An `AgentView` of a fleet of one node."""

    def __init__(self) -> None:
        address = "127.0.0.1:1"
        names = ("entry", "proxy_control", "agent", "proxy_link", "metrics")
        addresses = {f"{name}_address": address for name in names}
        self.settings = ProcessSettings.model_validate(
            {"node": "node-1", "failure_domain": "bole", "platform_url": "http://127.0.0.1:1"}
            | addresses
        )
        self.platform = FakePlatform()
        self.current = make_policy(1, 75)
        self.changes = 0

    def incarnation(self) -> str:
        return "incarnation-1"

    def policy(self) -> FleetPolicy | None:
        return self.current

    def live_members(self) -> list[Member]:
        return [Member(node="node-1", agent_address=self.settings.agent_address)]

    def judge_candidates(self) -> list[Member]:
        return self.live_members()

    def judges_of(self, service: str) -> list[Member]:
        return self.live_members()

    def leaving_targets(self) -> frozenset[str]:
        return frozenset()

    def pulled_ejections(self, service: str) -> list[EjectionSet]:
        return []

    async def call_platform(self, call: Callable[[PlatformClient], T]) -> T:
        return call(cast("PlatformClient", self.platform))

    def ejections_changed(self) -> None:
        self.changes += 1


def evidence(sick: set[str]) -> EvidenceBatch:
    """Return one report in which the sick targets fail each request."""
    targets = [
        TargetEvidence(
            target=f"t{i}",
            operation="lookup",
            succeeded=0 if f"t{i}" in sick else 3,
            failed=3 if f"t{i}" in sick else 0,
        )
        for i in range(8)
    ]
    report = EvidenceReport(service=SERVICE, failure_domain="bole", targets=targets)
    return EvidenceBatch(reports=[report])


class EvidenceJudgeTests(TestCase):
    """A judge of one node."""

    async def feed_until(
        self, judge: EvidenceJudge, sick: set[str], reached: Callable[[EjectionSets], bool]
    ) -> EjectionSets:
        """Report evidence until the judge's ejections are as wanted."""
        loop = asyncio.get_running_loop()
        limit = loop.time() + TIMEOUT_S
        while loop.time() < limit:
            judge.accept_evidence(evidence(sick))
            sets = judge.ejection_sets([SERVICE])
            if reached(sets):
                return sets
            await asyncio.sleep(FEED_S)
        self.fail(f"not reached: {judge.ejection_sets([SERVICE])}")
        raise AssertionError

    def test_sick_targets_are_ejected_within_the_floor_and_re_admitted_when_it_rises(self) -> None:
        agent, judge = FakeAgent(), EvidenceJudge()

        async def script() -> None:
            await judge.start(agent)
            sick = {"t1", "t2"}
            sets = await self.feed_until(judge, sick, lambda s: _ejected(s) != set())
            ejection = sets.sets[0].ejections[0]
            self.assertIn(ejection.target, sick)
            self.assertEqual(2, Permits.model_validate(agent.platform.value).grants[0].count)
            self.assertIn("failed", ejection.evidence)
            self.assertEqual("wrong answers", ejection.reason)
            agent.current = make_policy(2, 100)
            await self.feed_until(judge, set(), lambda s: _ejected(s) == set())
            await judge.close()

        asyncio.run(script())
        self.assertTrue(agent.changes >= 1)
        self.assertEqual([], Permits.model_validate(agent.platform.value).grants)

    def test_nothing_is_ejected_without_permits(self) -> None:
        agent, judge = FakeAgent(), EvidenceJudge()
        agent.platform.is_away = True

        async def script() -> None:
            await judge.start(agent)
            for _ in range(40):
                judge.accept_evidence(evidence({"t1"}))
                self.assertEqual(set(), _ejected(judge.ejection_sets([SERVICE])))
                await asyncio.sleep(FEED_S)
            await judge.close()

        asyncio.run(script())

    def test_a_request_that_crashed_two_targets_is_listed(self) -> None:
        agent, judge = FakeAgent(), EvidenceJudge()

        async def script() -> None:
            await judge.start(agent)
            await self.feed_until(judge, set(), lambda s: len(s.sets) == 1)
            for target in ("t1", "t2"):
                crash = QuarantineEntry(
                    service=SERVICE,
                    fingerprint="f",
                    crashed_targets=1,
                    expires_in_ms=60_000,
                    last_target=target,
                )
                judge.accept_evidence(EvidenceBatch(crashes=[crash]))
            (entry,) = judge.ejection_sets([SERVICE]).quarantine
            self.assertEqual(("f", 2), (entry.fingerprint, entry.crashed_targets))
            await judge.close()

        asyncio.run(script())


def _ejected(sets: EjectionSets) -> set[str]:
    return {ejection.target for item in sets.sets for ejection in item.ejections}
