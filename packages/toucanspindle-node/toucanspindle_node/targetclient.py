"""Sends one attempt to one target through urllib3, and verifies its answer.

One urllib3 connection serves one attempt at a time, without urllib3's pool, so that nothing but
this module could ever repeat or redirect an attempt.  An attempt ends as

- ANSWERED: a whole answer that echoes the attempt's id (or echoes none at all);
- REFUSED: no connection came about, so no byte of the request was written;
- SHED: the target says that it didn't run the request;
- TIMED_OUT: the time was up after the request may have been written;
- BROKEN: the connection broke, or the answer was short or malformed; `crashed` when not a byte
  of an answer came;
- FOREIGN: the answer echoes the id of another request.

A connection is used again only after ANSWERED or SHED; after anything else it is closed, so that
a late answer can never reach another caller.  An answer without a length, ended by the closing of
its connection, can't be told from a short one and counts as BROKEN.
"""

import json
import time
from dataclasses import dataclass
from enum import Enum
from http.client import HTTPException
from typing import Final

from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.policy import Target
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from toucanspindle_node.targetconnections import (
    AddressConnections,
    DeadlineWatchdog,
    NoConnectionError,
    TargetConnections,
)

ID_HEADER: Final = "Request-Id"
DRAINING_HEADER: Final = "Target-Draining"
OUTCOME_HEADER: Final = "Target-Outcome"
CANCEL_TIMEOUT_S: Final = 0.25
PROBE_TIMEOUT_S: Final = 1.0
CONTROL_CONNECTIONS: Final = 16
CANCELLED: Final = "cancelled-before-run"
NOT_FORWARDED: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
        "date",
        "request-id",
        "target-draining",
        "target-outcome",
        "toucan-token",
        "toucan-outcome",
        "toucan-error",
        "toucan-request-id",
        "toucan-deadline-ms",
    }
)


class AttemptKind(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    REFUSED = "no connection"
    SHED = "shed"
    TIMED_OUT = "timed out"
    BROKEN = "broken answer"
    FOREIGN = "answer to another request"


REUSABLE_AFTER: Final = frozenset({AttemptKind.ANSWERED, AttemptKind.SHED})


@dataclass(frozen=True)
class Attempt:
    """What is sent to a target; `attempt_id` is unique to the attempt."""

    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended, with the answer where there is one; `elapsed_s` is its time."""

    kind: AttemptKind
    elapsed_s: float
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    draining: bool = False
    crashed: bool = False


class TargetClient:
    """Sends attempts to targets; safe for use by several threads."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._connections = TargetConnections()
        self._watchdog = DeadlineWatchdog(MonotonicClock())
        self._watchdog.start()

    def close(self) -> None:
        """Close all idle connections."""
        self._watchdog.close()
        self._connections.close()

    def send(
        self, target: Target, attempt: Attempt, timeout_s: float, max_connections: int
    ) -> AttemptResult:
        """Send an attempt and return how it ended within `timeout_s` seconds."""
        started_at = time.monotonic()
        connections = self._connections.to(target.address, max_connections)
        try:
            connection = connections.acquire(timeout_s)
        except NoConnectionError:
            return AttemptResult(AttemptKind.REFUSED, time.monotonic() - started_at)
        return self._use(connections, connection, attempt, started_at + timeout_s)

    def cancel(self, target: Target, attempt_id: str) -> bool:
        """Cancel an attempt; return True only if the target says it never ran."""
        path = f"/.target/requests/{attempt_id}"
        result = self._control(target, "DELETE", path, CANCEL_TIMEOUT_S)
        try:
            return bool(json.loads(result.body)["state"] == CANCELLED)
        except (ValueError, KeyError, TypeError):
            return False

    def is_draining(self, target: Target) -> bool | None:
        """Ask the target's health endpoint for the drain signal; None when it doesn't answer."""
        result = self._control(target, "GET", "/.target/health", PROBE_TIMEOUT_S)
        return result.draining if result.kind is AttemptKind.ANSWERED else None

    def _control(self, target: Target, method: str, path: str, timeout_s: float) -> AttemptResult:
        attempt = Attempt("control", method, path, {}, b"")
        return self.send(target, attempt, timeout_s, CONTROL_CONNECTIONS)

    def _use(
        self,
        connections: AddressConnections,
        connection: HTTPConnection,
        attempt: Attempt,
        deadline: float,
    ) -> AttemptResult:
        started_at = time.monotonic()
        self._watchdog.watch(connection, deadline)
        try:
            result = _exchange(connection, attempt, started_at, deadline)
        finally:
            self._watchdog.release(connection)
            reusable = connection.sock is not None
            connections.release(connection, reusable)
        return result


def _forwarded(attempt: Attempt, timeout_s: float) -> dict[str, str]:
    headers = {k: v for k, v in attempt.headers.items() if k not in NOT_FORWARDED}
    headers[ID_HEADER] = attempt.attempt_id
    headers["Deadline-Ms"] = str(max(1, int(timeout_s * 1000)))
    headers.setdefault("user-agent", "toucanspindle")
    headers.setdefault("accept-encoding", "identity")
    return headers


def _exchange(
    connection: HTTPConnection, attempt: Attempt, started_at: float, deadline: float
) -> AttemptResult:
    """Write the attempt and read its answer; the connection stays open only if it is reusable."""
    answer_began = False
    try:
        connection.request(
            attempt.method,
            attempt.path,
            body=attempt.body or None,
            headers=_forwarded(attempt, deadline - started_at),
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        answer_began = True
        result = _read_answer(response, attempt, started_at)
    except (HTTPError, HTTPException, OSError, ValueError) as error:
        result = _failed(error, answer_began, started_at, deadline)
    if result.kind not in REUSABLE_AFTER:
        connection.close()
    return result


def _failed(
    error: Exception, answer_began: bool, started_at: float, deadline: float
) -> AttemptResult:
    now = time.monotonic()
    if now >= deadline or isinstance(error, TimeoutError):
        return AttemptResult(AttemptKind.TIMED_OUT, now - started_at)
    return AttemptResult(AttemptKind.BROKEN, now - started_at, crashed=not answer_began)


def _read_answer(response: HTTPResponse, attempt: Attempt, started_at: float) -> AttemptResult:
    headers = response.headers
    echoed_id = headers.get(ID_HEADER)
    if echoed_id is not None and echoed_id != attempt.attempt_id:
        return AttemptResult(AttemptKind.FOREIGN, time.monotonic() - started_at)
    if not _has_length(attempt.method, response):
        return AttemptResult(AttemptKind.BROKEN, time.monotonic() - started_at)
    body = response.read(decode_content=False)
    shed = response.status == 503 and headers.get(OUTCOME_HEADER) == "not-run"
    passed_on = [(k, v) for k, v in headers.items() if k.lower() not in NOT_FORWARDED]
    return AttemptResult(
        AttemptKind.SHED if shed else AttemptKind.ANSWERED,
        time.monotonic() - started_at,
        response.status,
        tuple(passed_on),
        body,
        headers.get(DRAINING_HEADER) == "1",
    )


def _has_length(method: str, response: HTTPResponse) -> bool:
    if method == "HEAD" or response.status in {204, 304}:
        return True
    headers = response.headers
    chunked = headers.get("transfer-encoding", "").lower() == "chunked"
    return chunked or headers.get("content-length", "").isdigit()
