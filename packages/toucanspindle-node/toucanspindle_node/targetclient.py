"""Sends one attempt to one target, and verifies its answer.

Connections are plain sockets and answers are read with httptools: nothing but this module could
repeat or redirect an attempt.  (urllib3 cost over half of the request path's processor time; see
docs/design/data-path.md.)  An attempt ends as

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
import socket
import time
from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_core.hostport import HostPort
from toucanspindle_core.policy import Target

from toucanspindle_node.targetanswer import BrokenAnswerError, TargetAnswer, read_answer
from toucanspindle_node.targetconnections import (
    NoConnectionError,
    TargetConnections,
)

ID_HEADER: Final = "Request-Id"
DRAINING_HEADER: Final = "Target-Draining"
OUTCOME_HEADER: Final = "Target-Outcome"
CANCEL_TIMEOUT_S: Final = 0.25
PROBE_TIMEOUT_S: Final = 1.0
CONTROL_CONNECTIONS: Final = 16
BODILESS_METHODS: Final = frozenset({"GET", "HEAD", "DELETE"})
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
    is_reusable: bool = False


class TargetClient:
    """Sends attempts to targets; safe for use by several threads."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._connections = TargetConnections()

    def close(self) -> None:
        """Close all idle connections."""
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
        result = _exchange(connection, target.address, attempt, started_at, timeout_s)
        connections.release(connection, result.is_reusable)
        return result

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


def _exchange(
    connection: socket.socket,
    address: HostPort,
    attempt: Attempt,
    started_at: float,
    timeout_s: float,
) -> AttemptResult:
    deadline = started_at + timeout_s
    try:
        connection.settimeout(timeout_s)
        connection.sendall(_encode(attempt, address, timeout_s))
        answer = read_answer(connection, attempt.method, deadline)
    except TimeoutError:
        return AttemptResult(AttemptKind.TIMED_OUT, time.monotonic() - started_at)
    except BrokenAnswerError as error:
        elapsed_s = time.monotonic() - started_at
        return AttemptResult(AttemptKind.BROKEN, elapsed_s, crashed=not error.began)
    except OSError:
        return AttemptResult(AttemptKind.BROKEN, time.monotonic() - started_at, crashed=True)
    return _verify(answer, attempt, time.monotonic() - started_at)


def _encode(attempt: Attempt, address: HostPort, timeout_s: float) -> bytes:
    """Return the bytes of a request; values come from parsed headers and hold no line ends."""
    lines = [f"{attempt.method} {attempt.path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{k}: {v}" for k, v in attempt.headers.items() if k not in NOT_FORWARDED]
    lines.append(f"{ID_HEADER}: {attempt.attempt_id}")
    lines.append(f"Deadline-Ms: {max(1, int(timeout_s * 1000))}")
    if attempt.body or attempt.method not in BODILESS_METHODS:
        lines.append(f"Content-Length: {len(attempt.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + attempt.body


def _verify(answer: TargetAnswer, attempt: Attempt, elapsed_s: float) -> AttemptResult:
    echoed_id = answer.header(ID_HEADER.lower())
    if echoed_id is not None and echoed_id != attempt.attempt_id:
        return AttemptResult(AttemptKind.FOREIGN, elapsed_s)
    shed = answer.status == 503 and answer.header(OUTCOME_HEADER.lower()) == "not-run"
    passed_on = tuple((k, v) for k, v in answer.headers if k.lower() not in NOT_FORWARDED)
    return AttemptResult(
        AttemptKind.SHED if shed else AttemptKind.ANSWERED,
        elapsed_s,
        answer.status,
        passed_on,
        answer.body,
        answer.header(DRAINING_HEADER.lower()) == "1",
        is_reusable=answer.keep_alive,
    )
