"""The stand-in platform: the object API over HTTP/JSON, with faults on demand.

The API is the one described in `toucanspindle_core.platformclient`.  Besides it there are, never
subject to faults:

    GET /admin/calls                        counts and rates of calls
    GET, PUT /admin/faults                  PlatformFaults; a PUT replaces all of them
    PUT /admin/hosts                        {"hosts": [HostEntry]}
    POST /admin/restore?kind=&name=&version=    bring an earlier version back
"""

import asyncio
import json
import math
import time
from typing import Final, Literal
from urllib.parse import parse_qs, unquote

from pydantic import BaseModel, Field, ValidationError
from toucanspindle_core.fleetconfig import StrictModel
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.platformclient import HostList

from toucanspindle_standins.callcounter import CallCounter
from toucanspindle_standins.httpserver import (
    Exchange,
    HttpAnswer,
    HttpRequest,
    HttpServer,
    json_answer,
)
from toucanspindle_standins.platformstore import (
    MAX_VALUE_BYTES,
    PlatformStore,
    StoredValue,
    WriteResult,
    WriteStatus,
)
from toucanspindle_standins.platformwatch import WaitingWatch

MAX_WATCH_S: Final = 300.0
NOT_FOUND: Final = json_answer({"error": "not found"}, 404)
AWAY: Final = json_answer({"error": "away"}, 503)


class PlatformFaults(StrictModel):
    """Faults that are in force."""

    away: Literal["no", "error", "hang"] = "no"
    slow_ms: int = Field(0, ge=0)
    lose_write_answers: int = Field(0, ge=0)
    host_list_lag_ms: int = Field(0, ge=0)


