"""Tests of judging: ejection under permits, re-admission, permits at the platform."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any

from testtools import TestCase
from toucanspindle_core import errorcodes
from toucanspindle_core.baselines import NoDetector
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.detection import ALL_DOMAINS, EjectedFrom, FaultKind, Verdict
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.evidence import ObservedEvidence, ServiceEvidence, TargetOutcomes
from toucanspindle_core.permits import GRANT_LEASE_S, Permits
from toucanspindle_core.platformclient import StoredObject
from toucanspindle_core.readmission import BASE_INTERVAL_S, STAGE_PERCENTS
from toucanspindle_core.servicejudge import STANDBY_DELAY_S, ServiceJudge, ServiceView
from toucanspindle_node.judge import share_of
from toucanspindle_node.permitkeeper import FIRST_SHORT_READ_S, RETRY_S, PermitKeeper

LEASE_S = 3.0
TARGETS = frozenset({"t1", "t2", "t3", "t4"})


class FakeDetector(NoDetector):
    """Names whatever targets a test calls sick."""

    def __init__(self) -> None:
        super().__init__()
        self.sick: dict[str, str] = {}
        self.suspicions: dict[str, float] = {}
        self.excused: list[str] = []
        self.ejected: Collection[EjectedFrom] = ()

    def set_ejected(self, ejected: Collection[EjectedFrom]) -> None:
        self.ejected = ejected

    def excuse(self, target: str, until_s: float) -> None:
        self.excused.append(target)

    def suspicion(self, target: str) -> float:
        return self.suspicions.get(target, 0.0)

    def step(self) -> list[Verdict]:
        return [Verdict(t, d, FaultKind.WRONG, f"{t} is sick") for t, d in self.sick.items()]


class ServiceJudgeTests(TestCase):
    """Decisions on one service."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.detector = FakeDetector()
        self.judge = ServiceJudge(self.detector, self.clock)

    def step(
        self,
        permits: int = 1,
        rank: int = 0,
        others: tuple[EjectedFrom, ...] = (),
        unavailable: tuple[str, ...] = (),
        targets: frozenset[str] = TARGETS,
    ) -> list[str]:
        """Make one step and return the targets ejected after it."""
        view = ServiceView(
            targets, frozenset(unavailable), permits, frozenset(others), rank, LEASE_S
        )
        self.judge.step(view)
        return [e.verdict.target for e in self.judge.ejections()]

    def run_requests(self, target: str) -> None:
        """Report enough good requests for a stage of re-admission."""
        counts = TargetOutcomes(target, "lookup", 0, succeeded=30)
        self.judge.observe(ObservedEvidence(ServiceEvidence("s", [counts]), "n", "graaff", 1))

    def test_no_more_targets_are_ejected_than_there_are_permits(self) -> None:
        self.detector.sick = {"t1": ALL_DOMAINS, "t2": ALL_DOMAINS, "t3": ALL_DOMAINS}
        self.assertEqual([], self.step(permits=0))
        self.assertEqual(["t1", "t2"], self.step(permits=2))

    def test_a_permit_that_is_taken_back_re_admits_the_newest_at_once(self) -> None:
        self.detector.sick = {"t1": ALL_DOMAINS, "t2": ALL_DOMAINS}
        self.step(permits=2)
        self.assertEqual(["t1"], self.step(permits=1))

    def test_a_leaving_target_gives_its_permit_back_only_after_the_lease(self) -> None:
        self.detector.sick = {"t1": ALL_DOMAINS}
        self.step()
        self.detector.sick = {"t2": ALL_DOMAINS}
        self.assertEqual([], self.step(unavailable=("t1",)))
        self.clock.advance(LEASE_S + 0.1)
        self.assertEqual(["t2"], self.step(unavailable=("t1",)))

    def test_the_second_judge_waits_and_heeds_the_first(self) -> None:
        self.detector.sick = {"t1": ALL_DOMAINS}
        self.assertEqual([], self.step(rank=1))
        self.clock.advance(STANDBY_DELAY_S)
        self.assertEqual([], self.step(rank=1, others=(EjectedFrom("t1"),)))
        self.assertIn(EjectedFrom("t1"), self.detector.ejected)
        self.assertEqual(["t1"], self.step(rank=1))

    def test_a_target_that_another_judge_holds_for_one_domain_costs_no_second_permit(self) -> None:
        self.detector.sick = {"t1": ALL_DOMAINS, "t2": ALL_DOMAINS}
        self.assertEqual(["t2"], self.step(others=(EjectedFrom("t1", "graaff"),)))
        self.assertEqual(["t2"], self.step())

    def test_a_target_that_two_judges_hold_for_one_domain_is_widened(self) -> None:
        self.detector.sick = {"t1": "graaff"}
        self.step()
        self.detector.sick = {"t1": ALL_DOMAINS}
        self.step(others=(EjectedFrom("t1", "graaff"),))
        self.assertEqual([EjectedFrom("t1")], [e.scope for e in self.judge.ejections()])

    def test_a_target_comes_back_by_stages(self) -> None:
        self.detector.sick = {"t1": ALL_DOMAINS}
        self.step()
        self.detector.sick = {}
        self.clock.advance(BASE_INTERVAL_S + 0.1)
        for percent in STAGE_PERCENTS:
            self.assertEqual(["t1"], self.step())
            self.assertEqual(percent, self.judge.ejections()[0].readmission.percent)
            self.run_requests("t1")
            self.clock.advance(2.1)
        self.assertEqual([], self.step())

    def test_flapping_lengthens_the_interval(self) -> None:
        self.detector.sick = {"t1": ALL_DOMAINS}
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
        self.detector.sick = {"t1": "graaff"}
        self.step()
        self.detector.sick = {"t1": "deaar"}
        self.assertEqual(["t1", "t1"], self.step())
        self.assertEqual(1, self.judge.in_use)

    def test_a_target_that_joins_is_excused_while_cold(self) -> None:
        self.step()
        self.assertEqual([], self.detector.excused)
        self.step(targets=TARGETS | {"t5"})
        self.assertEqual(["t5"], self.detector.excused)


