"""An entry process with low limits, and crowds of callers at all of its ports.

By hand, `python -m tests.crowdworld [KIND ...]` prints what was measured of each kind of crowd.
"""

import os
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.httpcall import BrokenAnswerError, http_call
from toucanspindle_standins.processes import ManagedProcess, wait_until

from deployedfleet import HOST_NAME, SERVICE, DeployedFleet
from platformsettings import METRICS_PORT
from tests.callercrowds import KINDS

REPOSITORY: Final = Path(__file__).resolve().parent.parent
MEMORY_MB: Final = 96
MAX_FDS: Final = 1000
FILE_FDS: Final = 200  # Of MaxFds, as the requirements page says.
# Room for 4 targets with 2 kept connections and 8 slots each, the store's connections, the ports.
FLEET_FDS: Final = 64
SOCKET_FDS: Final = MAX_FDS - FILE_FDS - FLEET_FDS
MAX_BODY_BYTES: Final = 8 * 2**20
CONNECTIONS: Final = 300
MANY_CONNECTIONS: Final = MAX_FDS
PATIENCE_S: Final = 30.0  # Of an ordinary caller, who repeats a refused request.
KEY: Final = "key-of-ann"
LARGE_SETTINGS: Final = "MemoryMb = 300"


@dataclass
class CrowdReport:
    """What a crowd left of a process; `unanswered` names the ordinary requests without answers."""

    is_alive: bool = True
    peak_mb: float = 0.0
    peak_fds: int = 0
    slowest_s: float = 0.0
    unanswered: list[str] = field(default_factory=list)

    def faults(self) -> list[str]:
        """Return which bounds don't hold."""
        faults = [] if self.is_alive else ["the process ended"]
        if self.peak_mb >= MEMORY_MB:
            faults.append(f"{self.peak_mb:.0f} MB of {MEMORY_MB} MB")
        if self.peak_fds > SOCKET_FDS:
            faults.append(f"{self.peak_fds} descriptors of {SOCKET_FDS}")
        return faults + [f"no answer to {name}" for name in self.unanswered]


class LowLimitFleet(DeployedFleet):
    """An entry process with MEMORY_MB and MAX_FDS, without a plan until `put_tenant_plan`."""

    def start(self) -> None:
        """Start store, targets and process, and wait until the process listens."""
        self._thread.start()
        self.run_in_loop(self._start_simulation())
        self.processes[0].start(ready_at=self.ready_address(0))

    def put_tenant_plan(self) -> None:
        """Write a plan with accounts and wait until the process is ready."""

        def route(prefix: str, kind: str) -> dict[str, Any]:
            return {
                "Host": HOST_NAME,
                "PathPrefix": prefix,
                "Kind": kind,
                "TimeoutMs": 15_000,
                "TargetLatencyMs": 5000,
                "Priority": 1,
                "Service": SERVICE,
                "MaxAttempts": 2,
            }

        spec = {
            "Version": 1,
            "Routes": {
                "lookup": route("/lookup/", "safe"),
                "reserve": route("/reserve/", "unsafe"),
            },
            "Services": {SERVICE: {"HealthPath": "/healthz", "MaxConns": 360}},
            "Tenants": {"ann": {"ApiKeys": [KEY], "Priority": 0, "RatePerS": 0, "Burst": 0}},
            "Limits": {
                "MaxHeaderBytes": 16_384,
                "MaxBodyBytes": MAX_BODY_BYTES,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15_000,
            },
        }
        self.call_in_loop(lambda: self.store.put("config", "main", spec))
        wait_until(lambda: "event=ready" in self.log(0), what="the process is ready")

    def _create_process(self, index: int, ip: str) -> ManagedProcess:
        process = super()._create_process(index, ip)
        path = self._folder / f"host{index}.toml"
        text = path.read_text()
        assert LARGE_SETTINGS in text
        path.write_text(text.replace(LARGE_SETTINGS, f"MemoryMb = {MEMORY_MB}\nMaxFds = {MAX_FDS}"))
        return process


