"""Measures detection time and false ejections on synthetic outcomes of one service.

The very detectors that a judge runs are fed with the outcomes of `outcomestream.py`, all of them
with the same stream.  A trial is one fault at one target after a rest; a detector's delay is the
time from the fault's begin to the end of the step with its first verdict on that target.  Verdicts
on other targets, and all verdicts in runs without faults, are false ejections.

    python -m bench.detection --seeds 5 --trials 4 --hours 0.5 --workers 4

writes bench/results/detection.json; `python -m bench.plots` makes tables and plots of it.  With
`--only sequential` just those detectors run and their results replace the ones in the file, which
must come from the same seeds, trials and hours: the streams are the same, so the others' hold.
"""

import argparse
import json
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.baselines import (
    ConsecutiveFailures,
    HealthEndpoint,
    IntervalOutlier,
    NoDetector,
)
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.detection import STEP_S, Detector, EjectionScope
from toucanspindle_core.sequentialdetector import SequentialDetector
from toucanspindle_core.servicejudge import COLD_START_S, CRASH_GRACE_S

from bench.outcomestream import LOTBOOK, ORDERS, Fault, OutcomeStream, ServiceShape, StepOutcomes
from bench.scenarios import CRASH_GAP_S, SCENARIOS, Scenario

RESULTS: Final = Path(__file__).parent / "results" / "detection.json"
SETTINGS: Final = {"lotbook": 0.01, "orders": 0.5}
OTHER_SETTINGS: Final = (50.0,)
WARM_UP_S: Final = 60.0
FAULT_S: Final = 30.0
REST_S: Final = 30.0
CURVE_SCENARIOS: Final = ("slow x2", "10% wrong", "30% wrong", "wrong for one bucket")

# Faults begin at phases spread evenly over ten seconds, the interval of the outlier detector.
FIRST_PHASE_S: Final = 0.13
PHASE_STEP_S: Final = 3.77
PHASES_S: Final = 10.0


@dataclass(frozen=True)
class Job:
    """One run: of a scenario's trials, or without a fault when `scenario` is None."""

    shape: ServiceShape
    seed: int
    scenario: int | None
    trials: int
    hours: float
    only: str = ""


@dataclass
class DetectorResult:
    """What one detector did in one run; delays in seconds, None where it found nothing."""

    delays_s: list[float | None] = field(default_factory=list)
    false_ejections: int = 0


@dataclass
class JobResult:
    """The results of one run by detector, with the target-hours it covered."""

    service: str
    scenario: str
    seed: int
    target_hours: float
    detectors: dict[str, DetectorResult]


@dataclass(frozen=True)
class _Trial:
    begin_s: float
    end_s: float
    target: int


def make_detectors(shape: ServiceShape, clock: ManualClock, curve: bool) -> dict[str, Detector]:
    """Return the detectors to compare, by name."""
    settings = [SETTINGS[shape.name], *(OTHER_SETTINGS if curve else ())]
    sequential: dict[str, Detector] = {
        f"sequential {allowed:g}/day": SequentialDetector(allowed, clock) for allowed in settings
    }
    baselines: dict[str, Detector] = {
        **{f"{k} consecutive failures": ConsecutiveFailures(k) for k in (2, 3, 5)},
        **{f"outlier x{m:g}": IntervalOutlier(m) for m in (1.5, 2.0, 3.0, 5.0)},
        "health endpoint": HealthEndpoint(),
        "none": NoDetector(),
    }
    return sequential | baselines


