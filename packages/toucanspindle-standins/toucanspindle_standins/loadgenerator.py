"""An open-loop load generator that sends requests at planned times, without waiting for answers.

Arrivals are a Poisson process with a fixed seed.  Latency is measured from the planned send time,
so it includes the queueing delay that a stalled server causes.  With a direct target, each arrival
is sent twice, once through the entry node and once to the target, half a mean interval apart and in
random order; both requests form a pair.

The resolution of asyncio's timers is a millisecond, so the generator busy-polls for the last
1.5 ms before each send.  It needs a CPU core of its own.
"""

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.httpcall import http_call
from toucanspindle_standins.loadclient import ConnectionPool, RequestResult
from toucanspindle_standins.loadstats import LoadReport, SideRecord, added_report, quantile

MAX_SECONDS: Final = 600.0
BUSY_POLL_S: Final = 0.0015
DRAIN_LIMIT_S: Final = 10.0
MS_PER_S: Final = 1000


@dataclass(frozen=True)
class LoadSettings:
    """Settings of a run.

    `non_idempotent` is the share of requests that are sent as POST to `submit_path` of
    `submit_service`.  With `paired_direct`, each request is also sent to that target.
    """

    to: HostPort
    path: str
    rate_per_s: float
    seconds: float
    account_count: int = 20
    seed: int = 1
    non_idempotent: float = 0.0
    submit_service: str = ""
    submit_path: str = ""
    paired_direct: HostPort | None = None


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One encoded request, with its arrival number and its send time in seconds from the start."""

    send_at_s: float
    number: int
    is_direct: bool
    data: bytes


class LoadGenerator:
    """Sends the requests of one run.

    Invariant: the result of each request is recorded at most once.
    """

    def __init__(self, settings: LoadSettings) -> None:
        """Create a run without sending requests."""
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._pools = {False: ConnectionPool(settings.to)}
        if settings.paired_direct is not None:
            self._pools[True] = ConnectionPool(settings.paired_direct)
        self._records = {side: SideRecord() for side in self._pools}
        self._lags_s: list[float] = []
        self._token = ""
        self._start = 0.0

    async def run(self) -> LoadReport:
        """Send all requests, wait at most DRAIN_LIMIT_S for the last answers; return a report."""
        if self._settings.non_idempotent:
            self._token = await asyncio.to_thread(self._fetch_token)
        plan = sorted(self._plan(), key=lambda planned: planned.send_at_s)
        self._start = time.perf_counter()
        for planned in plan:
            await self._wait_until_due(planned.send_at_s)
            self._send(planned)
        await self._drain()
        return self._report()

    def _plan(self) -> Iterator[PlannedRequest]:
        settings = self._settings
        send_at_s, number = 0.0, 0
        half_interval_s = 0.5 / settings.rate_per_s
        while send_at_s < min(settings.seconds, MAX_SECONDS):
            send_at_s += self._random.expovariate(settings.rate_per_s)
            number += 1
            account = f"account-{self._random.randrange(settings.account_count)}"
            is_submit = self._random.random() < settings.non_idempotent
            delays = (
                [0.0, half_interval_s] if self._random.random() < 0.5 else [half_interval_s, 0.0]
            )
            for is_direct, delay_s in zip(self._pools, delays, strict=False):
                data = self._encode(number, account, is_submit, is_direct)
                yield PlannedRequest(send_at_s + delay_s, number, is_direct, data)

    def _encode(self, number: int, account: str, is_submit: bool, is_direct: bool) -> bytes:
        settings = self._settings
        body = b"item %d" % number if is_submit else b""
        method, path = ("POST", settings.submit_path) if is_submit else ("GET", settings.path)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {settings.to}", f"Toucan-Account: {account}"]
        if is_submit:
            lines += [f"Idempotency-Key: load-{settings.seed}-{time.time_ns()}-{number}"]
            lines += [f"Toucan-Token: {self._token}", f"Content-Length: {len(body)}"]
        if is_direct:
            lines.append(f"Request-Id: direct-{number}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

    async def _wait_until_due(self, send_at_s: float) -> None:
        remaining_s = self._start + send_at_s - time.perf_counter()
        if remaining_s > BUSY_POLL_S:
            await asyncio.sleep(remaining_s - BUSY_POLL_S)
        while time.perf_counter() < self._start + send_at_s:
            await asyncio.sleep(0)

    def _send(self, planned: PlannedRequest) -> None:
        record = self._records[planned.is_direct]
        intended_s = self._start + planned.send_at_s
        self._lags_s.append(time.perf_counter() - intended_s)
        record.sent += 1

        def on_result(result: RequestResult) -> None:
            record.record_result(planned.number, result, time.perf_counter() - intended_s)

        self._pools[planned.is_direct].send(planned.data, on_result)

    async def _drain(self) -> None:
        deadline_s = time.perf_counter() + DRAIN_LIMIT_S
        while time.perf_counter() < deadline_s and any(
            record.sent > record.outcomes.total() for record in self._records.values()
        ):
            await asyncio.sleep(0.01)

    def _report(self) -> LoadReport:
        reports = {side: record.report() for side, record in self._records.items()}
        for pool in self._pools.values():
            pool.close()
        added = None
        if True in self._records:
            added = added_report(self._records[False], self._records[True])
        return LoadReport(
            rate_per_s=self._settings.rate_per_s,
            seconds=self._settings.seconds,
            seed=self._settings.seed,
            generator_lag_p99_ms=round(quantile(sorted(self._lags_s), 0.99) * MS_PER_S, 3),
            through=reports[False],
            direct=reports.get(True),
            added=added,
        )

    def _fetch_token(self) -> str:
        """Return the token that the node itself issued, else the first one in its directory."""
        settings = self._settings
        path = f"/.toucan/directory/{settings.submit_service}"
        entries = http_call(settings.to, "GET", path).json()["entries"]
        issued_by_node = [entry for entry in entries if entry["address"] == str(settings.to)]
        return str((issued_by_node or entries)[0]["token"])
