"""Creates tables and plots of the detection and fan-in measurements.

    python -m bench.plots

reads bench/results/detection.json and fanin.json and writes detection.md, fanin.md,
detection-curve.png and fanin.png to the same directory.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from statistics import mean, median
from typing import Any, Final

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.detection import CURVE_SCENARIOS, FALSE_EJECTIONS_PER_TARGET_DAY  # noqa: E402
from bench.outcomestream import LOTBOOK, ORDERS, ServiceShape  # noqa: E402
from bench.scenarios import SCENARIOS  # noqa: E402

RESULTS: Final = Path(__file__).parent / "results"
SHAPES: Final = (LOTBOOK, ORDERS)
NO_FAULT: Final = "no fault"
MIN_COUNT_SHOWN: Final = 0.5
TARGET_HOURS_PER_UNIT: Final = 1000

Rows = list[dict[str, Any]]


@dataclass(frozen=True)
class Delays:
    """Delays in seconds of one detector in one scenario, by seed; a missed fault is infinite."""

    by_seed: list[list[float]]

    def sorted_delays(self) -> list[float]:
        """Return all delays in ascending order."""
        return sorted(delay for delays in self.by_seed for delay in delays)

    def missed_count(self) -> int:
        """Return the number of trials in which the detector missed the fault."""
        return sum(delay == float("inf") for delay in self.sorted_delays())

    def text(self) -> str:
        """Return the median, the range of the seeds' medians, the 95th percentile, and misses."""
        delays = self.sorted_delays()
        medians = [median(seed) for seed in self.by_seed]
        percentile_95 = delays[min(len(delays) - 1, int(0.95 * len(delays)))]
        text = (
            f"{_format_seconds(median(delays))}"
            f" ({_format_seconds(min(medians))}-{_format_seconds(max(medians))}),"
            f" {_format_seconds(percentile_95)}"
        )
        return f"{text}; missed {self.missed_count()}" if self.missed_count() else text


def _format_seconds(seconds: float) -> str:
    return "never" if seconds == float("inf") else f"{seconds:.1f}"


def _select(rows: Rows, service: str, scenario: str) -> Rows:
    return [r for r in rows if r["service"] == service and r["scenario"] == scenario]


def _delays(rows: Rows, detector: str) -> Delays:
    return Delays(
        [
            [float("inf") if d is None else d for d in row["detectors"][detector]["delays_s"]]
            for row in rows
        ]
    )


def _false_ejections(rows: Rows, detector: str) -> tuple[int, float]:
    """Return the number of false ejections and the observed target-hours."""
    count = sum(row["detectors"][detector]["false_ejections"] for row in rows)
    return count, sum(row["target_hours"] for row in rows)


def detection_tables(rows: Rows) -> str:
    """Return the tables of detection time and of false ejections as Markdown."""
    parts = [part for shape in SHAPES for part in _service_tables(rows, shape)]
    return "\n\n".join(parts) + "\n"


def _service_tables(rows: Rows, shape: ServiceShape) -> Iterable[str]:
    allowed = FALSE_EJECTIONS_PER_TARGET_DAY[shape.name]
    no_fault_rows = _select(rows, shape.name, NO_FAULT)
    names = list(no_fault_rows[0]["detectors"])
    sequential_detector = f"sequential {allowed:g}/day"
    shown = [
        sequential_detector,
        "3 consecutive failures",
        "5 consecutive failures",
        "outlier x3",
        "outlier x5",
    ]
    yield f"### {shape.name}: detection time"
    lines = [
        _table_row(["fault", "bound", "median over bound", *shown]),
        _table_row(["---"] * (3 + len(shown))),
    ]
    for scenario in SCENARIOS:
        if not scenario.must_eject:
            continue
        selected = _select(rows, shape.name, scenario.name)
        bound_s = scenario.bound_s(shape, allowed)
        ratio = median(_delays(selected, sequential_detector).sorted_delays()) / bound_s
        cells = [_delays(selected, name).text() for name in shown]
        lines.append(_table_row([scenario.name, f"{bound_s:.2f}", f"{ratio:.1f}", *cells]))
    yield "\n".join(lines)
    yield f"### {shape.name}: false ejections"
    must_not_eject = [s.name for s in SCENARIOS if not s.must_eject]
    headers = ["detector", "no fault", "per 1,000 target-hours", "by seed", *must_not_eject]
    lines = [_table_row(headers), _table_row(["---"] * len(headers))]
    for name in names:
        count, hours = _false_ejections(no_fault_rows, name)
        counts_by_seed = [row["detectors"][name]["false_ejections"] for row in no_fault_rows]
        cells = [
            f"{count} in {hours:.0f} h",
            f"{TARGET_HOURS_PER_UNIT * count / hours:.0f}",
            str(counts_by_seed),
        ]
        for scenario_name in must_not_eject:
            selected = _select(rows, shape.name, scenario_name)
            is_measured = name in selected[0]["detectors"]
            cells.append(str(_false_ejections(selected, name)[0]) if is_measured else "not run")
        lines.append(_table_row([name, *cells]))
    yield "\n".join(lines)


