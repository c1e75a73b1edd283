"""Builds the proxy's reports to its agent and applies the agent's state to the proxy.

`agentlink.py` calls it through the protocol `agentlink.ProxyLinkHandler`.
"""

import math
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Final

from logbook import Logger
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.configparts import ConfigPartError, join_encoded
from toucanspindle_core.evidence import EvidenceCollector
from toucanspindle_core.objects import ConfigHead
from toucanspindle_core.policy import merge_policy
from toucanspindle_core.processsettings import ProcessSettings
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_core.records import RecordTable

from toucanspindle_node.admit import AdmissionRegistry
from toucanspindle_node.evidencewire import (
    parse_quarantine,
    quarantine_message,
    report_message,
)
from toucanspindle_node.fleetstate import FleetStateHolder, ejections_for_domain
from toucanspindle_node.proxymetrics import ProxyMetrics
from toucanspindle_node.targetregistry import TargetRegistry, qualified_target_name

EVIDENCE_ATTEMPTS_PER_S: Final = 300.0

_log = Logger("fleetport")


@dataclass(frozen=True)
class FleetSyncDependencies:
    """The objects that reports are built from and that a state is applied to."""

    settings: ProcessSettings
    incarnation: str
    state: FleetStateHolder
    records: RecordTable
    evidence: EvidenceCollector
    quarantine: QuarantineTable
    registry: TargetRegistry
    admissions: AdmissionRegistry
    metrics: ProxyMetrics


class FleetSync:
    """Represents the proxy as a member of the fleet.

    Invariant: the member's state only changes from LIVE to LEAVING to LEFT; each change increases
    its version.
    """

    def __init__(self, dependencies: FleetSyncDependencies) -> None:
        """Create the representation of a member in state LIVE."""
        self._dependencies = dependencies
        self._member_state = pb.LIVE
        self._version = 1
        self._successor = ""
        self._sequence = 0

    def set_leaving(self) -> None:
        """Set the state LEAVING, which the next report contains.

        Callers aren't directed to a LEAVING member.
        """
        self._member_state = pb.LEAVING
        self._version += 1

    def set_left(self, successor: str) -> None:
        """Set the state LEFT, which the next report contains.

        `successor` is the incarnation that received this proxy's records.
        """
        self._member_state = pb.LEFT
        self._successor = successor
        self._version += 1

    def member(self) -> pb.Member:
        """Return this proxy's member record."""
        settings = self._dependencies.settings
        return pb.Member(
            node=settings.node,
            incarnation=self._dependencies.incarnation,
            failure_domain=settings.failure_domain,
            region=settings.region,
            entry_address=settings.entry_address,
            proxy_control_address=settings.proxy_control_address,
            agent_address=settings.agent_address,
            version=self._version,
            state=self._member_state,
            token=self._dependencies.records.current_token(),
            successor=self._successor,
        )

    def report(self) -> pb.ProxyReport:
        """Return a report with the evidence collected since the last one, which is cleared."""
        dependencies = self._dependencies
        self._remove_expired_exceptions()
        self._sequence += 1
        domain = dependencies.settings.failure_domain
        observed = dependencies.evidence.drain()
        for service_evidence in observed:
            dependencies.evidence.set_limit(
                service_evidence.service, self._evidence_limit(service_evidence.service)
            )
        evidence = [
            report_message(service_evidence, dependencies.incarnation, domain, self._sequence)
            for service_evidence in observed
        ]
        draining = [
            qualified_target_name(target_record.service, target_record.target.name)
            for target_record in dependencies.registry.draining_targets()
        ]
        return pb.ProxyReport(
            member=self.member(),
            evidence=evidence,
            crashes=[quarantine_message(entry) for entry in dependencies.quarantine.entries()],
            generation=dependencies.state.state.generation,
            draining_targets=draining,
        )

    def apply(self, state: pb.AgentState) -> None:
        """Apply configuration, members, ejections and quarantine from the agent."""
        dependencies = self._dependencies
        if state.config.generation:
            self._apply_config(state.config)
        domain = dependencies.settings.failure_domain
        dependencies.state.apply_members(list(state.members))
        dependencies.state.apply_ejections(ejections_for_domain(list(state.ejections), domain))
        dependencies.state.apply_leaving_targets(frozenset(state.leaving_targets))
        dependencies.quarantine.merge([parse_quarantine(entry) for entry in state.quarantine])

    def _apply_config(self, bundle: pb.ConfigBundle) -> None:
        dependencies = self._dependencies
        if bundle.generation <= dependencies.state.state.generation:
            return
        try:
            head = ConfigHead.model_validate_json(bundle.head)
            policy = merge_policy(join_encoded(head, dict(bundle.parts)), head.generation)
        except (ValueError, ConfigPartError) as error:
            _log.error("generation {} is invalid and isn't applied: {}", bundle.generation, error)
            dependencies.metrics.count_event("config_refused")
            return
        if dependencies.state.apply_policy(policy):
            dependencies.admissions.apply_policy(policy)
            dependencies.metrics.set_generation(policy.generation)
            _log.info("generation {} is in force", policy.generation)

    def _evidence_limit(self, service: str) -> int:
        """Return the maximum number of a service's attempts in this node's next report.

        All assigned nodes together report at most `EVIDENCE_ATTEMPTS_PER_S` to a judge.
        """
        state = self._dependencies.state.state
        policy = state.policy.services.get(service) if state.policy else None
        nodes = len(state.assigned_nodes(policy)) if policy else 1
        attempts = EVIDENCE_ATTEMPTS_PER_S * self._dependencies.settings.report_interval_s
        return math.ceil(attempts / max(1, nodes))

    def _remove_expired_exceptions(self) -> None:
        policy = self._dependencies.state.drop_expired_exceptions(datetime.now(UTC))
        if policy is not None:
            self._dependencies.admissions.apply_policy(policy)
            _log.info(
                "generation {} is in force; an expired exception was removed", policy.generation
            )