class PlatformServer:
    """Serves the object API and the admin paths at one address."""

    def __init__(self, address: HostPort, hosts: HostList) -> None:
        """Create a platform that lists the given hosts."""
        self.store = PlatformStore()
        self.calls = CallCounter()
        self.faults = PlatformFaults.model_validate({})
        self._http = HttpServer(address, self._handle)
        self._host_lists: list[tuple[float, HostList]] = [(-math.inf, hosts)]
        self._held: set[Exchange] = set()
        self._waiting: set[WaitingWatch] = set()

    async def start(self) -> None:
        """Start to listen."""
        await self._http.start()

    async def close(self) -> None:
        """Stop and reset all connections."""
        await self._http.close()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Put faults in force; calls that hang are dropped when the platform comes back."""
        self.faults = faults
        if faults.away != "hang":
            for exchange in list(self._held):
                exchange.abort()
            self._held.clear()
        if faults.away == "error":
            for watch in list(self._waiting):
                watch.drop()

    def set_hosts(self, hosts: HostList) -> None:
        """Change the host list; readers see it after the lag that is in force."""
        self._host_lists.append((time.monotonic(), hosts))

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.path.startswith("/admin/"):
            exchange.answer(self._admin(request))
            return
        parts = [unquote(part) for part in request.path.strip("/").split("/")]
        kind = parts[2] if len(parts) > 2 else parts[-1]
        self.calls.count(request.method, kind, parts[1:2] == ["watch"])
        if self.faults.away == "hang":
            self._held.add(exchange)
        elif self.faults.away == "error":
            exchange.answer(AWAY)
        elif self.faults.slow_ms:
            delay_s = self.faults.slow_ms / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._serve, request, exchange, parts)
        else:
            self._serve(request, exchange, parts)

    def _serve(self, request: HttpRequest, exchange: Exchange, parts: list[str]) -> None:
        match parts:
            case ["v1", "hosts"] if request.method == "GET":
                exchange.answer(json_answer(self._visible_hosts().model_dump()))
            case ["v1", "objects", kind] if request.method == "GET":
                exchange.answer(self._list(kind))
            case ["v1", "objects", kind, name] if request.method == "GET":
                stored = self.store.read(kind, name)
                exchange.answer(_object_answer(stored) if stored else NOT_FOUND)
            case ["v1", "objects", kind, name] if request.method in {"PUT", "DELETE"}:
                self._write(request, exchange, kind, name)
            case ["v1", "watch", kind, name] if request.method == "GET":
                self._watch(request, exchange, kind, name)
            case _:
                exchange.answer(NOT_FOUND)

    def _list(self, kind: str) -> HttpAnswer:
        items = [
            b'{"name": %s, "version": %d, "value": %s}'
            % (json.dumps(name).encode(), stored.version, stored.value)
            for name, stored in self.store.list_kind(kind)
        ]
        return _raw_json(b'{"objects": [' + b", ".join(items) + b"]}")

    def _write(self, request: HttpRequest, exchange: Exchange, kind: str, name: str) -> None:
        answer, took_effect = self._apply_write(request, kind, name)
        if took_effect and self.faults.lose_write_answers:
            left = self.faults.lose_write_answers - 1
            self.faults = self.faults.model_copy(update={"lose_write_answers": left})
            exchange.close()
            return
        exchange.answer(answer)

    def _apply_write(self, request: HttpRequest, kind: str, name: str) -> tuple[HttpAnswer, bool]:
        match = request.headers.get("if-match", "").strip('"')
        create = request.headers.get("if-none-match") == "*"
        if create == bool(match) or (match and not match.isdecimal()):
            return json_answer({"error": "name If-Match: n or If-None-Match: *"}, 428), False
        if request.method == "DELETE":
            if create:
                return json_answer({"error": "a delete names If-Match: n"}, 400), False
            result = self.store.delete(kind, name, int(match))
            return _write_answer(result, 204), result.status is WriteStatus.DONE
        if len(request.body) > MAX_VALUE_BYTES:
            return json_answer({"error": "a value holds at most 1 MB"}, 413), False
        try:
            json.loads(request.body)
        except ValueError:
            return json_answer({"error": "the value isn't JSON"}, 400), False
        result = self.store.write(kind, name, request.body, None if create else int(match))
        return _write_answer(result, 200), result.status is WriteStatus.DONE

    def _watch(self, request: HttpRequest, exchange: Exchange, kind: str, name: str) -> None:
        query = parse_qs(request.query)
        try:
            after = int(query.get("after", ["0"])[0])
            wait_s = min(float(query.get("wait_s", ["30"])[0]), MAX_WATCH_S)
        except ValueError:
            exchange.answer(json_answer({"error": "after and wait_s are numbers"}, 400))
            return
        watch = WaitingWatch(exchange, self._deliver, self._waiting)
        watch.start(self.store, kind, name, after, wait_s)

    def _deliver(self, exchange: Exchange, value: StoredValue) -> None:
        if self.faults.away == "hang":
            self._held.add(exchange)
        else:
            exchange.answer(_object_answer(value))

    def _visible_hosts(self) -> HostList:
        limit = time.monotonic() - self.faults.host_list_lag_ms / 1000
        visible = [hosts for since, hosts in self._host_lists if since <= limit]
        return visible[-1]

    def _admin(self, request: HttpRequest) -> HttpAnswer:
        try:
            return self._admin_call(request)
        except (ValidationError, ValueError, KeyError) as error:
            return json_answer({"error": str(error)}, 400)

    def _admin_call(self, request: HttpRequest) -> HttpAnswer:
        match request.method, request.path:
            case "GET", "/admin/calls":
                return json_answer(self.calls.report(len(self._waiting)).as_json())
            case "GET", "/admin/faults":
                return _model_answer(self.faults)
            case "PUT", "/admin/faults":
                self.set_faults(PlatformFaults.model_validate_json(request.body))
                return _model_answer(self.faults)
            case "GET", "/admin/hosts":
                return _model_answer(self._host_lists[-1][1])
            case "PUT", "/admin/hosts":
                self.set_hosts(HostList.model_validate_json(request.body))
                return _model_answer(self._host_lists[-1][1])
            case "POST", "/admin/restore":
                query = {name: values[0] for name, values in parse_qs(request.query).items()}
                restored = self.store.restore(query["kind"], query["name"], int(query["version"]))
                return json_answer({"restored": restored}, 200 if restored else 404)
        return NOT_FOUND


def _model_answer(model: BaseModel) -> HttpAnswer:
    return _raw_json(model.model_dump_json().encode())


def _raw_json(body: bytes) -> HttpAnswer:
    return HttpAnswer(200, body, (("Content-Type", "application/json"),))


def _object_answer(stored: StoredValue) -> HttpAnswer:
    return _raw_json(b'{"version": %d, "value": %s}' % (stored.version, stored.value))


def _write_answer(result: WriteResult, done_status: int) -> HttpAnswer:
    if result.status is WriteStatus.CONFLICT:
        return json_answer({"error": "conflict", "version": result.version}, 409)
    if result.status is WriteStatus.ABSENT:
        # A conditional update of what isn't there is a conflict too, except for a delete.
        status = 404 if done_status == 204 else 409
        return json_answer({"error": "there is no such object", "version": 0}, status)
    if done_status == 204:
        return HttpAnswer(204)
    return json_answer({"version": result.version})
