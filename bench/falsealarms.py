"""Compares the false ejections of the sequential tests with the rate that they are allowed.

Detectors at high settings process streams without faults, so that there are enough false ejections
to count.  For each service the table shows the observed number with its exact 95% confidence
interval (Poisson) next to the allowed number.  `cusum.RUN_LENGTH_GAIN` may be increased as long as
the whole interval stays below the allowed number; choose it on some seeds and check it on others:

    python -m bench.falsealarms --first-seed 1 --seeds 5 --hours 0.5

writes bench/results/detection-falsealarms.json and prints a table.
"""

import argparse
import json
import math
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

from toucanspindle_core.clock import ManualClock
from toucanspindle_core.detection import STEP_S
from toucanspindle_core.sequentialdetector import SequentialDetector

from bench.outcomestream import LOTBOOK, ORDERS, OutcomeStream, ServiceShape

RESULTS: Final = Path(__file__).parent / "results" / "detection-falsealarms.json"
ALLOWED_PER_TARGET_DAY: Final = (5.0, 50.0)
SPARSE: Final = ServiceShape("sparse", LOTBOOK.domains, 8, 4, 2.0, 0.15)
SHAPES: Final = (ORDERS, LOTBOOK, SPARSE)
SEED_STRIDE: Final = 1000
HOURS_PER_DAY: Final = 24
TAIL_PROBABILITY: Final = 0.025


@dataclass(frozen=True)
class Job:
    """One stream without faults, of `hours` hours."""

    shape: ServiceShape
    seed: int
    hours: float


@dataclass
class JobResult:
    """False ejections in one stream, in the order of ALLOWED_PER_TARGET_DAY."""

    service: str
    seed: int
    target_hours: float
    false_ejections: list[int]


def run_job(job: Job) -> JobResult:
    """Run one job and return its result; called in a worker process."""
    clock = ManualClock()
    detectors = [SequentialDetector(allowed, clock) for allowed in ALLOWED_PER_TARGET_DAY]
    for detector in detectors:
        detector.set_targets(job.shape.target_names())
    false_ejection_counts = [0] * len(ALLOWED_PER_TARGET_DAY)
    for outcomes in OutcomeStream(job.shape, SEED_STRIDE * job.seed).steps(job.hours * 3600):
        clock.advance(STEP_S)
        for index, detector in enumerate(detectors):
            for observed in outcomes:
                detector.observe(observed.domain, observed.counts)
            for verdict in detector.step():
                detector.reset_target(verdict.target)
                false_ejection_counts[index] += 1
    return JobResult(job.shape.name, job.seed, job.hours * job.shape.targets, false_ejection_counts)


def confidence_interval(count: int) -> tuple[float, float]:
    """Return the exact 95% confidence interval of a Poisson mean after `count` events."""
    low = (
        _least_mean(lambda mean: 1 - _poisson_cdf(count - 1, mean) >= TAIL_PROBABILITY)
        if count
        else 0.0
    )
    return low, _least_mean(lambda mean: _poisson_cdf(count, mean) <= TAIL_PROBABILITY)


def _poisson_cdf(count: int, mean: float) -> float:
    """Return the probability of at most `count` events of a Poisson distribution."""
    return sum(math.exp(k * math.log(mean) - mean - math.lgamma(k + 1)) for k in range(count + 1))


def _least_mean(meets_condition: Callable[[float], bool]) -> float:
    """Return, by bisection, the least mean that meets a condition monotone in the mean."""
    low, high = 1e-9, 1e4
    for _ in range(60):
        middle = (low + high) / 2
        if meets_condition(middle):
            high = middle
        else:
            low = middle
    return high


def format_table(results: list[JobResult]) -> str:
    """Return the observed and allowed numbers of false ejections as a Markdown table."""
    lines = [
        "| service | setting, /day | target-hours | allowed | seen | 95% interval | by seed |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for shape in SHAPES:
        service_results = [r for r in results if r.service == shape.name]
        hours = sum(r.target_hours for r in service_results)
        for index, setting in enumerate(ALLOWED_PER_TARGET_DAY):
            counts_by_seed = [r.false_ejections[index] for r in service_results]
            low, high = confidence_interval(sum(counts_by_seed))
            allowed = setting * hours / HOURS_PER_DAY
            lines.append(
                f"| {shape.name} | {setting:g} | {hours:.0f} | {allowed:.1f}"
                f" | {sum(counts_by_seed)} | {low:.1f}-{high:.1f} | {counts_by_seed} |"
            )
    return "\n".join(lines)


def main(write: Callable[[str], object] = print) -> None:
    """Run all jobs, write the results, and pass the table to `write`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--hours", type=float, default=0.5)
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--out", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    jobs = [Job(shape, seed, arguments.hours) for seed in seeds for shape in SHAPES]
    with ProcessPoolExecutor(arguments.workers) as pool:
        results = list(pool.map(run_job, jobs))
    rows = [asdict(result) for result in results]
    arguments.out.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
    write(format_table(results))


if __name__ == "__main__":
    main()
