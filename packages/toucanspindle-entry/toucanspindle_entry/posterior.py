"""Probability that a target is in a spell of failures, from pooled results of its attempts.

A target alternates between well and sick.  Between results its probability of being sick relaxes
towards the fleet's usual share with the time constant of a spell; each result multiplies the odds
by its likelihood ratio.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Final

USUAL_SICK_SHARE: Final = 0.3  # Share of targets that are in a spell at any time, as measured.
SPELL_S: Final = 5.0  # 80% of targets fail again 3 s after a failure, 50% after 5 s, few after 8 s.
# However long a target has answered, a failure may begin a spell: half of such failures did.
MIN_SICK: Final = 0.03
MAX_SICK: Final = 0.995


class AttemptEnd(Enum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    FAILED = "failed"  # a 5xx of the target, its request ran
    SHED = "shed"  # the target refused it for lack of room
    BROKEN = "broken"  # reset or closed before the answer was complete
    GARBLED = "garbled"  # bytes that are no whole answer
    SILENT = "silent"  # no answer until the deadline
    UNREACHED = "unreached"  # no connection came about
    MISDIRECTED = "misdirected"  # another target holds the address
    WITHDRAWN = "withdrawn"  # the caller left, or the grant wasn't used


# Likelihood of each end from a sick target over that from a well one.
LIKELIHOOD_RATIO: Final[dict[AttemptEnd, float]] = {
    AttemptEnd.ANSWERED: 0.15,
    AttemptEnd.FAILED: 30.0,
    AttemptEnd.SHED: 1.5,
    AttemptEnd.BROKEN: 30.0,
    AttemptEnd.GARBLED: 6.0,
    AttemptEnd.SILENT: 8.0,
    AttemptEnd.UNREACHED: 60.0,
    AttemptEnd.MISDIRECTED: 60.0,
}
OVERDUE_RATIO: Final = 4.0


@dataclass
class SickBelief:
    """What is believed of one target; `updated_at` is in seconds of the owner's clock."""

    sick: float = USUAL_SICK_SHARE
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Return the probability that the target is sick at `now`."""
        age_s = max(0.0, now - self.updated_at)
        return USUAL_SICK_SHARE + (self.sick - USUAL_SICK_SHARE) * math.exp(-age_s / SPELL_S)

    def observe(self, end: AttemptEnd, now: float) -> None:
        """Take a result into account."""
        ratio = LIKELIHOOD_RATIO.get(end)
        if ratio is not None:
            self.weigh(ratio, now)

    def weigh(self, ratio: float, now: float) -> None:
        """Multiply the odds of being sick."""
        before = self.at(now)
        odds = before / (1 - before) * ratio
        self.sick = min(MAX_SICK, max(MIN_SICK, odds / (1 + odds)))
        self.updated_at = now
