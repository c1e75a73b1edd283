"""Sends evidence to the judges of each service and pulls their ejections.

The router groups the reports of this host's proxy by service and sends them to the members that
judge the service, in one batch per judge and flush.  It pulls ejections, quarantined requests and
leaving targets from the judges of the services that this node serves.  If the fleet has at most
`MAX_SERVICES_TO_PULL_ALL` services, every `PULLS_PER_FULL_PULL`th pull covers all of them, because
requests of a service may also reach nodes that it isn't assigned to.  The lease of a pulled
ejection set starts when the pull starts, so the set never expires later here than the judge
assumes.

The router keeps leaving targets reported to this node as a judge apart from those that it pulled.
It gives only the former to other agents; otherwise judges would renew each other's entries for
ever.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from toucanspindle_core.balancedassignment import BalancedAssignment
from toucanspindle_core.control_pb2 import (
    EjectionSets,
    EvidenceBatch,
    Member,
    ProxyReport,
    PullEjections,
)
from toucanspindle_core.errors import ControlError
from toucanspindle_core.policy import FleetPolicy

from toucanspindle_node.dependencies import AgentDependencies
from toucanspindle_node.ejectiontable import EjectionTable
from toucanspindle_node.eventcounters import AgentEvent
from toucanspindle_node.judgeinterface import AgentView, Judge
from toucanspindle_node.leavingtargets import LeavingTargetTable
from toucanspindle_node.taskset import TaskSet

MIN_FLUSH_INTERVAL_S: Final = 1.0
PULL_INTERVAL_S: Final = 1.0
MEMBERS_PER_PULL_INTERVAL: Final = 64
MAX_SERVICES_TO_PULL_ALL: Final = 16
PULLS_PER_FULL_PULL: Final = 4
SERVED_RETENTION_S: Final = 120.0
HOST_LIST_RESEND_INTERVAL_S: Final = 5.0


class EvidenceRouter:
    """Sends evidence to judges and pulls ejections from them.

    Invariant: `_pending_by_judge` holds at most one batch per judge, and each flush empties it
    whether or not the judge received the batch.
    """

    def __init__(
        self,
        dependencies: AgentDependencies,
        judge: Judge,
        view: AgentView,
        on_change: Callable[[], None],
    ) -> None:
        self._dependencies = dependencies
        self._judge = judge
        self._view = view
        self._on_change = on_change
        self._pending_by_judge: dict[str, EvidenceBatch] = {}
        self._last_served_at: dict[str, float] = {}
        self._leaving_in_host_list: frozenset[str] = frozenset()
        self._host_list_sent_at = 0.0
        self._reported_leaving = LeavingTargetTable(dependencies.clock)
        self._pulled_leaving = LeavingTargetTable(dependencies.clock)
        self._tasks = TaskSet()
        self._pull_count = 0
        self._assignment: BalancedAssignment[Member] = BalancedAssignment()
        self.ejections = EjectionTable(dependencies.clock)

    async def start(self) -> None:
        """Start the flush and pull loops."""
        self._tasks.spawn(self._flush_forever())
        self._tasks.spawn(self._pull_forever())

    async def close(self) -> None:
        """Stop the loops; unsent evidence is dropped."""
        await self._tasks.close()

    def leaving_targets(self) -> frozenset[str]:
        """Return the names ("service/target") of all targets known to be leaving."""
        return (
            self._leaving_in_host_list
            | self._reported_leaving.names()
            | self._pulled_leaving.names()
        )

    # Input from this host's proxy, the platform's host list, and other agents.

    def accept_report(self, report: ProxyReport) -> None:
        """Route the evidence, crashes and draining targets in a report of this host's proxy."""
        now = self._dependencies.clock.now()
        for evidence in report.evidence:
            self._last_served_at[evidence.service] = now
            self._queue_for_judges(evidence.service, EvidenceBatch(reports=[evidence]))
        for crash in report.crashes:
            self._queue_for_judges(crash.service, EvidenceBatch(crashes=[crash]))
        if self._pulled_leaving.add(report.draining_targets):
            self._on_change()
        self._queue_leaving_targets(report.draining_targets)

    def accept_host_list(self, leaving: frozenset[str]) -> None:
        """Replace the leaving targets known from the platform's host list.

        The targets are sent to the judges when the set changes, and every
        `HOST_LIST_RESEND_INTERVAL_S`.
        """
        is_changed = leaving != self._leaving_in_host_list
        self._leaving_in_host_list = leaving
        now = self._dependencies.clock.now()
        if is_changed or now - self._host_list_sent_at >= HOST_LIST_RESEND_INTERVAL_S:
            self._host_list_sent_at = now
            self._queue_leaving_targets(leaving)
        if is_changed:
            self._on_change()

    def accept_batch(self, batch: EvidenceBatch) -> None:
        """Process a batch for a service that this node judges."""
        if self._reported_leaving.add(batch.draining_targets):
            self._on_change()
        if batch.reports or batch.crashes:
            self._judge.accept_evidence(batch)

    def handle_pull(self, request: PullEjections) -> EjectionSets:
        """Return this judge's decisions and reported leaving targets for the services."""
        sets = self._judge.ejection_sets(list(request.services))
        sets.draining_targets.extend(self._reported_leaving.names_of_services(request.services))
        return sets

    def _queue_leaving_targets(self, names: Iterable[str]) -> None:
        by_service: dict[str, list[str]] = {}
        for name in names:
            by_service.setdefault(name.partition("/")[0], []).append(name)
        for service, targets in by_service.items():
            self._queue_for_judges(service, EvidenceBatch(draining_targets=targets))

    def _queue_for_judges(self, service: str, batch: EvidenceBatch) -> None:
        """Add a batch to the next flush; if this node is a judge of the service, process it now."""
        judges = self._view.judges_of(service)
        if not judges:
            self._dependencies.counters.count(AgentEvent.EVIDENCE_DROPPED)
        for judge in judges:
            if judge.agent_address == self._dependencies.settings.agent_address:
                self.accept_batch(batch)
            else:
                self._pending_by_judge.setdefault(judge.agent_address, EvidenceBatch()).MergeFrom(
                    batch
                )

    # Sending to the judges and pulling from them.

    async def _flush_forever(self) -> None:
        interval_s = max(MIN_FLUSH_INTERVAL_S, self._dependencies.settings.report_interval_s)
        while True:
            await asyncio.sleep(interval_s)
            pending, self._pending_by_judge = self._pending_by_judge, {}
            await asyncio.gather(*(self._send_batch(*entry) for entry in pending.items()))

    async def _send_batch(self, address: str, batch: EvidenceBatch) -> None:
        try:
            await self._dependencies.peer_clients.send_evidence(address, batch)
        except ControlError:
            self._dependencies.counters.count(AgentEvent.EVIDENCE_DROPPED)
        else:
            self._dependencies.counters.count(AgentEvent.EVIDENCE_SENT)

    async def _pull_forever(self) -> None:
        while True:
            member_count = len(self._dependencies.membership.present_members())
            await asyncio.sleep(
                PULL_INTERVAL_S * max(1.0, member_count / MEMBERS_PER_PULL_INTERVAL)
            )
            await self._pull_all()
            expired = [
                self.ejections.expire(),
                self._reported_leaving.expire(),
                self._pulled_leaving.expire(),
            ]
            if any(expired):
                self._on_change()

    async def _pull_all(self) -> None:
        own_address = self._dependencies.settings.agent_address
        services_by_judge: dict[str, list[str]] = {}
        is_full_pull = self._pull_count % PULLS_PER_FULL_PULL == 0
        self._pull_count += 1
        for service in self._known_services() if is_full_pull else self._served_services():
            for judge in self._view.judges_of(service):
                services_by_judge.setdefault(judge.agent_address, []).append(service)
        own_services = services_by_judge.pop(own_address, [])
        if own_services:
            self._merge_own(own_services)
        await asyncio.gather(*(self._pull(*entry) for entry in services_by_judge.items()))

    async def _pull(self, address: str, services: list[str]) -> None:
        started_at = self._dependencies.clock.now()
        try:
            sets = await self._dependencies.peer_clients.fetch_ejections(address, services)
        except ControlError:
            return
        self._merge_pulled(sets, started_at)

    def _merge_pulled(self, sets: EjectionSets, started_at: float) -> None:
        is_changed = self.ejections.merge(sets, started_at)
        is_changed = self._pulled_leaving.add(sets.draining_targets) or is_changed
        if is_changed:
            self._on_change()

    def refresh_own_ejections(self) -> None:
        """Read the local judge's ejections now, without waiting for the next pull."""
        self._merge_own(self._known_services())

    def _merge_own(self, services: list[str]) -> None:
        if self.ejections.merge_own(self._judge.ejection_sets(services)):
            self._on_change()

    def _known_services(self) -> list[str]:
        """Return all services if there are few, else those that this node serves."""
        policy = self._view.policy()
        if policy is None or len(policy.services) > MAX_SERVICES_TO_PULL_ALL:
            return self._served_services()
        return list(policy.services)

    def _served_services(self) -> list[str]:
        """Return the services that this node serves.

        These are the services served in the last `SERVED_RETENTION_S` and, if the fleet has few
        services, those that this node is assigned to.
        """
        policy = self._view.policy()
        if policy is None:
            return []
        oldest = self._dependencies.clock.now() - SERVED_RETENTION_S
        self._last_served_at = {s: at for s, at in self._last_served_at.items() if at >= oldest}
        served = {service for service in self._last_served_at if service in policy.services}
        if len(policy.services) <= MAX_SERVICES_TO_PULL_ALL:
            served |= self._assigned_services(policy)
        return sorted(served)

    def _assigned_services(self, policy: FleetPolicy) -> set[str]:
        assigned = self._assignment.assign(policy.demands(), self._view.live_members())
        own_incarnation = self._view.incarnation()
        return {
            service
            for service, members in assigned.items()
            if any(member.incarnation == own_incarnation for member in members)
        }
