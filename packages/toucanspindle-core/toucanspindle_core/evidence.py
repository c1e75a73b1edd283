"""Collects outcomes of requests per service, target, operation and account bucket.

The proxy records each attempt; about each half second the counts are drained and sent to the
service's judges.  Accounts fall into ACCOUNT_BUCKETS buckets by a stable hash, alike on all nodes.
"""

import threading
import zlib
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from toucanspindle_core.latencybins import bin_index

ACCOUNT_BUCKETS: Final = 8


class Outcome(Enum):
    """How one attempt at a target ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    SHED = "shed"


@dataclass(slots=True)
class TargetOutcomes:
    """Counts for one target in one operation and account bucket.

    `latency` maps a latency bin to its count; it covers the attempts that succeeded.
    """

    target: str
    operation: str
    account_bucket: int
    succeeded: int = 0
    failed: int = 0
    shed: int = 0
    latency: dict[int, int] = field(default_factory=dict)

    def add(self, outcome: Outcome, latency_s: float) -> None:
        """Count one attempt."""
        if outcome is Outcome.SHED:
            self.shed += 1
            return
        if outcome is Outcome.FAILED:
            self.failed += 1
            return
        self.succeeded += 1
        index = bin_index(latency_s)
        self.latency[index] = self.latency.get(index, 0) + 1


@dataclass(frozen=True)
class ServiceEvidence:
    """What one observer saw of a service's targets since it last reported."""

    service: str
    targets: list[TargetOutcomes]


@dataclass(frozen=True)
class ObservedEvidence:
    """Evidence as a judge receives it: with its observer, its failure domain and sequence."""

    evidence: ServiceEvidence
    observer: str
    failure_domain: str
    sequence: int


def account_bucket(account: str) -> int:
    """Return the account's bucket, the same on every node."""
    return zlib.crc32(account.encode()) % ACCOUNT_BUCKETS


_Key = tuple[str, str, int]


class EvidenceCollector:
    """Counts outcomes between two reports; safe for use by several threads.

    Invariant: each recorded attempt is in exactly one drained result.
    """

    def __init__(self) -> None:
        """Create an empty collector."""
        self._lock = threading.Lock()
        self._counts: dict[str, dict[_Key, TargetOutcomes]] = {}

    def record(  # noqa: PLR0917
        self,
        service: str,
        target: str,
        operation: str,
        account: str,
        outcome: Outcome,
        latency_s: float,
    ) -> None:
        """Count one attempt at a target that took `latency_s` seconds."""
        bucket = account_bucket(account)
        key = (target, operation, bucket)
        with self._lock:
            by_key = self._counts.setdefault(service, {})
            counts = by_key.get(key)
            if counts is None:
                counts = by_key[key] = TargetOutcomes(target, operation, bucket)
            counts.add(outcome, latency_s)

    def drain(self) -> list[ServiceEvidence]:
        """Return what was recorded since the last call, one entry per service."""
        with self._lock:
            counts, self._counts = self._counts, {}
        return [ServiceEvidence(name, list(by_key.values())) for name, by_key in counts.items()]