class CrowdWorld:
    """One entry process; call `close` to stop it and the crowd."""

    def __init__(self, folder: Path) -> None:
        """Create a fleet of one entry process."""
        self._folder = folder
        self._fleet = LowLimitFleet(folder, hosts=1, targets=4)
        self._has_plan = False
        self._crowd: ManagedProcess | None = None
        self._crowds_started = 0

    def start(self) -> None:
        """Start the fleet without a plan."""
        self._fleet.start()

    def put_plan(self) -> None:
        """Put a plan in force."""
        self._fleet.put_tenant_plan()
        self._has_plan = True

    def close(self) -> None:
        """Stop everything."""
        self._end_crowd()
        self._fleet.close()

    def play(self, kind: str, duration_s: float) -> CrowdReport:
        """Let a crowd be busy at all places, beside ordinary callers, who also come afterwards."""
        report = CrowdReport()
        self._reset_peak()
        self._start_crowd(kind)
        end_at = time.monotonic() + duration_s
        while time.monotonic() < end_at and report.is_alive:
            time.sleep(0.05)
            self._measure(report)
        self._send_ordinary_requests(report, "beside the crowd")
        self._measure(report)
        self._end_crowd()
        self._send_ordinary_requests(report, "after the crowd")
        self._measure(report)
        return report

    def _places(self) -> list[str]:
        callers = self._fleet.caller_address(0)
        places = [
            f"{self._fleet.ready_address(0)} /v1/readyz",
            f"{self._directory_address()} /v1/resolve",
            f"{self._metrics_address()} /metrics",
            f"{callers} /lookup/1 {KEY}",
        ]
        if self._has_plan:
            places += [f"{callers} /none/1", f"{callers} /lookup/1 unknown-key"]
        return places

    def _directory_address(self) -> HostPort:
        return HostPort(self._fleet.ips[0], self._fleet._ports[3])

    def _metrics_address(self) -> HostPort:
        return HostPort(self._fleet.ips[0], METRICS_PORT)

    def _start_crowd(self, kind: str) -> None:
        paths = [str(REPOSITORY), os.environ.get("PYTHONPATH", ""), *sys.path]
        variables = {"PYTHONPATH": os.pathsep.join(filter(None, paths))}
        connections = MANY_CONNECTIONS if kind == "idle_connections" else CONNECTIONS
        self._crowds_started += 1
        self._crowd = ManagedProcess(
            f"crowd{self._crowds_started}",
            ["tests.callercrowds", kind, str(connections), *self._places()],
            self._folder,
            variables,
        )
        self._crowd.start()

    def _end_crowd(self) -> None:
        if self._crowd is not None:
            self._crowd.close()
            self._crowd = None

    def _reset_peak(self) -> None:
        """Let VmHWM begin again, so that it tells of the next crowd alone."""
        Path(f"/proc/{self._fleet.processes[0].pid}/clear_refs").write_text("5")

    def _measure(self, report: CrowdReport) -> None:
        process = self._fleet.processes[0]
        report.is_alive = report.is_alive and process.running
        if not report.is_alive:
            return
        status = Path(f"/proc/{process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        report.peak_mb = max(report.peak_mb, int(line.split()[1]) / 1024)
        fds = len(os.listdir(f"/proc/{process.pid}/fd"))
        report.peak_fds = max(report.peak_fds, fds)

    def _send_ordinary_requests(self, report: CrowdReport, when: str) -> None:
        """Send one request to each port, again after a refusal, for PATIENCE_S at most."""
        status = 200 if self._has_plan else 503
        for name, address, path, wanted in (
            ("a caller", self._fleet.caller_address(0), "/lookup/1", status),
            ("readiness", self._fleet.ready_address(0), "/v1/readyz", status),
            ("the directory", self._directory_address(), "/v1/resolve", status),
            ("metrics", self._metrics_address(), "/metrics", 200),
        ):
            began_at = time.monotonic()
            if not report.is_alive or not self._is_answered(address, path, wanted, report):
                report.unanswered.append(f"{name} {when}")
            report.slowest_s = max(report.slowest_s, time.monotonic() - began_at)

    def _is_answered(self, address: HostPort, path: str, wanted: int, report: CrowdReport) -> bool:
        give_up_at = time.monotonic() + PATIENCE_S
        while (left_s := give_up_at - time.monotonic()) > 0 and report.is_alive:
            headers = {"Host": HOST_NAME, "X-Credential": KEY, "X-Deadline-Ms": "15000"}
            try:
                result = http_call(address, "GET", path, headers, timeout_s=left_s)
                if result.status == wanted:
                    return True
            except BrokenAnswerError:
                pass  # Shed or cut off; the caller tries again.
            self._measure(report)
            time.sleep(0.1)
        return False


def play(kind: str, folder: Path, duration_s: float) -> dict[str, CrowdReport]:
    """Play a kind of crowd against a new process, before a plan is known and then with one."""
    world = CrowdWorld(folder)
    try:
        world.start()
        reports = {"without a plan": world.play(kind, duration_s)}
        if reports["without a plan"].is_alive:
            world.put_plan()
            reports["with a plan"] = world.play(kind, duration_s)
        return reports
    finally:
        world.close()


def main() -> None:
    """Print two lines for each kind."""
    for kind in sys.argv[1:] or KINDS:
        with tempfile.TemporaryDirectory() as folder:
            for when, report in play(kind, Path(folder), 2.0).items():
                print(
                    f"{kind:18} {when:15} {report.peak_mb:5.0f} MB {report.peak_fds:5}"
                    f" descriptors, slowest {report.slowest_s:5.2f} s:"
                    f" {'; '.join(report.faults()) or 'held'}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
