"""Judges the evidence on the services that this node is a judge of; see `agent_hooks.Judge`.

Each step every judged service's `ServiceJudge` is given what the node knows: targets, leaving and
drained ones, usable permits, and other judges' ejections.  A second task keeps the permits at the
platform.  A service that the node no longer judges has its ejections withdrawn, and its grant is
released once they have lapsed everywhere.
"""

import asyncio
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Final

from logbook import Logger
from toucanspindle_core.clock import Clock, MonotonicClock
from toucanspindle_core.control_pb2 import Ejection, EjectionSet, EjectionSets, EvidenceBatch
from toucanspindle_core.detection import STEP_S, EjectedFrom
from toucanspindle_core.floor import FloorState
from toucanspindle_core.permits import MAX_EJECTION_LEASE_S
from toucanspindle_core.policy import ServicePolicy
from toucanspindle_core.quarantine import POISON_TARGETS, QuarantineTable
from toucanspindle_core.sequentialdetector import SequentialDetector
from toucanspindle_core.servicejudge import ActiveEjection, ServiceJudge, ServiceView

from toucanspindle_node.agent_evidence import MEMBERS_PER_PULL_S, PULL_INTERVAL_S
from toucanspindle_node.agent_hooks import AgentView
from toucanspindle_node.evidencewire import parse_quarantine, parse_report, quarantine_message
from toucanspindle_node.permitkeeper import PermitKeeper

KEEP_INTERVAL_S: Final = 1.0
ASSIGNMENT_INTERVAL_S: Final = 2.0
LEASE_PULLS: Final = 6
RELEASE_MARGIN_S: Final = 0.5
MS_PER_S: Final = 1000

_log = Logger("judge")


@dataclass
class _Judged:
    """One service that this node judges, or judged until a moment ago.

    Invariant: `epoch` grows with each change of the ejections.
    """

    policy: ServicePolicy
    rank: int
    judges: int
    detector: SequentialDetector
    judge: ServiceJudge
    epoch: int = 1
    is_dropped: bool = False


