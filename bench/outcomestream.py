"""Synthetic outcomes of one service's requests, as its proxies would report them.

Requests arrive as a Poisson process, spread evenly over targets and failure domains and unevenly
over operations and account buckets.  Latencies are log-normal per operation, times a fixed factor
per target, times a slowly varying factor (first-order autoregressive), plus rare stalls; failures
are independent at a low rate, and one account bucket fails more often on every target.  Faults
change latency and failure rate of the requests that they cover.  This is one service's stream of
outcomes, with no model of queues, nodes or networks behind it.
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
OPERATION_FACTORS: Final = (0.8, 1.2, 1.5)
LATENCY_SIGMA: Final = 0.5
HOST_SIGMA: Final = 0.05
DRIFT_SIGMA: Final = 0.05
DRIFT_MEMORY_S: Final = 10.0
STALLS_PER_TARGET_HOUR: Final = 1.0
STALL_S: Final = 0.3
BASE_FAILURE_RATE: Final = 0.003
BAD_BUCKET: Final = 3
BAD_BUCKET_FAILURE_RATE: Final = 0.05
CHUNK_STEPS: Final = 240

Floats = np.ndarray[Any, np.dtype[np.float64]]
Ints = np.ndarray[Any, np.dtype[np.int64]]


@dataclass(frozen=True)
class ServiceShape:
    """Size of one service."""

    name: str
    domains: tuple[str, ...]
    targets: int
    slots: int
    requests_per_target_s: float
    latency_s: float
    deadline_s: float = 2.0

    def target_names(self) -> list[str]:
        """Return the names of the service's targets."""
        return [f"{self.name}-{number + 1}" for number in range(self.targets)]


LOTBOOK: Final = ServiceShape(
    "lotbook", ("beaufort", "laingsburg", "graaff", "deaar"), 8, 4, 10.0, 0.15
)
ORDERS: Final = ServiceShape("orders", ("bole", "merkato", "kirkos", "yeka"), 11, 2, 20.0, 0.04)


@dataclass(frozen=True)
class Fault:
    """A fault from `begin_s` to `end_s` at the named targets (indices).

    Latency is multiplied by `slowdown`; each request fails with `failure_rate` more.  `bucket` and
    `domain` (index) limit it to some requests.  With `on_s`, it comes and goes every on_s + off_s
    seconds.  With `fades`, the slowdown falls linearly to none by the end.
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
    """What one domain's observers saw of one target, operation and bucket in a step."""

    domain: str
    counts: TargetOutcomes


@dataclass
class _Requests:
    """A chunk of requests, one array element each."""

    at_s: Floats
    target: Ints
    operation: Ints
    bucket: Ints
    domain: Ints
    latency_s: Floats
    failure_rate: Floats


