"""Expected failure rate of a target, estimated from its peers in the same stratum.

Exponentially decayed counts are kept at five levels: for the service, per operation, and within an
operation per account bucket, per observer's failure domain and per both.  Each level has a total
and counts per target, so that a target's own counts can be subtracted.  The expected rate is a
shrinkage estimate: each finer level has weight according to its data.

A second set of counts decays within seconds and is used where it shows a higher rate.  When all
targets begin to fail at once, the expected rate therefore rises before any target becomes suspect.
"""

from dataclasses import dataclass, field
from typing import Final, TypeAlias

from toucanspindle_core.detection import STEP_S

LONG_DECAY_TIME_S: Final = 60.0
SHORT_DECAY_PER_STEP: Final = 0.25
PRIOR_RATE: Final = 0.005
PRIOR_COUNT: Final = 30.0
RECENT_PRIOR_COUNT: Final = 10.0
MIN_RATE: Final = 0.002
MAX_RATE: Final = 0.999

_LONG_DECAY_PER_STEP: Final = 1 - STEP_S / LONG_DECAY_TIME_S

StratumKey: TypeAlias = tuple[str, int, str]
ANY_OPERATION: Final = "*"
ANY_BUCKET: Final = -1
ANY_DOMAIN: Final = "*"


@dataclass(slots=True)
class _Counts:
    """Decayed numbers of requests and failures; the decay is applied on access."""

    step: int
    requests: float = 0.0
    failures: float = 0.0
    recent_requests: float = 0.0
    recent_failures: float = 0.0

    def decay_to(self, step: int) -> None:
        elapsed = step - self.step
        if not elapsed:
            return
        long_decay, short_decay = _LONG_DECAY_PER_STEP**elapsed, SHORT_DECAY_PER_STEP**elapsed
        self.requests *= long_decay
        self.failures *= long_decay
        self.recent_requests *= short_decay
        self.recent_failures *= short_decay
        self.step = step

    def add(self, requests: int, failures: int) -> None:
        self.requests += requests
        self.failures += failures
        self.recent_requests += requests
        self.recent_failures += failures


@dataclass(slots=True)
class _LevelCounts:
    total: _Counts
    by_target: dict[str, _Counts] = field(default_factory=dict)

    def add(self, step: int, target: str, requests: int, failures: int) -> None:
        self.total.decay_to(step)
        self.total.add(requests, failures)
        target_counts = self.by_target.get(target)
        if target_counts is None:
            target_counts = self.by_target[target] = _Counts(step)
        target_counts.decay_to(step)
        target_counts.add(requests, failures)

    def counts_of_peers(self, target: str, step: int) -> _Counts:
        total, target_counts = self.total, self.by_target.get(target)
        total.decay_to(step)
        if target_counts is None:
            return total
        target_counts.decay_to(step)
        return _Counts(
            step,
            max(0.0, total.requests - target_counts.requests),
            max(0.0, total.failures - target_counts.failures),
            max(0.0, total.recent_requests - target_counts.recent_requests),
            max(0.0, total.recent_failures - target_counts.recent_failures),
        )


class PeerFailureRates:
    """Estimates the failure rates of peers by stratum.

    Invariant: the expected rate is between MIN_RATE and MAX_RATE.
    """

    def __init__(self) -> None:
        """Create rates without data; every expected rate is then PRIOR_RATE."""
        self._step = 0
        self._levels: dict[StratumKey, _LevelCounts] = {}

    def advance(self) -> None:
        """Begin the next step."""
        self._step += 1

    def add(self, target: str, stratum: StratumKey, requests: int, failures: int) -> None:
        """Count requests of a target in a stratum (operation, account bucket, domain)."""
        for key in _level_keys(stratum):
            level = self._levels.get(key)
            if level is None:
                level = self._levels[key] = _LevelCounts(_Counts(self._step))
            level.add(self._step, target, requests, failures)

    def expected_rate(self, target: str, stratum: StratumKey) -> float:
        """Return the failure rate of the target's peers in the stratum, 0 to 1."""
        peers = [self._peer_counts(target, key) for key in _level_keys(stratum)]
        service_counts, operation_counts, bucket_counts, domain_counts, finest_counts = peers
        operation_rate = _shrunk_rate(operation_counts, _shrunk_rate(service_counts, PRIOR_RATE))
        coarser_rate = max(
            _shrunk_rate(bucket_counts, operation_rate), _shrunk_rate(domain_counts, operation_rate)
        )
        long_term_rate = _shrunk_rate(finest_counts, coarser_rate)
        recent_rates = [_shrunk_recent_rate(counts, long_term_rate) for counts in peers]
        return min(MAX_RATE, max(MIN_RATE, long_term_rate, *recent_rates))

    def drop_target(self, target: str) -> None:
        """Remove the counts of a target that has left the service."""
        for level in self._levels.values():
            level.by_target.pop(target, None)

    def _peer_counts(self, target: str, key: StratumKey) -> _Counts:
        level = self._levels.get(key)
        return level.counts_of_peers(target, self._step) if level else _Counts(self._step)


def _level_keys(stratum: StratumKey) -> tuple[StratumKey, ...]:
    operation, bucket, domain = stratum
    return (
        (ANY_OPERATION, ANY_BUCKET, ANY_DOMAIN),
        (operation, ANY_BUCKET, ANY_DOMAIN),
        (operation, bucket, ANY_DOMAIN),
        (operation, ANY_BUCKET, domain),
        stratum,
    )


def _shrunk_rate(counts: _Counts, prior: float) -> float:
    return (counts.failures + PRIOR_COUNT * prior) / (counts.requests + PRIOR_COUNT)


def _shrunk_recent_rate(counts: _Counts, prior: float) -> float:
    failures = counts.recent_failures + RECENT_PRIOR_COUNT * prior
    return failures / (counts.recent_requests + RECENT_PRIOR_COUNT)
