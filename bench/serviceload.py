"""Simulates services under load in the emulator, and writes tables and a plot.

    python -m bench.serviceload --seeds 4 --seconds 40 --workers 3

writes serviceload.json, .md and .png to bench/results/.  For each policy they show the mean wait
for a slot compared with an ideal single queue (no failures, exponential work times), and the
goodput, failures and refusals by load with failure episodes.
"""

import argparse
import json
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any, Final

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.fanin import ideal_wait  # noqa: E402
from bench.serviceemulator import Emulator, ServiceShape  # noqa: E402

RESULTS: Final = Path(__file__).parent / "results"
POLICIES: Final = ("blind", "told", "broker")
# Sizes and times of the users' services at low load; `shape_of` replaces the rate.
SERVICES: Final = (
    ServiceShape("reservedesk", 10, 4, 0.32, 27.0, 1.5, 5.0, idempotent=False),
    ServiceShape("orders", 11, 2, 0.16, 43.3, 0.6, 4.0, idempotent=False),
    ServiceShape("dispatch", 8, 2, 0.39, 11.6, 1.0, 6.0, idempotent=True),
)
IDEAL_LOADS: Final = (0.6, 0.8, 0.95)
# Offered work as a share of all slots; 0.7 of the targets are healthy at any time.
FAILURE_LOADS: Final = (0.25, 0.5, 0.7, 1.4, 2.1)
NO_LIMIT_S: Final = 1e6  # Goal and deadline that never refuse a request, to compare waits only.


@dataclass(frozen=True)
class Case:
    """One service at one load with one policy; `with_failures` enables failure episodes."""

    shape: ServiceShape
    load: float
    policy: str
    with_failures: bool


def all_cases() -> list[Case]:
    """Return the cases without failures, then those with failure episodes."""
    ideal = [
        Case(shape, load, policy, False)
        for shape in SERVICES
        for load in IDEAL_LOADS
        for policy in POLICIES
    ]
    failing = [
        Case(shape, load, policy, True)
        for shape in SERVICES
        for load in FAILURE_LOADS
        for policy in POLICIES
    ]
    return ideal + failing


def shape_of(case: Case) -> ServiceShape:
    """Return the service of a case, with the arrival rate that gives the load."""
    shape = case.shape
    shape = replace(shape, rate=case.load * shape.targets * shape.slots / shape.work_s)
    if case.with_failures:
        return shape
    return replace(
        shape,
        spread=None,
        error_share=0.0,
        sick_share=0.0,
        goal_s=NO_LIMIT_S,
        deadline_s=NO_LIMIT_S,
        target_queue=10_000,
    )


def run_case(job: tuple[Case, int, float]) -> dict[str, Any]:
    """Simulate one case with one seed; return a row of times in s and rates in requests per s."""
    case, seed, seconds = job
    shape = shape_of(case)
    result = Emulator(shape, seed, case.policy).run(seconds)
    return {
        "service": shape.name,
        "load": case.load,
        "spread": case.policy,
        "spells": case.with_failures,
        "seed": seed,
        "asked": result.total_requests,
        "goodput_per_s": result.within_goal / seconds,
        "late": result.late,
        "failed": result.failed,
        "refused": result.refused,
        "attempts": result.attempts,
        "wait_s": result.mean_wait_s,
        "ideal_wait_s": (
            None
            if case.with_failures
            else shape.work_s * ideal_wait(shape.targets * shape.slots, case.load)
        ),
    }


def tables(rows: list[dict[str, Any]]) -> str:
    """Return Markdown tables of the means over all seeds, with minimum and maximum."""
    lines = [
        "### Mean wait for a slot, ms",
        "",
        "| service | load | M/M/c | blind | told | broker |",
    ]
    lines.append("|---|---|---|---|---|---|")
    for shape in SERVICES:
        for load in IDEAL_LOADS:
            found = _rows_by_policy(rows, shape.name, load, False)
            ideal = found["broker"][0]["ideal_wait_s"]
            cells = [
                _format_range([1000 * row["wait_s"] for row in found[policy]])
                for policy in POLICIES
            ]
            lines.append(f"| {shape.name} | {load} | {1000 * ideal:.1f} | {' | '.join(cells)} |")
    lines += ["", "### With spells: goodput a second; share failed; share refused", ""]
    lines += ["| service | load | blind | told | broker |", "|---|---|---|---|---|"]
    for shape in SERVICES:
        for load in FAILURE_LOADS:
            found = _rows_by_policy(rows, shape.name, load, True)
            cells = [_format_outcome(found[policy]) for policy in POLICIES]
            lines.append(f"| {shape.name} | {load} | {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def plot(rows: list[dict[str, Any]], path: Path) -> None:
    """Write a plot of goodput by load, one panel for each service, to `path`."""
    figure, axes = pyplot.subplots(1, len(SERVICES), figsize=(12, 4))
    for axis, shape in zip(axes, SERVICES, strict=True):
        for policy in POLICIES:
            points = [
                _mean(
                    row["goodput_per_s"]
                    for row in _rows_by_policy(rows, shape.name, load, True)[policy]
                )
                for load in FAILURE_LOADS
            ]
            axis.plot(FAILURE_LOADS, points, marker="o", label=policy)
        axis.set_title(shape.name)
        axis.set_xlabel("offered work / slots")
        axis.set_ylabel("answers within the goal, 1/s")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path)


def _rows_by_policy(
    rows: list[dict[str, Any]], service: str, load: float, with_failures: bool
) -> dict[str, list[dict[str, Any]]]:
    chosen = [
        row
        for row in rows
        if (row["service"], row["load"], row["spells"]) == (service, load, with_failures)
    ]
    return {policy: [row for row in chosen if row["spread"] == policy] for policy in POLICIES}


def _format_outcome(rows: list[dict[str, Any]]) -> str:
    asked = sum(row["asked"] for row in rows)
    goodput = _mean(row["goodput_per_s"] for row in rows)
    failed = sum(row["failed"] for row in rows) / asked
    refused = sum(row["refused"] for row in rows) / asked
    return f"{goodput:.1f}; {failed:.3f}; {refused:.3f}"


def _format_range(values: list[float]) -> str:
    return f"{_mean(values):.1f} ({min(values):.1f}-{max(values):.1f})"


def _mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found)


def main() -> None:
    """Run all cases with all seeds and write the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--workers", type=int, default=3)
    options = parser.parse_args()
    jobs = [(case, seed, options.seconds) for case in all_cases() for seed in range(options.seeds)]
    with ProcessPoolExecutor(options.workers) as pool:
        rows = list(pool.map(run_case, jobs))
    settings = {"seeds": options.seeds, "seconds": options.seconds}
    shapes = [asdict(shape) for shape in SERVICES]
    (RESULTS / "serviceload.json").write_text(
        json.dumps({"settings": settings, "services": shapes, "rows": rows}, indent=1) + "\n"
    )
    (RESULTS / "serviceload.md").write_text(tables(rows))
    plot(rows, RESULTS / "serviceload.png")


if __name__ == "__main__":
    main()
