"""Detects unhealthy targets by sequential tests against their peers.

Each outcome is compared with the outcomes of the target's peers in the same stratum: operation,
account bucket and observer's failure domain.  CUSUM statistics per target sum the log-likelihood
ratios of "fails more often" and "is slower": over all its requests, per account bucket and per
failure domain, each against a mild and a strong alternative.

- When most targets worsen together, the cause is load and no verdict is given.
- When the evidence comes from one failure domain and that of the others indicates a healthy target,
  the verdict is limited to that domain.
- While several targets are suspect, their peers may be worsening too.  The detector then uses the
  higher threshold of Lorden's bound for CAUTION_S.

The most suspect targets are not used as peers, so that several unhealthy targets can't hide each
other.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from toucanspindle_core.clock import Clock
from toucanspindle_core.commonmode import subtract_common_slowness
from toucanspindle_core.cusum import (
    ALTERNATIVES,
    RUN_LENGTH_GAIN,
    STRENGTH_COUNT,
    Cusum,
    ScopeTally,
    Tally,
    threshold,
)
from toucanspindle_core.detection import ALL_DOMAINS, STEP_S, EjectionScope, FaultKind, Verdict
from toucanspindle_core.evidence import ACCOUNT_BUCKETS, TargetOutcomes
from toucanspindle_core.latencybins import BIN_RATIO
from toucanspindle_core.peerrates import ANY_BUCKET
from toucanspindle_core.scoring import DomainOutcomes, PeerReference

SUSPECT_MIN_SUSPICION: Final = 0.5
MAX_EXCLUDED_PEERS_SHARE: Final = 0.25
MOST_TARGETS_SHARE: Final = 0.5
CAUTION_SUSPECT_COUNT: Final = 2
CAUTION_SUSPICION: Final = 0.35
CAUTION_S: Final = 30.0
OTHER_DOMAINS_HEALTHY_RATIO: Final = -1.5
MIN_SLOWDOWN: Final = 1.3

# Shares of the allowed false ejections.  The whole-target tests (wrong and slow), the tests per
# account bucket (wrong only) and those per failure domain (wrong and slow) use 2 * 0.3 + 0.2 +
# 2 * 0.1 = 1 of them.
_WHOLE_TARGET_TEST_SHARE: Final = 0.3
_BUCKET_TEST_SHARE: Final = 0.2
_DOMAIN_TEST_SHARE: Final = 0.1

# Requests that a test covers, as (failure domain, account bucket): the requests seen from one
# failure domain, those of one account bucket, or all.
_Scope: TypeAlias = tuple[str, int]
_WHOLE_TARGET: Final[_Scope] = (ALL_DOMAINS, ANY_BUCKET)


@dataclass
class _TargetState:
    ignored_until_s: float = -math.inf
    cusums: dict[_Scope, list[Cusum]] = field(default_factory=dict)
    suspicion: float = 0.0


class SequentialDetector:
    """CUSUM tests on the evidence of all observers of one service; see the module docstring."""

    def __init__(self, false_ejections_per_target_day: float, clock: Clock) -> None:
        """Create a detector with a bound on false ejections per target and day."""
        self._false_ejections_per_day = false_ejections_per_target_day
        self._clock = clock
        self._reference = PeerReference()
        self._states: dict[str, _TargetState] = {}
        self._ejected: frozenset[EjectionScope] = frozenset()
        self._pending_outcomes: list[DomainOutcomes] = []
        self._step_outcomes: list[DomainOutcomes] = []
        self._domains: set[str] = set()
        self._caution_until_s = -math.inf

    def set_targets(self, targets: Collection[str]) -> None:
        """Set the targets of the service and drop the state of all others."""
        for name in set(self._states) - set(targets):
            del self._states[name]
            self._reference.drop_target(name)
        for name in targets:
            self._states.setdefault(name, _TargetState())

    def set_ejected(self, ejected: Collection[EjectionScope]) -> None:
        """Set the ejected targets, which are no longer used as peers of the others."""
        self._ejected = frozenset(ejected)

    def set_false_ejection_rate(self, false_ejections_per_target_day: float) -> None:
        """Change the bound on false ejections per target and day."""
        self._false_ejections_per_day = false_ejections_per_target_day

    def ignore_until(self, target: str, until_s: float) -> None:
        """Ignore the outcomes of a target until the clock reads `until_s`."""
        state = self._states.get(target)
        if state is not None:
            state.ignored_until_s = max(state.ignored_until_s, until_s)
            self.reset_target(target)

    def reset_target(self, target: str) -> None:
        """Discard the evidence on a target."""
        state = self._states.get(target)
        if state is not None:
            state.cusums.clear()
            state.suspicion = 0.0

    def observe(self, domain: str, counts: TargetOutcomes) -> None:
        """Add outcome counts reported by an observer in failure domain `domain`."""
        if counts.target in self._states:
            self._domains.add(domain)
            self._pending_outcomes.append(DomainOutcomes(domain, counts))

    def observe_health(self, target: str, healthy: bool) -> None:
        """Do nothing, because the detector judges targets by real requests only."""

    def suspicion(self, target: str) -> float:
        """Return the evidence against a target as a share of what a verdict needs, 0 to 1."""
        state = self._states.get(target)
        return min(1.0, state.suspicion) if state else 0.0

    def step(self) -> list[Verdict]:
        """End a step of STEP_S seconds and return verdicts on the targets found unhealthy in it."""
        self._step_outcomes = self._take_outcomes()
        excluded = self._suspects_excluded_as_peers()
        self._reference.add_peer_outcomes(
            [o for o in self._step_outcomes if self._is_peer(o, excluded)]
        )
        for target, scopes in self._sum_by_scope().items():
            self._add_evidence(self._states[target], scopes)
        if self._most_targets_are_suspect():
            for target in self._states:
                self.reset_target(target)
            self._start_caution()
            return []
        if self._count_suspects(CAUTION_SUSPICION) >= CAUTION_SUSPECT_COUNT:
            self._start_caution()
        verdicts = [self._find_verdict(target, state) for target, state in self._states.items()]
        return [verdict for verdict in verdicts if verdict is not None]

    def _take_outcomes(self) -> list[DomainOutcomes]:
        now = self._clock.now()
        outcomes, self._pending_outcomes = self._pending_outcomes, []
        known = [o for o in outcomes if o.counts.target in self._states]
        return [o for o in known if self._states[o.counts.target].ignored_until_s <= now]

    def _suspects_excluded_as_peers(self) -> set[str]:
        """Return the most suspect targets, at most MAX_EXCLUDED_PEERS_SHARE of all targets.

        Without the limit, when all targets fail alike, they would become suspect one after another
        by chance, and each would be compared with those that happened to fail least.
        """
        suspects = [n for n, s in self._states.items() if s.suspicion >= SUSPECT_MIN_SUSPICION]
        suspects.sort(key=lambda name: -self._states[name].suspicion)
        return set(suspects[: math.ceil(MAX_EXCLUDED_PEERS_SHARE * len(self._states))])

    def _is_peer(self, outcomes: DomainOutcomes, excluded: set[str]) -> bool:
        target = outcomes.counts.target
        if target in excluded or not self._ejected:
            return target not in excluded
        from_domain = EjectionScope(target, outcomes.domain)
        return EjectionScope(target) not in self._ejected and from_domain not in self._ejected

    def _sum_by_scope(self) -> dict[str, dict[_Scope, ScopeTally]]:
        sums_by_target: dict[str, dict[_Scope, ScopeTally]] = {}
        for target, cells in self._sum_by_cell().items():
            scopes: dict[_Scope, ScopeTally] = {}
            for (domain, bucket), tally in cells.items():
                for scope in (_WHOLE_TARGET, (domain, ANY_BUCKET), (ALL_DOMAINS, bucket)):
                    if scope not in scopes:
                        scopes[scope] = ScopeTally()
                    scopes[scope].add(domain, tally)
            sums_by_target[target] = scopes
        return sums_by_target

    def _sum_by_cell(self) -> dict[str, dict[_Scope, Tally]]:
        """Sum the evidence of the step by target, failure domain and account bucket."""
        tallies: dict[str, dict[_Scope, Tally]] = {}
        for outcomes in self._step_outcomes:
            target = outcomes.counts.target
            is_healthy = self._states[target].suspicion < SUSPECT_MIN_SUSPICION
            tally = self._reference.score(outcomes, learn_offset=is_healthy)
            cells = tallies.setdefault(target, {})
            cell = cells.get((outcomes.domain, outcomes.counts.account_bucket))
            if cell is None:
                cells[outcomes.domain, outcomes.counts.account_bucket] = tally
            else:
                cell.add(tally)
        subtract_common_slowness(tallies.values())
        return tallies

    def _add_evidence(self, state: _TargetState, scopes: dict[_Scope, ScopeTally]) -> None:
        for scope, tally in scopes.items():
            if scope not in state.cusums:
                tests = STRENGTH_COUNT if scope[1] != ANY_BUCKET else len(ALTERNATIVES)
                state.cusums[scope] = [Cusum(alternative) for alternative in range(tests)]
            for cusum in state.cusums[scope]:
                cusum.add(tally, self._threshold(scope, cusum.alternative))
        self._update_suspicion(state)

    def _update_suspicion(self, state: _TargetState) -> None:
        relative_statistics = [
            cusum.statistic / self._threshold(scope, cusum.alternative)
            for scope, cusums in state.cusums.items()
            for cusum in cusums
        ]
        state.suspicion = max(relative_statistics, default=0.0)

    def _threshold(self, scope: _Scope, alternative: int) -> float:
        domain, bucket = scope
        if domain != ALL_DOMAINS:
            test_share, tests = _DOMAIN_TEST_SHARE, len(self._domains)
        elif bucket != ANY_BUCKET:
            test_share, tests = _BUCKET_TEST_SHARE, ACCOUNT_BUCKETS
        else:
            test_share, tests = _WHOLE_TARGET_TEST_SHARE, 1
        is_failure_test = ALTERNATIVES[alternative].kind is FaultKind.WRONG
        peers_healthy = self._clock.now() >= self._caution_until_s
        gain = RUN_LENGTH_GAIN if is_failure_test and peers_healthy else 0.0
        return threshold(self._false_ejections_per_day * test_share, tests * STRENGTH_COUNT, gain)

    def _most_targets_are_suspect(self) -> bool:
        active = sum(bool(s.cusums) for s in self._states.values())
        return self._count_suspects(SUSPECT_MIN_SUSPICION) > max(1, MOST_TARGETS_SHARE * active)

    def _count_suspects(self, min_suspicion: float) -> int:
        return sum(s.suspicion >= min_suspicion for s in self._states.values() if s.cusums)

    def _start_caution(self) -> None:
        self._caution_until_s = self._clock.now() + CAUTION_S
        for state in self._states.values():
            self._update_suspicion(state)

    def _find_verdict(self, target: str, state: _TargetState) -> Verdict | None:
        if state.suspicion < 1:
            return None
        exceeding = [
            (scope, cusum)
            for scope, cusums in state.cusums.items()
            for cusum in cusums
            if cusum.statistic >= self._threshold(scope, cusum.alternative)
            and not _is_shape_change_only(cusum)
        ]
        if not exceeding:
            return None
        scope, cusum = max(exceeding, key=lambda pair: pair[1].statistic)
        domain = self._only_affected_domain(state, scope, cusum)
        if domain is None:
            exceeding = [pair for pair in exceeding if pair[0][0] == ALL_DOMAINS]
            if not exceeding:
                return None
            scope, cusum = max(exceeding, key=lambda pair: pair[1].statistic)
            domain = ALL_DOMAINS
        kind = ALTERNATIVES[cusum.alternative].kind
        return Verdict(target, domain, kind, self._explain(target, scope, cusum))

    def _only_affected_domain(self, state: _TargetState, scope: _Scope, cusum: Cusum) -> str | None:
        """Return the one failure domain that the evidence comes from, or None if there are several.

        None is also returned when there is no evidence by domain.
        """
        domain, bucket = scope
        all_domains_cusum = state.cusums[ALL_DOMAINS, bucket][cusum.alternative]
        if domain != ALL_DOMAINS and not all_domains_cusum.statistic:
            return domain
        strongest = all_domains_cusum.strongest_domain()
        if strongest is None:
            return None
        others_ratio = all_domains_cusum.ratio_of_other_domains(strongest)
        return (
            strongest
            if others_ratio is None or others_ratio <= OTHER_DOMAINS_HEALTHY_RATIO
            else None
        )

    def _explain(self, target: str, scope: _Scope, cusum: Cusum) -> str:
        domain, bucket = scope
        total = cusum.sums.total
        where = f" seen from {domain}" if domain else ""
        if bucket != ANY_BUCKET:
            where = f" for accounts of bucket {bucket}"
        if ALTERNATIVES[cusum.alternative].kind is FaultKind.WRONG:
            peers_percent = 100 * self._peers_failure_rate(target, scope)
            text = (
                f"failed {total.failures} of {total.requests} requests{where}, its peers"
                f" {peers_percent:.1f}% of the same kind"
            )
        else:
            ratio = _mean_slowdown(total)
            text = f"took {ratio:.1f} times as long as its peers for {total.answers} answers{where}"
        return (
            f"{target} {text}, within {cusum.steps * STEP_S:.1f} s; log-likelihood ratio"
            f" {cusum.statistic:.1f}, threshold {self._threshold(scope, cusum.alternative):.1f}"
        )

    def _peers_failure_rate(self, target: str, scope: _Scope) -> float:
        domain, bucket = scope
        comparable = [
            o
            for o in self._step_outcomes
            if o.counts.target == target
            and domain in {ALL_DOMAINS, o.domain}
            and bucket in {ANY_BUCKET, o.counts.account_bucket}
        ]
        requests = sum(o.requests() for o in comparable)
        expected = sum(o.requests() * self._reference.expected_failure_rate(o) for o in comparable)
        return expected / max(1, requests)


def _mean_slowdown(tally: Tally) -> float:
    """Return the geometric mean of the ratios of a target's latencies to its peers'."""
    return float(BIN_RATIO ** (tally.deviation / max(1, tally.answers)))


def _is_shape_change_only(cusum: Cusum) -> bool:
    """Return whether the evidence says "slower" although the mean slowdown is small.

    The distribution of latencies then changed its shape, while the target isn't slower as a whole.
    """
    if ALTERNATIVES[cusum.alternative].kind is not FaultKind.SLOW:
        return False
    return _mean_slowdown(cusum.sums.total) < MIN_SLOWDOWN
