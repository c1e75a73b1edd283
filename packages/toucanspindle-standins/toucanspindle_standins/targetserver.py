"""A stand-in target: runs requests in slots for a given service time, with faults on demand.

It keeps the contract of targets in docs/architecture.md.  Besides there are, never subject to
faults:

    GET /admin/log?after=n      {"runs": [Run]} numbered above n
    GET, PUT /admin/faults      TargetFaults; a PUT replaces all of them
"""

import asyncio
import json
import os
import random
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Literal
from urllib.parse import parse_qs, unquote

from pydantic import ValidationError
from toucanspindle_core.hostport import HostPort

from toucanspindle_standins import targetanswers
from toucanspindle_standins.httpserver import (
    Exchange,
    HttpAnswer,
    HttpRequest,
    HttpServer,
    json_answer,
)
from toucanspindle_standins.runlog import Run, RunLog
from toucanspindle_standins.slotqueue import Job, SlotQueue
from toucanspindle_standins.targetfaults import FaultState, TargetFaults

CANCEL_PREFIX: Final = "/.target/requests/"
HEALTH_PATH: Final = "/.target/health"
CRASH_EXIT_CODE: Final = 70


@dataclass(frozen=True)
class TargetSettings:
    """What one stand-in target is like.

    With `own_process`, a crashing request ends the process; otherwise the target resets its
    connections and refuses new ones for a while.
    """

    name: str
    service: str
    address: HostPort
    slots: int = 4
    service_ms: float = 5.0
    distribution: Literal["fixed", "exponential"] = "fixed"
    queue_limit: int = 64
    cold_start_s: float = 0.0
    cold_start_factor: float = 1.0
    padding_bytes: int = 0
    log_path: Path | None = None
    own_process: bool = False
    seed: int = 1


