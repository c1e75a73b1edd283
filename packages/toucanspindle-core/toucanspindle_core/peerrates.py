"""Expected rate of failures of a target, from its peers in the same strata.

Decayed counts are kept for the service, per operation, and within it per account bucket, per
observer's failure domain, and per both, in total and per target, so that a target's own counts
can be taken out.  The expected rate is found by shrinkage: each finer level counts only as far as
it has data.  A second set of counts decays within seconds; where it shows a higher rate, that
rate is used.  So what starts to fail on every target at once raises the expectation before it
raises suspicion.
"""

from dataclasses import dataclass, field
from typing import Final, TypeAlias

from toucanspindle_core.detection import STEP_S

LONG_MEMORY_S: Final = 60.0
SHORT_DECAY_PER_STEP: Final = 0.25
PRIOR_RATE: Final = 0.005
PRIOR_COUNT: Final = 30.0
RECENT_PRIOR_COUNT: Final = 10.0
MIN_RATE: Final = 0.002
MAX_RATE: Final = 0.999

_LONG_DECAY: Final = 1 - STEP_S / LONG_MEMORY_S

StratumKey: TypeAlias = tuple[str, int, str]
ANY_OPERATION: Final = "*"
ANY_BUCKET: Final = -1
ANY_DOMAIN: Final = "*"


@dataclass(slots=True)
class _Counts:
    """Decayed numbers of requests and failures, brought up to date when touched."""

    step: int
    requests: float = 0.0
    failures: float = 0.0
    recent_requests: float = 0.0
    recent_failures: float = 0.0

    def decay_to(self, step: int) -> None:
        elapsed = step - self.step
        if not elapsed:
            return
        long, short = _LONG_DECAY**elapsed, SHORT_DECAY_PER_STEP**elapsed
        self.requests *= long
        self.failures *= long
        self.recent_requests *= short
        self.recent_failures *= short
        self.step = step

    def add(self, requests: int, failures: int) -> None:
        self.requests += requests
        self.failures += failures
        self.recent_requests += requests
        self.recent_failures += failures


@dataclass(slots=True)
class _Level:
    total: _Counts
    by_target: dict[str, _Counts] = field(default_factory=dict)

    def add(self, step: int, target: str, requests: int, failures: int) -> None:
        self.total.decay_to(step)
        self.total.add(requests, failures)
        own = self.by_target.get(target)
        if own is None:
            own = self.by_target[target] = _Counts(step)
        own.decay_to(step)
        own.add(requests, failures)

    def peers_of(self, target: str, step: int) -> _Counts:
        total, own = self.total, self.by_target.get(target)
        total.decay_to(step)
        if own is None:
            return total
        own.decay_to(step)
        return _Counts(
            step,
            max(0.0, total.requests - own.requests),
            max(0.0, total.failures - own.failures),
            max(0.0, total.recent_requests - own.recent_requests),
            max(0.0, total.recent_failures - own.recent_failures),
        )


class PeerRates:
    """Failure rates of peers by stratum.

    Invariant: the expected rate lies between MIN_RATE and MAX_RATE.
    """

    def __init__(self) -> None:
        """Create rates without data: every expectation is the prior."""
        self._step = 0
        self._levels: dict[StratumKey, _Level] = {}

    def advance(self) -> None:
        """Begin the next step."""
        self._step += 1

    def add(self, target: str, stratum: StratumKey, requests: int, failures: int) -> None:
        """Count requests of a target in a stratum (operation, account bucket, domain)."""
        for key in _levels_of(stratum):
            level = self._levels.get(key)
            if level is None:
                level = self._levels[key] = _Level(_Counts(self._step))
            level.add(self._step, target, requests, failures)

    def expected(self, target: str, stratum: StratumKey) -> float:
        """Return the rate of failures that the target's peers have in the stratum."""
        peers = [self._peers(target, key) for key in _levels_of(stratum)]
        service, by_operation, by_bucket, by_domain, finest = peers
        general = _long_term(by_operation, _long_term(service, PRIOR_RATE))
        middle = max(_long_term(by_bucket, general), _long_term(by_domain, general))
        long_term = _long_term(finest, middle)
        recent = [_recent(counts, long_term) for counts in peers]
        return min(MAX_RATE, max(MIN_RATE, long_term, *recent))

    def drop_target(self, target: str) -> None:
        """Forget a target that isn't the service's any more."""
        for level in self._levels.values():
            level.by_target.pop(target, None)

    def _peers(self, target: str, key: StratumKey) -> _Counts:
        level = self._levels.get(key)
        return level.peers_of(target, self._step) if level else _Counts(self._step)


def _levels_of(stratum: StratumKey) -> tuple[StratumKey, ...]:
    operation, bucket, domain = stratum
    return (
        (ANY_OPERATION, ANY_BUCKET, ANY_DOMAIN),
        (operation, ANY_BUCKET, ANY_DOMAIN),
        (operation, bucket, ANY_DOMAIN),
        (operation, ANY_BUCKET, domain),
        stratum,
    )


def _long_term(counts: _Counts, prior: float) -> float:
    return (counts.failures + PRIOR_COUNT * prior) / (counts.requests + PRIOR_COUNT)


def _recent(counts: _Counts, prior: float) -> float:
    failures = counts.recent_failures + RECENT_PRIOR_COUNT * prior
    return failures / (counts.recent_requests + RECENT_PRIOR_COUNT)
