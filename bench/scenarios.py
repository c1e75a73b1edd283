"""Scenarios of the detection measurement, and the theoretical lower bound on the delay of each.

The bound is Lorden's: with a mean of g requests between false alarms, the mean delay of any test is
at least log(g) / KL requests, where KL is the information about the fault in one affected request.
The bound assumes that the fault, its strength and the behaviour of the other targets are known in
advance, and that each request is observed immediately.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from bench.outcomestream import (
    BASE_FAILURE_RATE,
    HIGH_FAILURE_BUCKET,
    HIGH_FAILURE_BUCKET_RATE,
    LATENCY_SIGMA,
    Fault,
    ServiceShape,
)

HIGH_FAILURE_BUCKET_SHARE: Final = 0.25 * 0.75**HIGH_FAILURE_BUCKET
FIRST_BUCKET_SHARE: Final = 0.25
BUCKET_FAILURE_RATE: Final = 0.8
FLAP_ON_S: Final = 5.0
FLAP_OFF_S: Final = 15.0
COLD_START_FAULT_S: Final = 30.0
CRASH_DURATION_S: Final = 0.3
CRASH_GAP_S: Final = 0.5
SECONDS_PER_DAY: Final = 86_400

FaultFactory = Callable[[ServiceShape, float, float, int], list[Fault]]


@dataclass(frozen=True)
class Scenario:
    """A fault that must lead to an ejection of one target, or one that must not (`must_eject`).

    `faults` takes the service, the start and end in seconds, and the index of the target.
    `information` is the information about the fault in one affected request, in nats, and
    `affected_share` the share of the target's requests that the fault affects.  With `new_target`,
    the target has just joined; with `poison`, a request crashes it and the next target.
    """

    name: str
    faults: FaultFactory
    information: float = 0.0
    affected_share: float = 1.0
    must_eject: bool = True
    new_target: bool = False
    poison: bool = False

    def bound_s(self, shape: ServiceShape, false_ejections_per_target_day: float) -> float:
        """Return the lower bound on the mean delay, in seconds, at a rate of false ejections."""
        rate = shape.requests_per_target_s * self.affected_share
        requests_between_false_ejections = rate * SECONDS_PER_DAY / false_ejections_per_target_day
        return math.log(requests_between_false_ejections) / self.information / rate


def _failure_rate_divergence(faulty_rate: float, healthy_rate: float) -> float:
    """Return the Kullback-Leibler divergence of two failure rates, in nats."""
    failure_term = faulty_rate * math.log(faulty_rate / healthy_rate)
    return (
        failure_term
        if faulty_rate >= 1
        else failure_term + (1 - faulty_rate) * math.log((1 - faulty_rate) / (1 - healthy_rate))
    )


def _failure_information(added_failure_rate: float) -> float:
    def divergence_from(healthy_rate: float) -> float:
        return _failure_rate_divergence(
            healthy_rate + added_failure_rate * (1 - healthy_rate), healthy_rate
        )

    other_buckets = (1 - HIGH_FAILURE_BUCKET_SHARE) * divergence_from(BASE_FAILURE_RATE)
    return other_buckets + HIGH_FAILURE_BUCKET_SHARE * divergence_from(HIGH_FAILURE_BUCKET_RATE)


def _slowdown_information(ratio: float) -> float:
    return math.log(ratio) ** 2 / (2 * LATENCY_SIGMA**2)


def _single_target(**effects: float | int | bool) -> FaultFactory:
    def make(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
        return [Fault(begin_s, end_s, (target,), **effects)]  # type: ignore[arg-type]

    return make


def _all_targets(slowdown: float) -> FaultFactory:
    def make(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
        return [Fault(begin_s, end_s, tuple(range(shape.targets)), slowdown=slowdown)]

    return make


def _cold_start(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
    return [Fault(begin_s, begin_s + COLD_START_FAULT_S, (target,), slowdown=5.0, fades=True)]


def _poison_request(shape: ServiceShape, begin_s: float, end_s: float, target: int) -> list[Fault]:
    second_s = begin_s + CRASH_GAP_S
    second_target = (target + 1) % shape.targets
    return [
        Fault(begin_s, begin_s + CRASH_DURATION_S, (target,), failure_rate=1.0),
        Fault(second_s, second_s + CRASH_DURATION_S, (second_target,), failure_rate=1.0),
    ]


SCENARIOS: Final = (
    Scenario("slow x2", _single_target(slowdown=2.0), _slowdown_information(2.0)),
    Scenario("slow x5", _single_target(slowdown=5.0), _slowdown_information(5.0)),
    Scenario("10% wrong", _single_target(failure_rate=0.1), _failure_information(0.1)),
    Scenario("30% wrong", _single_target(failure_rate=0.3), _failure_information(0.3)),
    Scenario(
        "wrong for one bucket",
        _single_target(failure_rate=BUCKET_FAILURE_RATE, bucket=0),
        _failure_rate_divergence(BUCKET_FAILURE_RATE, BASE_FAILURE_RATE),
        FIRST_BUCKET_SHARE,
    ),
    Scenario(
        "cut from one domain",
        _single_target(failure_rate=1.0, domain=1),
        _failure_rate_divergence(1.0, BASE_FAILURE_RATE),
        0.25,
    ),
    Scenario(
        "flapping, 30% wrong",
        _single_target(failure_rate=0.3, on_s=FLAP_ON_S, off_s=FLAP_OFF_S),
        _failure_information(0.3),
    ),
    Scenario("cold start", _cold_start, must_eject=False, new_target=True),
    Scenario("whole service slow x3", _all_targets(3.0), must_eject=False),
    Scenario("one poison request", _poison_request, must_eject=False, poison=True),
)
