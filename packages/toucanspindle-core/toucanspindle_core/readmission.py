"""Re-admits an ejected target in stages: a trickle of real requests, then slow start.

A target receives no traffic for an interval, then the growing shares in STAGE_PERCENTS.  It passes
a stage when it has run enough requests without suspicion, or after MAX_STAGE_S even without
traffic.  Evidence against the target ejects it again for a longer interval.  Each ejection within
FLAP_WINDOW_S of the previous one doubles the interval, so that a flapping target stays ejected for
longer each time.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_core.clock import Clock

STAGE_PERCENTS: Final = (5, 25, 50)
BASE_INTERVAL_S: Final = 10.0
MAX_INTERVAL_S: Final = 600.0
FLAP_WINDOW_S: Final = 900.0
MIN_STAGE_S: Final = 2.0
MAX_STAGE_S: Final = 60.0
MIN_STAGE_REQUESTS: Final = 20
PASS_SUSPICION: Final = 0.2
RELAPSE_SUSPICION: Final = 0.35


class ReadmissionStep(Enum):
    """Result of evaluating the re-admission of a target at a step."""

    STAY = "stay"
    ADVANCE = "advance"
    RELAPSE = "relapse"
    READMIT = "readmit"


class Readmission:
    """Re-admission of one ejected target.

    Invariant: `percent` is 0 until the interval ends, then one of STAGE_PERCENTS, and never
    decreases.
    """

    def __init__(self, interval_s: float, clock: Clock) -> None:
        """Start the re-admission of a target that is ejected now for `interval_s` seconds."""
        self._clock = clock
        self._stage = -1
        self._stage_until_s = clock.now() + interval_s
        self._stage_started_s = clock.now()
        self._requests = 0

    @property
    def percent(self) -> int:
        """Share of its usual traffic that the target receives, in percent."""
        return STAGE_PERCENTS[self._stage] if self._stage >= 0 else 0

    def record(self, requests: int) -> None:
        """Add requests that the target ran in the current stage."""
        self._requests += requests

    def step(self, suspicion: float) -> ReadmissionStep:
        """Evaluate the current stage.

        `suspicion` is the evidence against the target as a share of what a verdict needs, 0 to 1.
        """
        now = self._clock.now()
        if self._stage < 0:
            return self._advance(now) if now >= self._stage_until_s else ReadmissionStep.STAY
        if suspicion >= RELAPSE_SUSPICION:
            return ReadmissionStep.RELAPSE
        passed = self._requests >= MIN_STAGE_REQUESTS and suspicion < PASS_SUSPICION
        if (passed and now - self._stage_started_s >= MIN_STAGE_S) or now >= self._stage_until_s:
            return self._advance(now)
        return ReadmissionStep.STAY

    def _advance(self, now: float) -> ReadmissionStep:
        if self._stage + 1 >= len(STAGE_PERCENTS):
            return ReadmissionStep.READMIT
        self._stage += 1
        self._stage_started_s = now
        self._stage_until_s = now + MAX_STAGE_S
        self._requests = 0
        return ReadmissionStep.ADVANCE


@dataclass
class _LastEjection:
    ejected_at_s: float
    interval_s: float


class EjectionHistory:
    """Times of ejections by target, to lengthen the interval of targets that flap.

    Invariant: intervals lie between BASE_INTERVAL_S and MAX_INTERVAL_S.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a history without ejections."""
        self._clock = clock
        self._last_ejections: dict[str, _LastEjection] = {}

    def record_ejection(self, target: str) -> float:
        """Record that a target is ejected now; return how long it stays ejected, in seconds."""
        now = self._clock.now()
        last = self._last_ejections.get(target)
        interval_s = BASE_INTERVAL_S
        if last is not None and now - last.ejected_at_s < FLAP_WINDOW_S:
            interval_s = min(MAX_INTERVAL_S, 2 * last.interval_s)
        self._last_ejections[target] = _LastEjection(now, interval_s)
        return interval_s
