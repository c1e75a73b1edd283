"""Detects sick targets by sequential tests against their peers.

Each request's outcome is compared with what the target's peers show in the same stratum: operation,
account bucket, observer's failure domain.  Log-likelihood ratios of "wrong more often" and of
"slower" are added up in CUSUM statistics per target: over all its requests, per account bucket,
and per failure domain, each against a mild and a strong alternative.  When most targets worsen
together it is load and nobody is held sick.  When the evidence comes from one failure domain alone
while the others' speaks for the target, the verdict is limited to that domain.  While several
targets are suspect the peers may be worsening too, and the higher threshold of Lorden's bound holds
for CAUTION_S.

Suspects don't count as peers, so that several sick targets can't hide each other.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from toucanspindle_core.clock import Clock
from toucanspindle_core.commonmode import take_out_common_slowness
from toucanspindle_core.cusum import (
    ALTERNATIVES,
    RUN_LENGTH_GAIN,
    STRENGTHS,
    Cusum,
    ScopeTally,
    Tally,
    threshold,
)
from toucanspindle_core.detection import ALL_DOMAINS, STEP_S, EjectedFrom, FaultKind, Verdict
from toucanspindle_core.evidence import ACCOUNT_BUCKETS, TargetOutcomes
from toucanspindle_core.latencybins import BIN_RATIO
from toucanspindle_core.peerrates import ANY_BUCKET
from toucanspindle_core.scoring import DomainOutcomes, PeerReference

SUSPECT_SHARE: Final = 0.5
MAX_UNFIT_SHARE: Final = 0.25
MOST_TARGETS_SHARE: Final = 0.5
CAUTIOUS_SUSPECTS: Final = 2
CAUTIOUS_SHARE: Final = 0.35
CAUTION_S: Final = 30.0
REST_IS_WELL: Final = -1.5
MIN_SLOWDOWN: Final = 1.3

# Shares of the allowed false ejections: two whole-target tests (wrong, slow), one per account
# bucket (wrong) and two per failure domain add up to 1.
_SHARE_WHOLE: Final = 0.3
_SHARE_BUCKET: Final = 0.2
_SHARE_DOMAIN: Final = 0.1

# The requests that a test covers: those seen from one failure domain, or those of one account
# bucket, or all.
_Scope: TypeAlias = tuple[str, int]
_WHOLE: Final[_Scope] = (ALL_DOMAINS, ANY_BUCKET)


@dataclass
class _TargetState:
    excused_until_s: float = -math.inf
    cusums: dict[_Scope, list[Cusum]] = field(default_factory=dict)
    suspicion: float = 0.0


class SequentialDetector:
    """CUSUM tests on pooled evidence of one service; see the module's description."""

    def __init__(self, false_ejections_per_target_day: float, clock: Clock) -> None:
        """Create a detector whose false ejections stay below a rate per target and day."""
        self._allowed_per_day = false_ejections_per_target_day
        self._clock = clock
        self._reference = PeerReference()
        self._states: dict[str, _TargetState] = {}
        self._ejected: frozenset[EjectedFrom] = frozenset()
        self._outcomes: list[DomainOutcomes] = []
        self._latest: list[DomainOutcomes] = []
        self._domains: set[str] = set()
        self._cautious_until_s = -math.inf

    def set_targets(self, targets: Collection[str]) -> None:
        """Name the targets of the service; what is known of others is dropped."""
        for name in set(self._states) - set(targets):
            del self._states[name]
            self._reference.drop_target(name)
        for name in targets:
            self._states.setdefault(name, _TargetState())

    def set_ejected(self, ejected: Collection[EjectedFrom]) -> None:
        """Name the targets that are ejected; they don't serve as peers of the others."""
        self._ejected = frozenset(ejected)

    def set_allowance(self, false_ejections_per_target_day: float) -> None:
        """Change the rate of false ejections that is allowed."""
        self._allowed_per_day = false_ejections_per_target_day

    def excuse(self, target: str, until_s: float) -> None:
        """Ignore what is observed of a target until the clock reads `until_s`."""
        state = self._states.get(target)
        if state is not None:
            state.excused_until_s = max(state.excused_until_s, until_s)
            self.forget(target)

    def forget(self, target: str) -> None:
        """Start anew on a target."""
        state = self._states.get(target)
        if state is not None:
            state.cusums.clear()
            state.suspicion = 0.0

    def observe(self, domain: str, counts: TargetOutcomes) -> None:
        """Take in counts from an observer in failure domain `domain`."""
        if counts.target in self._states:
            self._domains.add(domain)
            self._outcomes.append(DomainOutcomes(domain, counts))

    def observe_health(self, target: str, healthy: bool) -> None:
        """Do nothing: the health endpoint is a hint only."""

    def suspicion(self, target: str) -> float:
        """Return how far the evidence against a target is towards a verdict, 0 to 1."""
        state = self._states.get(target)
        return min(1.0, state.suspicion) if state else 0.0

    def step(self) -> list[Verdict]:
        """End a step and return the targets found sick in it."""
        self._latest = self._take_outcomes()
        unfit = self._unfit_as_peers()
        self._reference.learn([o for o in self._latest if self._is_peer(o, unfit)])
        for target, scopes in self._score().items():
            self._add_evidence(self._states[target], scopes)
        if self._most_worsen_together():
            for target in self._states:
                self.forget(target)
            self._be_cautious()
            return []
        if self._suspects(CAUTIOUS_SHARE) >= CAUTIOUS_SUSPECTS:
            self._be_cautious()
        found = [self._judge(target, state) for target, state in self._states.items()]
        return [verdict for verdict in found if verdict is not None]

    def _take_outcomes(self) -> list[DomainOutcomes]:
        now = self._clock.now()
        outcomes, self._outcomes = self._outcomes, []
        known = [o for o in outcomes if o.counts.target in self._states]
        return [o for o in known if self._states[o.counts.target].excused_until_s <= now]

    def _unfit_as_peers(self) -> set[str]:
        """Return the worst suspects, at most a share of all targets.

        Without the limit, targets that all fail alike would be suspect by chance one after the
        other, and each would be compared with those that happened to fail least.
        """
        suspects = [n for n, s in self._states.items() if s.suspicion >= SUSPECT_SHARE]
        suspects.sort(key=lambda name: -self._states[name].suspicion)
        return set(suspects[: math.ceil(MAX_UNFIT_SHARE * len(self._states))])

    def _is_peer(self, outcomes: DomainOutcomes, unfit: set[str]) -> bool:
        target = outcomes.counts.target
        if target in unfit or not self._ejected:
            return target not in unfit
        from_domain = EjectedFrom(target, outcomes.domain)
        return EjectedFrom(target) not in self._ejected and from_domain not in self._ejected

    def _score(self) -> dict[str, dict[_Scope, ScopeTally]]:
        scores: dict[str, dict[_Scope, ScopeTally]] = {}
        for target, cells in self._tally().items():
            scopes: dict[_Scope, ScopeTally] = {}
            for (domain, bucket), tally in cells.items():
                for scope in (_WHOLE, (domain, ANY_BUCKET), (ALL_DOMAINS, bucket)):
                    if scope not in scopes:
                        scopes[scope] = ScopeTally()
                    scopes[scope].add(domain, tally)
            scores[target] = scopes
        return scores

    def _tally(self) -> dict[str, dict[_Scope, Tally]]:
        """Sum the evidence up by target, failure domain and account bucket."""
        tallies: dict[str, dict[_Scope, Tally]] = {}
        for outcomes in self._latest:
            target = outcomes.counts.target
            well = self._states[target].suspicion < SUSPECT_SHARE
            tally = self._reference.score(outcomes, learn_offset=well)
            cells = tallies.setdefault(target, {})
            known = cells.get((outcomes.domain, outcomes.counts.account_bucket))
            if known is None:
                cells[outcomes.domain, outcomes.counts.account_bucket] = tally
            else:
                known.add(tally)
        take_out_common_slowness(tallies.values())
        return tallies

    def _add_evidence(self, state: _TargetState, scopes: dict[_Scope, ScopeTally]) -> None:
        for scope, tally in scopes.items():
            if scope not in state.cusums:
                tests = STRENGTHS if scope[1] != ANY_BUCKET else len(ALTERNATIVES)
                state.cusums[scope] = [Cusum(alternative) for alternative in range(tests)]
            for cusum in state.cusums[scope]:
                cusum.add(tally, self._threshold(scope, cusum.alternative))
        self._rate_suspicion(state)

    def _rate_suspicion(self, state: _TargetState) -> None:
        shares = [
            cusum.statistic / self._threshold(scope, cusum.alternative)
            for scope, cusums in state.cusums.items()
            for cusum in cusums
        ]
        state.suspicion = max(shares, default=0.0)

    def _threshold(self, scope: _Scope, alternative: int) -> float:
        domain, bucket = scope
        if domain != ALL_DOMAINS:
            share, tests = _SHARE_DOMAIN, len(self._domains)
        elif bucket != ANY_BUCKET:
            share, tests = _SHARE_BUCKET, ACCOUNT_BUCKETS
        else:
            share, tests = _SHARE_WHOLE, 1
        wrong = ALTERNATIVES[alternative].kind is FaultKind.WRONG
        well = self._clock.now() >= self._cautious_until_s
        gain = RUN_LENGTH_GAIN if wrong and well else 0.0
        return threshold(self._allowed_per_day * share, tests * STRENGTHS, gain)

    def _most_worsen_together(self) -> bool:
        active = sum(bool(s.cusums) for s in self._states.values())
        return self._suspects(SUSPECT_SHARE) > max(1, MOST_TARGETS_SHARE * active)

    def _suspects(self, share: float) -> int:
        return sum(s.suspicion >= share for s in self._states.values() if s.cusums)

    def _be_cautious(self) -> None:
        self._cautious_until_s = self._clock.now() + CAUTION_S
        for state in self._states.values():
            self._rate_suspicion(state)

    def _judge(self, target: str, state: _TargetState) -> Verdict | None:
        if state.suspicion < 1:
            return None
        over = [
            (scope, cusum)
            for scope, cusums in state.cusums.items()
            for cusum in cusums
            if cusum.statistic >= self._threshold(scope, cusum.alternative)
            and not _contradicts_itself(cusum)
        ]
        if not over:
            return None
        scope, cusum = max(over, key=lambda pair: pair[1].statistic)
        domain = self._affected_domain(state, scope, cusum)
        if domain is None:
            over = [pair for pair in over if pair[0][0] == ALL_DOMAINS]
            if not over:
                return None
            scope, cusum = max(over, key=lambda pair: pair[1].statistic)
            domain = ALL_DOMAINS
        kind = ALTERNATIVES[cusum.alternative].kind
        return Verdict(target, domain, kind, self._explain(target, scope, cusum))

    def _affected_domain(self, state: _TargetState, scope: _Scope, cusum: Cusum) -> str | None:
        """Return the only failure domain that the evidence comes from, if there is one."""
        domain, bucket = scope
        wider = state.cusums[ALL_DOMAINS, bucket][cusum.alternative]
        if domain != ALL_DOMAINS and not wider.statistic:
            return domain
        strongest = wider.strongest_domain()
        if strongest is None:
            return None
        outside = wider.ratio_outside(strongest)
        return strongest if outside is None or outside <= REST_IS_WELL else None

    def _explain(self, target: str, scope: _Scope, cusum: Cusum) -> str:
        domain, bucket = scope
        total = cusum.sums.total
        where = f" seen from {domain}" if domain else ""
        if bucket != ANY_BUCKET:
            where = f" for accounts of bucket {bucket}"
        if ALTERNATIVES[cusum.alternative].kind is FaultKind.WRONG:
            peers_percent = 100 * self._peers_failure_rate(target, scope)
            what = (
                f"failed {total.failures} of {total.requests} requests{where}, its peers"
                f" {peers_percent:.1f}% of the same kind"
            )
        else:
            ratio = _slowdown(total)
            what = f"took {ratio:.1f} times as long as its peers for {total.answers} answers{where}"
        return (
            f"{target} {what}, within {cusum.steps * STEP_S:.1f} s; log-likelihood ratio"
            f" {cusum.statistic:.1f}, threshold {self._threshold(scope, cusum.alternative):.1f}"
        )

    def _peers_failure_rate(self, target: str, scope: _Scope) -> float:
        domain, bucket = scope
        same_kind = [
            o
            for o in self._latest
            if o.counts.target == target
            and domain in {ALL_DOMAINS, o.domain}
            and bucket in {ANY_BUCKET, o.counts.account_bucket}
        ]
        requests = sum(o.requests() for o in same_kind)
        expected = sum(o.requests() * self._reference.expected_failure_rate(o) for o in same_kind)
        return expected / max(1, requests)


def _slowdown(tally: Tally) -> float:
    """Return how many times as long as its peers a target took in the mean."""
    return float(BIN_RATIO ** (tally.deviation / max(1, tally.answers)))


def _contradicts_itself(cusum: Cusum) -> bool:
    """Whether the evidence says "slower" though the answers took about as long as the peers'.

    That is a change in the shape of the latencies, not in what they are on the whole.
    """
    if ALTERNATIVES[cusum.alternative].kind is not FaultKind.SLOW:
        return False
    return _slowdown(cusum.sums.total) < MIN_SLOWDOWN
