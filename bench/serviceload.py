"""Plays services under load in the emulator, and writes tables and a plot.

    python -m bench.serviceload --seeds 4 --seconds 40 --workers 3

writes serviceload.json, .md and .png to bench/results/: mean wait for a slot against
an ideal single queue (no spells, exponential work), and goodput, failures and refusals against load
with spells, for each way to spread requests.
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
SPREADS: Final = ("blind", "told", "broker")
# Sizes and times of the users' services at a quiet hour; the rate is set by the load.
SERVICES: Final = (
    ServiceShape("reservedesk", 10, 4, 0.32, 27.0, 1.5, 5.0, idempotent=False),
    ServiceShape("orders", 11, 2, 0.16, 43.3, 0.6, 4.0, idempotent=False),
    ServiceShape("dispatch", 8, 2, 0.39, 11.6, 1.0, 6.0, idempotent=True),
)
IDEAL_LOADS: Final = (0.6, 0.8, 0.95)
# Of the slots of all targets, of which 0.7 are well at a time.
SPELL_LOADS: Final = (0.25, 0.5, 0.7, 1.4, 2.1)
NO_LIMIT_S: Final = 1e6  # A goal and deadline that never refuse, to compare waits alone.


@dataclass(frozen=True)
class Case:
    """One service at one load with one way to spread requests; `spells` tells whether any fail."""

    shape: ServiceShape
    load: float
    spread: str
    spells: bool


def cases() -> list[Case]:
    """Return all cases."""
    ideal = [Case(s, load, way, False) for s in SERVICES for load in IDEAL_LOADS for way in SPREADS]
    spells = [Case(s, load, way, True) for s in SERVICES for load in SPELL_LOADS for way in SPREADS]
    return ideal + spells


def shape_of(case: Case) -> ServiceShape:
    """Return the service of a case at its load."""
    shape = case.shape
    shape = replace(shape, rate=case.load * shape.targets * shape.slots / shape.work_s)
    if case.spells:
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


def play(job: tuple[Case, int, float]) -> dict[str, Any]:
    """Play one case with one seed; times in seconds, rates in requests a second."""
    case, seed, seconds = job
    shape = shape_of(case)
    seen = Emulator(shape, seed, case.spread).run(seconds)
    return {
        "service": shape.name,
        "load": case.load,
        "spread": case.spread,
        "spells": case.spells,
        "seed": seed,
        "asked": seen.asked,
        "goodput_per_s": seen.in_goal / seconds,
        "late": seen.late,
        "failed": seen.failed,
        "refused": seen.refused,
        "attempts": seen.attempts,
        "wait_s": seen.mean_wait_s,
        "ideal_wait_s": (
            None
            if case.spells
            else shape.work_s * ideal_wait(shape.targets * shape.slots, case.load)
        ),
    }


def tables(rows: list[dict[str, Any]]) -> str:
    """Return the tables in Markdown: means over the seeds (least and greatest)."""
    lines = [
        "### Mean wait for a slot, ms",
        "",
        "| service | load | M/M/c | blind | told | broker |",
    ]
    lines.append("|---|---|---|---|---|---|")
    for shape in SERVICES:
        for load in IDEAL_LOADS:
            found = _by_spread(rows, shape.name, load, False)
            ideal = found["broker"][0]["ideal_wait_s"]
            cells = [_span([1000 * row["wait_s"] for row in found[way]]) for way in SPREADS]
            lines.append(f"| {shape.name} | {load} | {1000 * ideal:.1f} | {' | '.join(cells)} |")
    lines += ["", "### With spells: goodput a second; share failed; share refused", ""]
    lines += ["| service | load | blind | told | broker |", "|---|---|---|---|---|"]
    for shape in SERVICES:
        for load in SPELL_LOADS:
            found = _by_spread(rows, shape.name, load, True)
            cells = [_outcome(found[way]) for way in SPREADS]
            lines.append(f"| {shape.name} | {load} | {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def plot(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw goodput against load for each service."""
    figure, panes = pyplot.subplots(1, len(SERVICES), figsize=(12, 4))
    for pane, shape in zip(panes, SERVICES, strict=True):
        for way in SPREADS:
            points = [
                _mean(row["goodput_per_s"] for row in _by_spread(rows, shape.name, load, True)[way])
                for load in SPELL_LOADS
            ]
            pane.plot(SPELL_LOADS, points, marker="o", label=way)
        pane.set_title(shape.name)
        pane.set_xlabel("offered work / slots")
        pane.set_ylabel("answers within the goal, 1/s")
        pane.legend()
    figure.tight_layout()
    figure.savefig(path)


def _by_spread(
    rows: list[dict[str, Any]], service: str, load: float, spells: bool
) -> dict[str, list[dict[str, Any]]]:
    chosen = [r for r in rows if (r["service"], r["load"], r["spells"]) == (service, load, spells)]
    return {way: [row for row in chosen if row["spread"] == way] for way in SPREADS}


def _outcome(rows: list[dict[str, Any]]) -> str:
    asked = sum(row["asked"] for row in rows)
    goodput = _mean(row["goodput_per_s"] for row in rows)
    failed = sum(row["failed"] for row in rows) / asked
    refused = sum(row["refused"] for row in rows) / asked
    return f"{goodput:.1f}; {failed:.3f}; {refused:.3f}"


def _span(values: list[float]) -> str:
    return f"{_mean(values):.1f} ({min(values):.1f}-{max(values):.1f})"


def _mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found)


def main() -> None:
    """Play all cases and write the results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--workers", type=int, default=3)
    options = parser.parse_args()
    jobs = [(case, seed, options.seconds) for case in cases() for seed in range(options.seeds)]
    with ProcessPoolExecutor(options.workers) as pool:
        rows = list(pool.map(play, jobs))
    settings = {"seeds": options.seeds, "seconds": options.seconds}
    shapes = [asdict(shape) for shape in SERVICES]
    (RESULTS / "serviceload.json").write_text(
        json.dumps({"settings": settings, "services": shapes, "rows": rows}, indent=1) + "\n"
    )
    (RESULTS / "serviceload.md").write_text(tables(rows))
    plot(rows, RESULTS / "serviceload.png")


if __name__ == "__main__":
    main()
