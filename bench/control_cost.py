"""Measures the cost of the control plane per node, and how fast a configuration spreads.

    python -m bench.control_cost [--sizes 10 20 40] [--window-s 20] [--changes 5]

For each size, starts a stand-in platform and that number of metered agents.  This process runs a
stand-in proxy for each agent, which reports evidence as a real proxy does.  Once every node knows
all members, the bench reads the agents' counters at both ends of a time window.  It then accepts
changes and records when each proxy receives them.  Writes JSON and a table into bench/results/.
"""

import argparse
import json
import os
import platform
import signal
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import tomli_w
from toucanspindle_core.assignment import assign
from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.control_pb2 import LIVE, EvidenceReport, LatencyBin, Member, TargetEvidence
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.platformclient import PlatformClient
from toucanspindle_core.processsettings import ProcessSettings
from toucanspindle_standins.httpcall import get_json
from toucanspindle_standins.processes import AddressPool, ManagedProcess, wait_until

from tests.agentfleet import DOMAINS, FakeProxy, LoopThread
from tests.configfakes import fleet_config

RESULTS: Final = Path(__file__).parent / "results"
JOIN_LIMIT_S: Final = 120.0
SPREAD_LIMIT_S: Final = 30.0
SETTLE_S: Final = 5.0
LATENCY_BINS: Final = 8
FAN_IN: Final = 4
BYTES_PER_KB: Final = 1000


class MeteredNode:
    """A metered agent and its stand-in proxy."""

    def __init__(self, settings: ProcessSettings, folder: Path, loop: LoopThread) -> None:
        """Write the agent's settings to `folder` and prepare both parts; starts nothing."""
        self.snapshot_path = folder / f"{settings.node}.json"
        path = folder / f"{settings.node}.toml"
        path.write_text(tomli_w.dumps(settings.model_dump(exclude_none=True)), encoding="utf-8")
        argv = ["bench.agentmeter", str(path), str(self.snapshot_path)]
        self.process = ManagedProcess(settings.node, argv, folder)
        self.proxy = FakeProxy(settings, loop)
        self._address = HostPort.parse(settings.agent_address)

    def start(self) -> None:
        """Start the agent, wait until it listens, then start the stand-in proxy."""
        self.process.start(self._address)
        self.proxy.start()

    def live_member_count(self) -> int:
        """Return the number of live members in the latest state that the proxy received."""
        return sum(state == LIVE for state in self.proxy.member_states().values())

    def snapshot(self) -> dict[str, float]:
        """Make the agent write its counters, and return them."""
        self.snapshot_path.unlink(missing_ok=True)
        os.kill(self.process.pid, signal.SIGUSR1)
        wait_until(self.snapshot_path.exists, what="the snapshot is written")
        values: dict[str, float] = json.loads(self.snapshot_path.read_text(encoding="ascii"))
        return values


def make_evidence(proxy: FakeProxy, members: list[Member]) -> list[EvidenceReport]:
    """Return evidence as a proxy reports it: each target of its services, one stratum."""
    bins = [LatencyBin(index=i, count=i + 1) for i in range(LATENCY_BINS)]
    return [
        EvidenceReport(
            service=service.name,
            observer=proxy.member.incarnation,
            failure_domain=proxy.member.failure_domain,
            targets=[
                TargetEvidence(target=t.name, operation="lookup", succeeded=36, latency=bins)
                for t in service.targets
            ],
        )
        for service in fleet_config().services
        if proxy.member in assign(service.name, members, FAN_IN)
    ]


def measure(size: int, window_s: float, changes: int) -> dict[str, Any]:
    """Run a fleet of `size` nodes and return its measurements."""
    with tempfile.TemporaryDirectory(prefix="toucanspindle-bench-") as name:
        folder = Path(name)
        addresses = AddressPool()
        loop = LoopThread()
        platform_address = addresses.allocate()
        argv = ["toucanspindle_standins.main", "platform", "--address", str(platform_address)]
        platform_process = ManagedProcess("platform", argv, folder)
        nodes: list[MeteredNode] = []
        try:
            platform_process.start(platform_address)
            return _measure_fleet(
                size,
                window_s,
                changes,
                nodes,
                _Environment(folder, addresses, loop, platform_address),
            )
        finally:
            for node in nodes:
                node.proxy.close()
                node.process.close()
            platform_process.close()
            loop.close()


class _Environment:
    """Folder, addresses, event loop and platform address of one fleet."""

    def __init__(
        self, folder: Path, addresses: AddressPool, loop: LoopThread, platform_address: HostPort
    ) -> None:
        self.folder = folder
        self.addresses = addresses
        self.loop = loop
        self.platform_address = platform_address


