"""Scores a target's outcomes against its peers: log-likelihood ratios per alternative.

A success adds the same ratio whatever the peers' rate of failures is, so that the expected rate is
looked up for failures only.
"""

import math
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.cusum import Tally
from toucanspindle_core.evidence import TargetOutcomes
from toucanspindle_core.latencybins import bins_for_ratio
from toucanspindle_core.peerlatency import PeerLatency
from toucanspindle_core.peerrates import PeerRates, StratumKey

EXTRA_FAILURE_RATES: Final = (0.08, 0.35)
SLOWNESS_SHIFTS: Final = (bins_for_ratio(2.0), bins_for_ratio(5.0))

_SUCCESS_RATIOS: Final = tuple(math.log(1 - extra) for extra in EXTRA_FAILURE_RATES)


@dataclass(frozen=True, slots=True)
class DomainOutcomes:
    """Outcomes as observers of one failure domain counted them."""

    domain: str
    counts: TargetOutcomes

    def stratum(self) -> StratumKey:
        """Return the stratum that the requests belong to."""
        return self.counts.operation, self.counts.account_bucket, self.domain

    def requests(self) -> int:
        """Return how many requests the target ran."""
        return self.counts.succeeded + self.counts.failed


class PeerReference:
    """What a service's targets show, as the measure for each of them."""

    def __init__(self) -> None:
        """Create a reference without data."""
        self._rates = PeerRates()
        self._latency = PeerLatency(SLOWNESS_SHIFTS)

    def learn(self, outcomes: list[DomainOutcomes]) -> None:
        """Begin a step with the outcomes of the targets that serve as peers."""
        self._rates.advance()
        self._latency.advance()
        for one in outcomes:
            counts = one.counts
            self._rates.add(counts.target, one.stratum(), one.requests(), counts.failed)
            if counts.latency:
                place = (counts.operation, one.domain)
                self._latency.add_recent(counts.target, *place, counts.latency)
                self._latency.add_peer(*place, counts.latency)
        self._latency.settle_common_shifts()

    def score(self, outcomes: DomainOutcomes, learn_offset: bool) -> Tally:
        """Return the evidence in some outcomes; a target that isn't suspect teaches its offset."""
        tally = Tally()
        self._score_failures(outcomes, tally)
        self._score_latency(outcomes, tally, learn_offset)
        return tally

    def expected_failure_rate(self, outcomes: DomainOutcomes) -> float:
        """Return the rate of failures that the target's peers have in the same stratum."""
        return self._rates.expected(outcomes.counts.target, outcomes.stratum())

    def drop_target(self, target: str) -> None:
        """Forget a target that isn't the service's any more."""
        self._rates.drop_target(target)
        self._latency.drop_target(target)

    def _score_failures(self, outcomes: DomainOutcomes, tally: Tally) -> None:
        succeeded, failed = outcomes.counts.succeeded, outcomes.counts.failed
        tally.requests = succeeded + failed
        tally.failures = failed
        for strength, success_ratio in enumerate(_SUCCESS_RATIOS):
            tally.ratios[strength] = succeeded * success_ratio
        if not failed:
            return
        expected = self.expected_failure_rate(outcomes)
        for strength, extra in enumerate(EXTRA_FAILURE_RATES):
            sick = expected + extra * (1 - expected)
            tally.ratios[strength] += failed * math.log(sick / expected)

    def _score_latency(self, outcomes: DomainOutcomes, tally: Tally, learn_offset: bool) -> None:
        counts = outcomes.counts
        if not counts.latency:
            return
        score = self._latency.score(
            counts.target, counts.operation, outcomes.domain, counts.latency
        )
        if score is None:
            return
        if learn_offset:
            self._latency.learn_offset(counts.target, score)
        tally.answers = score.count
        tally.deviation = score.deviation
        tally.ratios[len(EXTRA_FAILURE_RATES) :] = score.ratios
