"""Sends one attempt to one target through urllib3, and verifies its answer.

urllib3 never repeats an attempt here: retries and redirects are off.  An attempt ends as

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

import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import Final

import urllib3
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.policy import Target
from urllib3.exceptions import (
    ConnectTimeoutError,
    EmptyPoolError,
    HTTPError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

ID_HEADER: Final = "Request-Id"
DRAINING_HEADER: Final = "Target-Draining"
OUTCOME_HEADER: Final = "Target-Outcome"
CONNECT_TIMEOUT_S: Final = 1.0
CANCEL_TIMEOUT_S: Final = 0.25
PROBE_TIMEOUT_S: Final = 1.0
READ_BYTES: Final = 65_536
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


class TargetClient:
    """Connections to targets, pooled by address; safe for use by several threads."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._pools: dict[HostPort, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def send(
        self, target: Target, attempt: Attempt, timeout_s: float, max_connections: int
    ) -> AttemptResult:
        """Send an attempt and return how it ended within `timeout_s` seconds."""
        started_at = time.monotonic()
        pool = self._pool(target.address, max_connections)
        try:
            response = pool.urlopen(
                attempt.method,
                attempt.path,
                body=attempt.body or None,
                headers=_forwarded(attempt, timeout_s),
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(min(timeout_s, CONNECT_TIMEOUT_S), timeout_s),
                pool_timeout=timeout_s,  # type: ignore[arg-type]  # any number will do
                preload_content=False,
                decode_content=False,
                assert_same_host=False,
            )
        except (NewConnectionError, ConnectTimeoutError, EmptyPoolError):
            return AttemptResult(AttemptKind.REFUSED, time.monotonic() - started_at)
        except ReadTimeoutError:
            return AttemptResult(AttemptKind.TIMED_OUT, time.monotonic() - started_at)
        except HTTPError as error:
            crashed = isinstance(error, ProtocolError)
            return AttemptResult(AttemptKind.BROKEN, time.monotonic() - started_at, crashed=crashed)
        return _read_answer(response, attempt, started_at, timeout_s)

    def cancel(self, target: Target, attempt_id: str) -> bool:
        """Cancel an attempt; return True only if the target says it never ran."""
        pool = self._pool(target.address, 1)
        try:
            response = pool.request(
                "DELETE",
                f"/.target/requests/{attempt_id}",
                retries=False,
                timeout=CANCEL_TIMEOUT_S,
                pool_timeout=CANCEL_TIMEOUT_S,
            )
            state = response.json().get("state")
        except (HTTPError, ValueError, AttributeError):
            return False
        return bool(state == CANCELLED)

    def is_draining(self, target: Target) -> bool | None:
        """Ask the target's health endpoint for the drain signal; None when it doesn't answer."""
        pool = self._pool(target.address, 1)
        try:
            response = pool.request(
                "GET",
                "/.target/health",
                retries=False,
                timeout=PROBE_TIMEOUT_S,
                pool_timeout=PROBE_TIMEOUT_S,
            )
        except HTTPError:
            return None
        return response.headers.get(DRAINING_HEADER) == "1"

    def _pool(self, address: HostPort, max_connections: int) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            with self._lock:
                pool = self._pools.get(address)
                if pool is None:
                    pool = urllib3.HTTPConnectionPool(
                        address.ip, address.port, maxsize=max_connections, block=True
                    )
                    self._pools[address] = pool
        return pool


def _forwarded(attempt: Attempt, timeout_s: float) -> dict[str, str]:
    headers = {k: v for k, v in attempt.headers.items() if k not in NOT_FORWARDED}
    headers[ID_HEADER] = attempt.attempt_id
    headers["Deadline-Ms"] = str(max(1, int(timeout_s * 1000)))
    headers.setdefault("user-agent", "toucanspindle")
    headers.setdefault("accept-encoding", "identity")
    return headers


def _read_answer(
    response: urllib3.BaseHTTPResponse, attempt: Attempt, started_at: float, timeout_s: float
) -> AttemptResult:
    headers = response.headers
    echoed_id = headers.get(ID_HEADER)
    if echoed_id is not None and echoed_id != attempt.attempt_id:
        response.close()
        return AttemptResult(AttemptKind.FOREIGN, time.monotonic() - started_at)
    if not _has_length(attempt.method, response):
        response.close()
        return AttemptResult(AttemptKind.BROKEN, time.monotonic() - started_at)
    try:
        body = _read_body(response, started_at + timeout_s)
    except ReadTimeoutError:
        response.close()
        return AttemptResult(AttemptKind.TIMED_OUT, time.monotonic() - started_at)
    except (HTTPError, OSError):
        response.close()
        return AttemptResult(AttemptKind.BROKEN, time.monotonic() - started_at)
    if body is None:
        response.close()
        return AttemptResult(AttemptKind.TIMED_OUT, time.monotonic() - started_at)
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


def _has_length(method: str, response: urllib3.BaseHTTPResponse) -> bool:
    if method == "HEAD" or response.status in {204, 304}:
        return True
    headers = response.headers
    chunked = headers.get("transfer-encoding", "").lower() == "chunked"
    return chunked or headers.get("content-length", "").isdigit()


def _read_body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes | None:
    """Return the whole body, or None when the deadline passed first."""
    pieces = []
    for piece in response.stream(READ_BYTES, decode_content=False):
        pieces.append(piece)
        if time.monotonic() > deadline:
            return None
    return b"".join(pieces)
