"""An open-loop load generator: requests leave at their planned times, whatever is unanswered.

Arrivals are a Poisson process with a seed.  Latency counts from the planned time, so that a
server that stalls is charged for what piles up.  With a direct side, each arrival is sent twice,
half a mean interval apart, in an order drawn per arrival; the two are a pair.

asyncio's timers are no finer than a millisecond, so the last moment before each send is spent
polling; the generator should have a core of its own.
"""

import asyncio
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.hostport import HostPort

from toucanspindle_standins.httpcall import http_call
from toucanspindle_standins.loadclient import ConnectionPool, Ending
from toucanspindle_standins.loadstats import LoadReport, SideRecord, added_report, quantile

MAX_SECONDS: Final = 600.0
POLLED_S: Final = 0.0015
DRAIN_LIMIT_S: Final = 10.0
MS_PER_S: Final = 1000


@dataclass(frozen=True)
class LoadSettings:
    """What a run sends.

    `non_idempotent` is the share of requests sent as POST to `submit_path` of `submit_service`.
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
class Planned:
    """One request and when it is to leave, in seconds from the start."""

    at_s: float
    number: int
    is_direct: bool
    data: bytes


class LoadGenerator:
    """Sends one run's requests.

    Invariant: every request sent is noted at most once.
    """

    def __init__(self, settings: LoadSettings) -> None:
        """Create a run; nothing is sent yet."""
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
        """Send everything, wait for the last answers for a bounded time, and report."""
        if self._settings.non_idempotent:
            self._token = await asyncio.to_thread(self._ask_token)
        plan = sorted(self._plan(), key=lambda planned: planned.at_s)
        self._start = time.perf_counter()
        for planned in plan:
            await self._wait_for(planned.at_s)
            self._send(planned)
        await self._drain()
        return self._report()

    def _plan(self) -> Iterator[Planned]:
        settings = self._settings
        at_s, number = 0.0, 0
        half_s = 0.5 / settings.rate_per_s
        while at_s < min(settings.seconds, MAX_SECONDS):
            at_s += self._random.expovariate(settings.rate_per_s)
            number += 1
            account = f"account-{self._random.randrange(settings.account_count)}"
            submits = self._random.random() < settings.non_idempotent
            delays = [0.0, half_s] if self._random.random() < 0.5 else [half_s, 0.0]
            for is_direct, delay_s in zip(self._pools, delays, strict=False):
                data = self._encode(number, account, submits, is_direct)
                yield Planned(at_s + delay_s, number, is_direct, data)

    def _encode(self, number: int, account: str, submits: bool, is_direct: bool) -> bytes:
        settings = self._settings
        body = b"item %d" % number if submits else b""
        method, path = ("POST", settings.submit_path) if submits else ("GET", settings.path)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {settings.to}", f"Toucan-Account: {account}"]
        if submits:
            lines += [f"Idempotency-Key: load-{settings.seed}-{time.time_ns()}-{number}"]
            lines += [f"Toucan-Token: {self._token}", f"Content-Length: {len(body)}"]
        if is_direct:
            lines.append(f"Request-Id: direct-{number}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body

    async def _wait_for(self, at_s: float) -> None:
        left = self._start + at_s - time.perf_counter()
        if left > POLLED_S:
            await asyncio.sleep(left - POLLED_S)
        while time.perf_counter() < self._start + at_s:
            await asyncio.sleep(0)

    def _send(self, planned: Planned) -> None:
        record = self._records[planned.is_direct]
        intended = self._start + planned.at_s
        self._lags_s.append(time.perf_counter() - intended)
        record.sent += 1

        def on_end(ending: Ending) -> None:
            record.note(planned.number, ending, time.perf_counter() - intended)

        self._pools[planned.is_direct].send(planned.data, on_end)

    async def _drain(self) -> None:
        end = time.perf_counter() + DRAIN_LIMIT_S
        while time.perf_counter() < end and any(
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

    def _ask_token(self) -> str:
        """Return the token that the node itself issues, or else the first one it names."""
        settings = self._settings
        path = f"/.toucan/directory/{settings.submit_service}"
        entries = http_call(settings.to, "GET", path).json()["entries"]
        own = [entry for entry in entries if entry["address"] == str(settings.to)]
        return str((own or entries)[0]["token"])
