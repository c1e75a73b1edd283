"""Scenarios of the detection measurement, and the theoretical bound on each one's delay.

The bound is Lorden's: for a mean of g requests between false alarms no test detects sooner, in the
mean, than after log(g) / KL requests, KL being the information in one affected request about the
fault.  It supposes that the fault, its strength and the peers' behaviour are known beforehand, and
that each request is seen at once.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bench.outcomestream import (
    BAD_BUCKET,
    BAD_BUCKET_FAILURE_RATE,
    BASE_FAILURE_RATE,
    LATENCY_SIGMA,
    Fault,
    ServiceShape,
)

BAD_BUCKET_SHARE: Final = 0.25 * 0.75**BAD_BUCKET
FIRST_BUCKET_SHARE: Final = 0.25
BUCKET_FAILURE_RATE: Final = 0.8
FLAP_ON_S: Final = 5.0
FLAP_OFF_S: Final = 15.0
COLD_S: Final = 30.0
CRASH_S: Final = 0.3
CRASH_GAP_S: Final = 0.5
SECONDS_PER_DAY: Final = 86_400

MakeFaults = Callable[[ServiceShape, float, float, int], list[Fault]]


@dataclass(frozen=True)
class Scenario:
    """A fault at one target, or one that must not lead to an ejection.

    `faults` takes the service, begin and end in seconds, and the index of the target.
    `information` is what one affected request tells, in nats, and `affected_share` the share of the
    target's requests that is affected.  With `new_target` the target has just joined; with
    `poison` a request crashes it and the next target.
    """

    name: str
    faults: MakeFaults
    information: float = 0.0
    affected_share: float = 1.0
    must_eject: bool = True
    new_target: bool = False
    poison: bool = False

    def bound_s(self, shape: ServiceShape, false_ejections_per_target_day: float) -> float:
        """Return the least mean delay in seconds at a rate of false ejections."""
        rate = shape.requests_per_target_s * self.affected_share
        between = rate * SECONDS_PER_DAY / false_ejections_per_target_day
        return math.log(between) / self.information / rate


def _divergence(sick: float, well: float) -> float:
    """Return the Kullback-Leibler divergence of two failure rates."""
    wrong = sick * math.log(sick / well)
    return wrong if sick >= 1 else wrong + (1 - sick) * math.log((1 - sick) / (1 - well))


def _wrong_information(extra: float) -> float:
    def at(well: float) -> float:
        return _divergence(well + extra * (1 - well), well)

    ordinary = (1 - BAD_BUCKET_SHARE) * at(BASE_FAILURE_RATE)
    return ordinary + BAD_BUCKET_SHARE * at(BAD_BUCKET_FAILURE_RATE)


def _slow_information(ratio: float) -> float:
    return math.log(ratio) ** 2 / (2 * LATENCY_SIGMA**2)


def _one(**effects: float | int | bool) -> MakeFaults:
    def make(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
        return [Fault(begin_s, end_s, (target,), **effects)]  # type: ignore[arg-type]

    return make


def _all(slowdown: float) -> MakeFaults:
    def make(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
        return [Fault(begin_s, end_s, tuple(range(shape.targets)), slowdown=slowdown)]

    return make


def _cold(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
    return [Fault(begin_s, begin_s + COLD_S, (target,), slowdown=5.0, fades=True)]


def _poison(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
    second_s = begin_s + CRASH_GAP_S
    other = (target + 1) % shape.targets
    return [
        Fault(begin_s, begin_s + CRASH_S, (target,), failure_rate=1.0),
        Fault(second_s, second_s + CRASH_S, (other,), failure_rate=1.0),
    ]


SCENARIOS: Final = (
    Scenario("slow x2", _one(slowdown=2.0), _slow_information(2.0)),
    Scenario("slow x5", _one(slowdown=5.0), _slow_information(5.0)),
    Scenario("10% wrong", _one(failure_rate=0.1), _wrong_information(0.1)),
    Scenario("30% wrong", _one(failure_rate=0.3), _wrong_information(0.3)),
    Scenario(
        "wrong for one bucket",
        _one(failure_rate=BUCKET_FAILURE_RATE, bucket=0),
        _divergence(BUCKET_FAILURE_RATE, BASE_FAILURE_RATE),
        FIRST_BUCKET_SHARE,
    ),
    Scenario(
        "cut from one domain",
        _one(failure_rate=1.0, domain=1),
        _divergence(1.0, BASE_FAILURE_RATE),
        0.25,
    ),
    Scenario(
        "flapping, 30% wrong",
        _one(failure_rate=0.3, on_s=FLAP_ON_S, off_s=FLAP_OFF_S),
        _wrong_information(0.3),
    ),
    Scenario("cold start", _cold, must_eject=False, new_target=True),
    Scenario("whole service slow x3", _all(3.0), must_eject=False),
    Scenario("one poison request", _poison, must_eject=False, poison=True),
)
