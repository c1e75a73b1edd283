"""Converts evidence and quarantine entries to and from control protocol messages."""

from toucanspindle_core.control_pb2 import (
    EvidenceReport,
    LatencyBin,
    QuarantineEntry,
    TargetEvidence,
)
from toucanspindle_core.evidence import ObservedEvidence, ServiceEvidence, TargetOutcomes
from toucanspindle_core.latencybins import BIN_COUNT
from toucanspindle_core.quarantine import QuarantineRecord


def report_message(
    evidence: ServiceEvidence, observer: str, failure_domain: str, sequence: int
) -> EvidenceReport:
    """Return the message with one observer's evidence on one service."""
    return EvidenceReport(
        service=evidence.service,
        observer=observer,
        failure_domain=failure_domain,
        sequence=sequence,
        targets=[_target_message(counts) for counts in evidence.targets],
    )


def parse_report(message: EvidenceReport) -> ObservedEvidence:
    """Return the evidence in a message; latency bins out of range are ignored."""
    counts = [_parse_target(target) for target in message.targets]
    evidence = ServiceEvidence(message.service, counts)
    return ObservedEvidence(evidence, message.observer, message.failure_domain, message.sequence)


def quarantine_message(record: QuarantineRecord) -> QuarantineEntry:
    """Return the message for a quarantine entry."""
    return QuarantineEntry(
        service=record.service,
        fingerprint=record.fingerprint,
        crashed_targets=record.crashed_targets,
        expires_in_ms=max(0, int(record.expires_in_s * 1000)),
        last_target=record.last_target,
    )


def parse_quarantine(message: QuarantineEntry) -> QuarantineRecord:
    """Return the quarantine entry in a message."""
    return QuarantineRecord(
        message.service,
        message.fingerprint,
        message.crashed_targets,
        message.expires_in_ms / 1000,
        message.last_target,
    )


def _target_message(counts: TargetOutcomes) -> TargetEvidence:
    return TargetEvidence(
        target=counts.target,
        operation=counts.operation,
        account_bucket=counts.account_bucket,
        succeeded=counts.succeeded,
        failed=counts.failed,
        shed=counts.shed,
        latency=[LatencyBin(index=i, count=n) for i, n in sorted(counts.latency.items())],
    )


def _parse_target(message: TargetEvidence) -> TargetOutcomes:
    return TargetOutcomes(
        message.target,
        message.operation,
        message.account_bucket,
        message.succeeded,
        message.failed,
        message.shed,
        {b.index: b.count for b in message.latency if b.index < BIN_COUNT},
    )