class FakePlatform:
    """One object under conditional updates, with answers that can be lost."""

    def __init__(self) -> None:
        self.version = 0
        self.value: Any = None
        self.is_away = False
        self.loses: str = ""
        self.delayed: Callable[[], None] | None = None
        self.is_overtaken = False
        self.reads = 0
        self.writes = 0

    def read(self, kind: str, name: str) -> StoredObject | None:
        self._check_away()
        self.reads += 1
        return StoredObject(name, self.version, self.value) if self.version else None

    def create(self, kind: str, name: str, value: Any) -> int:
        return self.replace(kind, name, value, 0)

    def replace(self, kind: str, name: str, value: Any, version: int) -> int:
        self._check_away()
        if self.is_overtaken:
            self.is_overtaken = False
            self._apply({"grants": []}, self.version)
        self.writes += 1
        if self.loses == "delays":
            self.delayed = lambda: self._apply(value, version)
        else:
            self._apply(value, version)
        if self.loses:
            self.loses = ""
            raise PlatformUncertainError(errorcodes.PLATFORM_AWAY, "lost", "wait")
        return self.version

    def _apply(self, value: Any, version: int) -> None:
        if version != self.version:
            raise ConflictError(errorcodes.PLATFORM_CONFLICT, "changed", "read again")
        self.version, self.value = version + 1, value

    def _check_away(self) -> None:
        if self.is_away:
            raise PlatformError(errorcodes.PLATFORM_AWAY, "away", "wait")


