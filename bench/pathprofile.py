"""Counts the cost of one request at a proxy: Python calls, system calls, locks, context switches.

    python -m bench.pathprofile [--requests 2000] [--top 40]

The entry server and the filter chain run in this process, without an agent.  A stand-in target and
the caller (one keep-alive connection, one request at a time) run in processes of their own.  The
first pass runs without a profiler and measures processor time and context switches.  The second
pass counts calls with one cProfile per thread.  Counts of calls and switches are repeatable; times
aren't.
"""

import argparse
import cProfile
import os
import pstats
import random
import subprocess
import sys
import threading
from collections import Counter
from pathlib import Path
from typing import Any, Final

from toucanspindle_core.choice import TargetChooser
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.evidence import EvidenceCollector
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.inheritedrecords import InheritedRecords
from toucanspindle_core.policy import merge_policy
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_core.records import RecordTable
from toucanspindle_core.tokens import TokenIssuer
from toucanspindle_node.admit import AdmissionRegistry, AdmitFilter, QuarantineFilter
from toucanspindle_node.callerport import CallerEndpoint
from toucanspindle_node.dispatch import DispatchDependencies, DispatchFilter
from toucanspindle_node.entryserver import EntryServer
from toucanspindle_node.exchange import build_chain
from toucanspindle_node.fleetstate import FleetStateHolder
from toucanspindle_node.hedging import HedgePool
from toucanspindle_node.identify import IdentifyFilter
from toucanspindle_node.once import OnceFilter
from toucanspindle_node.proxymetrics import ProxyMetrics
from toucanspindle_node.routing import RouteFilter
from toucanspindle_node.targetclient import TargetClient
from toucanspindle_node.targetregistry import TargetRegistry
from toucanspindle_standins.processes import AddressPool, listens, wait_until
from toucanspindle_standins.smallfleet import small_fleet

SERVICE: Final = "lotbook"
THREADS: Final = 8
WARM_UP_REQUESTS: Final = 200
CALLER_SCRIPT: Final = """
import socket, sys
request = b"GET /lotbook/1 HTTP/1.1\\r\\nHost: x\\r\\nToucan-Account: account-1\\r\\n\\r\\n"
connection = socket.create_connection((sys.argv[1], int(sys.argv[2])))
for _ in range(int(sys.argv[3])):
    connection.sendall(request)
    answer = connection.recv(65536)
    assert b" 200 " in answer[:20], answer
"""
SOCKET_CALLS: Final = ("_socket.socket", "select.epoll", "select.poll")
LOCK_CALLS: Final = ("_thread.lock", "_thread.RLock")


class DiscardedEvents:
    """Discards the events that the dispatch filter would report to the fleet."""

    def report_draining(self, service: str, target: str) -> None:
        """Do nothing."""

    def report_crash(self, service: str, fingerprint: str) -> None:
        """Do nothing."""


class ThreadProfiles:
    """One cProfile for each thread that starts after `install`."""

    def __init__(self) -> None:
        """Create an empty set of profiles."""
        self._profiles: list[cProfile.Profile] = []

    def install(self) -> None:
        """Enable profiling in every thread that starts from now on."""
        threading.setprofile(self._start_profile)

    def stats(self) -> pstats.Stats:
        """Return the combined statistics of all profiled threads; raise if there are none."""
        total = pstats.Stats(self._profiles[0])
        for profile in self._profiles[1:]:
            total.add(profile)
        return total

    def _start_profile(self, *_: Any) -> None:
        profile = cProfile.Profile()
        self._profiles.append(profile)
        profile.enable()


def build_server(entry: HostPort, config: Any) -> EntryServer:
    """Return an entry server at `entry` with the complete filter chain and no agent."""
    clock = MonotonicClock()
    state = FleetStateHolder()
    state.apply_policy(merge_policy(config, 1))
    issuer = TokenIssuer("bench", clock, 60.0)
    records = RecordTable(issuer, clock, 600.0, 1000)
    quarantine = QuarantineTable(clock)
    dependencies = DispatchDependencies(
        client=TargetClient(),
        registry=TargetRegistry(""),
        chooser=TargetChooser(random.Random(1)),
        evidence=EvidenceCollector(),
        quarantine=quarantine,
        events=DiscardedEvents(),
        hedges=HedgePool(1),
    )
    once = OnceFilter(issuer, records, InheritedRecords(clock, 10), None)  # type: ignore[arg-type]
    chain = build_chain(
        [
            IdentifyFilter(),
            RouteFilter(),
            once,
            QuarantineFilter(quarantine),
            AdmitFilter(AdmissionRegistry(clock)),
            DispatchFilter(dependencies),
        ]
    )
    port = CallerEndpoint(chain, state, records, ProxyMetrics())
    return EntryServer(entry, THREADS, port.answer)


