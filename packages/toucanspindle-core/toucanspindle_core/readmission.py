"""Brings an ejected target back by stages: a trickle of real requests, then slow start.

A target stays out for an interval, then takes growing shares of its traffic.  A stage is passed
when enough requests went well, or after MAX_STAGE_S without traffic; evidence against the target
sends it back with a longer interval.  Each new ejection within FLAP_MEMORY_S of the last one
doubles the interval, so that a flapping target stays out for longer and longer.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_core.clock import Clock

STAGE_PERCENTS: Final = (5, 25, 50)
BASE_INTERVAL_S: Final = 10.0
MAX_INTERVAL_S: Final = 600.0
FLAP_MEMORY_S: Final = 900.0
MIN_STAGE_S: Final = 2.0
MAX_STAGE_S: Final = 60.0
MIN_STAGE_REQUESTS: Final = 20
PASS_SUSPICION: Final = 0.2
RELAPSE_SUSPICION: Final = 0.35


class ReadmissionStep(Enum):
    """What follows for a target from a look at its re-admission."""

    STAY = "stay"
    ADVANCE = "advance"
    RELAPSE = "relapse"
    READMIT = "readmit"


class Readmission:
    """The way back of one ejected target.

    Invariant: `percent` is 0 before the interval is over, then one of STAGE_PERCENTS, rising.
    """

    def __init__(self, interval_s: float, clock: Clock) -> None:
        """Create the way back of a target that is ejected now for `interval_s`."""
        self._clock = clock
        self._stage = -1
        self._stage_until_s = clock.now() + interval_s
        self._stage_began_s = clock.now()
        self._requests = 0

    @property
    def percent(self) -> int:
        """Share of its traffic that the target takes."""
        return STAGE_PERCENTS[self._stage] if self._stage >= 0 else 0

    def record(self, requests: int) -> None:
        """Count requests that the target ran in this stage."""
        self._requests += requests

    def step(self, suspicion: float) -> ReadmissionStep:
        """Look at the target, `suspicion` being how far evidence goes towards a new verdict."""
        now = self._clock.now()
        if self._stage < 0:
            return self._advance(now) if now >= self._stage_until_s else ReadmissionStep.STAY
        if suspicion >= RELAPSE_SUSPICION:
            return ReadmissionStep.RELAPSE
        tried = self._requests >= MIN_STAGE_REQUESTS and suspicion < PASS_SUSPICION
        if (tried and now - self._stage_began_s >= MIN_STAGE_S) or now >= self._stage_until_s:
            return self._advance(now)
        return ReadmissionStep.STAY

    def _advance(self, now: float) -> ReadmissionStep:
        if self._stage + 1 >= len(STAGE_PERCENTS):
            return ReadmissionStep.READMIT
        self._stage += 1
        self._stage_began_s = now
        self._stage_until_s = now + MAX_STAGE_S
        self._requests = 0
        return ReadmissionStep.ADVANCE


@dataclass
class _History:
    ejected_at_s: float
    interval_s: float


class FlapMemory:
    """Remembers when targets were ejected, to lengthen the interval of those that flap.

    Invariant: intervals lie between BASE_INTERVAL_S and MAX_INTERVAL_S.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty memory."""
        self._clock = clock
        self._histories: dict[str, _History] = {}

    def next_interval_s(self, target: str) -> float:
        """Note that a target is ejected now and return how long it stays out."""
        now = self._clock.now()
        history = self._histories.get(target)
        interval_s = BASE_INTERVAL_S
        if history is not None and now - history.ejected_at_s < FLAP_MEMORY_S:
            interval_s = min(MAX_INTERVAL_S, 2 * history.interval_s)
        self._histories[target] = _History(now, interval_s)
        return interval_s
