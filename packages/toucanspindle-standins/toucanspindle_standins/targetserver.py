"""A stand-in target that occupies a slot for a service time per request, with injected faults.

It implements the contract of targets in docs/architecture.md.  Faults never affect these admin
calls:

    GET /admin/log?after=n      {"runs": [Run]} with run numbers above n
    GET, PUT /admin/faults      TargetFaults; a PUT replaces all faults
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
    """Settings of one stand-in target.

    With `own_process`, a request with the crash marker ends the process; otherwise the target
    resets its connections and refuses new ones for TargetFaults.crash_restart_ms.
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
    """One stand-in target that listens at one address.

    Invariant: the end of each run is logged before its answer is sent.
    """

    def __init__(self, settings: TargetSettings) -> None:
        """Create a target that doesn't listen yet."""
        self.settings = settings
        self.faults = FaultState(settings.seed)
        self.log = RunLog(settings.name, settings.log_path)
        self._http = HttpServer(settings.address, self._handle)
        self._queue = SlotQueue(
            settings.slots, settings.queue_limit, self._start_run, self._refuse_job
        )
        self._random = random.Random(settings.seed)
        self._padding = "x" * settings.padding_bytes
        self._started_at_s = time.monotonic()
        self._incarnation = 0
        self._previous_answer: HttpAnswer | None = None

    async def start(self) -> None:
        """Open the run log and listen; raise OSError if the address can't be bound."""
        self.log.start()
        await self._http.start()
        self._started_at_s = time.monotonic()

    async def close(self) -> None:
        """Stop listening, reset all connections and close the run log."""
        await self._http.close()
        self.log.close()

    async def drain(self, limit_s: float) -> None:
        """Refuse new connections and wait until no request runs or waits, at most `limit_s`."""
        self.faults.replace(self.faults.configured.model_copy(update={"draining": True}))
        self._http.stop_listening()
        deadline_s = time.monotonic() + limit_s
        while (self._queue.running or self._queue.queued) and time.monotonic() < deadline_s:
            await asyncio.sleep(0.01)

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.path.startswith("/admin/"):
            exchange.answer(self._admin_answer(request))
        elif request.path == HEALTH_PATH:
            exchange.answer(targetanswers.with_draining(self._health(), self.faults.active()))
        elif request.method == "DELETE" and request.path.startswith(CANCEL_PREFIX):
            state = self._queue.cancel(unquote(request.path.removeprefix(CANCEL_PREFIX)))
            exchange.answer(json_answer({"state": state.value}))
        else:
            self._submit(Job(request, exchange))

    def _submit(self, job: Job) -> None:
        faults = self.faults.active()
        if self.faults.draw_fault(faults.reset_before_run_share):
            job.exchange.abort()
        elif self.faults.draw_fault(faults.shed_share):
            self._refuse_job(job)
        else:
            deadline = job.request.headers.get("deadline-ms", "0")
            self._queue.submit(job, int(deadline) if deadline.isdecimal() else 0)

    def _refuse_job(self, job: Job) -> None:
        answer = targetanswers.refusal(job.request_id)
        job.exchange.answer(targetanswers.with_draining(answer, self.faults.active()))

    def _start_run(self, job: Job) -> None:
        run = self.log.begin(job.request)
        if self._contains_crash_marker(job.request):
            self._crash()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._service_time_s(), self._finish_run, job, run, self._incarnation)

    def _finish_run(self, job: Job, run: Run, incarnation: int) -> None:
        if incarnation != self._incarnation:
            return
        self.log.finish(run)
        self._queue.finish(job)
        faults = self.faults.active()
        if faults.answer_delay_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(faults.answer_delay_ms / 1000, self._send_answer, job, run, faults)
        else:
            self._send_answer(job, run, faults)

    def _send_answer(self, job: Job, run: Run, faults: TargetFaults) -> None:
        if self.faults.draw_fault(faults.reset_after_run_share):
            job.exchange.abort()
            return
        wrong = self.faults.draw_wrong_answer(faults, run.account)
        status = 500 if wrong and faults.wrong_kind == "error" else 200
        corrupt = wrong and faults.wrong_kind == "corrupt"
        answer = targetanswers.run_answer(
            run, self.settings.service, self._padding, status, corrupt
        )
        previous = self._previous_answer
        self._previous_answer = answer
        if previous is not None and self.faults.draw_fault(faults.crossed_share):
            answer = previous
        answer = targetanswers.with_draining(answer, faults)
        has_answer_fault = faults.answer_fault != "none"
        if has_answer_fault and self.faults.draw_fault(faults.answer_fault_share):
            targetanswers.send_damaged(job.exchange, answer, faults.answer_fault)
        else:
            job.exchange.answer(answer)

    def _service_time_s(self) -> float:
        service_s = self.settings.service_ms / 1000
        if self.settings.distribution == "exponential":
            service_s = self._random.expovariate(1 / service_s)
        faults = self.faults.active()
        if faults.slow_factor != 1 and self.faults.draw_fault(faults.slow_share):
            service_s *= faults.slow_factor
        return service_s * self._cold_start_slowdown()

    def _cold_start_slowdown(self) -> float:
        """Return the slowdown of a cold start, which falls linearly to 1 over cold_start_s."""
        if not self.settings.cold_start_s:
            return 1.0
        warmup_share = min(
            1.0, (time.monotonic() - self._started_at_s) / self.settings.cold_start_s
        )
        return 1 + (self.settings.cold_start_factor - 1) * (1 - warmup_share)

    def _contains_crash_marker(self, request: HttpRequest) -> bool:
        marker = self.faults.active().crash_marker
        if not marker:
            return False
        in_headers = any(marker in value for value in request.headers.values())
        return marker in request.path or in_headers or marker.encode() in request.body

    def _crash(self) -> None:
        if self.settings.own_process:
            os._exit(CRASH_EXIT_CODE)
        self._incarnation += 1
        self._http.stop_listening()
        self._http.reset_connections()
        self._queue.drop_all()
        restart_s = self.faults.configured.crash_restart_ms / 1000
        asyncio.get_running_loop().call_later(restart_s, self._restart)

    def _restart(self) -> None:
        self._started_at_s = time.monotonic()
        task = asyncio.get_running_loop().create_task(self._http.start())
        self._restart_task = task

    def _health(self) -> HttpAnswer:
        configured_health = self.faults.configured.health
        is_unhealthy = configured_health == "sick" or (
            configured_health == "honest" and self.faults.has_active_fault()
        )
        body = {
            "status": "sick" if is_unhealthy else "ok",
            "running": self._queue.running,
            "queued": self._queue.queued,
            "slots": self.settings.slots,
        }
        return json_answer(body, 503 if is_unhealthy else 200)

    def _admin_answer(self, request: HttpRequest) -> HttpAnswer:
        if request.path == "/admin/log" and request.method == "GET":
            after = parse_qs(request.query).get("after", ["0"])[0]
            return _json_bytes_answer(self.log.runs_json(int(after) if after.isdecimal() else 0))
        if request.path != "/admin/faults" or request.method not in {"GET", "PUT"}:
            return json_answer({"error": "not found"}, 404)
        if request.method == "PUT":
            try:
                self.faults.replace(TargetFaults.model_validate_json(request.body))
            except ValidationError as error:
                return json_answer({"error": json.loads(error.json(include_url=False))}, 400)
        return _json_bytes_answer(self.faults.configured.model_dump_json().encode())


def _json_bytes_answer(body: bytes) -> HttpAnswer:
    return HttpAnswer(200, body, (targetanswers.JSON_TYPE,))