class TargetServer:
    """One stand-in target at one address.

    Invariant: each run is logged before its answer is sent.
    """

    def __init__(self, settings: TargetSettings) -> None:
        """Create a target; it listens once started."""
        self.settings = settings
        self.faults = FaultState(settings.seed)
        self.log = RunLog(settings.name, settings.log_path)
        self._http = HttpServer(settings.address, self._handle)
        self._queue = SlotQueue(settings.slots, settings.queue_limit, self._run, self._refuse)
        self._random = random.Random(settings.seed)
        self._padding = "x" * settings.padding_bytes
        self._started_at = time.monotonic()
        self._life = 0
        self._previous_answer: HttpAnswer | None = None

    async def start(self) -> None:
        """Open the log and start to listen."""
        self.log.start()
        await self._http.start()
        self._started_at = time.monotonic()

    async def close(self) -> None:
        """Stop and reset all connections."""
        await self._http.close()
        self.log.close()

    async def drain(self, limit_s: float) -> None:
        """Refuse new connections, then wait until nothing runs or the limit is over."""
        self.faults.replace(self.faults.configured.model_copy(update={"draining": True}))
        self._http.stop_listening()
        end = time.monotonic() + limit_s
        while (self._queue.running or self._queue.queued) and time.monotonic() < end:
            await asyncio.sleep(0.01)

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.path.startswith("/admin/"):
            exchange.answer(self._admin(request))
        elif request.path == HEALTH_PATH:
            exchange.answer(targetanswers.with_draining(self._health(), self.faults.active()))
        elif request.method == "DELETE" and request.path.startswith(CANCEL_PREFIX):
            state = self._queue.cancel(unquote(request.path.removeprefix(CANCEL_PREFIX)))
            exchange.answer(json_answer({"state": state.value}))
        else:
            self._accept(Job(request, exchange))

    def _accept(self, job: Job) -> None:
        faults = self.faults.active()
        if self.faults.strikes(faults.reset_before_run_share):
            job.exchange.abort()
        elif self.faults.strikes(faults.shed_share):
            self._refuse(job)
        else:
            deadline = job.request.headers.get("deadline-ms", "0")
            self._queue.submit(job, int(deadline) if deadline.isdecimal() else 0)

    def _refuse(self, job: Job) -> None:
        answer = targetanswers.refusal(job.request_id)
        job.exchange.answer(targetanswers.with_draining(answer, self.faults.active()))

    def _run(self, job: Job) -> None:
        run = self.log.begin(job.request)
        if self._crashes(job.request):
            self._crash()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._service_time_s(), self._finish, job, run, self._life)

    def _finish(self, job: Job, run: Run, life: int) -> None:
        if life != self._life:
            return
        self.log.finish(run)
        self._queue.finished(job)
        faults = self.faults.active()
        if faults.answer_delay_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(faults.answer_delay_ms / 1000, self._answer, job, run, faults)
        else:
            self._answer(job, run, faults)

    def _answer(self, job: Job, run: Run, faults: TargetFaults) -> None:
        if self.faults.strikes(faults.reset_after_run_share):
            job.exchange.abort()
            return
        wrong = self.faults.is_wrong(faults, run.account)
        status = 500 if wrong and faults.wrong_kind == "error" else 200
        corrupt = wrong and faults.wrong_kind == "corrupt"
        answer = targetanswers.run_answer(
            run, self.settings.service, self._padding, status, corrupt
        )
        previous = self._previous_answer
        self._previous_answer = answer
        if previous is not None and self.faults.strikes(faults.crossed_share):
            answer = previous
        answer = targetanswers.with_draining(answer, faults)
        damaged = faults.answer_fault != "none"
        if damaged and self.faults.strikes(faults.answer_fault_share):
            targetanswers.send_damaged(job.exchange, answer, faults.answer_fault)
        else:
            job.exchange.answer(answer)

    def _service_time_s(self) -> float:
        service_s = self.settings.service_ms / 1000
        if self.settings.distribution == "exponential":
            service_s = self._random.expovariate(1 / service_s)
        faults = self.faults.active()
        if faults.slow_factor != 1 and self.faults.strikes(faults.slow_share):
            service_s *= faults.slow_factor
        return service_s * self._cold_factor()

    def _cold_factor(self) -> float:
        """Return the slowdown of a cold start, which fades evenly over its duration."""
        if not self.settings.cold_start_s:
            return 1.0
        warm = min(1.0, (time.monotonic() - self._started_at) / self.settings.cold_start_s)
        return 1 + (self.settings.cold_start_factor - 1) * (1 - warm)

    def _crashes(self, request: HttpRequest) -> bool:
        marker = self.faults.active().crash_marker
        if not marker:
            return False
        in_headers = any(marker in value for value in request.headers.values())
        return marker in request.path or in_headers or marker.encode() in request.body

    def _crash(self) -> None:
        if self.settings.own_process:
            os._exit(CRASH_EXIT_CODE)
        self._life += 1
        self._http.stop_listening()
        self._http.reset_connections()
        self._queue.forget_all()
        restart_s = self.faults.configured.crash_restart_ms / 1000
        asyncio.get_running_loop().call_later(restart_s, self._restart)

    def _restart(self) -> None:
        self._started_at = time.monotonic()
        task = asyncio.get_running_loop().create_task(self._http.start())
        self._restart_task = task

    def _health(self) -> HttpAnswer:
        says = self.faults.configured.health
        sick = says == "sick" or (says == "honest" and self.faults.is_sick())
        body = {
            "status": "sick" if sick else "ok",
            "running": self._queue.running,
            "queued": self._queue.queued,
            "slots": self.settings.slots,
        }
        return json_answer(body, 503 if sick else 200)

    def _admin(self, request: HttpRequest) -> HttpAnswer:
        if request.path == "/admin/log" and request.method == "GET":
            after = parse_qs(request.query).get("after", ["0"])[0]
            return _json_bytes(self.log.runs_json(int(after) if after.isdecimal() else 0))
        if request.path != "/admin/faults" or request.method not in {"GET", "PUT"}:
            return json_answer({"error": "not found"}, 404)
        if request.method == "PUT":
            try:
                self.faults.replace(TargetFaults.model_validate_json(request.body))
            except ValidationError as error:
                return json_answer({"error": json.loads(error.json(include_url=False))}, 400)
        return _json_bytes(self.faults.configured.model_dump_json().encode())


def _json_bytes(body: bytes) -> HttpAnswer:
    return HttpAnswer(200, body, (targetanswers.JSON_TYPE,))