class EvidenceJudge:
    """The judge of one node; all methods are called on the event loop.

    Invariant: an ejection set that is given out names at most as many targets as the node holds
    permits for that outlive the set's lease.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        """Create a judge that has not started."""
        self._clock = clock or MonotonicClock()
        self._view: AgentView | None = None
        self._keeper: PermitKeeper | None = None
        self._holder = ""
        self._judged: dict[str, _Judged] = {}
        self._quarantine = QuarantineTable(self._clock)
        self._assignment_of: tuple[int, datetime | None, frozenset[str]] | None = None
        self._lease_s = LEASE_PULLS * PULL_INTERVAL_S
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def holder(self) -> str:
        """Name under which this judge holds permits; a new one each start."""
        return self._holder

    async def start(self, view: AgentView) -> None:
        """Begin to judge."""
        self._view = view
        self._holder = f"{view.settings.node}/{uuid.uuid4().hex[:16]}"
        self._keeper = PermitKeeper(self._holder, self._clock, view.call_platform)
        self._tasks = [
            asyncio.create_task(self._assign_forever(view)),
            asyncio.create_task(self._step_forever(view)),
            asyncio.create_task(self._keep_forever(self._keeper, view)),
        ]
        for task in self._tasks:
            task.add_done_callback(self._stop_on_failure)

    def _stop_on_failure(self, task: asyncio.Task[None]) -> None:
        """Give nothing out any more once a task ended that should run until `close`."""
        if task.cancelled() or task.exception() is None:
            return
        self._view = None
        _log.critical("the judge has stopped; its ejections lapse: {!r}", task.exception())

    async def close(self) -> None:
        """Withdraw all ejections, wait until they have lapsed, and release the permits."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        keeper, self._view = self._keeper, None
        if keeper is None:
            return
        if any(judged.judge.in_use for judged in self._judged.values()):
            for judged in self._judged.values():
                judged.judge.withdraw_all(self._lease_s)
            await asyncio.sleep(self._lease_s + RELEASE_MARGIN_S)
        for service in keeper.services:
            await keeper.release(service)

    # EvidenceSink and EjectionSource.

    def accept_evidence(self, batch: EvidenceBatch) -> None:
        """Take in reports and crashes; those on services judged elsewhere are dropped."""
        for report in batch.reports:
            judged = self._judged.get(report.service)
            if judged is not None:
                judged.judge.observe(parse_report(report))
        for crash in batch.crashes:
            if crash.service in self._judged:
                self._note_crash(crash.service, crash.fingerprint, batch)

    def ejection_sets(self, services: Sequence[str]) -> EjectionSets:
        """Return this node's ejections and quarantined requests of the services."""
        if self._view is None:
            return EjectionSets()
        sets = EjectionSets()
        for service in services:
            judged = self._judged.get(service)
            if judged is not None:
                sets.sets.append(self._ejection_set(service, judged, self._view))
            sets.quarantine.extend(
                quarantine_message(record)
                for record in self._quarantine.entries(service)
                if record.crashed_targets >= POISON_TARGETS
            )
        return sets

    def permits_held(self) -> dict[str, int]:
        """Return how many permits this judge holds, by service."""
        return self._keeper.permits_held() if self._keeper else {}

    def _ejection_set(self, service: str, judged: _Judged, view: AgentView) -> EjectionSet:
        ejections = judged.judge.ejections()
        # A judge that was paused may be asked before its next step finds the permits run out.
        targets = {ejection.verdict.target for ejection in ejections}
        if len(targets) > self._usable_permits(judged, view):
            ejections = []
        return EjectionSet(
            service=service,
            holder=self._holder,
            epoch=judged.epoch,
            lease_ms=int(self._lease_s * MS_PER_S),
            ejections=[_ejection_message(ejection) for ejection in ejections],
        )

    def _note_crash(self, service: str, fingerprint: str, batch: EvidenceBatch) -> None:
        was_quarantined = self._quarantine.is_quarantined(service, fingerprint)
        records = [
            parse_quarantine(c)
            for c in batch.crashes
            if c.service == service and c.fingerprint == fingerprint
        ]
        self._quarantine.merge(records)
        if was_quarantined or not self._quarantine.is_quarantined(service, fingerprint):
            return
        targets = self._quarantine.crashed_targets(service, fingerprint)
        for target in targets:
            self._judged[service].judge.excuse_crash(target)
        names = ", ".join(sorted(targets))
        _log.notice("{}: request {} is quarantined: it crashed {}", service, fingerprint, names)
        if self._view is not None:
            self._view.ejections_changed()

    # Which services this node judges.

    async def _assign_forever(self, view: AgentView) -> None:
        while True:
            await self._assign(view)
            await asyncio.sleep(ASSIGNMENT_INTERVAL_S)

    async def _assign(self, view: AgentView) -> None:
        policy = view.policy()
        if policy is None:
            return
        members = view.judge_candidates()
        intervals = max(1.0, len(members) / MEMBERS_PER_PULL_S)
        lease_s = LEASE_PULLS * PULL_INTERVAL_S * intervals
        # The lease never shrinks, since sets with the longer one may still be out.
        self._lease_s = min(MAX_EJECTION_LEASE_S, max(self._lease_s, lease_s))
        agents = frozenset(member.agent_address for member in members)
        assignment_of = (policy.generation, policy.valid_until, agents)
        if assignment_of == self._assignment_of:
            return
        for service in policy.services.values():
            judges = [member.agent_address for member in view.judges_of(service.name)]
            self._follow_service(service, judges, view.settings.agent_address)
            await asyncio.sleep(0)
        for name in self._judged.keys() - policy.services.keys():
            self._drop(name)
        self._assignment_of = assignment_of

    def _follow_service(self, policy: ServicePolicy, judges: list[str], own_address: str) -> None:
        if own_address not in judges:
            self._drop(policy.name)
            return
        rank = judges.index(own_address)
        judged = self._judged.get(policy.name)
        allowed = policy.settings.false_ejections_per_target_day
        if judged is None:
            detector = SequentialDetector(allowed, self._clock)
            judge = ServiceJudge(detector, self._clock)
            self._judged[policy.name] = _Judged(policy, rank, len(judges), detector, judge)
            return
        judged.policy, judged.is_dropped = policy, False
        judged.rank, judged.judges = rank, len(judges)
        judged.detector.set_allowance(allowed)

    def _drop(self, service: str) -> None:
        judged = self._judged.get(service)
        if judged is not None and not judged.is_dropped:
            judged.is_dropped = True
            judged.judge.withdraw_all(self._lease_s)
            judged.epoch += 1

    # Steps.

    async def _step_forever(self, view: AgentView) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            changed = [self._step(name, j, view) for name, j in self._judged.items()]
            if any(changed):
                view.ejections_changed()

    def _step(self, service: str, judged: _Judged, view: AgentView) -> bool:
        if judged.is_dropped:
            return False
        changes = judged.judge.step(self._service_view(service, judged, view))
        for change in changes:
            _log.notice("{}: {}", service, change.text)
        judged.epoch += bool(changes)
        return bool(changes)

    def _service_view(self, service: str, judged: _Judged, view: AgentView) -> ServiceView:
        others = frozenset(
            EjectedFrom(ejection.target, ejection.from_domain)
            for ejection_set in view.pulled_ejections(service)
            if ejection_set.holder != self._holder
            for ejection in ejection_set.ejections
        )
        return ServiceView(
            frozenset(target.name for target in judged.policy.targets),
            _unavailable(judged.policy, view),
            self._usable_permits(judged, view),
            others,
            judged.rank,
            self._lease_s,
        )

    def _usable_permits(self, judged: _Judged, view: AgentView) -> int:
        if self._keeper is None:
            return 0
        allowance_now = _floor_state(judged.policy, view).allowance_now()
        return self._keeper.usable_permits(judged.policy.name, allowance_now, self._lease_s)

    # Permits.

    async def _keep_forever(self, keeper: PermitKeeper, view: AgentView) -> None:
        while True:
            await asyncio.sleep(KEEP_INTERVAL_S)
            for service, judged in list(self._judged.items()):
                await self._keep(keeper, service, judged, view)

    async def _keep(
        self, keeper: PermitKeeper, service: str, judged: _Judged, view: AgentView
    ) -> None:
        in_use = judged.judge.in_use
        if judged.is_dropped and not in_use:
            await keeper.release(service)
            if judged.is_dropped and service not in keeper.services:
                del self._judged[service]
            return
        allowance = _floor_state(judged.policy, view).allowance()
        wanted = 0 if judged.is_dropped else share_of(allowance, judged.rank, judged.judges)
        if keeper.wants_work(service, wanted, in_use):
            await keeper.keep(service, wanted, allowance, in_use)


def share_of(allowance: int, rank: int, judges: int) -> int:
    """Return how many of a service's permits the judge in place `rank` of `judges` asks for.

    Two holders share them, so that one that dies strands its own share only.
    """
    if judges == 1:
        return allowance
    if rank == 0:
        return (allowance + 1) // 2
    return allowance // 2 if rank == 1 else 0


def _unavailable(policy: ServicePolicy, view: AgentView) -> frozenset[str]:
    leaving = view.leaving_targets()
    return frozenset(
        target.name
        for target in policy.targets
        if target.drained or f"{policy.name}/{target.name}" in leaving
    )


def _floor_state(policy: ServicePolicy, view: AgentView) -> FloorState:
    unavailable = len(_unavailable(policy, view))
    return FloorState(len(policy.targets), unavailable, policy.floor_count())


def _ejection_message(ejection: ActiveEjection) -> Ejection:
    return Ejection(
        target=ejection.verdict.target,
        from_domain=ejection.verdict.from_domain,
        reason=ejection.verdict.kind.value,
        evidence=ejection.verdict.evidence,
        trickle_percent=ejection.readmission.percent,
    )