class PermitKeeperTests(TestCase):
    """Permits of one holder at the platform."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.platform = FakePlatform()

    def keeper(self, holder: str) -> PermitKeeper:
        """Return a keeper for a holder."""

        async def run(call: Callable[[Any], Any]) -> Any:
            return call(self.platform)

        return PermitKeeper(holder, self.clock, run)

    def keep(self, keeper: PermitKeeper, wanted: int, allowance: int = 2, in_use: int = 0) -> int:
        """Bring a grant up to date and return the permits that may be used."""
        if keeper.wants_work("s", wanted, in_use):
            asyncio.run(keeper.keep("s", wanted, allowance, in_use))
        return keeper.usable_permits("s", allowance, LEASE_S)

    def granted(self) -> int:
        """Return all permits that the object grants."""
        return sum(g.count for g in Permits.model_validate(self.platform.value).grants)

    def test_two_holders_share_the_allowance(self) -> None:
        first, second = self.keeper("a"), self.keeper("b")
        self.assertEqual([1, 1], [self.keep(first, 1), self.keep(second, 1)])
        self.assertEqual(0, self.keep(self.keeper("c"), 1))
        self.assertEqual(2, self.granted())

    def test_an_outage_of_hours_leaves_the_permits_and_then_they_end(self) -> None:
        keeper = self.keeper("a")
        self.keep(keeper, 1)
        self.platform.is_away = True
        self.clock.advance(GRANT_LEASE_S - 2 * LEASE_S)
        self.assertEqual(1, self.keep(keeper, 1))
        self.clock.advance(LEASE_S)
        self.assertEqual(0, self.keep(keeper, 1))

    def test_a_grant_is_written_only_when_it_must(self) -> None:
        keeper = self.keeper("a")
        for _ in range(int(GRANT_LEASE_S / 60)):
            self.keep(keeper, 1)
            self.clock.advance(60)
        self.assertTrue(self.platform.writes <= 3, self.platform.writes)

    def test_a_lost_answer_is_looked_up_before_the_permits_are_used(self) -> None:
        keeper = self.keeper("a")
        self.platform.loses = "answer"
        self.assertEqual(0, self.keep(keeper, 1))
        self.clock.advance(RETRY_S)
        self.assertEqual(1, self.keep(keeper, 1))
        self.assertEqual(1, self.granted())

    def test_a_late_write_never_leaves_a_holder_with_more_than_the_object_grants(self) -> None:
        keeper = self.keeper("a")
        self.keep(keeper, 2)
        self.platform.loses = "delays"
        self.assertEqual(1, self.keep(keeper, 1))
        late, self.platform.delayed = self.platform.delayed, None
        assert late is not None
        late()
        self.assertEqual(1, self.granted())
        self.assertEqual(1, keeper.usable_permits("s", 2, LEASE_S))
        self.clock.advance(RETRY_S)
        self.assertTrue(self.keep(keeper, 1) <= self.granted())

    def test_a_grant_does_not_shrink_below_what_is_in_use(self) -> None:
        keeper = self.keeper("a")
        self.keep(keeper, 2)
        self.assertEqual(2, self.keep(keeper, 1, in_use=2))
        self.assertEqual(1, self.keep(keeper, 1, in_use=1))

    def test_a_released_grant_is_free_for_others(self) -> None:
        first, second = self.keeper("a"), self.keeper("b")
        self.keep(first, 2)
        asyncio.run(first.release("s"))
        self.assertEqual(0, first.usable_permits("s", 2, LEASE_S))
        self.assertEqual(2, self.keep(second, 2))

    def test_a_holder_that_found_no_free_permit_soon_looks_again(self) -> None:
        first, second = self.keeper("a"), self.keeper("b")
        self.keep(first, 2)
        self.assertEqual(0, self.keep(second, 1))
        asyncio.run(first.release("s"))
        self.clock.advance(FIRST_SHORT_READ_S)
        self.assertEqual(1, self.keep(second, 1))

    def test_a_holder_that_stays_short_looks_ever_more_seldom(self) -> None:
        first, second = self.keeper("a"), self.keeper("b")
        self.keep(first, 2)
        before = self.platform.reads
        for _ in range(600):
            self.keep(second, 1)
            self.clock.advance(1)
        self.assertTrue(self.platform.reads - before <= 16, self.platform.reads - before)

    def test_a_holder_that_was_short_and_released_looks_at_once_when_it_judges_again(self) -> None:
        first, second = self.keeper("a"), self.keeper("b")
        self.keep(first, 2)
        for _ in range(60):
            self.keep(second, 1)
            self.clock.advance(1)
        asyncio.run(second.release("s"))
        asyncio.run(first.release("s"))
        self.assertEqual(1, self.keep(second, 1))

    def test_a_holder_whose_write_was_overtaken_tries_again_at_once(self) -> None:
        keeper = self.keeper("a")
        self.platform.is_overtaken = True
        self.assertEqual(0, self.keep(keeper, 1))
        self.assertEqual(1, self.keep(keeper, 1))

    def test_shares_add_up_to_the_allowance(self) -> None:
        for allowance in range(6):
            for judges in range(1, 4):
                shares = [share_of(allowance, rank, judges) for rank in range(judges)]
                self.assertEqual(allowance, sum(shares))