class _Run:
    """Feeds one stream to all detectors and notes their verdicts."""

    def __init__(self, job: Job, scenario: Scenario | None) -> None:
        self._job = job
        self._scenario = scenario
        self._clock = ManualClock()
        curve = scenario is None or scenario.name in CURVE_SCENARIOS
        detectors = make_detectors(job.shape, self._clock, curve)
        self._detectors = {n: d for n, d in detectors.items() if n.startswith(job.only)}
        self._results = {name: DetectorResult() for name in self._detectors}
        self._names = job.shape.target_names()
        for detector in self._detectors.values():
            detector.set_targets(self._names)

    def run(self) -> JobResult:
        """Run to the end."""
        trials = list(self._trials())
        duration_s = trials[-1].end_s + REST_S if trials else self._job.hours * 3600
        faults = [f for trial in trials for f in self._faults(trial)]
        stream = OutcomeStream(self._job.shape, self._job.seed).steps(duration_s, faults)
        coming = iter(trials)
        trial = next(coming, None)
        found: set[str] = set()
        for outcomes in stream:
            before_s = self._clock.now()
            self._clock.advance(STEP_S)
            now = self._clock.now()
            if trial and now > trial.end_s:
                self._end_trial(found)
                trial, found = next(coming, None), set()
            if trial and self._scenario:
                self._tell_judge_facts(self._scenario, trial, before_s, now)
            self._step(outcomes, trial, found)
        hours = duration_s / 3600 * self._job.shape.targets
        name = self._scenario.name if self._scenario else "no fault"
        return JobResult(self._job.shape.name, name, self._job.seed, hours, self._results)

    def _trials(self) -> Iterator[_Trial]:
        if self._scenario is None:
            return
        for number in range(self._job.trials):
            phase_s = (FIRST_PHASE_S + PHASE_STEP_S * (number + 5 * self._job.seed)) % PHASES_S
            begin_s = WARM_UP_S + number * (FAULT_S + REST_S) + phase_s
            yield _Trial(begin_s, begin_s + FAULT_S, (number * 3 + 2) % self._job.shape.targets)

    def _faults(self, trial: _Trial) -> list[Fault]:
        assert self._scenario is not None
        return self._scenario.faults(self._job.shape, trial.begin_s, trial.end_s, trial.target)

    def _tell_judge_facts(
        self, scenario: Scenario, trial: _Trial, before_s: float, now: float
    ) -> None:
        """Tell the detectors what the judge knows: of new targets, and of poison requests."""
        ignored: list[tuple[int, float]] = []
        if scenario.new_target and before_s <= trial.begin_s < now:
            ignored = [(trial.target, COLD_START_S)]
        if scenario.poison and before_s <= trial.begin_s + CRASH_GAP_S < now:
            second = (trial.target + 1) % self._job.shape.targets
            ignored = [(trial.target, CRASH_GRACE_S), (second, CRASH_GRACE_S)]
        for detector in self._detectors.values():
            for target, grace_s in ignored:
                detector.ignore_until(self._names[target], now + grace_s)

    def _step(self, outcomes: list[StepOutcomes], trial: _Trial | None, found: set[str]) -> None:
        now = self._clock.now()
        for name, detector in self._detectors.items():
            for one in outcomes:
                detector.observe(one.domain, one.counts)
            for verdict in detector.step():
                detector.reset_target(verdict.target)
                self._note(name, verdict.target, trial, now, found)

    def _note(
        self, name: str, target: str, trial: _Trial | None, now: float, found: set[str]
    ) -> None:
        result = self._results[name]
        must_eject = self._scenario is not None and self._scenario.must_eject
        in_fault = trial is not None and now >= trial.begin_s
        if not (must_eject and trial and in_fault and target == self._names[trial.target]):
            result.false_ejections += 1
            return
        if name not in found:
            found.add(name)
            result.delays_s.append(now - trial.begin_s)
            scope = EjectionScope(target)
            self._detectors[name].set_ejected([scope])

    def _end_trial(self, found: set[str]) -> None:
        for name, detector in self._detectors.items():
            if name not in found:
                self._results[name].delays_s.append(None)
            detector.set_ejected([])


def run_job(job: Job) -> JobResult:
    """Run one job, in a process of its own."""
    scenario = SCENARIOS[job.scenario] if job.scenario is not None else None
    return _Run(job, scenario).run()


def make_jobs(seeds: int, trials: int, hours: float, only: str = "") -> list[Job]:
    """Return all runs, seed by seed, so that a run that is cut short has whole seeds."""
    kinds = [*range(len(SCENARIOS)), None]
    return [
        Job(shape, 100 * seed + (kind or 0), kind, trials, hours, only)
        for seed in range(1, seeds + 1)
        for kind in kinds
        for shape in (ORDERS, LOTBOOK)
    ]


def main(write: Callable[[str], object] = print) -> None:
    """Run all jobs and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--trials", type=int, default=4)
    parser.add_argument("--hours", type=float, default=0.5)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--out", type=Path, default=RESULTS)
    parser.add_argument("--only", default="", help="run the detectors whose names begin so")
    arguments = parser.parse_args()
    jobs = make_jobs(arguments.seeds, arguments.trials, arguments.hours, arguments.only)
    known = json.loads(arguments.out.read_text(encoding="utf-8")) if arguments.only else []
    results: list[JobResult] = []
    with ProcessPoolExecutor(arguments.workers) as pool:
        for result in pool.map(run_job, jobs):
            results.append(result)
            _save(results, known, arguments.out)
            write(f"{len(results)} of {len(jobs)}: {result.service}, {result.scenario}")


def _save(results: list[JobResult], known: list[dict[str, Any]], path: Path) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    rows = [asdict(result) for result in results]
    kept = {_key(row): row for row in known}
    for row in rows:
        old = kept.pop(_key(row), None)
        if old is not None:
            row["detectors"] = old["detectors"] | row["detectors"]
    path.write_text(json.dumps([*rows, *kept.values()], indent=1) + "\n", encoding="utf-8")


def _key(row: dict[str, Any]) -> tuple[str, str, int, float]:
    return row["service"], row["scenario"], row["seed"], row["target_hours"]


if __name__ == "__main__":
    main()
