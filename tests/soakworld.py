"""Faults and callers of the soak: random, overlapping, and injected from outside the processes.

Callers keep using their connections until the process at the other end is gone.  They record what
they were told, and the simulated targets record what they ran.
"""

import asyncio
import itertools
import os
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, Literal

from toucanspindle_standins.processes import ManagedProcess

from backend import SimulatedTarget
from deployedfleet import HOST_NAME, DeployedFleet

INTERPRETER_START_S: Final = 0.5  # Before it has loaded a program, any signal ends it.
CALLER_TIMEOUT_S: Final = 8.0  # Of one response; the deadline that callers name is 4 s.
RESTART_AFTER_S: Final = (0.2, 2.0)
LEAVING_TARGET_SERVES_S: Final = 5.0
LEARNING_MARGIN_S: Final = 3.0  # A fault that ended less than this before still counts.
CROWD_CONNECTIONS: Final = 20
CROWD_SCENARIOS: Final = ("upload", "chunks", "trailers", "extension", "heads")
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


@dataclass
class SentRequest:
    """A request of a caller; `status` is None without a complete response."""

    id: str
    method: str
    sent_at: float
    status: int | None = None
    answered_by: str = ""
    answered_id: str = ""


@dataclass
class LeavingTarget:
    """A target that said it was leaving at `since`, and ended at `until`."""

    target: SimulatedTarget
    since: float
    until: float


@dataclass
class SoakRecord:
    """What callers saw, and which faults there were; times are monotonic, in seconds."""

    requests: list[SentRequest] = field(default_factory=list)
    targets: list[SimulatedTarget] = field(default_factory=list)
    leaving: list[LeavingTarget] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    unexpected_ends: list[str] = field(default_factory=list)

    def violations(self, drain_s: float) -> list[str]:
        """Return the broken promises, apart from what is checked at the end of a soak."""
        runs = Counter(request_id for target in self.targets for request_id in target.ran)
        found: list[str] = list(self.unexpected_ends)
        for request in self.requests:
            if request.method == "POST" and runs[request.id] > 1:
                found.append(f"ran {runs[request.id]} times: {request}")
            is_refused = request.status in NOT_RUN_STATUSES
            if request.method == "POST" and is_refused and runs[request.id]:
                found.append(f"refused as not run, and ran: {request}")
            if request.status == 200 and request.answered_id != request.id:
                found.append(f"answer of another request: {request}")
            if request.status == 200 and not runs[request.id]:
                found.append(f"answered and never run: {request}")
        sent_at = {request.id: request.sent_at for request in self.requests}
        for leaving in self.leaving:
            if self._is_disturbed(leaving):
                continue
            late = [
                request_id
                for request_id in leaving.target.ran
                if sent_at.get(request_id, 0.0) > leaving.since + drain_s
            ]
            if late:
                found.append(f"{leaving.target.name} got {len(late)} requests too late")
        return found

    def _is_disturbed(self, leaving: LeavingTarget) -> bool:
        """Whether a fault may have kept the hosts from learning that a target leaves."""
        return any(
            begin < leaving.until and end > leaving.since - LEARNING_MARGIN_S
            for begin, end in self.outages
        )


