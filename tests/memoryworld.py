"""Peak resident memory of an entry process whose peers make it hold as much as they can.

In each scenario peers of `memorypeers` are busy for some seconds.  Meanwhile another caller sends
small requests, whose statuses are counted.  By hand, `python -m tests.memoryworld [CONNECTIONS
[SCENARIO ...]]` prints a line for each scenario.
"""

import os
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.processes import AddressPool, ManagedProcess, wait_until

from deployedfleet import HOST_NAME, SERVICE, DeployedFleet
from tests.memorypeers import ENDLESS_ANSWERS

MEMORY_LIMIT_MB: Final = 300  # Of an entry process on the users' platform.
MAX_BODY_BYTES: Final = 64 * 2**20
STOP_AT_MB: Final = 1000  # Ends a scenario, to spare this machine.
BEGIN_S: Final = 1.0  # Until the peers have begun.
FAULTY_SERVICE: Final = "faulty"
REPOSITORY: Final = Path(__file__).resolve().parent.parent

CALLER_SCENARIOS: Final = (
    "upload",
    "chunks",
    "trailers",
    "extension",
    "heads",
    "tiny_requests",
)
STORE_SCENARIOS: Final = ("head", "body", "tiny-chunks", "trailers", "interim")
SCENARIOS: Final = (
    *CALLER_SCENARIOS,
    "ready-upload",
    "datagrams",
    *(f"target-{name}" for name in ENDLESS_ANSWERS if name not in {"large", "nothing"}),
    "slow_readers",
    *(f"store-{name}" for name in STORE_SCENARIOS),
)


@dataclass
class MemoryReport:
    """The peak resident memory of the process, and what another caller was answered meanwhile."""

    peak_mb: float = 0.0
    statuses: Counter[int] = field(default_factory=Counter)
    slowest_s: float = 0.0


class MemoryWorld:
    """An entry process, its sound targets, and faulty peers; call `close` to stop them."""

    def __init__(self, folder: Path) -> None:
        """Create a fleet of one entry process."""
        self._folder = folder
        self._fleet = DeployedFleet(folder, hosts=1, targets=4)
        self._peers: list[ManagedProcess] = []

    def start(self) -> None:
        """Start the fleet with a large limit for bodies."""
        self._fleet.start()
        self._put_plan(2)
        wait_until(lambda: "version=2" in self._fleet.log(0), what="version 2 is in force")

    def close(self) -> None:
        """Stop everything."""
        for peer in self._peers:
            peer.close()
        self._fleet.close()

    @property
    def caller_address(self) -> HostPort:
        """The address at which the process serves callers."""
        return self._fleet.caller_address(0)

    def play(self, scenario: str, connections: int, duration_s: float) -> MemoryReport:
        """Run the peers of a scenario beside another caller."""
        kind, _, name = scenario.partition("-")
        callers = self._fleet.caller_address(0)
        if kind == "target":
            self._add_target(name)
            self._call("ask_faulty", callers, connections)
        elif kind == "store":
            self._fleet.run_in_loop(self._fleet.store.close())
            self._answer(name, self._fleet.store.address)
        elif scenario == "slow_readers":
            self._add_target("large")
            self._call(scenario, callers, connections)
        elif scenario == "ready-upload":
            self._call("upload", self._fleet.ready_address(0), connections)
        elif scenario == "datagrams":
            address = HostPort(self._fleet.ips[0], self._fleet.peer_port)
            self._call(scenario, address, connections)
        else:
            if scenario == "heads":
                self._add_target("nothing")
            self._call(scenario, callers, connections)
        time.sleep(BEGIN_S)
        report = MemoryReport()
        end_at = time.monotonic() + duration_s
        while time.monotonic() < end_at and self._peak_mb() < STOP_AT_MB:
            self._send_small_request(report)
            time.sleep(0.05)
        report.peak_mb = self._peak_mb()
        return report

    def _answer(self, scenario: str, address: HostPort) -> None:
        self._start_peer(["answer", scenario, str(address)], ready_at=address)

    def _call(self, scenario: str, address: HostPort, connections: int) -> None:
        self._start_peer(["call", scenario, str(address), str(connections)])

    def _start_peer(self, arguments: list[str], ready_at: HostPort | None = None) -> None:
        paths = [str(REPOSITORY), os.environ.get("PYTHONPATH", ""), *sys.path]
        variables = {"PYTHONPATH": os.pathsep.join(filter(None, paths))}
        peer = ManagedProcess(
            f"peer{len(self._peers)}", ["tests.memorypeers", *arguments], self._folder, variables
        )
        self._peers.append(peer)
        peer.start(ready_at)

    def _add_target(self, scenario: str) -> None:
        """Register a faulty target as the only one of its service."""
        address = AddressPool().allocate()
        self._answer(scenario, address)
        entry = self._fleet.targets[0].entry() | {"Address": str(address)}
        entry["Info"] = entry["Info"] | {"Service": FAULTY_SERVICE, "MaxConcurrency": 1000}
        self._fleet.call_in_loop(lambda: self._fleet.store.put("servers", "faulty", entry))
        wait_until(
            lambda: "target_joined target=faulty" in self._fleet.log(0),
            what="the process knows the faulty target",
        )

    def _peak_mb(self) -> float:
        status = Path(f"/proc/{self._fleet.processes[0].pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def _send_small_request(self, report: MemoryReport) -> None:
        began_at = time.monotonic()
        is_lookup = sum(report.statuses.values()) % 2 == 1
        method, path = ("GET", "/lookup/1") if is_lookup else ("POST", "/reserve/1")
        try:
            status = self._fleet.request(0, path, method).status
        except OSError:
            status = 0
        report.statuses[status] += 1
        report.slowest_s = max(report.slowest_s, time.monotonic() - began_at)

    def _put_plan(self, version: int) -> None:
        def route(prefix: str, kind: str, service: str) -> dict[str, Any]:
            return {
                "Host": HOST_NAME,
                "PathPrefix": prefix,
                "Kind": kind,
                "TimeoutMs": 15_000,
                "TargetLatencyMs": 5000,
                "Priority": 1,
                "Service": service,
                "MaxAttempts": 2,
            }

        services = (SERVICE, FAULTY_SERVICE)
        spec = {
            "Version": version,
            "Routes": {
                "lookup": route("/lookup/", "safe", SERVICE),
                "reserve": route("/reserve/", "unsafe", SERVICE),
                "faulty": route("/faulty/", "safe", FAULTY_SERVICE),
            },
            "Services": {name: {"HealthPath": "/healthz", "MaxConns": 360} for name in services},
            "Limits": {
                "MaxHeaderBytes": 16_384,
                "MaxBodyBytes": MAX_BODY_BYTES,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15_000,
            },
        }
        self._fleet.call_in_loop(lambda: self._fleet.store.put("config", "main", spec))


def play(scenario: str, connections: int, duration_s: float, folder: Path) -> MemoryReport:
    """Play one scenario against a new fleet."""
    world = MemoryWorld(folder)
    try:
        world.start()
        return world.play(scenario, connections, duration_s)
    finally:
        world.close()


def main() -> None:
    """Print a line for each scenario."""
    connections = int(sys.argv[1]) if len(sys.argv) > 1 else 300
    for scenario in sys.argv[2:] or SCENARIOS:
        with tempfile.TemporaryDirectory() as folder:
            report = play(scenario, connections, 6.0, Path(folder))
        print(
            f"{scenario:22} {connections:4} connections: peak {report.peak_mb:5.0f} MB,"
            f" {dict(report.statuses)}, slowest {report.slowest_s:.2f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
