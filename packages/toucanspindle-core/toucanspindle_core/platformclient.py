"""Client of the platform's object API: HTTP/JSON through urllib3, without automatic retries.

    GET    /v1/objects/{kind}/{name}                  200 {"version": n, "value": ...} or 404
    GET    /v1/objects/{kind}                         200 {"objects": [{"name", ...}]}
    PUT    /v1/objects/{kind}/{name}  If-Match: n     200 {"version": n + 1} or 409
    PUT    /v1/objects/{kind}/{name}  If-None-Match: *  (create only)
    DELETE /v1/objects/{kind}/{name}  If-Match: n     204, 404 or 409
    GET    /v1/watch/{kind}/{name}?after=n&wait_s=s   200 as GET once version > n, else 204
    GET    /v1/hosts                                  200 {"hosts": [HostEntry]}

A write raises PlatformUncertainError if its answer is lost, malformed or a server error: it may
have taken effect, so the caller must read the object before it writes again.  A refused connection
raises PlatformError: nothing was written.
"""

import json
from dataclasses import dataclass
from typing import Any, Final, Literal
from urllib.parse import quote

import urllib3
from pydantic import TypeAdapter, ValidationError
from urllib3.exceptions import HTTPError, NewConnectionError

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.fleetconfig import StrictModel

CALL_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0
UNREACHABLE_REMEDY: Final = (
    "check the platform's address and that it is up; the fleet keeps its state"
)


@dataclass(frozen=True)
class StoredObject:
    """An object and its version, which a conditional update must name."""

    name: str
    version: int
    value: Any


class HostEntry(StrictModel):
    """One host of the platform's host list, which may lag behind the actual hosts."""

    name: str
    role: Literal["entry", "target"]
    address: str
    failure_domain: str
    state: Literal["live", "leaving"]
    agent_address: str = ""
    service: str = ""


class HostList(StrictModel):
    """The platform's list of live and leaving hosts, which may lag behind the actual hosts."""

    hosts: list[HostEntry]


class PlatformClient:
    """Calls the object API; safe for use by several threads."""

    def __init__(self, base_url: str) -> None:
        """Create a client of the platform at `base_url`, such as http://127.0.0.1:7000."""
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it doesn't exist.

        Raises PlatformError if the platform can't be used.
        """
        response = self._call("GET", _object_path(kind, name))
        if response.status == 404:
            return None
        return _parse_object(name, _checked_json(response))

    def list_objects(self, kind: str) -> list[StoredObject]:
        """Return all objects of a kind; raise PlatformError if the platform can't be used."""
        body = _checked_json(self._call("GET", f"/v1/objects/{quote(kind)}"))
        try:
            return [_parse_object(str(item["name"]), item) for item in body["objects"]]
        except (KeyError, TypeError) as error:
            raise _malformed_answer_error(error) from error

    def create(self, kind: str, name: str, value: Any) -> int:
        """Create an object and return its version.

        Raises ConflictError if it exists, PlatformUncertainError if it isn't known whether the
        write took effect, PlatformError if nothing was written.
        """
        return self._put(kind, name, value, {"If-None-Match": "*"})

    def replace(self, kind: str, name: str, value: Any, version: int) -> int:
        """Replace an object if its stored version is `version`; return the new version.

        Raises ConflictError if another version is stored, PlatformUncertainError if it isn't known
        whether the write took effect, PlatformError if nothing was written.
        """
        return self._put(kind, name, value, {"If-Match": str(version)})

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object if its stored version is `version`; do nothing if it doesn't exist.

        Raises ConflictError if another version is stored, PlatformError if the call failed.
        """
        headers = {"If-Match": str(version)}
        response = self._call("DELETE", _object_path(kind, name), headers=headers)
        if response.status not in {204, 404}:
            _checked_json(response)

    def watch(self, kind: str, name: str, after: int, wait_s: float) -> StoredObject | None:
        """Wait up to `wait_s` seconds for a version above `after`.

        Returns the object, or None after the time; raises PlatformError if the call failed.
        """
        path = f"/v1/watch/{quote(kind)}/{quote(name)}?after={after}&wait_s={wait_s}"
        response = self._call("GET", path, timeout_s=wait_s + CALL_TIMEOUT_S)
        if response.status == 204:
            return None
        return _parse_object(name, _checked_json(response))

    def hosts(self) -> list[HostEntry]:
        """Return the platform's host list, which may lag; raise PlatformError on failure."""
        body = _checked_json(self._call("GET", "/v1/hosts"))
        try:
            return TypeAdapter(HostList).validate_python(body).hosts
        except ValidationError as error:
            raise _malformed_answer_error(error) from error

    def _put(self, kind: str, name: str, value: Any, headers: dict[str, str]) -> int:
        body = json.dumps(value, default=str).encode()
        headers = headers | {"Content-Type": "application/json"}
        response = self._call("PUT", _object_path(kind, name), body=body, headers=headers)
        try:
            return int(_checked_json(response)["version"])
        except (KeyError, TypeError, ValueError) as error:
            raise _uncertain_write_error(_malformed_answer_error(error)) from error
        except PlatformError as error:
            if error.code is errorcodes.PLATFORM_MALFORMED or response.status >= 500:
                raise _uncertain_write_error(error) from error
            raise

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            return self._pool.request(
                method, self._base_url + path, body=body, headers=headers, timeout=timeout
            )
        except NewConnectionError as error:
            text = f"The platform at {self._base_url} refused the connection."
            raise PlatformError(
                errorcodes.PLATFORM_UNREACHABLE, text, UNREACHABLE_REMEDY
            ) from error
        except HTTPError as error:
            text = f"The platform at {self._base_url} didn't answer {method} {path}: {error}."
            raise PlatformUncertainError(
                errorcodes.PLATFORM_UNREACHABLE, text, UNREACHABLE_REMEDY
            ) from error


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind)}/{quote(name)}"


def _checked_json(response: urllib3.BaseHTTPResponse) -> Any:
    if response.status == 409:
        raise ConflictError(
            errorcodes.PLATFORM_CONFLICT,
            "The object was changed since it was read.",
            "read the object again and repeat the change on its current value",
        )
    if response.status == 503:
        raise PlatformUncertainError(
            errorcodes.PLATFORM_UNREACHABLE, "The platform is away (503).", UNREACHABLE_REMEDY
        )
    if response.status != 200:
        raise PlatformError(
            errorcodes.PLATFORM_REFUSED,
            f"The platform refused the call with status {response.status}.",
            "compare the call with the platform's documentation",
        )
    try:
        return json.loads(response.data)
    except ValueError as error:
        raise _malformed_answer_error(error) from error


def _parse_object(name: str, body: Any) -> StoredObject:
    try:
        return StoredObject(name, int(body["version"]), body["value"])
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed_answer_error(error) from error


def _uncertain_write_error(error: PlatformError) -> PlatformUncertainError:
    """Convert an error to the one for a write that may have taken effect."""
    return PlatformUncertainError(error.code, error.text, error.remedy)


def _malformed_answer_error(error: Exception) -> PlatformError:
    return PlatformError(
        errorcodes.PLATFORM_MALFORMED,
        f"The platform's answer is malformed: {error}.",
        "check that the address is the platform's object API",
    )
