"""Tests of ejection within permits, readmission, and permit grants at the platform."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.baselines import NoDetector
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.detection import ALL_DOMAINS, EjectionScope, FaultKind, Verdict
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.evidence import ObservedEvidence, ServiceEvidence, TargetOutcomes
from toucanspindle_core.permits import GRANT_LEASE_S, Permits
from toucanspindle_core.platformclient import StoredObject
from toucanspindle_core.readmission import BASE_INTERVAL_S, STAGE_PERCENTS
from toucanspindle_core.servicejudge import STANDBY_DELAY_S, ServiceJudge, ServiceView
from toucanspindle_node.judge import permit_share
from toucanspindle_node.permitmanager import (
    MIN_RETRY_DELAY_S,
    MIN_SHORTAGE_READ_INTERVAL_S,
    PermitManager,
)

LEASE_S = 3.0
TARGETS = frozenset({"t1", "t2", "t3", "t4"})


class FakeDetector(NoDetector):
    """Returns a verdict for each target that a test puts into `failing`."""

    def __init__(self) -> None:
        super().__init__()
        self.failing: dict[str, str] = {}
        self.suspicions: dict[str, float] = {}
        self.ignored: list[str] = []
        self.ejected: Collection[EjectionScope] = ()

    def set_ejected(self, ejected: Collection[EjectionScope]) -> None:
        self.ejected = ejected

    def ignore_until(self, target: str, until_s: float) -> None:
        self.ignored.append(target)

    def suspicion(self, target: str) -> float:
        return self.suspicions.get(target, 0.0)

    def step(self) -> list[Verdict]:
        return [Verdict(t, d, FaultKind.WRONG, f"{t} fails") for t, d in self.failing.items()]


class ServiceJudgeTests(TestCase):
    """Ejection and readmission of the targets of one service."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.detector = FakeDetector()
        self.judge = ServiceJudge(self.detector, self.clock)

    def step(
        self,
        permits: int = 1,
        rank: int = 0,
        ejected_by_others: tuple[EjectionScope, ...] = (),
        unavailable: tuple[str, ...] = (),
        targets: frozenset[str] = TARGETS,
    ) -> list[str]:
        """Run one step and return the targets that are ejected after it."""
        view = ServiceView(
            targets, frozenset(unavailable), permits, frozenset(ejected_by_others), rank, LEASE_S
        )
        self.judge.step(view)
        return [e.verdict.target for e in self.judge.ejections()]

    def report_successes(self, target: str) -> None:
        """Report enough successful requests to pass one stage of readmission."""
        counts = TargetOutcomes(target, "lookup", 0, succeeded=30)
        self.judge.observe(ObservedEvidence(ServiceEvidence("s", [counts]), "n", "graaff", 1))

    def test_number_of_ejected_targets_is_limited_by_permits(self) -> None:
        self.detector.failing = {"t1": ALL_DOMAINS, "t2": ALL_DOMAINS, "t3": ALL_DOMAINS}
        self.assertEqual([], self.step(permits=0))
        self.assertEqual(["t1", "t2"], self.step(permits=2))

    def test_loss_of_a_permit_readmits_the_newest_ejection_at_once(self) -> None:
        self.detector.failing = {"t1": ALL_DOMAINS, "t2": ALL_DOMAINS}
        self.step(permits=2)
        self.assertEqual(["t1"], self.step(permits=1))

    def test_permit_of_a_leaving_target_is_reused_only_after_the_lease(self) -> None:
        self.detector.failing = {"t1": ALL_DOMAINS}
        self.step()
        self.detector.failing = {"t2": ALL_DOMAINS}
        self.assertEqual([], self.step(unavailable=("t1",)))
        self.clock.advance(LEASE_S + 0.1)
        self.assertEqual(["t2"], self.step(unavailable=("t1",)))

    def test_second_judge_waits_and_skips_targets_ejected_by_the_first(self) -> None:
        self.detector.failing = {"t1": ALL_DOMAINS}
        self.assertEqual([], self.step(rank=1))
        self.clock.advance(STANDBY_DELAY_S)
        self.assertEqual([], self.step(rank=1, ejected_by_others=(EjectionScope("t1"),)))
        self.assertIn(EjectionScope("t1"), self.detector.ejected)
        self.assertEqual(["t1"], self.step(rank=1))

    def test_target_ejected_by_another_judge_for_one_domain_uses_no_second_permit(self) -> None:
        self.detector.failing = {"t1": ALL_DOMAINS, "t2": ALL_DOMAINS}
        self.assertEqual(["t2"], self.step(ejected_by_others=(EjectionScope("t1", "graaff"),)))
        self.assertEqual(["t2"], self.step())

    def test_ejection_by_two_judges_for_one_domain_is_widened_to_all_domains(self) -> None:
        self.detector.failing = {"t1": "graaff"}
        self.step()
        self.detector.failing = {"t1": ALL_DOMAINS}
        self.step(ejected_by_others=(EjectionScope("t1", "graaff"),))
        self.assertEqual([EjectionScope("t1")], [e.scope for e in self.judge.ejections()])

    def test_target_is_readmitted_in_stages(self) -> None:
        self.detector.failing = {"t1": ALL_DOMAINS}
        self.step()
        self.detector.failing = {}
        self.clock.advance(BASE_INTERVAL_S + 0.1)
        for percent in STAGE_PERCENTS:
            self.assertEqual(["t1"], self.step())
            self.assertEqual(percent, self.judge.ejections()[0].readmission.percent)
            self.report_successes("t1")
            self.clock.advance(2.1)
        self.assertEqual([], self.step())

    def test_relapse_during_readmission_doubles_the_interval(self) -> None:
        self.detector.failing = {"t1": ALL_DOMAINS}
        self.step()
        self.clock.advance(BASE_INTERVAL_S + 0.1)
        self.step()
        self.detector.suspicions = {"t1": 0.9}
        self.step()
        self.detector.suspicions = {}
        self.clock.advance(2 * BASE_INTERVAL_S - 1)
        self.step()
        self.assertEqual(0, self.judge.ejections()[0].readmission.percent)
        self.clock.advance(1.1)
        self.step()
        self.assertEqual(STAGE_PERCENTS[0], self.judge.ejections()[0].readmission.percent)

    def test_ejections_from_two_domains_use_one_permit(self) -> None:
        self.detector.failing = {"t1": "graaff"}
        self.step()
        self.detector.failing = {"t1": "deaar"}
        self.assertEqual(["t1", "t1"], self.step())
        self.assertEqual(1, self.judge.permits_in_use)

    def test_joining_target_is_ignored_during_its_cold_start(self) -> None:
        self.step()
        self.assertEqual([], self.detector.ignored)
        self.step(targets=TARGETS | {"t5"})
        self.assertEqual(["t5"], self.detector.ignored)