class OutcomeStream:
    """Outcomes of a service, step by step; the same seed gives the same stream."""

    def __init__(self, shape: ServiceShape, seed: int) -> None:
        """Create the stream of a service."""
        self._shape = shape
        self._random = np.random.default_rng(seed)
        self._names = shape.target_names()
        self._host_factor = np.exp(self._random.normal(0, HOST_SIGMA, shape.targets))
        self._drift = np.zeros(shape.targets)

    def steps(
        self, duration_s: float, faults: Sequence[Fault] = ()
    ) -> Iterator[list[StepOutcomes]]:
        """Yield the outcomes of each step of STEP_S seconds, from second 0 on."""
        total_steps = round(duration_s / STEP_S)
        for first in range(0, total_steps, CHUNK_STEPS):
            count = min(CHUNK_STEPS, total_steps - first)
            yield from self._chunk(first, count, faults)

    def _chunk(self, first: int, count: int, faults: Sequence[Fault]) -> list[list[StepOutcomes]]:
        requests = self._healthy(first, count)
        for fault in faults:
            _apply(fault, requests)
        fails = self._random.random(len(requests.at_s)) < requests.failure_rate
        fails |= requests.latency_s > self._shape.deadline_s
        return self._group(requests, fails, first, count)

    def _healthy(self, first: int, count: int) -> _Requests:
        shape, random = self._shape, self._random
        size = random.poisson(shape.requests_per_target_s * shape.targets * count * STEP_S)
        at_s = (first + random.random(size) * count) * STEP_S
        target = random.integers(0, shape.targets, size)
        operation = random.choice(len(OPERATIONS), size, p=OPERATION_SHARES)
        bucket = np.minimum(random.geometric(0.25, size) - 1, ACCOUNT_BUCKETS - 1)
        domain = random.integers(0, len(shape.domains), size)
        median_s = shape.latency_s * np.array(OPERATION_FACTORS)[operation]
        latency_s = median_s * np.exp(random.normal(0, LATENCY_SIGMA, size))
        latency_s *= (
            self._host_factor[target]
            * self._drift_factors(count)[(at_s / STEP_S).astype(np.int64) - first, target]
        )
        latency_s += self._stalls(first, count, at_s, target)
        rate = np.where(bucket == BAD_BUCKET, BAD_BUCKET_FAILURE_RATE, BASE_FAILURE_RATE)
        return _Requests(at_s, target, operation, bucket, domain, latency_s, rate)

    def _drift_factors(self, count: int) -> Floats:
        keep = math.exp(-STEP_S / DRIFT_MEMORY_S)
        noise = self._random.normal(0, DRIFT_SIGMA, (count, self._shape.targets))
        factors = np.empty((count, self._shape.targets))
        for step in range(count):
            self._drift = keep * self._drift + math.sqrt(1 - keep * keep) * noise[step]
            factors[step] = np.exp(self._drift)
        return factors

    def _stalls(self, first: int, count: int, at_s: Floats, target: Ints) -> Floats:
        extra = np.zeros(len(at_s))
        hours = count * STEP_S / 3600 * self._shape.targets
        for _ in range(self._random.poisson(STALLS_PER_TARGET_HOUR * hours)):
            begin = (first + self._random.random() * count) * STEP_S
            hit = target == self._random.integers(0, self._shape.targets)
            hit &= (at_s >= begin) & (at_s < begin + STALL_S)
            extra[hit] += begin + STALL_S - at_s[hit]
        return extra

    def _group(
        self,
        requests: _Requests,
        fails: np.ndarray[Any, np.dtype[np.bool_]],
        first: int,
        count: int,
    ) -> list[list[StepOutcomes]]:
        step = (requests.at_s / STEP_S).astype(np.int64) - first
        position = np.log(np.maximum(requests.latency_s, MIN_LATENCY_S) / MIN_LATENCY_S)
        bins = np.minimum(BIN_COUNT - 1, (position / math.log(BIN_RATIO)).astype(np.int64))
        order = np.argsort(requests.at_s)
        columns = (step, requests.target, requests.operation, requests.bucket, requests.domain)
        rows = zip(*(c[order].tolist() for c in (*columns, bins, fails)), strict=True)
        cells: list[dict[tuple[int, int, int, int], TargetOutcomes]] = [{} for _ in range(count)]
        for at, target, operation, bucket, domain, index, failed in rows:
            key = (target, operation, bucket, domain)
            counts = cells[at].get(key)
            if counts is None:
                counts = TargetOutcomes(self._names[target], OPERATIONS[operation], bucket)
                cells[at][key] = counts
            if failed:
                counts.failed += 1
            else:
                counts.succeeded += 1
                counts.latency[index] = counts.latency.get(index, 0) + 1
        domains = self._shape.domains
        return [
            [StepOutcomes(domains[key[3]], counts) for key, counts in by_key.items()]
            for by_key in cells
        ]


def _apply(fault: Fault, requests: _Requests) -> None:
    at_s = requests.at_s
    hit = (at_s >= fault.begin_s) & (at_s < fault.end_s) & np.isin(requests.target, fault.targets)
    if fault.bucket is not None:
        hit &= requests.bucket == fault.bucket
    if fault.domain is not None:
        hit &= requests.domain == fault.domain
    if fault.on_s:
        hit &= (at_s - fault.begin_s) % (fault.on_s + fault.off_s) < fault.on_s
    slowdown = np.full(int(hit.sum()), fault.slowdown)
    if fault.fades:
        remaining = (fault.end_s - at_s[hit]) / (fault.end_s - fault.begin_s)
        slowdown = 1 + (fault.slowdown - 1) * remaining
    requests.latency_s[hit] *= slowdown
    healthy = 1 - requests.failure_rate[hit]
    requests.failure_rate[hit] = 1 - healthy * (1 - fault.failure_rate)
