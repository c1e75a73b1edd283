"""Measures the latency that the fleet adds to a request, and the goodput beyond capacity.

    python -m bench.datapath latency [--seeds 1 2 3 4 5] [--rates 50 100 220 440] [--seconds 8]
    python -m bench.datapath goodput [--seeds 1 2 3 4 5] [--seconds 8]

The node processes are real; the stand-in targets and the load generator run in processes of their
own.

`latency`: one node receives all the load.  Each request through the node is paired with a request
sent directly to a target in the same run.  That target serves no requests of the node, and all
targets have spare slots, so that neither side waits for the other.

`goodput`: three nodes send to four targets at 0.5, 1, 2 and 3 times the targets' capacity.  Goodput
is the number of answers divided by the time from the start of the first run to the end of the last.
Work amplification is the number of runs at the targets divided by the number of answers.

Results are written into bench/results/ as JSON and as a table.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.fleet import Fleet, FleetOptions
from toucanspindle_standins.processes import AddressPool
from toucanspindle_standins.smallfleet import small_fleet

RESULTS: Final = Path(__file__).parent / "results"
SERVICE: Final = "lotbook"
DIRECT_SERVICE: Final = "direct"
LATENCY_SERVICE_MS: Final = 5
LATENCY_SLOTS: Final = 16
LATENCY_TARGETS: Final = 8
DIRECT_TARGETS: Final = 4
GOODPUT_SERVICE_MS: Final = 40
GOODPUT_SLOTS: Final = 2
GOODPUT_TARGETS: Final = 4
GOODPUT_NODES: Final = 3
CAPACITY_PER_S: Final = GOODPUT_TARGETS * GOODPUT_SLOTS * 1000 / GOODPUT_SERVICE_MS
LOADS: Final = (0.5, 1.0, 2.0, 3.0)
UNLIMITED_REQUESTS_PER_S: Final = 1_000_000
CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class LatencyRow:
    """Result of one run, in milliseconds; `added` is the time through the fleet minus direct."""

    rate_per_s: int
    seed: int
    direct_p50: float
    direct_p99: float
    added_p50: float
    added_p99: float
    added_p99_9: float
    paired_median: float
    proxy_cpu_us_per_request: float
    failed: int


@dataclass(frozen=True)
class GoodputRow:
    """Result of one run; `p99_ms` is the p99 latency of answered requests at the worst node."""

    load: float
    seed: int
    offered_per_s: float
    goodput_per_s: float
    p99_ms: float
    amplification: float


def measure_latency(rates: Sequence[int], seeds: Sequence[int], seconds: float) -> list[LatencyRow]:
    """Measure each rate with each seed through one node of a two-node fleet."""
    target_options = {"service_ms": LATENCY_SERVICE_MS, "slots": LATENCY_SLOTS}
    options = FleetOptions(node_count=2, target_options=target_options)
    with tempfile.TemporaryDirectory() as folder:
        fleet = _start_fleet(
            {SERVICE: LATENCY_TARGETS, DIRECT_SERVICE: DIRECT_TARGETS}, options, Path(folder)
        )
        try:
            return [_latency_row(fleet, rate, seed, seconds) for rate in rates for seed in seeds]
        finally:
            fleet.close()


def measure_goodput(seeds: Sequence[int], seconds: float) -> list[GoodputRow]:
    """Measure each load with each seed, each on a new fleet."""
    rows = []
    for load in LOADS:
        for seed in seeds:
            with tempfile.TemporaryDirectory() as folder:
                rows.append(_goodput_row(Path(folder), load, seed, seconds))
    return rows


def _start_fleet(
    targets: dict[str, int], options: FleetOptions, folder: Path, **defaults: Any
) -> Fleet:
    addresses = AddressPool()
    defaults = {"account_requests_per_s": UNLIMITED_REQUESTS_PER_S} | defaults
    fleet = Fleet(small_fleet(addresses, targets, **defaults), folder, addresses, options)
    fleet.start()
    return fleet


def _latency_row(fleet: Fleet, rate: int, seed: int, seconds: float) -> LatencyRow:
    node = fleet.nodes[0]
    target = fleet.targets[f"{DIRECT_SERVICE}-1"]
    cpu_before = _process_cpu_s(node.proxy.pid)
    report = _run_load(node.entry, rate, seed, seconds, "--paired-direct", str(target.bind_address))
    cpu_s = _process_cpu_s(node.proxy.pid) - cpu_before
    via_fleet, direct, added = report["through"], report["direct"], report["added"]
    return LatencyRow(
        rate,
        seed,
        direct["p50_ms"],
        direct["p99_ms"],
        added["p50_ms"],
        added["p99_ms"],
        added["p99_9_ms"],
        added["paired_median_ms"],
        round(cpu_s / via_fleet["sent"] * 1e6),
        via_fleet["sent"] - via_fleet["succeeded"],
    )


def _goodput_row(folder: Path, load: float, seed: int, seconds: float) -> GoodputRow:
    options = FleetOptions(
        node_count=GOODPUT_NODES,
        target_options={"service_ms": GOODPUT_SERVICE_MS, "slots": GOODPUT_SLOTS},
    )
    fleet = _start_fleet(
        {SERVICE: GOODPUT_TARGETS},
        options,
        folder,
        slots_per_target=GOODPUT_SLOTS,
        deadline_ms=1000,
    )
    try:
        rate = load * CAPACITY_PER_S / GOODPUT_NODES
        load_processes = [
            _spawn_load(n.entry, rate, seed + i, seconds) for i, n in enumerate(fleet.nodes)
        ]
        reports = [_finish_load(process) for process in load_processes]
        time.sleep(1.0)  # The last dispatched requests still have to reach the run logs.
        answered = sum(report["through"]["succeeded"] for report in reports)
        all_runs = fleet.all_runs()
        elapsed_s = max(r.finished for r in all_runs) - min(r.started for r in all_runs)
        return GoodputRow(
            load,
            seed,
            round(load * CAPACITY_PER_S, 1),
            round(answered / elapsed_s, 1),
            max(report["through"]["p99_ms"] for report in reports),
            round(len(all_runs) / max(1, answered), 3),
        )
    finally:
        fleet.close()


def _run_load(
    entry_address: HostPort, rate: float, seed: int, seconds: float, *extra_args: str
) -> Any:
    return _finish_load(_spawn_load(entry_address, rate, seed, seconds, *extra_args))


def _spawn_load(
    entry_address: HostPort, rate: float, seed: int, seconds: float, *extra_args: str
) -> "subprocess.Popen[str]":
    argv = [sys.executable, "-m", "toucanspindle_standins.main", "load", "--to", str(entry_address)]
    argv += ["--path", f"/{SERVICE}/1", "--rate", str(rate), "--seconds", str(seconds)]
    argv += ["--seed", str(seed), *extra_args]
    return subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)


def _finish_load(process: "subprocess.Popen[str]") -> Any:
    output, _ = process.communicate()
    return json.loads(output)


def _process_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _write_results(name: str, rows: Sequence[LatencyRow | GoodputRow], key_column: str) -> None:
    values = [asdict(row) for row in rows]
    RESULTS.joinpath(f"{name}.json").write_text(json.dumps(values, indent=1), encoding="utf-8")
    columns = [column for column in values[0] if column not in {key_column, "seed"}]
    lines = [f"| {key_column} | " + " | ".join(columns) + " |", "|---" * (len(columns) + 1) + "|"]
    for key in dict.fromkeys(value[key_column] for value in values):
        group = [value for value in values if value[key_column] == key]
        cells = [_median_and_range([value[column] for value in group]) for column in columns]
        lines.append(f"| {key} | " + " | ".join(cells) + " |")
    text = "\n".join([f"Median (minimum to maximum) over {len(group)} seeds.", "", *lines, ""])
    RESULTS.joinpath(f"{name}.md").write_text(text, encoding="utf-8")
    print(text)


def _median_and_range(values: Sequence[float]) -> str:
    return f"{statistics.median(values):.4g} ({min(values):.4g} to {max(values):.4g})"


def main() -> None:
    """Run the measurement selected on the command line."""
    parser = argparse.ArgumentParser(description="Measure the data path.")
    parser.add_argument("what", choices=["latency", "goodput"])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3, 4, 5])
    parser.add_argument("--rates", type=int, nargs="+", default=[50, 100, 220, 440])
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    if options.what == "latency":
        rows = measure_latency(options.rates, options.seeds, options.seconds)
        _write_results("latency", rows, "rate_per_s")
    else:
        _write_results("goodput", measure_goodput(options.seeds, options.seconds), "load")


if __name__ == "__main__":
    main()