class FakePlatform:
    """One object with conditional updates.

    `next_write_fault` applies to the next write, whose answer is lost in either case: with
    "lost_answer" the write takes effect at once, with "delayed_write" only when `delayed_write` is
    called.
    """

    def __init__(self) -> None:
        self.version = 0
        self.value: Any = None
        self.is_unreachable = False
        self.next_write_fault: str = ""
        self.delayed_write: Callable[[], None] | None = None
        self.has_concurrent_write = False
        self.reads = 0
        self.writes = 0

    def read(self, kind: str, name: str) -> StoredObject | None:
        self._check_reachable()
        self.reads += 1
        return StoredObject(name, self.version, self.value) if self.version else None

    def create(self, kind: str, name: str, value: Any) -> int:
        return self.replace(kind, name, value, 0)

    def replace(self, kind: str, name: str, value: Any, version: int) -> int:
        self._check_reachable()
        if self.has_concurrent_write:
            self.has_concurrent_write = False
            self._apply({"grants": []}, self.version)
        self.writes += 1
        if self.next_write_fault == "delayed_write":
            self.delayed_write = lambda: self._apply(value, version)
        else:
            self._apply(value, version)
        if self.next_write_fault:
            self.next_write_fault = ""
            raise PlatformUncertainError(errorcodes.PLATFORM_UNREACHABLE, "lost", "wait")
        return self.version

    def _apply(self, value: Any, version: int) -> None:
        if version != self.version:
            raise ConflictError(errorcodes.PLATFORM_CONFLICT, "changed", "read again")
        self.version, self.value = version + 1, value

    def _check_reachable(self) -> None:
        if self.is_unreachable:
            raise PlatformError(errorcodes.PLATFORM_UNREACHABLE, "away", "wait")


