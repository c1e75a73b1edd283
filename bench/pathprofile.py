"""Counts what one request costs a proxy: Python calls, system calls, locks, thread switches.

    python -m bench.pathprofile [--requests 2000] [--top 40]

The entry server and the chain of filters run in this process, without an agent; a stand-in target
and the caller (one keep-alive connection, one request after the other) have processes of their
own.  A first pass without a profiler gives processor time and thread switches; a second pass with
one cProfile per thread gives calls.  Calls and switches are repeatable, times aren't.
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
CALLER: Final = """
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


class NoEvents:
    """Takes what the dispatch filter would tell the fleet."""

    def report_draining(self, service: str, target: str) -> None:
        """Do nothing."""

    def report_crash(self, service: str, fingerprint: str) -> None:
        """Do nothing."""


class ThreadProfiles:
    """A cProfile for each thread started while this is installed."""

    def __init__(self) -> None:
        """Create a set without profiles."""
        self._profiles: list[cProfile.Profile] = []

    def install(self) -> None:
        """Profile the threads that start from now on."""
        threading.setprofile(self._begin)

    def stats(self) -> pstats.Stats:
        """Return what all threads did."""
        total = pstats.Stats(self._profiles[0])
        for profile in self._profiles[1:]:
            total.add(profile)
        return total

    def _begin(self, *_: Any) -> None:
        profile = cProfile.Profile()
        self._profiles.append(profile)
        profile.enable()


def build_server(entry: HostPort, config: Any) -> EntryServer:
    """Return an entry server before the chain of filters."""
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
        events=NoEvents(),
        hedges=HedgePool(1),
    )
    once = OnceFilter(issuer, records, InheritedRecords(clock, 10), None)  # type: ignore[arg-type]
    path = build_chain(
        [
            IdentifyFilter(),
            RouteFilter(),
            once,
            QuarantineFilter(quarantine),
            AdmitFilter(AdmissionRegistry(clock)),
            DispatchFilter(dependencies),
        ]
    )
    endpoint = CallerEndpoint(path, state, records, ProxyMetrics())
    return EntryServer(entry, THREADS, endpoint.answer)


def send_requests(entry: HostPort, count: int) -> None:
    """Send requests from a process of its own; raise if one isn't answered."""
    argv = [sys.executable, "-c", CALLER, entry.ip, str(entry.port), str(count)]
    subprocess.run(argv, check=True)


def thread_switches() -> Counter[str]:
    """Return this process's context switches by kind."""
    switches: Counter[str] = Counter()
    for status in Path("/proc/self/task").glob("*/status"):
        for line in status.read_text(encoding="ascii").splitlines():
            name, _, value = line.partition(":")
            if name.endswith("ctxt_switches"):
                switches[name.removesuffix("_ctxt_switches")] += int(value)
    return switches


def measure_plain(config: Any, entry: HostPort, requests: int) -> None:
    """Print processor time and switches of a request."""
    server = build_server(entry, config)
    server.start_serving()
    send_requests(entry, WARM_UP_REQUESTS)
    switches, before = thread_switches(), os.times()
    send_requests(entry, requests)
    after = os.times()
    switches = thread_switches() - switches
    user_us = (after.user - before.user) / requests * 1e6
    system_us = (after.system - before.system) / requests * 1e6
    print(f"processor time: {user_us:.0f} us user, {system_us:.0f} us system a request")
    for kind, count in sorted(switches.items()):
        print(f"{kind} switches: {count / requests:.2f} a request")
    server.stop_serving()


def measure_calls(config: Any, entry: HostPort, requests: int, top: int) -> None:
    """Print the calls of a request, by kind and by function."""
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
    print(f"function calls: {sum(calls.values()):.0f} a request")
    for title, words in (("socket and poll calls", SOCKET_CALLS), ("lock calls", LOCK_CALLS)):
        found = {key: n for key, n in calls.items() if any(word in key[1] for word in words)}
        print(f"{title}: {sum(found.values()):.1f} a request")
        for key, count in sorted(found.items(), key=lambda item: -item[1])[:8]:
            print(f"    {count:6.2f}  {key[1]}")
    by_file: Counter[str] = Counter()
    for (file, _), count in calls.items():
        by_file[file] += count
    print("calls by file: " + ", ".join(f"{f} {n:.0f}" for f, n in by_file.most_common(25)))
    print("calls, own us under the profiler, function:")
    ordered = sorted(own_us, key=lambda key: -own_us[key])
    for key in ordered[:top]:
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
        measure_plain(config, addresses.take(), options.requests)
        measure_calls(config, addresses.take(), options.requests, options.top)
    finally:
        process.terminate()
        process.wait()


if __name__ == "__main__":
    main()
