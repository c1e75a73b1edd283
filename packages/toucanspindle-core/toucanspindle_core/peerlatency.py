"""Log-likelihood ratio of "slower than the peers", from latency histograms.

An exponentially decayed histogram of the peers' latencies, in log-spaced bins, is kept per
operation and observer's failure domain.  "Slower by a ratio" is the same histogram shifted up by
whole bins, so that the log-likelihood ratio of an answer is a table look-up.  Two shifts are
subtracted from the latencies first:

- The common shift of an operation: the median over the targets of the deviation of their latest
  answers from the histogram.  When all targets slow down together, the cause is load.
- The target's own offset: how much slower it has been than its peers over a long time, up to
  MAX_OFFSET_BINS.  A host that has always been somewhat slow is not unhealthy.

The ratio per answer is limited, so that a few very late answers alone don't lead to a verdict.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Final, TypeAlias

from toucanspindle_core.detection import STEP_S
from toucanspindle_core.latencybins import BIN_COUNT

HISTOGRAM_DECAY_TIME_S: Final = 120.0
OFFSET_DECAY_TIME_S: Final = 600.0
RECENT_DECAY_PER_STEP: Final = 0.6
MAX_OFFSET_BINS: Final = 1.0
OFFSET_PRIOR_COUNT: Final = 200.0
MIN_HISTOGRAM_ANSWERS: Final = 200.0
MIN_RECENT_ANSWERS: Final = 2.0
TABLE_LIFE_STEPS: Final = 10
UNIFORM_SHARE: Final = 0.02  # Spread evenly over all bins, so that no bin has density 0.
MAX_RATIO_PER_ANSWER: Final = 2.5

_HISTOGRAM_DECAY_PER_STEP: Final = 1 - STEP_S / HISTOGRAM_DECAY_TIME_S
_OFFSET_DECAY_PER_STEP: Final = 1 - STEP_S / OFFSET_DECAY_TIME_S

Bins: TypeAlias = dict[int, int]


class _Histogram:
    """Decayed counts by bin, with look-up tables rebuilt every TABLE_LIFE_STEPS steps."""

    def __init__(self, shifts: tuple[int, ...]) -> None:
        self._shifts = shifts
        self._counts = [0.0] * BIN_COUNT
        self._step = 0
        self._tables_built_at_step = -TABLE_LIFE_STEPS
        self.size = 0.0
        self.mean = 0.0
        self.tables: tuple[list[float], ...] = ()

    def add(self, step: int, bins: Bins) -> None:
        decay = _HISTOGRAM_DECAY_PER_STEP ** (step - self._step)
        self._step = step
        if decay < 1:
            self._counts = [count * decay for count in self._counts]
            self.size *= decay
        for index, count in bins.items():
            self._counts[index] += count
            self.size += count

    def refresh(self, step: int) -> None:
        if (
            step - self._tables_built_at_step < TABLE_LIFE_STEPS
            or self.size < MIN_HISTOGRAM_ANSWERS
        ):
            return
        self._tables_built_at_step = step
        self.mean = sum(i * count for i, count in enumerate(self._counts)) / self.size
        density = self._smoothed_density()
        self.tables = tuple(_ratio_table(density, shift) for shift in self._shifts)

    def _smoothed_density(self) -> list[float]:
        counts = [self._counts[0], *self._counts, self._counts[-1]]
        uniform_density = UNIFORM_SHARE / BIN_COUNT
        scale = (1 - UNIFORM_SHARE) / self.size / 4
        return [
            uniform_density + scale * (counts[i] + 2 * counts[i + 1] + counts[i + 2])
            for i in range(BIN_COUNT)
        ]


def _ratio_table(density: list[float], shift: int) -> list[float]:
    """Return the limited log-likelihood ratio, per bin, of "slower by `shift` bins"."""
    ratios = [math.log(density[max(0, i - shift)] / density[i]) for i in range(BIN_COUNT)]
    return [max(-MAX_RATIO_PER_ANSWER, min(MAX_RATIO_PER_ANSWER, r)) for r in ratios]


@dataclass(slots=True)
class _Deviation:
    """Decayed number of answers and summed deviation in bins; `decay` is a factor per step."""

    decay: float
    step: int
    count: float = 0.0
    total: float = 0.0

    def add(self, step: int, count: int, deviation: float) -> None:
        decay = self.decay ** (step - self.step)
        self.count = self.count * decay + count
        self.total = self.total * decay + deviation
        self.step = step

    def offset_bins(self) -> float:
        """Return the mean deviation, shrunk towards 0 and clamped to 0..MAX_OFFSET_BINS."""
        mean = self.total / (self.count + OFFSET_PRIOR_COUNT)
        return max(0.0, min(MAX_OFFSET_BINS, mean))


@dataclass
class _OperationShift:
    """Common shift of an operation, in bins, and the deviations by target it is computed from.

    `recent` decays over the steps, `latest` covers only the step in which it was last updated.
    """

    common_shift: float = 0.0
    recent: dict[str, _Deviation] = field(default_factory=dict)
    latest: dict[str, _Deviation] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LatencyScore:
    """Evidence of slowness in a set of answers.

    `ratios` holds the summed log-likelihood ratio per alternative.  `deviation` is the summed
    number of bins by which the answers were slower than expected, `count` the number of answers.
    """

    ratios: tuple[float, ...]
    deviation: float
    count: int


class PeerLatency:
    """Latencies of peers by operation and observer's failure domain."""

    def __init__(self, shifts: tuple[int, ...]) -> None:
        """Create a model without data; each of `shifts`, in bins, is an alternative to test."""
        self._shifts = shifts
        self._step = 0
        self._histograms: dict[tuple[str, str], _Histogram] = {}
        self._operation_shifts: dict[str, _OperationShift] = {}
        self._offsets: dict[str, _Deviation] = {}

    def advance(self) -> None:
        """Begin the next step."""
        self._step += 1

    def add_peer(self, operation: str, domain: str, bins: Bins) -> None:
        """Add answers of a target used as a peer to the histogram."""
        key = (operation, domain)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram(self._shifts)
        histogram.add(self._step, bins)

    def add_recent(self, target: str, operation: str, domain: str, bins: Bins) -> None:
        """Add answers of a target to the estimate of the operation's common shift."""
        histogram = self._histogram_with_tables(operation, domain)
        if histogram is None:
            return
        count, deviation = _count_and_deviation(bins, histogram.mean)
        operation_shift = self._operation_shifts.setdefault(operation, _OperationShift())
        operation_shift.recent.setdefault(
            target, _Deviation(RECENT_DECAY_PER_STEP, self._step)
        ).add(self._step, count, deviation)
        latest = operation_shift.latest.get(target)
        if latest is None or latest.step != self._step:
            latest = operation_shift.latest[target] = _Deviation(RECENT_DECAY_PER_STEP, self._step)
        latest.add(self._step, count, deviation)

    def update_common_shifts(self) -> None:
        """Update the common shift of each operation, in bins.

        The answers of the current step are considered on their own as well.  An average over the
        last steps lags behind a service that slows down suddenly, and the lag would count as
        evidence against its targets.
        """
        for operation in self._operation_shifts.values():
            operation.common_shift = max(
                0.0,
                _median_deviation(operation.recent.values(), self._step - TABLE_LIFE_STEPS),
                _median_deviation(operation.latest.values(), self._step - 1),
            )

    def score(self, target: str, operation: str, domain: str, bins: Bins) -> LatencyScore | None:
        """Return the evidence that answers are slow, or None without enough answers of peers."""
        histogram = self._histogram_with_tables(operation, domain)
        if histogram is None:
            return None
        common_shift = self._operation_shifts.setdefault(operation, _OperationShift()).common_shift
        expected = common_shift + self._offset(target)
        ratios = tuple(_interpolated_ratio_sum(table, bins, expected) for table in histogram.tables)
        count, deviation = _count_and_deviation(bins, histogram.mean + expected)
        return LatencyScore(ratios, deviation, count)

    def learn_offset(self, target: str, score: LatencyScore) -> None:
        """Update the offset of a target that isn't suspect with its answers."""
        offset = self._offsets.setdefault(target, _Deviation(_OFFSET_DECAY_PER_STEP, self._step))
        compensated = offset.offset_bins() * score.count
        offset.add(self._step, score.count, score.deviation + compensated)

    def drop_target(self, target: str) -> None:
        """Remove the state of a target that has left the service."""
        self._offsets.pop(target, None)
        for operation in self._operation_shifts.values():
            operation.recent.pop(target, None)
            operation.latest.pop(target, None)

    def _offset(self, target: str) -> float:
        offset = self._offsets.get(target)
        return offset.offset_bins() if offset else 0.0

    def _histogram_with_tables(self, operation: str, domain: str) -> _Histogram | None:
        histogram = self._histograms.get((operation, domain))
        if histogram is None:
            return None
        histogram.refresh(self._step)
        return histogram if histogram.tables else None


def _median_deviation(recent: Iterable[_Deviation], oldest_step: int) -> float:
    means = [
        r.total / r.count for r in recent if r.step > oldest_step and r.count >= MIN_RECENT_ANSWERS
    ]
    return median(means) if means else 0.0


def _count_and_deviation(bins: Bins, mean: float) -> tuple[int, float]:
    """Return the number of answers and their summed deviation from `mean`, in bins."""
    count = sum(bins.values())
    return count, sum(index * n for index, n in bins.items()) - mean * count


def _interpolated_ratio_sum(table: list[float], bins: Bins, expected_shift: float) -> float:
    """Return the summed ratio of answers whose bins are lowered by `expected_shift`."""
    total = 0.0
    last = BIN_COUNT - 1
    for index, count in bins.items():
        position = min(float(last), max(0.0, index - expected_shift))
        low = int(position)
        high = min(last, low + 1)
        total += count * (table[low] + (position - low) * (table[high] - table[low]))
    return total
