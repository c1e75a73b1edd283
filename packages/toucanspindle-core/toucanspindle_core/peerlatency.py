"""Log-likelihood that answers are slower than those of the peers, from latency histograms.

Per operation and observer's failure domain a decayed histogram of the peers' latencies is kept in
log-spaced bins.  "Slow by a ratio" is the same histogram moved up by whole bins, so the
log-likelihood ratio of an answer is a table look-up.  Two movements are taken out before:

- the common shift of an operation, the median over the targets of what their latest answers
  deviate from the histogram: when all slow down together it is load;
- the target's own offset, what it has long been slower than its peers, up to MAX_OFFSET_BINS: a
  slower host isn't a sick one.

Ratios per answer are limited, so that a few very late answers alone can't condemn a target.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Final, TypeAlias

from toucanspindle_core.detection import STEP_S
from toucanspindle_core.latencybins import BIN_COUNT

LONG_MEMORY_S: Final = 120.0
OFFSET_MEMORY_S: Final = 600.0
SHORT_DECAY: Final = 0.6
MAX_OFFSET_BINS: Final = 1.0
OFFSET_PRIOR_COUNT: Final = 200.0
MIN_REFERENCE_COUNT: Final = 200.0
MIN_RECENT_COUNT: Final = 2.0
TABLE_LIFE_STEPS: Final = 10
TAIL_SHARE: Final = 0.02
MAX_RATIO_PER_ANSWER: Final = 2.5

_LONG_DECAY: Final = 1 - STEP_S / LONG_MEMORY_S
_OFFSET_DECAY: Final = 1 - STEP_S / OFFSET_MEMORY_S

Bins: TypeAlias = dict[int, int]


class _Histogram:
    """Decayed counts by bin, and look-up tables that are rebuilt now and then."""

    def __init__(self, shifts: tuple[int, ...]) -> None:
        self._shifts = shifts
        self._counts = [0.0] * BIN_COUNT
        self._step = 0
        self._built_at = -TABLE_LIFE_STEPS
        self.size = 0.0
        self.mean = 0.0
        self.tables: tuple[list[float], ...] = ()

    def add(self, step: int, bins: Bins) -> None:
        decay = _LONG_DECAY ** (step - self._step)
        self._step = step
        if decay < 1:
            self._counts = [count * decay for count in self._counts]
            self.size *= decay
        for index, count in bins.items():
            self._counts[index] += count
            self.size += count

    def refresh(self, step: int) -> None:
        if step - self._built_at < TABLE_LIFE_STEPS or self.size < MIN_REFERENCE_COUNT:
            return
        self._built_at = step
        self.mean = sum(i * count for i, count in enumerate(self._counts)) / self.size
        density = self._smoothed()
        self.tables = tuple(_shift_table(density, shift) for shift in self._shifts)

    def _smoothed(self) -> list[float]:
        counts = [self._counts[0], *self._counts, self._counts[-1]]
        tail = TAIL_SHARE / BIN_COUNT
        scale = (1 - TAIL_SHARE) / self.size / 4
        return [
            tail + scale * (counts[i] + 2 * counts[i + 1] + counts[i + 2]) for i in range(BIN_COUNT)
        ]


def _shift_table(density: list[float], shift: int) -> list[float]:
    ratios = [math.log(density[max(0, i - shift)] / density[i]) for i in range(BIN_COUNT)]
    return [max(-MAX_RATIO_PER_ANSWER, min(MAX_RATIO_PER_ANSWER, r)) for r in ratios]


@dataclass(slots=True)
class _Deviation:
    """Decayed number of answers and their summed deviation in bins; `decay` is per step."""

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
        """Return it as the target's own offset."""
        mean = self.total / (self.count + OFFSET_PRIOR_COUNT)
        return max(0.0, min(MAX_OFFSET_BINS, mean))


@dataclass
class _Operation:
    common_shift: float = 0.0
    recent: dict[str, _Deviation] = field(default_factory=dict)
    latest: dict[str, _Deviation] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LatencyScore:
    """Evidence in a set of answers.

    `ratios` holds the summed log-likelihood ratio per alternative, `deviation` the summed bins by
    which the answers were slower than expected, `count` the answers.
    """

    ratios: tuple[float, ...]
    deviation: float
    count: int


