"""Decides on ejections for the services that this node judges; see `judgeinterface.Judge`.

In each step the judge gives the `ServiceJudge` of every judged service the facts that this node
knows: its targets, which of them are leaving or drained, the usable permits, and the ejections of
other judges.  A second task keeps the permit grants at the platform up to date.  When this node
stops judging a service, the judge withdraws the service's ejections and releases the grant after
all of them have expired on every node.
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
from toucanspindle_core.detection import STEP_S, EjectionScope
from toucanspindle_core.floor import FloorState
from toucanspindle_core.permits import MAX_EJECTION_LEASE_S
from toucanspindle_core.policy import ServicePolicy
from toucanspindle_core.quarantine import POISON_TARGETS, QuarantineTable
from toucanspindle_core.sequentialdetector import SequentialDetector
from toucanspindle_core.servicejudge import ActiveEjection, ServiceJudge, ServiceView

from toucanspindle_node.evidencerouter import MEMBERS_PER_PULL_INTERVAL, PULL_INTERVAL_S
from toucanspindle_node.evidencewire import parse_quarantine, parse_report, quarantine_message
from toucanspindle_node.judgeinterface import AgentView
from toucanspindle_node.permitmanager import PermitManager

PERMIT_UPDATE_INTERVAL_S: Final = 1.0
ASSIGNMENT_INTERVAL_S: Final = 2.0
LEASE_PULL_INTERVALS: Final = 6
RELEASE_MARGIN_S: Final = 0.5
MS_PER_S: Final = 1000

_log = Logger("judge")


@dataclass
class _ServiceState:
    """One service that this node judges, or whose ejections are still being withdrawn.

    `rank` is this node's position among the service's judges.  `is_withdrawn` is set when this node
    no longer judges the service.

    Invariant: `epoch` increases with each change of the ejections.
    """

    policy: ServicePolicy
    rank: int
    judge_count: int
    detector: SequentialDetector
    judge: ServiceJudge
    epoch: int = 1
    is_withdrawn: bool = False


class EvidenceJudge:
    """The judge of one node; all methods are called on the event loop.

    Invariant: a published ejection set has at most as many targets as the node holds permits that
    expire later than the set's lease.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        """Create a judge; it is inactive until `start`."""
        self._clock = clock or MonotonicClock()
        self._view: AgentView | None = None
        self._permit_manager: PermitManager | None = None
        self._holder = ""
        self._services: dict[str, _ServiceState] = {}
        self._quarantine = QuarantineTable(self._clock)
        self._assignment_key: tuple[int, datetime | None, frozenset[str]] | None = None
        self._lease_s = LEASE_PULL_INTERVALS * PULL_INTERVAL_S
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def holder(self) -> str:
        """The name under which this judge holds permits; each start creates a new one."""
        return self._holder

    async def start(self, view: AgentView) -> None:
        """Start the assignment, step and permit loops."""
        self._view = view
        self._holder = f"{view.settings.node}/{uuid.uuid4().hex[:16]}"
        self._permit_manager = PermitManager(self._holder, self._clock, view.call_platform)
        self._tasks = [
            asyncio.create_task(self._update_assignment_forever(view)),
            asyncio.create_task(self._step_forever(view)),
            asyncio.create_task(self._update_permits_forever(self._permit_manager, view)),
        ]
        for task in self._tasks:
            task.add_done_callback(self._stop_on_failure)

    def _stop_on_failure(self, task: asyncio.Task[None]) -> None:
        """Publish no more ejections if a task fails; the tasks should run until `close`."""
        if task.cancelled() or task.exception() is None:
            return
        self._view = None
        _log.critical("the judge has failed; its ejections will expire: {!r}", task.exception())

    async def close(self) -> None:
        """Withdraw all ejections, wait until they have expired, and release the permits."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        permit_manager, self._view = self._permit_manager, None
        if permit_manager is None:
            return
        if any(state.judge.permits_in_use for state in self._services.values()):
            for state in self._services.values():
                state.judge.withdraw_all(self._lease_s)
            await asyncio.sleep(self._lease_s + RELEASE_MARGIN_S)
        for service in permit_manager.services:
            await permit_manager.release(service)

    # EvidenceSink and EjectionSource.

    def accept_evidence(self, batch: EvidenceBatch) -> None:
        """Process reports and crashes; those of services judged elsewhere are ignored."""
        for report in batch.reports:
            state = self._services.get(report.service)
            if state is not None:
                state.judge.observe(parse_report(report))
        for crash in batch.crashes:
            if crash.service in self._services:
                self._record_crash(crash.service, crash.fingerprint, batch)

    def ejection_sets(self, services: Sequence[str]) -> EjectionSets:
        """Return this node's ejections and quarantined requests for the services.

        The result is empty before `start` and after `close` or a failure.
        """
        if self._view is None:
            return EjectionSets()
        sets = EjectionSets()
        for service in services:
            state = self._services.get(service)
            if state is not None:
                sets.sets.append(self._make_ejection_set(service, state, self._view))
            sets.quarantine.extend(
                quarantine_message(record)
                for record in self._quarantine.entries(service)
                if record.crashed_targets >= POISON_TARGETS
            )
        return sets

    def permits_held(self) -> dict[str, int]:
        """Return the number of permits that this judge holds, by service."""
        return self._permit_manager.permits_held() if self._permit_manager else {}

    def _make_ejection_set(
        self, service: str, state: _ServiceState, view: AgentView
    ) -> EjectionSet:
        ejections = state.judge.ejections()
        # After the process was suspended, permits may have expired that the next step hasn't seen.
        targets = {ejection.verdict.target for ejection in ejections}
        if len(targets) > self._usable_permits(state, view):
            ejections = []
        return EjectionSet(
            service=service,
            holder=self._holder,
            epoch=state.epoch,
            lease_ms=int(self._lease_s * MS_PER_S),
            ejections=[_ejection_message(ejection) for ejection in ejections],
        )

    def _record_crash(self, service: str, fingerprint: str, batch: EvidenceBatch) -> None:
        was_quarantined = self._quarantine.is_quarantined(service, fingerprint)
        records = [
            parse_quarantine(crash)
            for crash in batch.crashes
            if crash.service == service and crash.fingerprint == fingerprint
        ]
        self._quarantine.merge(records)
        if was_quarantined or not self._quarantine.is_quarantined(service, fingerprint):
            return
        targets = self._quarantine.crashed_targets(service, fingerprint)
        for target in targets:
            self._services[service].judge.start_crash_grace(target)
        names = ", ".join(sorted(targets))
        _log.notice(
            "{}: request {} is quarantined because it crashed {}", service, fingerprint, names
        )
        if self._view is not None:
            self._view.ejections_changed()

    # Assignment of services to this node.

    async def _update_assignment_forever(self, view: AgentView) -> None:
        while True:
            await self._update_assignment(view)
            await asyncio.sleep(ASSIGNMENT_INTERVAL_S)

    async def _update_assignment(self, view: AgentView) -> None:
        policy = view.policy()
        if policy is None:
            return
        members = view.judge_candidates()
        pull_intervals = max(1.0, len(members) / MEMBERS_PER_PULL_INTERVAL)
        lease_s = LEASE_PULL_INTERVALS * PULL_INTERVAL_S * pull_intervals
        # The lease never gets shorter, since sets with the longer lease may still be in use.
        self._lease_s = min(MAX_EJECTION_LEASE_S, max(self._lease_s, lease_s))
        agents = frozenset(member.agent_address for member in members)
        assignment_key = (policy.generation, policy.valid_until, agents)
        if assignment_key == self._assignment_key:
            return
        for service in policy.services.values():
            judge_addresses = [member.agent_address for member in view.judges_of(service.name)]
            self._update_service(service, judge_addresses, view.settings.agent_address)
            await asyncio.sleep(0)
        for name in self._services.keys() - policy.services.keys():
            self._stop_judging(name)
        self._assignment_key = assignment_key

    def _update_service(
        self, policy: ServicePolicy, judge_addresses: list[str], own_address: str
    ) -> None:
        if own_address not in judge_addresses:
            self._stop_judging(policy.name)
            return
        rank = judge_addresses.index(own_address)
        state = self._services.get(policy.name)
        false_ejections_per_day = policy.settings.false_ejections_per_target_day
        if state is None:
            detector = SequentialDetector(false_ejections_per_day, self._clock)
            judge = ServiceJudge(detector, self._clock)
            self._services[policy.name] = _ServiceState(
                policy, rank, len(judge_addresses), detector, judge
            )
            return
        state.policy, state.is_withdrawn = policy, False
        state.rank, state.judge_count = rank, len(judge_addresses)
        state.detector.set_false_ejection_rate(false_ejections_per_day)

    def _stop_judging(self, service: str) -> None:
        state = self._services.get(service)
        if state is not None and not state.is_withdrawn:
            state.is_withdrawn = True
            state.judge.withdraw_all(self._lease_s)
            state.epoch += 1

    # Ejection decisions.

    async def _step_forever(self, view: AgentView) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            changed = [
                self._step_service(name, state, view) for name, state in self._services.items()
            ]
            if any(changed):
                view.ejections_changed()

    def _step_service(self, service: str, state: _ServiceState, view: AgentView) -> bool:
        if state.is_withdrawn:
            return False
        changes = state.judge.step(self._service_view(service, state, view))
        for change in changes:
            _log.notice("{}: {}", service, change.text)
        state.epoch += bool(changes)
        return bool(changes)

    def _service_view(self, service: str, state: _ServiceState, view: AgentView) -> ServiceView:
        ejected_by_others = frozenset(
            EjectionScope(ejection.target, ejection.from_domain)
            for ejection_set in view.pulled_ejections(service)
            if ejection_set.holder != self._holder
            for ejection in ejection_set.ejections
        )
        return ServiceView(
            frozenset(target.name for target in state.policy.targets),
            _unavailable_targets(state.policy, view),
            self._usable_permits(state, view),
            ejected_by_others,
            state.rank,
            self._lease_s,
        )

    def _usable_permits(self, state: _ServiceState, view: AgentView) -> int:
        if self._permit_manager is None:
            return 0
        current_allowance = _floor_state(state.policy, view).current_allowance()
        return self._permit_manager.usable_permits(
            state.policy.name, current_allowance, self._lease_s
        )

    # Permit grants.

    async def _update_permits_forever(self, permit_manager: PermitManager, view: AgentView) -> None:
        while True:
            await asyncio.sleep(PERMIT_UPDATE_INTERVAL_S)
            for service, state in list(self._services.items()):
                await self._update_permits(permit_manager, service, state, view)

    async def _update_permits(
        self, permit_manager: PermitManager, service: str, state: _ServiceState, view: AgentView
    ) -> None:
        in_use = state.judge.permits_in_use
        if state.is_withdrawn and not in_use:
            await permit_manager.release(service)
            if state.is_withdrawn and service not in permit_manager.services:
                del self._services[service]
            return
        allowance = _floor_state(state.policy, view).allowance()
        wanted_permits = (
            0 if state.is_withdrawn else permit_share(allowance, state.rank, state.judge_count)
        )
        if permit_manager.needs_update(service, wanted_permits, in_use):
            await permit_manager.update_grant(service, wanted_permits, allowance, in_use)


def permit_share(allowance: int, rank: int, judge_count: int) -> int:
    """Return how many of a service's permits the judge with this rank requests.

    The first two judges share the permits, so if one of them dies, only its share is unusable until
    its grant expires.
    """
    if judge_count == 1:
        return allowance
    if rank == 0:
        return (allowance + 1) // 2
    return allowance // 2 if rank == 1 else 0


def _unavailable_targets(policy: ServicePolicy, view: AgentView) -> frozenset[str]:
    leaving = view.leaving_targets()
    return frozenset(
        target.name
        for target in policy.targets
        if target.drained or f"{policy.name}/{target.name}" in leaving
    )


def _floor_state(policy: ServicePolicy, view: AgentView) -> FloorState:
    unavailable = len(_unavailable_targets(policy, view))
    return FloorState(len(policy.targets), unavailable, policy.min_healthy_targets())


def _ejection_message(ejection: ActiveEjection) -> Ejection:
    return Ejection(
        target=ejection.verdict.target,
        from_domain=ejection.verdict.from_domain,
        reason=ejection.verdict.kind.value,
        evidence=ejection.verdict.evidence,
        trickle_percent=ejection.readmission.percent,
    )