def _measure_fleet(
    size: int, window_s: float, changes: int, nodes: list[MeteredNode], environment: _Environment
) -> dict[str, Any]:
    client = PlatformClient(f"http://{environment.platform_address}")
    store = ConfigStore(client)
    store.accept(fleet_config(deadline_ms=2000), "bench", "the first configuration", 0)
    seeds: list[str] = []
    for index in range(size):
        settings = _make_settings(index, seeds, environment)
        seeds = [*seeds, settings.agent_address][:4]
        node = MeteredNode(settings, environment.folder, environment.loop)
        nodes.append(node)
        node.start()
    members = [node.proxy.member for node in nodes]
    for node in nodes:
        node.proxy.report.evidence.extend(make_evidence(node.proxy, members))
    for node in nodes:
        wait_until(
            lambda n=node: n.live_member_count() >= size,  # type: ignore[misc]
            JOIN_LIMIT_S,
            "every node knows all members",
        )
    time.sleep(SETTLE_S)
    measurements = _measure_window(nodes, window_s, environment)
    spread_times_by_change = [_measure_spread(store, nodes, g) for g in range(2, 2 + changes)]
    all_times = [t for times in spread_times_by_change for t in times]
    measurements |= {
        "size": size,
        "spread_p50_s": statistics.median(all_times),
        "spread_max_s": max(all_times),
        "spread_max_by_change_s": [max(times) for times in spread_times_by_change],
    }
    client.close()
    return measurements


def _make_settings(index: int, seeds: list[str], environment: _Environment) -> ProcessSettings:
    names = ("entry", "proxy_control", "agent", "proxy_link", "metrics")
    values: dict[str, Any] = {f"{n}_address": str(environment.addresses.allocate()) for n in names}
    values |= {
        "node": f"entry-{index}",
        "failure_domain": DOMAINS[index % len(DOMAINS)],
        "platform_url": f"http://{environment.platform_address}",
        "seed_agents": seeds,
    }
    return ProcessSettings.model_validate(values)


def _measure_window(
    nodes: list[MeteredNode], window_s: float, environment: _Environment
) -> dict[str, Any]:
    calls_before = get_json(environment.platform_address, "/admin/calls")
    before = [node.snapshot() for node in nodes]
    time.sleep(window_s)
    after = [node.snapshot() for node in nodes]
    calls_after = get_json(environment.platform_address, "/admin/calls")
    rates = [_rates_between(*pair) for pair in zip(before, after, strict=True)]
    measurements: dict[str, Any] = {
        "window_s": window_s,
        "platform_reads_per_s": (calls_after["reads"] - calls_before["reads"]) / window_s,
        "waiting_watches": calls_after["waiting_watches"],
    }
    for key in rates[0]:
        values = [rate[key] for rate in rates]
        measurements[f"{key}_mean"] = statistics.fmean(values)
        measurements[f"{key}_max"] = max(values)
    return measurements


def _rates_between(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    elapsed_s = after["at_s"] - before["at_s"]

    def rate_of(key: str) -> float:
        return (after[key] - before[key]) / elapsed_s

    return {
        "cpu_percent": 100 * rate_of("cpu_s"),
        "rss_mb": after["rss_bytes"] / 1e6,
        "sent_kb_per_s": rate_of("peer_sent") / BYTES_PER_KB,
        "received_kb_per_s": rate_of("peer_received") / BYTES_PER_KB,
        "platform_kb_per_s": rate_of("platform_received") / BYTES_PER_KB,
        "proxy_kb_per_s": rate_of("proxy_sent") / BYTES_PER_KB,
        "connections_per_s": rate_of("connections"),
    }


def _measure_spread(store: ConfigStore, nodes: list[MeteredNode], generation: int) -> list[float]:
    config = fleet_config(deadline_ms=2000 + generation)
    store.accept(config, "bench", "a change to measure its spread", generation - 1)
    accepted_at = time.monotonic()
    for node in nodes:
        wait_until(
            lambda n=node: generation in n.proxy.generation_received_at_s,  # type: ignore[misc]
            SPREAD_LIMIT_S,
            f"generation {generation} at every proxy",
        )
    return [max(0.0, n.proxy.generation_received_at_s[generation] - accepted_at) for n in nodes]


COLUMNS: Final = {
    "size": "nodes",
    "cpu_percent_mean": "CPU % of a core, mean",
    "cpu_percent_max": "max",
    "rss_mb_max": "RSS MB, max",
    "sent_kb_per_s_mean": "sent KB/s, mean",
    "sent_kb_per_s_max": "max",
    "received_kb_per_s_mean": "received KB/s, mean",
    "platform_kb_per_s_max": "platform KB/s, max",
    "platform_reads_per_s": "platform reads/s, fleet",
    "spread_p50_s": "spread p50 s",
    "spread_max_s": "spread max s",
}


def format_table(results: list[dict[str, Any]]) -> str:
    """Return the measurements as a Markdown table."""
    lines = ["| " + " | ".join(COLUMNS.values()) + " |", "|---" * len(COLUMNS) + "|"]
    for result in results:
        cells = [f"{result[key]:.2f}" if key != "size" else str(result[key]) for key in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Measure each size, write the results and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 20, 40])
    parser.add_argument("--window-s", type=float, default=20.0)
    parser.add_argument("--changes", type=int, default=5)
    parser.add_argument("--name", default="control_cost")
    options = parser.parse_args()
    results = [measure(size, options.window_s, options.changes) for size in options.sizes]
    RESULTS.mkdir(exist_ok=True)
    machine = {"cores": os.cpu_count(), "python": platform.python_version()}
    values = {"machine": machine, "results": results}
    path = RESULTS / f"{options.name}.json"
    path.write_text(json.dumps(values, indent=2) + "\n", encoding="utf-8")
    table = format_table(results)
    path.with_suffix(".md").write_text(table, encoding="utf-8")
    print(table)


if __name__ == "__main__":
    main()
