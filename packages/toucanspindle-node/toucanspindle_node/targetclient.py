"""Sends one attempt to one target, and classifies its response.

This module uses plain sockets and parses responses with httptools, so that no HTTP client library
can repeat or redirect an attempt.  (urllib3 used more than half of the request path's processor
time; see docs/design/data-path.md.)  An attempt ends as

- ANSWERED: a complete response that echoes the attempt's id, or echoes no id on a new connection;
- NOT_CONNECTED: no connection was established, so no byte of the request was written;
- SHED: the target reports that it didn't run the request;
- TIMED_OUT: the timeout expired after the request may have been written;
- BROKEN: the connection broke, or the response was incomplete or malformed; `crashed` is set when
  no byte of a response was received;
- MISMATCHED_ID: the response echoes the id of another request, or no id on a reused connection,
  where it may be an earlier response that the target repeats.

A connection is reused only after ANSWERED or SHED.  After any other result it is closed, so that
a late response can't reach another caller.  A response without a length, which ends when the target
closes the connection, can't be distinguished from a truncated one and counts as BROKEN.
"""

import json
import socket
import time
from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_core.hostport import HostPort
from toucanspindle_core.policy import Target

from toucanspindle_node.targetanswer import BrokenResponseError, TargetResponse, read_response
from toucanspindle_node.targetconnections import (
    NoConnectionError,
    TargetConnectionPools,
)

REQUEST_ID_HEADER: Final = "Request-Id"
DRAINING_HEADER: Final = "Target-Draining"
OUTCOME_HEADER: Final = "Target-Outcome"
CANCEL_TIMEOUT_S: Final = 0.25
HEALTH_TIMEOUT_S: Final = 1.0
MAX_CONTROL_CONNECTIONS: Final = 16
METHODS_WITHOUT_BODY: Final = frozenset({"GET", "HEAD", "DELETE"})
CANCELLED_STATE: Final = "cancelled-before-run"
NOT_FORWARDED_HEADERS: Final = frozenset(
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
    NOT_CONNECTED = "no connection"
    SHED = "shed"
    TIMED_OUT = "timed out"
    BROKEN = "broken answer"
    MISMATCHED_ID = "answer to another request"


@dataclass(frozen=True)
class Attempt:
    """A request to a target; `path` includes the query, `attempt_id` is unique to the attempt.

    Targets don't echo the id of a control request (`is_control`).
    """

    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_control: bool = False


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended after `elapsed_s` seconds, with the response if there is one.

    `draining` is the target's drain signal.  `crashed` means that the connection broke before the
    first byte of a response, as when the request crashes the target.  `is_reusable` means that the
    connection can be used for another attempt.  `lacks_id` means that the response echoes no id.
    """

    kind: AttemptKind
    elapsed_s: float
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    draining: bool = False
    crashed: bool = False
    is_reusable: bool = False
    lacks_id: bool = False


class TargetClient:
    """Sends attempts to targets; safe for use by several threads."""

    def __init__(self) -> None:
        """Create a client; connections are opened on demand."""
        self._connection_pools = TargetConnectionPools()

    def close(self) -> None:
        """Close all idle connections."""
        self._connection_pools.close()

    def send(
        self, target: Target, attempt: Attempt, timeout_s: float, max_connections: int
    ) -> AttemptResult:
        """Send an attempt and return its result within `timeout_s` seconds."""
        started_at = time.monotonic()
        pool = self._connection_pools.pool_for(target.address, max_connections)
        try:
            connection, reused = pool.acquire(timeout_s)
        except NoConnectionError:
            return AttemptResult(AttemptKind.NOT_CONNECTED, time.monotonic() - started_at)
        result = _send_and_receive(connection, target.address, attempt, started_at, timeout_s)
        if result.lacks_id and reused and not attempt.is_control:
            result = AttemptResult(AttemptKind.MISMATCHED_ID, result.elapsed_s)
        pool.release(connection, result.is_reusable)
        return result

    def cancel(self, target: Target, attempt_id: str) -> bool:
        """Cancel an attempt; return True only if the target confirms that it didn't run it."""
        path = f"/.target/requests/{attempt_id}"
        result = self._send_control_request(target, "DELETE", path, CANCEL_TIMEOUT_S)
        try:
            return bool(json.loads(result.body)["state"] == CANCELLED_STATE)
        except (ValueError, KeyError, TypeError):
            return False

    def is_draining(self, target: Target) -> bool | None:
        """Return the drain signal from the target's health endpoint; None without a response."""
        result = self._send_control_request(target, "GET", "/.target/health", HEALTH_TIMEOUT_S)
        return result.draining if result.kind is AttemptKind.ANSWERED else None

    def _send_control_request(
        self, target: Target, method: str, path: str, timeout_s: float
    ) -> AttemptResult:
        attempt = Attempt("control", method, path, {}, b"", is_control=True)
        return self.send(target, attempt, timeout_s, MAX_CONTROL_CONNECTIONS)


def _send_and_receive(
    connection: socket.socket,
    address: HostPort,
    attempt: Attempt,
    started_at: float,
    timeout_s: float,
) -> AttemptResult:
    deadline = started_at + timeout_s
    try:
        connection.settimeout(timeout_s)
        connection.sendall(_encode_request(attempt, address, timeout_s))
        response = read_response(connection, attempt.method, deadline)
    except TimeoutError:
        return AttemptResult(AttemptKind.TIMED_OUT, time.monotonic() - started_at)
    except BrokenResponseError as error:
        elapsed_s = time.monotonic() - started_at
        return AttemptResult(AttemptKind.BROKEN, elapsed_s, crashed=not error.response_started)
    except OSError:
        return AttemptResult(AttemptKind.BROKEN, time.monotonic() - started_at, crashed=True)
    return _result_from_response(response, attempt, time.monotonic() - started_at)


def _encode_request(attempt: Attempt, address: HostPort, timeout_s: float) -> bytes:
    """Return the bytes of a request; the values come from parsed headers without line ends."""
    lines = [f"{attempt.method} {attempt.path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{k}: {v}" for k, v in attempt.headers.items() if k not in NOT_FORWARDED_HEADERS]
    lines.append(f"{REQUEST_ID_HEADER}: {attempt.attempt_id}")
    lines.append(f"Deadline-Ms: {max(1, int(timeout_s * 1000))}")
    if attempt.body or attempt.method not in METHODS_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(attempt.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + attempt.body


def _result_from_response(
    response: TargetResponse, attempt: Attempt, elapsed_s: float
) -> AttemptResult:
    echoed_id = response.header(REQUEST_ID_HEADER.lower())
    if echoed_id is not None and echoed_id != attempt.attempt_id:
        return AttemptResult(AttemptKind.MISMATCHED_ID, elapsed_s)
    is_shed = response.status == 503 and response.header(OUTCOME_HEADER.lower()) == "not-run"
    forwarded_headers = tuple(
        (k, v) for k, v in response.headers if k.lower() not in NOT_FORWARDED_HEADERS
    )
    return AttemptResult(
        AttemptKind.SHED if is_shed else AttemptKind.ANSWERED,
        elapsed_s,
        response.status,
        forwarded_headers,
        response.body,
        response.header(DRAINING_HEADER.lower()) == "1",
        is_reusable=response.keep_alive,
        lacks_id=echoed_id is None,
    )