class PeerLatency:
    """Latencies of peers by operation and observer's failure domain."""

    def __init__(self, shifts: tuple[int, ...]) -> None:
        """Create a reference that tests for answers slower by each of `shifts` bins."""
        self._shifts = shifts
        self._step = 0
        self._histograms: dict[tuple[str, str], _Histogram] = {}
        self._operations: dict[str, _Operation] = {}
        self._offsets: dict[str, _Deviation] = {}

    def advance(self) -> None:
        """Begin the next step."""
        self._step += 1

    def add_peer(self, operation: str, domain: str, bins: Bins) -> None:
        """Count answers of a target that serves as a peer."""
        key = (operation, domain)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram(self._shifts)
        histogram.add(self._step, bins)

    def add_recent(self, target: str, operation: str, domain: str, bins: Bins) -> None:
        """Count answers towards the operation's common shift."""
        histogram = self._reference(operation, domain)
        if histogram is None:
            return
        count, deviation = _deviation(bins, histogram.mean)
        known = self._operations.setdefault(operation, _Operation())
        known.recent.setdefault(target, _Deviation(SHORT_DECAY, self._step)).add(
            self._step, count, deviation
        )
        latest = known.latest.get(target)
        if latest is None or latest.step != self._step:
            latest = known.latest[target] = _Deviation(SHORT_DECAY, self._step)
        latest.add(self._step, count, deviation)

    def settle_common_shifts(self) -> None:
        """Find by how many bins most targets are slower than usual, per operation.

        What they show in this step alone counts as well: an average over the last steps would lag
        behind a service that slows down at once, and hold the lag against its targets.
        """
        for operation in self._operations.values():
            operation.common_shift = max(
                0.0,
                _median_deviation(operation.recent.values(), self._step - TABLE_LIFE_STEPS),
                _median_deviation(operation.latest.values(), self._step - 1),
            )

    def score(self, target: str, operation: str, domain: str, bins: Bins) -> LatencyScore | None:
        """Return the evidence that the answers are slow, or None without enough peers."""
        histogram = self._reference(operation, domain)
        if histogram is None:
            return None
        common_shift = self._operations.setdefault(operation, _Operation()).common_shift
        expected = common_shift + self._offset(target)
        ratios = tuple(_look_up(table, bins, expected) for table in histogram.tables)
        count, deviation = _deviation(bins, histogram.mean + expected)
        return LatencyScore(ratios, deviation, count)

    def learn_offset(self, target: str, score: LatencyScore) -> None:
        """Count answers of a target that isn't suspect towards its own offset."""
        offset = self._offsets.setdefault(target, _Deviation(_OFFSET_DECAY, self._step))
        known = offset.offset_bins() * score.count
        offset.add(self._step, score.count, score.deviation + known)

    def drop_target(self, target: str) -> None:
        """Forget a target that isn't the service's any more."""
        self._offsets.pop(target, None)
        for operation in self._operations.values():
            operation.recent.pop(target, None)
            operation.latest.pop(target, None)

    def _offset(self, target: str) -> float:
        offset = self._offsets.get(target)
        return offset.offset_bins() if offset else 0.0

    def _reference(self, operation: str, domain: str) -> _Histogram | None:
        histogram = self._histograms.get((operation, domain))
        if histogram is None:
            return None
        histogram.refresh(self._step)
        return histogram if histogram.tables else None


def _median_deviation(recent: Iterable[_Deviation], oldest_step: int) -> float:
    means = [
        r.total / r.count for r in recent if r.step > oldest_step and r.count >= MIN_RECENT_COUNT
    ]
    return median(means) if means else 0.0


def _deviation(bins: Bins, mean: float) -> tuple[int, float]:
    count = sum(bins.values())
    return count, sum(index * n for index, n in bins.items()) - mean * count


def _look_up(table: list[float], bins: Bins, expected_shift: float) -> float:
    total = 0.0
    last = BIN_COUNT - 1
    for index, count in bins.items():
        place = min(float(last), max(0.0, index - expected_shift))
        low = int(place)
        high = min(last, low + 1)
        total += count * (table[low] + (place - low) * (table[high] - table[low]))
    return total