def _table_row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def plot_curves(rows: Rows, path: Path) -> None:
    """Plot median detection time over the rate of false ejections, one line per detector family."""
    figure, axes = pyplot.subplots(
        len(SHAPES), len(CURVE_SCENARIOS), figsize=(16, 8), sharex=True, squeeze=False
    )
    families = {"sequential": "o-", "consecutive": "s--", "outlier": "^:"}
    for axis_row, shape in zip(axes, SHAPES, strict=True):
        no_fault_rows = _select(rows, shape.name, NO_FAULT)
        for axis, scenario in zip(axis_row, CURVE_SCENARIOS, strict=True):
            selected = _select(rows, shape.name, scenario)
            for family, style in families.items():
                names = [name for name in no_fault_rows[0]["detectors"] if family in name]
                points = [
                    (
                        _false_ejection_rate(no_fault_rows, n),
                        median(_delays(selected, n).sorted_delays()),
                    )
                    for n in names
                ]
                finite = sorted(point for point in points if point[1] != float("inf"))
                axis.plot([x for x, _ in finite], [y for _, y in finite], style, label=family)
            axis.set(title=f"{shape.name}: {scenario}", xscale="log", yscale="log")
            axis.set_ylabel("median detection time, s")
            axis.grid(alpha=0.3)
    for axis in axes[-1]:
        axis.set_xlabel("false ejections per 1,000 target-hours\n(none seen: shown as half a one)")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def _false_ejection_rate(no_fault_rows: Rows, detector: str) -> float:
    count, hours = _false_ejections(no_fault_rows, detector)
    return TARGET_HOURS_PER_UNIT * max(MIN_COUNT_SHOWN, count) / hours


def fan_in_table(rows: Rows) -> str:
    """Return the table of mean waits as Markdown."""
    fan_ins = sorted({row["fan_in"] for row in rows})
    headers = ["service", "load", "chooser", "M/M/c", *(f"fan-in {n}" for n in fan_ins)]
    lines = [_table_row(headers), _table_row(["---"] * len(headers))]
    keys = sorted({(r["service"], r["load"], r["chooser"]) for r in rows})
    for service, load, chooser in keys:
        cells = []
        ideal = 0.0
        for fan_in in fan_ins:
            group_key = (service, load, chooser, fan_in)
            group = [r for r in rows if _group_key(r) == group_key]
            waits = [r["mean_wait"] for r in group]
            ideal = group[0]["ideal_wait"]
            cells.append(f"{mean(waits):.3f} ({min(waits):.3f}-{max(waits):.3f})")
        lines.append(_table_row([service, str(load), chooser, f"{ideal:.4f}", *cells]))
    return "\n".join(lines) + "\n"


def _group_key(row: dict[str, Any]) -> tuple[str, float, str, int]:
    return row["service"], row["load"], row["chooser"], row["fan_in"]


def plot_fan_in(rows: Rows, path: Path) -> None:
    """Plot the mean wait over the fan-in at each service and load."""
    pairs = sorted({(row["service"], row["load"]) for row in rows})
    figure, axes = pyplot.subplots(1, len(pairs), figsize=(16, 4), squeeze=False)
    for axis, (service, load) in zip(axes[0], pairs, strict=True):
        selected = [r for r in rows if (r["service"], r["load"]) == (service, load)]
        fan_ins = sorted({row["fan_in"] for row in selected})
        for chooser in dict.fromkeys(row["chooser"] for row in selected):
            waits = [
                mean(
                    r["mean_wait"] for r in selected if (r["chooser"], r["fan_in"]) == (chooser, n)
                )
                for n in fan_ins
            ]
            axis.plot(fan_ins, waits, "o-", label=chooser)
        axis.axhline(selected[0]["ideal_wait"], linestyle=":", color="black", label="M/M/c")
        axis.set(title=f"{service}, load {load}", xscale="log", xlabel="fan-in")
        axis.set_ylabel("mean wait, service times")
        axis.set_xticks(fan_ins, [str(n) for n in fan_ins])
        axis.grid(alpha=0.3)
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> None:
    """Create the tables and plots for each result file that exists."""
    detection, fan_in = RESULTS / "detection.json", RESULTS / "fanin.json"
    if detection.exists():
        rows = json.loads(detection.read_text(encoding="utf-8"))
        (RESULTS / "detection.md").write_text(detection_tables(rows), encoding="utf-8")
        plot_curves(rows, RESULTS / "detection-curve.png")
    if fan_in.exists():
        rows = json.loads(fan_in.read_text(encoding="utf-8"))
        (RESULTS / "fanin.md").write_text(fan_in_table(rows), encoding="utf-8")
        plot_fan_in(rows, RESULTS / "fanin.png")


if __name__ == "__main__":
    main()
