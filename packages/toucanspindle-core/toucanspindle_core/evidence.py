"""Collects outcomes of requests per service, target, operation and account bucket.

The proxy records attempts; about each half second the counts are drained and sent to the service's
judges.  Accounts fall into ACCOUNT_BUCKETS buckets by a stable hash, alike on all nodes.

What a judge pays grows with the attempts, so each window between two drains takes only the first
ones of a service, up to a limit.  An attempt is left out for its time in the window alone, never
for its target or outcome, so the shares that a judge compares stay true.
"""

import sys
import threading
import zlib
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from toucanspindle_core.latencybins import bin_index

ACCOUNT_BUCKETS: Final = 8
NO_LIMIT: Final = sys.maxsize


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


@dataclass(slots=True)
class _Window:
    """What was recorded of one service since the last drain; `recorded` never exceeds `limit`."""

    limit: int
    recorded: int = 0
    counts: dict[_Key, TargetOutcomes] = field(default_factory=dict)


class EvidenceCollector:
    """Counts outcomes between two reports; safe for use by several threads.

    Invariant: each attempt is in one drained result at most, and in exactly one as long as its
    service's window is below the limit.
    """

    def __init__(self) -> None:
        """Create an empty collector without a limit."""
        self._lock = threading.Lock()
        self._windows: dict[str, _Window] = {}
        self._limits: dict[str, int] = {}

    def set_limit(self, service: str, attempts: int) -> None:
        """Take in at most so many attempts of a service from one drain to the next."""
        with self._lock:
            self._limits[service] = attempts

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
        with self._lock:
            window = self._windows.get(service)
            if window is None:
                window = self._windows[service] = _Window(self._limits.get(service, NO_LIMIT))
            if window.recorded >= window.limit:
                return
            window.recorded += 1
            bucket = account_bucket(account)
            key = (target, operation, bucket)
            counts = window.counts.get(key)
            if counts is None:
                counts = window.counts[key] = TargetOutcomes(target, operation, bucket)
            counts.add(outcome, latency_s)

    def drain(self) -> list[ServiceEvidence]:
        """Return what was recorded since the last call, one entry per service."""
        with self._lock:
            windows, self._windows = self._windows, {}
        return [
            ServiceEvidence(name, list(window.counts.values())) for name, window in windows.items()
        ]
