"""Measures how the false ejections of the sequential tests compare with the rate they are allowed.

Streams without faults go to detectors at high settings, where false ejections are many enough to
count.  Each service gives the number seen with its 95% confidence interval (Poisson, exact)
beside the number allowed.  `cusum.RUN_LENGTH_GAIN` may grow as long as the whole interval stays
below the number allowed; choose it on some seeds and check it on others:

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
SETTINGS: Final = (5.0, 50.0)
SPARSE: Final = ServiceShape("sparse", LOTBOOK.domains, 8, 4, 2.0, 0.15)
SHAPES: Final = (ORDERS, LOTBOOK, SPARSE)
SEED_STRIDE: Final = 1000
HOURS_PER_DAY: Final = 24
TAIL: Final = 0.025


@dataclass(frozen=True)
class Job:
    """One stream without faults."""

    shape: ServiceShape
    seed: int
    hours: float


@dataclass
class JobResult:
    """False ejections in one stream, by setting in the order of SETTINGS."""

    service: str
    seed: int
    target_hours: float
    false_ejections: list[int]


def run_job(job: Job) -> JobResult:
    """Run one job, in a process of its own."""
    clock = ManualClock()
    detectors = [SequentialDetector(allowed, clock) for allowed in SETTINGS]
    for detector in detectors:
        detector.set_targets(job.shape.target_names())
    found = [0] * len(SETTINGS)
    for outcomes in OutcomeStream(job.shape, SEED_STRIDE * job.seed).steps(job.hours * 3600):
        clock.advance(STEP_S)
        for index, detector in enumerate(detectors):
            for one in outcomes:
                detector.observe(one.domain, one.counts)
            for verdict in detector.step():
                detector.reset_target(verdict.target)
                found[index] += 1
    return JobResult(job.shape.name, job.seed, job.hours * job.shape.targets, found)


def confidence_interval(count: int) -> tuple[float, float]:
    """Return the exact 95% confidence interval of a Poisson mean of which `count` was seen."""
    low = _mean_where(lambda mean: 1 - _at_most(count - 1, mean) >= TAIL) if count else 0.0
    return low, _mean_where(lambda mean: _at_most(count, mean) <= TAIL)


def _at_most(count: int, mean: float) -> float:
    """Return the probability of at most `count` events."""
    return sum(math.exp(k * math.log(mean) - mean - math.lgamma(k + 1)) for k in range(count + 1))


def _mean_where(is_reached: Callable[[float], bool]) -> float:
    """Return the least mean at which a condition holds that stays true from there on."""
    low, high = 1e-9, 1e4
    for _ in range(60):
        middle = (low + high) / 2
        if is_reached(middle):
            high = middle
        else:
            low = middle
    return high


def table(results: list[JobResult]) -> str:
    """Return the numbers seen and allowed as Markdown."""
    lines = [
        "| service | setting, /day | target-hours | allowed | seen | 95% interval | by seed |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for shape in SHAPES:
        same = [r for r in results if r.service == shape.name]
        hours = sum(r.target_hours for r in same)
        for index, setting in enumerate(SETTINGS):
            seeds = [r.false_ejections[index] for r in same]
            low, high = confidence_interval(sum(seeds))
            allowed = setting * hours / HOURS_PER_DAY
            lines.append(
                f"| {shape.name} | {setting:g} | {hours:.0f} | {allowed:.1f} | {sum(seeds)}"
                f" | {low:.1f}-{high:.1f} | {seeds} |"
            )
    return "\n".join(lines)


def main(write: Callable[[str], object] = print) -> None:
    """Run all jobs, write the results and print the table."""
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
    write(table(results))


if __name__ == "__main__":
    main()
