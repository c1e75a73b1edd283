"""Counts outcomes of attempts by service, target, operation and account bucket.

The proxy records attempts.  About every half second the counts are drained and sent to the judges
of the service.  Accounts are mapped to ACCOUNT_BUCKETS buckets by a stable hash that is the same on
all nodes.

The load on a judge grows with the number of attempts, so in each window between two drains only the
first attempts of a service are counted, up to a limit.  Whether an attempt is counted depends only
on its position in the window, never on its target or outcome, so the shares that a judge compares
are not biased.
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
    """Result of one attempt at a target; the target did not run an attempt that it SHED."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    SHED = "shed"


@dataclass(slots=True)
class TargetOutcomes:
    """Outcome counts of one target in one operation and account bucket.

    `latency` maps a latency bin to its count; it only covers attempts that succeeded.
    """

    target: str
    operation: str
    account_bucket: int
    succeeded: int = 0
    failed: int = 0
    shed: int = 0
    latency: dict[int, int] = field(default_factory=dict)

    def add(self, outcome: Outcome, latency_s: float) -> None:
        """Count one attempt, which took `latency_s` seconds."""
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
    """Outcome counts of a service's targets since the observer's previous report."""

    service: str
    targets: list[TargetOutcomes]


@dataclass(frozen=True)
class ObservedEvidence:
    """Evidence as a judge receives it, with observer, its failure domain and sequence number."""

    evidence: ServiceEvidence
    observer: str
    failure_domain: str
    sequence: int


def account_bucket(account: str) -> int:
    """Return the account's bucket, from 0 to ACCOUNT_BUCKETS - 1; the same on every node."""
    return zlib.crc32(account.encode()) % ACCOUNT_BUCKETS


_CountsKey = tuple[str, str, int]


@dataclass(slots=True)
class _Window:
    """Counts of one service since the last drain; `recorded` never exceeds `limit`."""

    limit: int
    recorded: int = 0
    counts: dict[_CountsKey, TargetOutcomes] = field(default_factory=dict)


class EvidenceCollector:
    """Counts outcomes between two reports; thread-safe.

    Invariant: each attempt is counted in at most one drained result, and in exactly one if the
    window of its service has not reached the limit.
    """

    def __init__(self) -> None:
        """Create an empty collector without limits."""
        self._lock = threading.Lock()
        self._windows: dict[str, _Window] = {}
        self._limits: dict[str, int] = {}

    def set_limit(self, service: str, attempts: int) -> None:
        """Limit the attempts of a service counted per window, from the next window on."""
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
        """Count one attempt at a target, which took `latency_s` seconds."""
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
        """Return the counts since the last call, one entry per service, and start new windows."""
        with self._lock:
            windows, self._windows = self._windows, {}
        return [
            ServiceEvidence(name, list(window.counts.values())) for name, window in windows.items()
        ]
