"""Synthetic request outcomes of one service, as its proxies would report them.

Requests arrive as a Poisson process, distributed evenly over targets and failure domains and
unevenly over operations and account buckets.  Latencies are log-normal per operation, multiplied by
a constant factor per target and by a slowly varying factor (first-order autoregressive), plus rare
stalls.  Failures are independent and rare, except that one account bucket fails more often on every
target.  Faults change the latency and failure rate of the requests that they affect.  The stream
doesn't model queues, nodes or networks.
"""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

import numpy as np
from toucanspindle_core.detection import STEP_S
from toucanspindle_core.evidence import ACCOUNT_BUCKETS, TargetOutcomes
from toucanspindle_core.latencybins import BIN_COUNT, BIN_RATIO, MIN_LATENCY_S

OPERATIONS: Final = ("lookup", "search", "change")
OPERATION_SHARES: Final = (0.6, 0.25, 0.15)
OPERATION_LATENCY_FACTORS: Final = (0.8, 1.2, 1.5)
LATENCY_SIGMA: Final = 0.5
TARGET_FACTOR_SIGMA: Final = 0.05
DRIFT_SIGMA: Final = 0.05
DRIFT_TIME_CONSTANT_S: Final = 10.0
STALLS_PER_TARGET_HOUR: Final = 1.0
STALL_S: Final = 0.3
BASE_FAILURE_RATE: Final = 0.003
HIGH_FAILURE_BUCKET: Final = 3
HIGH_FAILURE_BUCKET_RATE: Final = 0.05
CHUNK_STEPS: Final = 240

FloatArray = np.ndarray[Any, np.dtype[np.float64]]
IntArray = np.ndarray[Any, np.dtype[np.int64]]


@dataclass(frozen=True)
class ServiceShape:
    """Size and load of one service; `latency_s` is the median latency before any factors."""

    name: str
    domains: tuple[str, ...]
    targets: int
    slots: int
    requests_per_target_s: float
    latency_s: float
    deadline_s: float = 2.0

    def target_names(self) -> list[str]:
        """Return the names of the service's targets, in the order of their indices."""
        return [f"{self.name}-{number + 1}" for number in range(self.targets)]


LOTBOOK: Final = ServiceShape(
    "lotbook", ("beaufort", "laingsburg", "graaff", "deaar"), 8, 4, 10.0, 0.15
)
ORDERS: Final = ServiceShape("orders", ("bole", "merkato", "kirkos", "yeka"), 11, 2, 20.0, 0.04)


@dataclass(frozen=True)
class Fault:
    """A fault from `begin_s` to `end_s` at the targets with the given indices.

    Latency is multiplied by `slowdown`, and a request that would succeed fails with the probability
    `failure_rate`.  `bucket` and `domain` (index) limit the fault to some requests.  If `on_s` is
    above 0, the fault is repeatedly active for `on_s` and inactive for `off_s` seconds.  With
    `fades`, the slowdown decreases linearly to 1 at `end_s`.
    """

    begin_s: float
    end_s: float
    targets: tuple[int, ...]
    slowdown: float = 1.0
    failure_rate: float = 0.0
    bucket: int | None = None
    domain: int | None = None
    on_s: float = 0.0
    off_s: float = 0.0
    fades: bool = False


@dataclass(frozen=True)
class StepOutcomes:
    """Outcomes of one target, operation and bucket in one step, observed from one domain."""

    domain: str
    counts: TargetOutcomes


@dataclass
class _Requests:
    """A batch of requests; each array has one element per request."""

    at_s: FloatArray
    target: IntArray
    operation: IntArray
    bucket: IntArray
    domain: IntArray
    latency_s: FloatArray
    failure_rate: FloatArray