class PermitManagerTests(TestCase):
    """Permit grants at the platform."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.platform = FakePlatform()

    def manager(self, holder: str) -> PermitManager:
        """Return a permit manager for a holder."""

        async def run(call: Callable[[Any], Any]) -> Any:
            return call(self.platform)

        return PermitManager(holder, self.clock, run)

    def update_and_count_usable(
        self, manager: PermitManager, wanted: int, allowance: int = 2, in_use: int = 0
    ) -> int:
        """Update a grant if needed and return the number of usable permits."""
        if manager.needs_update("s", wanted, in_use):
            asyncio.run(manager.update_grant("s", wanted, allowance, in_use))
        return manager.usable_permits("s", allowance, LEASE_S)

    def granted_permits(self) -> int:
        """Return the number of permits that the object grants to all holders."""
        return sum(g.count for g in Permits.model_validate(self.platform.value).grants)

    def test_grants_of_two_holders_stay_within_the_allowance(self) -> None:
        first, second = self.manager("a"), self.manager("b")
        self.assertEqual(
            [1, 1],
            [self.update_and_count_usable(first, 1), self.update_and_count_usable(second, 1)],
        )
        self.assertEqual(0, self.update_and_count_usable(self.manager("c"), 1))
        self.assertEqual(2, self.granted_permits())

    def test_permits_stay_usable_during_an_outage_until_the_lease_ends(self) -> None:
        manager = self.manager("a")
        self.update_and_count_usable(manager, 1)
        self.platform.is_unreachable = True
        self.clock.advance(GRANT_LEASE_S - 2 * LEASE_S)
        self.assertEqual(1, self.update_and_count_usable(manager, 1))
        self.clock.advance(LEASE_S)
        self.assertEqual(0, self.update_and_count_usable(manager, 1))

    def test_unchanged_grant_is_written_only_for_renewal(self) -> None:
        manager = self.manager("a")
        for _ in range(int(GRANT_LEASE_S / 60)):
            self.update_and_count_usable(manager, 1)
            self.clock.advance(60)
        self.assertTrue(self.platform.writes <= 3, self.platform.writes)

    def test_permits_are_unusable_after_a_lost_answer_until_the_object_is_read(self) -> None:
        manager = self.manager("a")
        self.platform.next_write_fault = "lost_answer"
        self.assertEqual(0, self.update_and_count_usable(manager, 1))
        self.clock.advance(MIN_RETRY_DELAY_S)
        self.assertEqual(1, self.update_and_count_usable(manager, 1))
        self.assertEqual(1, self.granted_permits())

    def test_delayed_write_leaves_usable_permits_within_the_grant(self) -> None:
        manager = self.manager("a")
        self.update_and_count_usable(manager, 2)
        self.platform.next_write_fault = "delayed_write"
        self.assertEqual(1, self.update_and_count_usable(manager, 1))
        delayed_write, self.platform.delayed_write = self.platform.delayed_write, None
        assert delayed_write is not None
        delayed_write()
        self.assertEqual(1, self.granted_permits())
        self.assertEqual(1, manager.usable_permits("s", 2, LEASE_S))
        self.clock.advance(MIN_RETRY_DELAY_S)
        self.assertTrue(self.update_and_count_usable(manager, 1) <= self.granted_permits())

    def test_grant_is_not_reduced_below_permits_in_use(self) -> None:
        manager = self.manager("a")
        self.update_and_count_usable(manager, 2)
        self.assertEqual(2, self.update_and_count_usable(manager, 1, in_use=2))
        self.assertEqual(1, self.update_and_count_usable(manager, 1, in_use=1))

    def test_released_grant_is_available_to_other_holders(self) -> None:
        first, second = self.manager("a"), self.manager("b")
        self.update_and_count_usable(first, 2)
        asyncio.run(first.release("s"))
        self.assertEqual(0, first.usable_permits("s", 2, LEASE_S))
        self.assertEqual(2, self.update_and_count_usable(second, 2))

    def test_holder_short_of_permits_reads_again_after_the_first_interval(self) -> None:
        first, second = self.manager("a"), self.manager("b")
        self.update_and_count_usable(first, 2)
        self.assertEqual(0, self.update_and_count_usable(second, 1))
        asyncio.run(first.release("s"))
        self.clock.advance(MIN_SHORTAGE_READ_INTERVAL_S)
        self.assertEqual(1, self.update_and_count_usable(second, 1))

    def test_read_interval_grows_while_a_holder_is_short_of_permits(self) -> None:
        first, second = self.manager("a"), self.manager("b")
        self.update_and_count_usable(first, 2)
        reads_before = self.platform.reads
        for _ in range(600):
            self.update_and_count_usable(second, 1)
            self.clock.advance(1)
        self.assertTrue(
            self.platform.reads - reads_before <= 16, self.platform.reads - reads_before
        )

    def test_release_resets_the_read_interval_of_a_holder_short_of_permits(self) -> None:
        first, second = self.manager("a"), self.manager("b")
        self.update_and_count_usable(first, 2)
        for _ in range(60):
            self.update_and_count_usable(second, 1)
            self.clock.advance(1)
        asyncio.run(second.release("s"))
        asyncio.run(first.release("s"))
        self.assertEqual(1, self.update_and_count_usable(second, 1))

    def test_write_that_conflicts_is_retried_without_a_delay(self) -> None:
        manager = self.manager("a")
        self.platform.has_concurrent_write = True
        self.assertEqual(0, self.update_and_count_usable(manager, 1))
        self.assertEqual(1, self.update_and_count_usable(manager, 1))

    def test_permit_shares_add_up_to_the_allowance(self) -> None:
        for allowance in range(6):
            for judges in range(1, 4):
                shares = [permit_share(allowance, rank, judges) for rank in range(judges)]
                self.assertEqual(allowance, sum(shares))
