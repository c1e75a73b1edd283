"""Base of the integration tests: a fleet of real processes, and helpers to send requests."""

import asyncio
import threading
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from toucanctl.nodeclient import fetch_status
from toucanspindle_core.control_pb2 import NodeStatus
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.fleet import Fleet, FleetOptions
from toucanspindle_standins.httpcall import BrokenAnswerError, HttpResult, http_call
from toucanspindle_standins.runlog import Run
from toucanspindle_standins.smallfleet import small_fleet

from tests.harness import ADDRESSES, ProcessTestCase

ACCOUNT: Final = "acme"
SERVICE: Final = "lotbook"


@dataclass(frozen=True)
class Reservation:
    """A non-idempotent request; every resend repeats its key, token and body."""

    key: str
    token: str
    body: bytes


@dataclass(frozen=True)
class CallerResult:
    """The result of a request as its caller sees it.

    `kind` is None when the connection broke before a complete response; `code` is the error code.
    """

    kind: OutcomeKind | None
    status: int = 0
    code: str = ""
    body: bytes = b""


class FleetTestCase(ProcessTestCase):
    """A test case that starts a small fleet of one service."""

    def start_lotbook(
        self, targets: int = 4, options: FleetOptions | None = None, **defaults: Any
    ) -> Fleet:
        """Start a fleet of one service `lotbook`; `defaults` are settings of the service."""
        config = small_fleet(ADDRESSES, {SERVICE: targets}, **defaults)
        fleet = Fleet(config, Path(self.folder), ADDRESSES, options or FleetOptions())
        self.addCleanup(self._show_logs_on_failure, fleet)
        self.addCleanup(fleet.close)
        fleet.start()
        return fleet

    def reservation(self, fleet: Fleet, issuer: EntryNode) -> Reservation:
        """Return a new reservation under a token of `issuer`."""
        entries = fleet.directory(issuer, SERVICE).json()["entries"]
        token = next(e["token"] for e in entries if e["node"] == issuer.name)
        return Reservation(uuid.uuid4().hex, token, uuid.uuid4().bytes)

    def _show_logs_on_failure(self, fleet: Fleet) -> None:
        if not self._has_failed():
            return
        for node in fleet.nodes:
            for process in (node.proxy, node.agent):
                self.addDetail(process.name, _text_content(process.stderr()))

    def _has_failed(self) -> bool:
        return "traceback" in self.getDetails()


def _text_content(text: str) -> Any:
    from testtools.content import text_content  # noqa: PLC0415

    return text_content(text)


def reserve(
    address: HostPort, reservation: Reservation, timeout_s: float = 10.0, deadline_ms: int = 0
) -> CallerResult:
    """Send a reservation once to an entry address, and return the result."""
    headers = {
        "Toucan-Account": ACCOUNT,
        "Idempotency-Key": reservation.key,
        "Toucan-Token": reservation.token,
    }
    if deadline_ms:
        headers["Toucan-Deadline-Ms"] = str(deadline_ms)
    return _send_request(address, "POST", headers, reservation.body, timeout_s)


def look_up(
    address: HostPort, timeout_s: float = 10.0, path: str = f"/{SERVICE}/1"
) -> CallerResult:
    """Send a lookup once to an entry address, and return the result."""
    return _send_request(address, "GET", {"Toucan-Account": ACCOUNT}, b"", timeout_s, path)


def _send_request(
    address: HostPort,
    method: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
    path: str = f"/{SERVICE}",
) -> CallerResult:
    try:
        answer = http_call(address, method, path, headers, body or None, timeout_s=timeout_s)
    except BrokenAnswerError:
        return CallerResult(None)
    return result_from_answer(answer)


def result_from_answer(answer: HttpResult) -> CallerResult:
    """Return the result that a proxy's response gives to the caller."""
    kind = OutcomeKind(answer.headers["toucan-outcome"])
    code = answer.headers.get("toucan-error", "")
    return CallerResult(kind, answer.status, code, answer.body)


def status_of(node: EntryNode) -> NodeStatus:
    """Return the status of a node's agent, requested directly and not through a fault proxy."""
    return asyncio.run(fetch_status(node.settings.agent_bind_address))


def ejected_targets(node: EntryNode) -> set[str]:
    """Return the names of the targets that a node's agent has ejected."""
    sets = status_of(node).ejections
    return {ejection.target for ejection_set in sets for ejection in ejection_set.ejections}


def runs_of(fleet: Fleet, key: str) -> list[Run]:
    """Return the runs of an idempotency key from the logs of all targets."""
    return [run for run in fleet.all_runs() if run.key == key]


class BackgroundReservation(threading.Thread):
    """Sends a reservation in a background thread; `result` waits for its end."""

    def __init__(
        self, address: HostPort, reservation: Reservation, timeout_s: float = 10.0
    ) -> None:
        super().__init__(daemon=True)
        self.caller_result: CallerResult | None = None
        self._arguments = (address, reservation, timeout_s)
        self.start()

    def run(self) -> None:
        """Send the reservation once."""
        self.caller_result = reserve(*self._arguments)

    def result(self) -> CallerResult:
        """Wait for the end and return the result."""
        self.join()
        assert self.caller_result is not None
        return self.caller_result
