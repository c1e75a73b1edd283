"""A simple HTTP/1.1 client for tests and the demonstration: one connection per call, no retries."""

import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from toucanspindle_core.hostport import HostPort

CALL_TIMEOUT_S: Final = 10.0


class BrokenAnswerError(OSError):
    """The call got no complete answer: no connection, a reset, a timeout or a malformed answer."""


@dataclass(frozen=True)
class HttpResult:
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed as JSON; raise JSONDecodeError if it isn't valid."""
        return json.loads(self.body)


def http_call(
    address: HostPort,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
    *,
    timeout_s: float = CALL_TIMEOUT_S,
) -> HttpResult:
    """Send one request and return the complete answer; raise BrokenAnswerError without one.

    `timeout_s` limits each wait on the connection, not the whole call.
    """
    connection = http.client.HTTPConnection(address.ip, address.port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=dict(headers or {}))
        response = connection.getresponse()
        body_bytes = response.read()
        response_headers = {name.lower(): value for name, value in response.getheaders()}
        return HttpResult(response.status, response_headers, body_bytes)
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise BrokenAnswerError(f"{method} {path} at {address}: {error!r}") from error
    finally:
        connection.close()


def put_json(address: HostPort, path: str, value: Any) -> HttpResult:
    """PUT a JSON value, such as faults; raise AssertionError unless the status is 200."""
    result = http_call(address, "PUT", path, body=json.dumps(value).encode())
    if result.status != 200:
        raise AssertionError(f"PUT {path} at {address}: {result.status} {result.body!r}")
    return result


def get_json(address: HostPort, path: str) -> Any:
    """GET a JSON value; raise AssertionError unless the status is 200."""
    result = http_call(address, "GET", path)
    if result.status != 200:
        raise AssertionError(f"GET {path} at {address}: {result.status} {result.body!r}")
    return result.json()
