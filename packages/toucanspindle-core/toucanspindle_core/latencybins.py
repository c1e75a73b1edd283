"""Log-spaced latency bins: a mergeable sketch of latencies as counts by bin index.

Bin i holds latencies from MIN_LATENCY_S * BIN_RATIO**i up to the lower edge of bin i + 1.  The
first bin also holds all lower latencies and the last bin all higher ones.
"""

import math
from typing import Final

MIN_LATENCY_S: Final = 0.0001
BIN_RATIO: Final = 1.25
BIN_COUNT: Final = 64

_LOG_RATIO: Final = math.log(BIN_RATIO)


def bin_index(latency_s: float) -> int:
    """Return the index of the bin that holds a latency, from 0 to BIN_COUNT - 1."""
    if latency_s <= MIN_LATENCY_S:
        return 0
    return min(BIN_COUNT - 1, int(math.log(latency_s / MIN_LATENCY_S) / _LOG_RATIO))


def bin_middle_s(index: int) -> float:
    """Return the geometric mean of the edges of a bin, in seconds."""
    return MIN_LATENCY_S * float(BIN_RATIO ** (index + 0.5))


def bins_for_ratio(ratio: float) -> int:
    """Return the number of bins by which a latency rises when it is multiplied by `ratio`."""
    return round(math.log(ratio) / _LOG_RATIO)
