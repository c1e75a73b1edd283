"""Takes out of a step's evidence of slowness what all targets show alike.

The latencies of a service may change in shape as well as in place: when all targets slow down at
once, or a queue in front of them drains, answers bunch where the peers' histogram was thin.  The
shift of their mean is taken out before (`peerlatency.py`), but the ratio per answer may still speak
against every target alike.  So, per failure domain and alternative, the median over the targets of
the ratio per answer is taken off each answer if it is above 0.  With one sick target among several
the median is that of a target that is well, which is below 0, and nothing is taken off.
"""

from collections.abc import Collection, Mapping
from statistics import median
from typing import Final, TypeAlias

from toucanspindle_core.cusum import ALTERNATIVES, Tally
from toucanspindle_core.detection import FaultKind

MIN_TARGETS: Final = 3
MIN_ANSWERS: Final = 2

Cells: TypeAlias = Mapping[tuple[str, int], Tally]

_SLOW: Final = tuple(index for index, one in enumerate(ALTERNATIVES) if one.kind is FaultKind.SLOW)


def take_out_common_slowness(cells_by_target: Collection[Cells]) -> None:
    """Lower the ratios for slowness of each target by what most targets show.

    Each element holds one target's tallies of the step by failure domain and account bucket.
    """
    domains = {domain for cells in cells_by_target for domain, _ in cells}
    for domain in domains:
        of_targets = [
            [tally for (seen_from, _), tally in cells.items() if seen_from == domain]
            for cells in cells_by_target
        ]
        for alternative in _SLOW:
            _take_out(of_targets, alternative)


def _take_out(of_targets: list[list[Tally]], alternative: int) -> None:
    per_answer: list[float] = []
    for tallies in of_targets:
        answers = sum(tally.answers for tally in tallies)
        if answers >= MIN_ANSWERS:
            ratio = sum(tally.ratios[alternative] for tally in tallies)
            per_answer.append(ratio / answers)
    if len(per_answer) < MIN_TARGETS:
        return
    common = median(per_answer)
    if common <= 0:
        return
    for tallies in of_targets:
        for tally in tallies:
            tally.ratios[alternative] -= common * tally.answers
