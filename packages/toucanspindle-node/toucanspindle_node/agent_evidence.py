"""Carries evidence to the judges of each service, and their ejections back.

Reports of this host's proxy are grouped by service and sent to the members that judge the
service, in one batch per judge and flush.  Ejections, quarantined requests and leaving targets
are pulled from the judges of the services that this node serves; where there are few services,
the others' are pulled too, more seldom, for requests that reach a node unassigned.  A pulled set
lapses its lease after the moment the pull began, which is never later than the judge reckons.

Names of leaving targets that were told to this node as a judge are kept apart from names it
pulled: only the former are given out, or judges would keep each other's names alive for ever.
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

from toucanspindle_node.agent_counters import AgentEvent
from toucanspindle_node.agent_drains import DrainTable
from toucanspindle_node.agent_ejections import EjectionTable
from toucanspindle_node.agent_hooks import AgentView, Judge
from toucanspindle_node.agent_parts import AgentParts
from toucanspindle_node.agent_tasks import TaskSet

MIN_FLUSH_INTERVAL_S: Final = 1.0
PULL_INTERVAL_S: Final = 1.0
MEMBERS_PER_PULL_S: Final = 64
ALL_SERVICES_UP_TO: Final = 16
PULLS_PER_FULL_PULL: Final = 4
SERVED_HOLD_S: Final = 120.0
HOST_LIST_REFRESH_S: Final = 5.0


class EvidenceRouter:
    """Routes evidence out and pulls ejections in.

    Invariant: `_outbox` holds at most one batch per judge, and is emptied each flush whether or
    not the judge took it.
    """

    def __init__(
        self, parts: AgentParts, judge: Judge, view: AgentView, on_change: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._judge = judge
        self._view = view
        self._on_change = on_change
        self._outbox: dict[str, EvidenceBatch] = {}
        self._served_at: dict[str, float] = {}
        self._listed: frozenset[str] = frozenset()
        self._listed_sent_at = 0.0
        self._told = DrainTable(parts.clock)
        self._pulled = DrainTable(parts.clock)
        self._tasks = TaskSet()
        self._pulls = 0
        self._assignment: BalancedAssignment[Member] = BalancedAssignment()
        self.ejections = EjectionTable(parts.clock)

    async def start(self) -> None:
        """Begin to flush and to pull."""
        self._tasks.spawn(self._flush_forever())
        self._tasks.spawn(self._pull_forever())

    async def close(self) -> None:
        """Stop; evidence that waits is dropped."""
        await self._tasks.close()

    def leaving_targets(self) -> frozenset[str]:
        """Return the names of all targets known to be leaving."""
        return self._listed | self._told.names() | self._pulled.names()

    # In: from this host's proxy, from the host list, and from other agents.

    def accept_report(self, report: ProxyReport) -> None:
        """Take in a report of this host's proxy."""
        now = self._parts.clock.now()
        for evidence in report.evidence:
            self._served_at[evidence.service] = now
            self._route(evidence.service, EvidenceBatch(reports=[evidence]))
        for crash in report.crashes:
            self._route(crash.service, EvidenceBatch(crashes=[crash]))
        if self._pulled.note(report.draining_targets):
            self._on_change()
        self._route_drains(report.draining_targets)

    def accept_host_list(self, leaving: frozenset[str]) -> None:
        """Take in the leaving targets of the platform's list, which this agent polls."""
        is_changed = leaving != self._listed
        self._listed = leaving
        now = self._parts.clock.now()
        if is_changed or now - self._listed_sent_at >= HOST_LIST_REFRESH_S:
            self._listed_sent_at = now
            self._route_drains(leaving)
        if is_changed:
            self._on_change()

    def accept_batch(self, batch: EvidenceBatch) -> None:
        """Take in evidence from another agent, as a judge."""
        if self._told.note(batch.draining_targets):
            self._on_change()
        if batch.reports or batch.crashes:
            self._judge.accept_evidence(batch)

    def answer_pull(self, request: PullEjections) -> EjectionSets:
        """Return what this node decided for the services, and the leaving targets it was told."""
        sets = self._judge.ejection_sets(list(request.services))
        sets.draining_targets.extend(self._told.of_services(request.services))
        return sets

    def _route_drains(self, names: Iterable[str]) -> None:
        by_service: dict[str, list[str]] = {}
        for name in names:
            by_service.setdefault(name.partition("/")[0], []).append(name)
        for service, targets in by_service.items():
            self._route(service, EvidenceBatch(draining_targets=targets))

    def _route(self, service: str, batch: EvidenceBatch) -> None:
        judges = self._view.judges_of(service)
        if not judges:
            self._parts.counters.count(AgentEvent.EVIDENCE_DROPPED)
        for judge in judges:
            if judge.agent_address == self._parts.settings.agent_address:
                self.accept_batch(batch)
            else:
                self._outbox.setdefault(judge.agent_address, EvidenceBatch()).MergeFrom(batch)

    # Out: to the judges, and back from them.

    async def _flush_forever(self) -> None:
        interval_s = max(MIN_FLUSH_INTERVAL_S, self._parts.settings.report_interval_s)
        while True:
            await asyncio.sleep(interval_s)
            outbox, self._outbox = self._outbox, {}
            await asyncio.gather(*(self._send(*entry) for entry in outbox.items()))

    async def _send(self, address: str, batch: EvidenceBatch) -> None:
        try:
            await self._parts.clients.send_evidence(address, batch)
        except ControlError:
            self._parts.counters.count(AgentEvent.EVIDENCE_DROPPED)
        else:
            self._parts.counters.count(AgentEvent.EVIDENCE_SENT)

    async def _pull_forever(self) -> None:
        while True:
            members = len(self._parts.membership.present_members())
            await asyncio.sleep(PULL_INTERVAL_S * max(1.0, members / MEMBERS_PER_PULL_S))
            await self._pull_all()
            lapsed = [self.ejections.expire(), self._told.expire(), self._pulled.expire()]
            if any(lapsed):
                self._on_change()

    async def _pull_all(self) -> None:
        own_address = self._parts.settings.agent_address
        services_of: dict[str, list[str]] = {}
        is_full = self._pulls % PULLS_PER_FULL_PULL == 0
        self._pulls += 1
        for service in self._known_services() if is_full else self._served_services():
            for judge in self._view.judges_of(service):
                services_of.setdefault(judge.agent_address, []).append(service)
        own_services = services_of.pop(own_address, [])
        if own_services:
            self._take_own(own_services)
        await asyncio.gather(*(self._pull(*entry) for entry in services_of.items()))

    async def _pull(self, address: str, services: list[str]) -> None:
        began_at = self._parts.clock.now()
        try:
            sets = await self._parts.clients.fetch_ejections(address, services)
        except ControlError:
            return
        self._take(sets, began_at)

    def _take(self, sets: EjectionSets, began_at: float) -> None:
        is_changed = self.ejections.take(sets, began_at)
        is_changed = self._pulled.note(sets.draining_targets) or is_changed
        if is_changed:
            self._on_change()

    def refresh_own(self) -> None:
        """Take in at once what the local judge decided."""
        self._take_own(self._known_services())

    def _take_own(self, services: list[str]) -> None:
        if self.ejections.take_own(self._judge.ejection_sets(services)):
            self._on_change()

    def _known_services(self) -> list[str]:
        """Return all services where they are few, else those served."""
        policy = self._view.policy()
        if policy is None or len(policy.services) > ALL_SERVICES_UP_TO:
            return self._served_services()
        return list(policy.services)

    def _served_services(self) -> list[str]:
        """Return the services that this node has served of late or, of few, is assigned to."""
        policy = self._view.policy()
        if policy is None:
            return []
        limit = self._parts.clock.now() - SERVED_HOLD_S
        self._served_at = {s: at for s, at in self._served_at.items() if at >= limit}
        served = {service for service in self._served_at if service in policy.services}
        if len(policy.services) <= ALL_SERVICES_UP_TO:
            served |= self._assigned_services(policy)
        return sorted(served)

    def _assigned_services(self, policy: FleetPolicy) -> set[str]:
        assigned = self._assignment.assign(policy.demands(), self._view.live_members())
        own = self._view.incarnation()
        return {
            service
            for service, members in assigned.items()
            if any(member.incarnation == own for member in members)
        }