class SoakWorld:
    """A fleet under random faults, with callers; `run` plays one seed."""

    def __init__(self, fleet: DeployedFleet, seed: int, callers: int, folder: Path) -> None:
        self._fleet = fleet
        self._folder = folder
        self._rng = random.Random(seed)
        self._callers = callers
        self._ids = itertools.count(1)
        self._disturbed_hosts: set[int] = set()
        self._changed_targets: set[int] = set()
        self._plan_version = 1
        self.record = SoakRecord(targets=list(fleet.targets))

    async def run(self, duration_s: float) -> None:
        """Run callers and faults, end the faults, and wait until all hosts are ready."""
        callers = [asyncio.create_task(self._call(n)) for n in range(self._callers)]
        faults: list[asyncio.Task[None]] = []
        end_at = time.monotonic() + duration_s
        while time.monotonic() < end_at:
            fault = self._rng.choice(self._faults())
            self.record.faults.append(fault.__name__)
            faults.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        await asyncio.gather(*faults)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for index in range(len(self._fleet.processes)):
            await asyncio.to_thread(self._fleet.wait_ready, index)

    # Callers.

    async def _call(self, number: int) -> None:
        while True:
            rng = random.Random(self._rng.random())
            address = self._fleet.caller_address(rng.randrange(len(self._fleet.processes)))
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(address.ip, address.port)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            sent: list[SentRequest] = []
            method = rng.choice(("GET", "GET", "POST"))
            gap_s = rng.choice((0.02, 0.1, 0.4))
            sending = asyncio.create_task(self._send(writer, sent, method, gap_s, rng))
            try:
                await _read_responses(reader, sent)
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
                pass
            finally:
                sending.cancel()
                writer.close()

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        sent: list[SentRequest],
        method: str,
        gap_s: float,
        rng: random.Random,
    ) -> None:
        """Send requests behind each other until the connection ends."""
        while not writer.is_closing():
            request = SentRequest(f"a{next(self._ids):015x}", method, time.monotonic())
            sent.append(request)
            self.record.requests.append(request)
            work_s = rng.choice((0.0, 0.02, 0.2, 1.0))
            writer.write(_encode_request(request, str(work_s)))
            await asyncio.sleep(gap_s)

    # Faults.

    def _faults(self) -> list[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._stop_host,
            self._kill_host,
            self._pause_host,
            self._hang_up_host,
            self._end_store,
            self._forget_history,
            self._change_plan,
            self._put_odd_entry,
            self._replace_target,
            self._replace_target,
            self._fail_target,
            self._limit_target,
            self._crowd_host,
            self._leave_behind_many_requests,
        ]

    def _free(self, count: int, taken: set[int]) -> int | None:
        free = [index for index in range(count) if index not in taken]
        return self._rng.choice(free) if len(free) > 1 else None

    async def _stop_host(self) -> None:
        index = self._free(len(self._fleet.processes), self._disturbed_hosts)
        if index is None:
            return
        self._disturbed_hosts.add(index)
        process = self._fleet.processes[index]
        process.terminate()
        if self._rng.random() < 0.3:
            await asyncio.sleep(0.2)
            process.terminate()  # A second signal must not cut requests off.
        exit_code = await asyncio.to_thread(process.wait)
        if exit_code != 0:
            self.record.unexpected_ends.append(f"host {index} stopped with {exit_code}")
        await self._restart(index)

    async def _kill_host(self) -> None:
        index = self._free(len(self._fleet.processes), self._disturbed_hosts)
        if index is None:
            return
        self._disturbed_hosts.add(index)
        await asyncio.to_thread(self._fleet.processes[index].kill)
        await self._restart(index)

    async def _restart(self, index: int) -> None:
        await asyncio.sleep(self._rng.uniform(*RESTART_AFTER_S))
        self._fleet.start_host(index)
        await asyncio.sleep(INTERPRETER_START_S)
        self._disturbed_hosts.discard(index)

    async def _pause_host(self) -> None:
        index = self._free(len(self._fleet.processes), self._disturbed_hosts)
        if index is None:
            return
        self._disturbed_hosts.add(index)
        begin = time.monotonic()
        self._fleet.processes[index].pause()
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        self._fleet.processes[index].resume()
        self.record.outages.append((begin, time.monotonic()))
        self._disturbed_hosts.discard(index)

    async def _hang_up_host(self) -> None:
        index = self._free(len(self._fleet.processes), self._disturbed_hosts)
        if index is not None:
            self._fleet.processes[index].hang_up()

    async def _end_store(self) -> None:
        begin = time.monotonic()
        how: Literal["busy", "silent"] = "busy" if self._rng.random() < 0.5 else "silent"
        self._fleet.call_in_loop(lambda: self._fleet.store.set_outage(how))
        await asyncio.sleep(self._rng.uniform(0.2, 3.0))
        self._fleet.call_in_loop(lambda: self._fleet.store.set_outage("no"))
        self.record.outages.append((begin, time.monotonic()))

    async def _forget_history(self) -> None:
        self._fleet.call_in_loop(self._fleet.store.forget_history)

    async def _change_plan(self) -> None:
        self._plan_version += self._rng.randint(1, 5)
        self._fleet.put_plan(self._plan_version, Priority=self._rng.randint(0, 2))

    async def _put_odd_entry(self) -> None:
        odd: object = self._rng.choice(
            (None, 7, "x", {"Address": "10.0.0.1:99999"}, [[[]]], {"Info": []})
        )
        self._fleet.call_in_loop(lambda: self._fleet.store.put("servers", "odd", odd))

    async def _replace_target(self) -> None:
        """Let a target leave, with or without saying so in the store, and another one start."""
        index = self._free(len(self._fleet.targets), self._changed_targets)
        if index is None:
            return
        self._changed_targets.add(index)
        target = self._fleet.targets[index]
        target.notices = (("Server-Leaving", "1"),)
        since = time.monotonic()
        if self._rng.random() < 0.7:
            self._fleet.call_in_loop(lambda: target.register("draining"))
        else:
            self._fleet.call_in_loop(lambda: self._fleet.store.remove("servers", target.name))
        await asyncio.sleep(LEAVING_TARGET_SERVES_S)
        self._fleet.call_in_loop(lambda: self._fleet.store.remove("servers", target.name))
        await asyncio.to_thread(self._fleet.run_in_loop, target.close())
        self.record.leaving.append(LeavingTarget(target, since, time.monotonic()))
        await asyncio.to_thread(self._fleet.replace_target, index)
        self.record.targets.append(self._fleet.targets[index])
        self._changed_targets.discard(index)

    async def _fail_target(self) -> None:
        index = self._free(len(self._fleet.targets), self._changed_targets)
        if index is None:
            return
        self._changed_targets.add(index)
        target = self._fleet.targets[index]
        target.faults.mode = self._rng.choice(
            ("errors", "shed", "reset", "truncate", "foreign", "unsigned")
        )
        target.notices = (("Retry-After", "1.5"),) if target.faults.mode == "shed" else ()
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        target.faults.mode = "none"
        target.notices = ()
        self._changed_targets.discard(index)

    async def _limit_target(self) -> None:
        index = self._free(len(self._fleet.targets), self._changed_targets)
        if index is None:
            return
        self._changed_targets.add(index)
        target = self._fleet.targets[index]
        target.notices = (("Server-Limit", f"{self._rng.uniform(0.0, 20.0):.1f}"),)
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        target.notices = ()
        self._changed_targets.discard(index)

    async def _crowd_host(self) -> None:
        """Let callers make a host hold as much as they can, for some time."""
        scenario = self._rng.choice(CROWD_SCENARIOS)
        address = self._fleet.caller_address(self._rng.randrange(len(self._fleet.processes)))
        arguments = ["tests.memorypeers", "call", scenario, str(address), str(CROWD_CONNECTIONS)]
        variables = {"PYTHONPATH": os.pathsep.join(sys.path)}
        crowd = ManagedProcess(f"crowd{next(self._ids)}", arguments, self._folder, variables)
        try:
            crowd.start()
            await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        finally:
            await asyncio.to_thread(crowd.kill)

    async def _leave_behind_many_requests(self) -> None:
        """Send many requests ahead, and leave while reading is paused."""
        address = self._fleet.caller_address(self._rng.randrange(len(self._fleet.processes)))
        try:
            async with asyncio.timeout(1.0):
                _, writer = await asyncio.open_connection(address.ip, address.port)
        except (OSError, TimeoutError):
            return
        for _ in range(40):
            request = SentRequest(f"a{next(self._ids):015x}", "GET", time.monotonic())
            self.record.requests.append(request)
            writer.write(_encode_request(request, "1.0"))
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        writer.close()


def _encode_request(request: SentRequest, work_s: str) -> bytes:
    path = "/lookup/1" if request.method == "GET" else "/reserve/1"
    return (
        f"{request.method} {path}?{request.id} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Attempt-Id: {request.id}\r\nX-Deadline-Ms: 4000\r\nX-Work-S: {work_s}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


async def _read_responses(reader: asyncio.StreamReader, sent: list[SentRequest]) -> None:
    """Read the responses to the requests of a connection until it closes."""
    for n in itertools.count():
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            body = await reader.readexactly(int(fields["content-length"]))
        sent[n].status = int(head.split(" ")[1])
        sent[n].answered_by = body.decode(errors="replace")
        sent[n].answered_id = fields.get("x-attempt-id", "")
        if fields.get("connection") == "close":
            return
