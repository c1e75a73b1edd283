"""Tests of `EvidenceJudge` with a fake agent: it receives evidence and returns ejections."""

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
REPORT_INTERVAL_S = 0.05
TIMEOUT_S = 20.0


def make_policy(generation: int, floor_percent: int) -> FleetPolicy:
    """Return the policy of one service with eight targets and this capacity floor."""
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
    """An `AgentView` of a fleet with one node."""

    def __init__(self) -> None:
        address = "127.0.0.1:1"
        names = ("entry", "proxy_control", "agent", "proxy_link", "metrics")
        addresses = {f"{name}_address": address for name in names}
        self.settings = ProcessSettings.model_validate(
            {"node": "node-1", "failure_domain": "bole", "platform_url": "http://127.0.0.1:1"}
            | addresses
        )
        self.platform = FakePlatform()
        self.current_policy = make_policy(1, 75)
        self.ejection_change_count = 0

    def incarnation(self) -> str:
        return "incarnation-1"

    def policy(self) -> FleetPolicy | None:
        return self.current_policy

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
        self.ejection_change_count += 1


def make_evidence(failing: set[str]) -> EvidenceBatch:
    """Return a report in which the failing targets fail every request, all others none."""
    targets = [
        TargetEvidence(
            target=f"t{i}",
            operation="lookup",
            succeeded=0 if f"t{i}" in failing else 3,
            failed=3 if f"t{i}" in failing else 0,
        )
        for i in range(8)
    ]
    report = EvidenceReport(service=SERVICE, failure_domain="bole", targets=targets)
    return EvidenceBatch(reports=[report])


class EvidenceJudgeTests(TestCase):
    """The judge of a fleet with one node."""

    async def report_until(
        self, judge: EvidenceJudge, failing: set[str], condition: Callable[[EjectionSets], bool]
    ) -> EjectionSets:
        """Report evidence until the judge's ejections satisfy `condition`; return them."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + TIMEOUT_S
        while loop.time() < deadline:
            judge.accept_evidence(make_evidence(failing))
            sets = judge.ejection_sets([SERVICE])
            if condition(sets):
                return sets
            await asyncio.sleep(REPORT_INTERVAL_S)
        self.fail(
            f"the ejections didn't satisfy the condition in time: {judge.ejection_sets([SERVICE])}"
        )
        raise AssertionError

    def test_failing_targets_are_ejected_and_readmitted_when_the_floor_rises(self) -> None:
        agent, judge = FakeAgent(), EvidenceJudge()

        async def run_judge() -> None:
            await judge.start(agent)
            failing = {"t1", "t2"}
            sets = await self.report_until(judge, failing, lambda s: _ejected(s) != set())
            ejection = sets.sets[0].ejections[0]
            self.assertIn(ejection.target, failing)
            self.assertEqual(2, Permits.model_validate(agent.platform.value).grants[0].count)
            self.assertIn("failed", ejection.evidence)
            self.assertEqual("wrong answers", ejection.reason)
            agent.current_policy = make_policy(2, 100)
            await self.report_until(judge, set(), lambda s: _ejected(s) == set())
            await judge.close()

        asyncio.run(run_judge())
        self.assertTrue(agent.ejection_change_count >= 1)
        self.assertEqual([], Permits.model_validate(agent.platform.value).grants)

    def test_no_target_is_ejected_without_permits(self) -> None:
        agent, judge = FakeAgent(), EvidenceJudge()
        agent.platform.is_unreachable = True

        async def run_judge() -> None:
            await judge.start(agent)
            for _ in range(40):
                judge.accept_evidence(make_evidence({"t1"}))
                self.assertEqual(set(), _ejected(judge.ejection_sets([SERVICE])))
                await asyncio.sleep(REPORT_INTERVAL_S)
            await judge.close()

        asyncio.run(run_judge())

    def test_request_that_crashed_two_targets_is_quarantined(self) -> None:
        agent, judge = FakeAgent(), EvidenceJudge()

        async def run_judge() -> None:
            await judge.start(agent)
            await self.report_until(judge, set(), lambda s: len(s.sets) == 1)
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

        asyncio.run(run_judge())


def _ejected(sets: EjectionSets) -> set[str]:
    return {ejection.target for item in sets.sets for ejection in item.ejections}