class OutcomeStream:
    """Outcomes of a service by step; the same seed produces the same stream."""

    def __init__(self, shape: ServiceShape, seed: int) -> None:
        """Create the stream of a service from a seed."""
        self._shape = shape
        self._random = np.random.default_rng(seed)
        self._names = shape.target_names()
        self._target_factors = np.exp(self._random.normal(0, TARGET_FACTOR_SIGMA, shape.targets))
        self._log_drift = np.zeros(shape.targets)

    def steps(
        self, duration_s: float, faults: Sequence[Fault] = ()
    ) -> Iterator[list[StepOutcomes]]:
        """Yield the outcomes of each step of STEP_S seconds, starting at second 0."""
        total_steps = round(duration_s / STEP_S)
        for first_step in range(0, total_steps, CHUNK_STEPS):
            count = min(CHUNK_STEPS, total_steps - first_step)
            yield from self._chunk_outcomes(first_step, count, faults)

    def _chunk_outcomes(
        self, first_step: int, count: int, faults: Sequence[Fault]
    ) -> list[list[StepOutcomes]]:
        requests = self._generate_requests(first_step, count)
        for fault in faults:
            _apply_fault(fault, requests)
        is_failed = self._random.random(len(requests.at_s)) < requests.failure_rate
        is_failed |= requests.latency_s > self._shape.deadline_s
        return self._group_by_step(requests, is_failed, first_step, count)

    def _generate_requests(self, first_step: int, count: int) -> _Requests:
        shape, random = self._shape, self._random
        request_count = random.poisson(shape.requests_per_target_s * shape.targets * count * STEP_S)
        at_s = (first_step + random.random(request_count) * count) * STEP_S
        target = random.integers(0, shape.targets, request_count)
        operation = random.choice(len(OPERATIONS), request_count, p=OPERATION_SHARES)
        bucket = np.minimum(random.geometric(0.25, request_count) - 1, ACCOUNT_BUCKETS - 1)
        domain = random.integers(0, len(shape.domains), request_count)
        median_s = shape.latency_s * np.array(OPERATION_LATENCY_FACTORS)[operation]
        latency_s = median_s * np.exp(random.normal(0, LATENCY_SIGMA, request_count))
        latency_s *= (
            self._target_factors[target]
            * self._drift_factors(count)[(at_s / STEP_S).astype(np.int64) - first_step, target]
        )
        latency_s += self._stall_delays(first_step, count, at_s, target)
        rate = np.where(bucket == HIGH_FAILURE_BUCKET, HIGH_FAILURE_BUCKET_RATE, BASE_FAILURE_RATE)
        return _Requests(at_s, target, operation, bucket, domain, latency_s, rate)

    def _drift_factors(self, count: int) -> FloatArray:
        decay = math.exp(-STEP_S / DRIFT_TIME_CONSTANT_S)
        noise = self._random.normal(0, DRIFT_SIGMA, (count, self._shape.targets))
        factors = np.empty((count, self._shape.targets))
        for step in range(count):
            self._log_drift = decay * self._log_drift + math.sqrt(1 - decay * decay) * noise[step]
            factors[step] = np.exp(self._log_drift)
        return factors

    def _stall_delays(
        self, first_step: int, count: int, at_s: FloatArray, target: IntArray
    ) -> FloatArray:
        stall_delay_s = np.zeros(len(at_s))
        target_hours = count * STEP_S / 3600 * self._shape.targets
        for _ in range(self._random.poisson(STALLS_PER_TARGET_HOUR * target_hours)):
            begin = (first_step + self._random.random() * count) * STEP_S
            is_affected = target == self._random.integers(0, self._shape.targets)
            is_affected &= (at_s >= begin) & (at_s < begin + STALL_S)
            stall_delay_s[is_affected] += begin + STALL_S - at_s[is_affected]
        return stall_delay_s

    def _group_by_step(
        self,
        requests: _Requests,
        is_failed: np.ndarray[Any, np.dtype[np.bool_]],
        first_step: int,
        count: int,
    ) -> list[list[StepOutcomes]]:
        step = (requests.at_s / STEP_S).astype(np.int64) - first_step
        log_ratio = np.log(np.maximum(requests.latency_s, MIN_LATENCY_S) / MIN_LATENCY_S)
        bins = np.minimum(BIN_COUNT - 1, (log_ratio / math.log(BIN_RATIO)).astype(np.int64))
        order = np.argsort(requests.at_s)
        key_columns = (step, requests.target, requests.operation, requests.bucket, requests.domain)
        rows = zip(*(c[order].tolist() for c in (*key_columns, bins, is_failed)), strict=True)
        counts_by_step: list[dict[tuple[int, int, int, int], TargetOutcomes]] = [
            {} for _ in range(count)
        ]
        for step_index, target, operation, bucket, domain, index, failed in rows:
            key = (target, operation, bucket, domain)
            counts = counts_by_step[step_index].get(key)
            if counts is None:
                counts = TargetOutcomes(self._names[target], OPERATIONS[operation], bucket)
                counts_by_step[step_index][key] = counts
            if failed:
                counts.failed += 1
            else:
                counts.succeeded += 1
                counts.latency[index] = counts.latency.get(index, 0) + 1
        domains = self._shape.domains
        return [
            [StepOutcomes(domains[key[3]], counts) for key, counts in counts_by_key.items()]
            for counts_by_key in counts_by_step
        ]


def _apply_fault(fault: Fault, requests: _Requests) -> None:
    at_s = requests.at_s
    is_affected = (
        (at_s >= fault.begin_s) & (at_s < fault.end_s) & np.isin(requests.target, fault.targets)
    )
    if fault.bucket is not None:
        is_affected &= requests.bucket == fault.bucket
    if fault.domain is not None:
        is_affected &= requests.domain == fault.domain
    if fault.on_s:
        is_affected &= (at_s - fault.begin_s) % (fault.on_s + fault.off_s) < fault.on_s
    slowdown = np.full(int(is_affected.sum()), fault.slowdown)
    if fault.fades:
        remaining = (fault.end_s - at_s[is_affected]) / (fault.end_s - fault.begin_s)
        slowdown = 1 + (fault.slowdown - 1) * remaining
    requests.latency_s[is_affected] *= slowdown
    success_rate = 1 - requests.failure_rate[is_affected]
    requests.failure_rate[is_affected] = 1 - success_rate * (1 - fault.failure_rate)