def send_requests(entry: HostPort, count: int) -> None:
    """Send requests from a separate process; raise if one isn't answered with 200."""
    argv = [sys.executable, "-c", CALLER_SCRIPT, entry.ip, str(entry.port), str(count)]
    subprocess.run(argv, check=True)


def count_context_switches() -> Counter[str]:
    """Return the context switches of all threads of this process, by kind."""
    context_switches: Counter[str] = Counter()
    for status in Path("/proc/self/task").glob("*/status"):
        for line in status.read_text(encoding="ascii").splitlines():
            name, _, value = line.partition(":")
            if name.endswith("ctxt_switches"):
                context_switches[name.removesuffix("_ctxt_switches")] += int(value)
    return context_switches


def measure_unprofiled(config: Any, entry: HostPort, requests: int) -> None:
    """Print processor time and context switches per request, without a profiler."""
    server = build_server(entry, config)
    server.start_serving()
    send_requests(entry, WARM_UP_REQUESTS)
    context_switches, times_before = count_context_switches(), os.times()
    send_requests(entry, requests)
    times_after = os.times()
    context_switches = count_context_switches() - context_switches
    user_us = (times_after.user - times_before.user) / requests * 1e6
    system_us = (times_after.system - times_before.system) / requests * 1e6
    print(f"processor time: {user_us:.0f} us user, {system_us:.0f} us system per request")
    for kind, count in sorted(context_switches.items()):
        print(f"{kind} switches: {count / requests:.2f} per request")
    server.stop_serving()


def measure_calls(config: Any, entry: HostPort, requests: int, top: int) -> None:
    """Print the calls per request, by kind, by file and by function."""
    profiles = ThreadProfiles()
    profiles.install()
    server = build_server(entry, config)
    server.start_serving()
    threading.setprofile(None)
    send_requests(entry, requests)
    server.stop_serving()
    rows = profiles.stats().stats.items()  # type: ignore[attr-defined]
    calls = {(Path(file).name, name): row[1] / requests for (file, _, name), row in rows}
    own_us = {(Path(file).name, name): row[2] / requests * 1e6 for (file, _, name), row in rows}
    print(f"function calls: {sum(calls.values()):.0f} per request")
    for title, name_parts in (("socket and poll calls", SOCKET_CALLS), ("lock calls", LOCK_CALLS)):
        matching_calls = {
            key: n
            for key, n in calls.items()
            if any(name_part in key[1] for name_part in name_parts)
        }
        print(f"{title}: {sum(matching_calls.values()):.1f} per request")
        for key, count in sorted(matching_calls.items(), key=lambda item: -item[1])[:8]:
            print(f"    {count:6.2f}  {key[1]}")
    by_file: Counter[str] = Counter()
    for (file, _), count in calls.items():
        by_file[file] += count
    print("calls by file: " + ", ".join(f"{f} {n:.0f}" for f, n in by_file.most_common(25)))
    print("calls, own us under the profiler, function:")
    by_own_time = sorted(own_us, key=lambda key: -own_us[key])
    for key in by_own_time[:top]:
        print(f"    {calls[key]:7.2f} {own_us[key]:8.1f}  {key[0]}:{key[1]}")


def main() -> None:
    """Run both passes against one stand-in target."""
    parser = argparse.ArgumentParser(description="Profile the request path.")
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--top", type=int, default=40)
    options = parser.parse_args()
    addresses = AddressPool()
    config = small_fleet(addresses, {SERVICE: 1}, account_requests_per_s=1_000_000)
    target = config.services[0].targets[0]
    argv = [sys.executable, "-m", "toucanspindle_standins.main", "target"]
    argv += ["--address", target.address, "--name", target.name, "--service", SERVICE]
    process = subprocess.Popen([*argv, "--service-ms", "0"])
    try:
        wait_until(lambda: listens(HostPort.parse(target.address)))
        measure_unprofiled(config, addresses.allocate(), options.requests)
        measure_calls(config, addresses.allocate(), options.requests, options.top)
    finally:
        process.terminate()
        process.wait()


if __name__ == "__main__":
    main()
