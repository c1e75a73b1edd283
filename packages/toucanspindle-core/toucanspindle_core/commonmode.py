"""Removes slowness that is common to all targets from the evidence of a step.

The latency distribution of a service may change its shape as well as its mean.  When all targets
slow down at once, or a queue in front of them drains, many answers fall into bins where the peers'
histogram has few.  `peerlatency.py` already compensates the shift of the mean, but the ratio per
answer may still indicate that all targets are slow.  Therefore, per failure domain and alternative,
the median over the targets of the ratio per answer is subtracted from each answer if it is above 0.
With one unhealthy target among several the median is that of a healthy target, which is below 0,
and nothing is subtracted.
"""

from collections.abc import Collection, Mapping
from statistics import median
from typing import Final, TypeAlias

from toucanspindle_core.cusum import ALTERNATIVES, Tally
from toucanspindle_core.detection import FaultKind

MIN_TARGETS: Final = 3
MIN_ANSWERS: Final = 2

Cells: TypeAlias = Mapping[tuple[str, int], Tally]

_SLOW_ALTERNATIVES: Final = tuple(
    index for index, one in enumerate(ALTERNATIVES) if one.kind is FaultKind.SLOW
)


def subtract_common_slowness(cells_by_target: Collection[Cells]) -> None:
    """Subtract the common slowness from the ratios of each target, in place.

    Each element holds one target's tallies of the step by failure domain and account bucket.  A
    failure domain is left unchanged if fewer than MIN_TARGETS targets have MIN_ANSWERS answers.
    """
    domains = {domain for cells in cells_by_target for domain, _ in cells}
    for domain in domains:
        tallies_by_target = [
            [tally for (tally_domain, _), tally in cells.items() if tally_domain == domain]
            for cells in cells_by_target
        ]
        for alternative in _SLOW_ALTERNATIVES:
            _subtract_median_ratio(tallies_by_target, alternative)


def _subtract_median_ratio(tallies_by_target: list[list[Tally]], alternative: int) -> None:
    ratios_per_answer: list[float] = []
    for tallies in tallies_by_target:
        answers = sum(tally.answers for tally in tallies)
        if answers >= MIN_ANSWERS:
            ratio = sum(tally.ratios[alternative] for tally in tallies)
            ratios_per_answer.append(ratio / answers)
    if len(ratios_per_answer) < MIN_TARGETS:
        return
    median_ratio = median(ratios_per_answer)
    if median_ratio <= 0:
        return
    for tallies in tallies_by_target:
        for tally in tallies:
            tally.ratios[alternative] -= median_ratio * tally.answers
