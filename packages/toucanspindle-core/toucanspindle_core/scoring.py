"""Scores a target's outcomes against those of its peers, as log-likelihood ratios per alternative.

The ratio of a success doesn't depend on the peers' failure rate, so the expected rate is computed
only for counts that include failures.
"""

import math
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.cusum import Tally
from toucanspindle_core.evidence import TargetOutcomes
from toucanspindle_core.latencybins import bins_for_ratio
from toucanspindle_core.peerlatency import PeerLatency
from toucanspindle_core.peerrates import PeerFailureRates, StratumKey

# Mild and strong alternative of each kind of fault.
EXTRA_FAILURE_RATES: Final = (0.08, 0.35)
SLOWNESS_SHIFTS: Final = (bins_for_ratio(2.0), bins_for_ratio(5.0))

_RATIO_PER_SUCCESS: Final = tuple(math.log(1 - extra_rate) for extra_rate in EXTRA_FAILURE_RATES)


@dataclass(frozen=True, slots=True)
class DomainOutcomes:
    """Outcome counts of one target, reported by an observer in failure domain `domain`."""

    domain: str
    counts: TargetOutcomes

    def stratum(self) -> StratumKey:
        """Return the operation, account bucket and failure domain of the requests."""
        return self.counts.operation, self.counts.account_bucket, self.domain

    def requests(self) -> int:
        """Return the number of requests that the target ran; shed ones are not counted."""
        return self.counts.succeeded + self.counts.failed


class PeerReference:
    """Failure rates and latencies of a service's peers, which each target is compared with."""

    def __init__(self) -> None:
        """Create a reference without observations."""
        self._failure_rates = PeerFailureRates()
        self._latency = PeerLatency(SLOWNESS_SHIFTS)

    def add_peer_outcomes(self, outcomes: list[DomainOutcomes]) -> None:
        """Begin the next step and add the outcomes of the targets used as peers."""
        self._failure_rates.advance()
        self._latency.advance()
        for peer_outcomes in outcomes:
            counts = peer_outcomes.counts
            self._failure_rates.add(
                counts.target, peer_outcomes.stratum(), peer_outcomes.requests(), counts.failed
            )
            if counts.latency:
                histogram_key = (counts.operation, peer_outcomes.domain)
                self._latency.add_recent(counts.target, *histogram_key, counts.latency)
                self._latency.add_peer(*histogram_key, counts.latency)
        self._latency.update_common_shifts()

    def score(self, outcomes: DomainOutcomes, learn_offset: bool) -> Tally:
        """Return the evidence in the outcomes.

        With `learn_offset`, which is set for targets that aren't suspect, the outcomes also update
        the latency offset of the target.
        """
        tally = Tally()
        self._score_failures(outcomes, tally)
        self._score_latency(outcomes, tally, learn_offset)
        return tally

    def expected_failure_rate(self, outcomes: DomainOutcomes) -> float:
        """Return the failure rate of the target's peers in the same stratum, 0 to 1."""
        return self._failure_rates.expected_rate(outcomes.counts.target, outcomes.stratum())

    def drop_target(self, target: str) -> None:
        """Remove a target that has left the service."""
        self._failure_rates.drop_target(target)
        self._latency.drop_target(target)

    def _score_failures(self, outcomes: DomainOutcomes, tally: Tally) -> None:
        succeeded, failed = outcomes.counts.succeeded, outcomes.counts.failed
        tally.requests = succeeded + failed
        tally.failures = failed
        for strength, ratio_per_success in enumerate(_RATIO_PER_SUCCESS):
            tally.ratios[strength] = succeeded * ratio_per_success
        if not failed:
            return
        expected_rate = self.expected_failure_rate(outcomes)
        for strength, extra_rate in enumerate(EXTRA_FAILURE_RATES):
            sick_rate = expected_rate + extra_rate * (1 - expected_rate)
            tally.ratios[strength] += failed * math.log(sick_rate / expected_rate)

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
