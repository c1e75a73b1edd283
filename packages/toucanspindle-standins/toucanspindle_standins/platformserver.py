"""A stand-in platform that serves the object API over HTTP/JSON, with injected faults.

`toucanspindle_core.platformclient` describes the API.  Faults never affect these admin calls:

    GET /admin/calls                        counts and rates of calls
    GET, PUT /admin/faults                  PlatformFaults; a PUT replaces all faults
    GET, PUT /admin/hosts                   {"hosts": [HostEntry]}
    POST /admin/restore?kind=&name=&version=    restores an earlier version
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
from toucanspindle_standins.platformwatch import LongPoll

MAX_WATCH_WAIT_S: Final = 300.0
NOT_FOUND: Final = json_answer({"error": "not found"}, 404)
UNAVAILABLE: Final = json_answer({"error": "away"}, 503)


class PlatformFaults(StrictModel):
    """Configured faults.

    With `away`, all API calls get a 503 ("error") or no answer ("hang").  `slow_ms` delays each
    call.  The next `lose_write_answers` writes take effect, but their connections are closed
    without an answer.  Readers see changes of the host list after `host_list_lag_ms`.
    """

    away: Literal["no", "error", "hang"] = "no"
    slow_ms: int = Field(0, ge=0)
    lose_write_answers: int = Field(0, ge=0)
    host_list_lag_ms: int = Field(0, ge=0)


class PlatformServer:
    """Serves the object API and the admin paths at one address."""

    def __init__(self, address: HostPort, hosts: HostList) -> None:
        """Create a platform with an initial host list; it doesn't listen yet."""
        self.store = PlatformStore()
        self.calls = CallCounter()
        self.faults = PlatformFaults.model_validate({})
        self._http = HttpServer(address, self._handle)
        self._host_lists: list[tuple[float, HostList]] = [(-math.inf, hosts)]
        self._hanging: set[Exchange] = set()
        self._waiting_watches: set[LongPoll] = set()

    async def start(self) -> None:
        """Listen; raise OSError if the address can't be bound."""
        await self._http.start()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        await self._http.close()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace all faults; unless `away` is still "hang", reset the hanging connections."""
        self.faults = faults
        if faults.away != "hang":
            for exchange in list(self._hanging):
                exchange.abort()
            self._hanging.clear()
        if faults.away == "error":
            for long_poll in list(self._waiting_watches):
                long_poll.abort()

    def set_hosts(self, hosts: HostList) -> None:
        """Replace the host list; readers see it after the configured lag."""
        self._host_lists.append((time.monotonic(), hosts))

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        if request.path.startswith("/admin/"):
            exchange.answer(self._admin_answer(request))
            return
        segments = [unquote(part) for part in request.path.strip("/").split("/")]
        kind = segments[2] if len(segments) > 2 else segments[-1]
        self.calls.count(request.method, kind, segments[1:2] == ["watch"])
        if self.faults.away == "hang":
            self._hanging.add(exchange)
        elif self.faults.away == "error":
            exchange.answer(UNAVAILABLE)
        elif self.faults.slow_ms:
            delay_s = self.faults.slow_ms / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._serve, request, exchange, segments)
        else:
            self._serve(request, exchange, segments)

    def _serve(self, request: HttpRequest, exchange: Exchange, segments: list[str]) -> None:
        match segments:
            case ["v1", "hosts"] if request.method == "GET":
                exchange.answer(json_answer(self._visible_hosts().model_dump()))
            case ["v1", "objects", kind] if request.method == "GET":
                exchange.answer(self._list_answer(kind))
            case ["v1", "objects", kind, name] if request.method == "GET":
                stored = self.store.read(kind, name)
                exchange.answer(_object_answer(stored) if stored else NOT_FOUND)
            case ["v1", "objects", kind, name] if request.method in {"PUT", "DELETE"}:
                self._serve_write(request, exchange, kind, name)
            case ["v1", "watch", kind, name] if request.method == "GET":
                self._serve_watch(request, exchange, kind, name)
            case _:
                exchange.answer(NOT_FOUND)

    def _list_answer(self, kind: str) -> HttpAnswer:
        items = [
            b'{"name": %s, "version": %d, "value": %s}'
            % (json.dumps(name).encode(), stored.version, stored.value)
            for name, stored in self.store.list_kind(kind)
        ]
        return _json_bytes_answer(b'{"objects": [' + b", ".join(items) + b"]}")

    def _serve_write(self, request: HttpRequest, exchange: Exchange, kind: str, name: str) -> None:
        answer, applied = self._apply_write(request, kind, name)
        if applied and self.faults.lose_write_answers:
            remaining = self.faults.lose_write_answers - 1
            self.faults = self.faults.model_copy(update={"lose_write_answers": remaining})
            exchange.close()
            return
        exchange.answer(answer)

    def _apply_write(self, request: HttpRequest, kind: str, name: str) -> tuple[HttpAnswer, bool]:
        if_match = request.headers.get("if-match", "").strip('"')
        if_none_match = request.headers.get("if-none-match") == "*"
        if if_none_match == bool(if_match) or (if_match and not if_match.isdecimal()):
            return json_answer({"error": "give If-Match: n or If-None-Match: *"}, 428), False
        if request.method == "DELETE":
            if if_none_match:
                return json_answer({"error": "a delete needs If-Match: n"}, 400), False
            result = self.store.delete(kind, name, int(if_match))
            return _write_answer(result, 204), result.status is WriteStatus.DONE
        if len(request.body) > MAX_VALUE_BYTES:
            return json_answer({"error": "a value must not exceed 1 MB"}, 413), False
        try:
            json.loads(request.body)
        except ValueError:
            return json_answer({"error": "the value isn't JSON"}, 400), False
        result = self.store.write(
            kind, name, request.body, None if if_none_match else int(if_match)
        )
        return _write_answer(result, 200), result.status is WriteStatus.DONE

    def _serve_watch(self, request: HttpRequest, exchange: Exchange, kind: str, name: str) -> None:
        query = parse_qs(request.query)
        try:
            after = int(query.get("after", ["0"])[0])
            wait_s = min(float(query.get("wait_s", ["30"])[0]), MAX_WATCH_WAIT_S)
        except ValueError:
            exchange.answer(json_answer({"error": "after and wait_s must be numbers"}, 400))
            return
        long_poll = LongPoll(exchange, self._send_watch_value, self._waiting_watches)
        long_poll.start(self.store, kind, name, after, wait_s)

    def _send_watch_value(self, exchange: Exchange, value: StoredValue) -> None:
        if self.faults.away == "hang":
            self._hanging.add(exchange)
        else:
            exchange.answer(_object_answer(value))

    def _visible_hosts(self) -> HostList:
        visible_until_s = time.monotonic() - self.faults.host_list_lag_ms / 1000
        visible_lists = [
            hosts for set_at_s, hosts in self._host_lists if set_at_s <= visible_until_s
        ]
        return visible_lists[-1]

    def _admin_answer(self, request: HttpRequest) -> HttpAnswer:
        try:
            return self._serve_admin_call(request)
        except (ValidationError, ValueError, KeyError) as error:
            return json_answer({"error": str(error)}, 400)

    def _serve_admin_call(self, request: HttpRequest) -> HttpAnswer:
        match request.method, request.path:
            case "GET", "/admin/calls":
                return json_answer(self.calls.report(len(self._waiting_watches)).as_json())
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
    return _json_bytes_answer(model.model_dump_json().encode())


def _json_bytes_answer(body: bytes) -> HttpAnswer:
    return HttpAnswer(200, body, (("Content-Type", "application/json"),))


def _object_answer(stored: StoredValue) -> HttpAnswer:
    return _json_bytes_answer(b'{"version": %d, "value": %s}' % (stored.version, stored.value))


def _write_answer(result: WriteResult, done_status: int) -> HttpAnswer:
    if result.status is WriteStatus.CONFLICT:
        return json_answer({"error": "conflict", "version": result.version}, 409)
    if result.status is WriteStatus.ABSENT:
        # A conditional update of an absent object is a conflict; a conditional delete gives 404.
        status = 404 if done_status == 204 else 409
        return json_answer({"error": "there is no such object", "version": 0}, status)
    if done_status == 204:
        return HttpAnswer(204)
    return json_answer({"version": result.version})
