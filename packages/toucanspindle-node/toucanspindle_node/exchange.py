"""What passes through the filters of the request path: one caller's request and its context.

`CallerRequest` is what arrived; `Exchange` collects what the filters find out about it, each
field set by the one filter named beside it.
"""

import secrets
import time
from dataclasses import dataclass, field
from functools import partial
from typing import Final, Protocol

from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.policy import Route, ServicePolicy
from toucanspindle_core.records import Record

from toucanspindle_node.fleetstate import FleetState

ACCOUNT_HEADER: Final = "toucan-account"
DEADLINE_HEADER: Final = "toucan-deadline-ms"
REQUEST_ID_HEADER: Final = "toucan-request-id"
TOKEN_HEADER: Final = "toucan-token"
KEY_HEADER: Final = "idempotency-key"
REQUEST_ID_BYTES: Final = 9


@dataclass(frozen=True)
class CallerRequest:
    """A request as it arrived, whole.

    `target` is the path with its query; header names are in lower case.  `received_at` is when
    it began to arrive, in seconds of the monotonic clock: time spent waiting for a thread counts
    against its deadline.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float = field(default_factory=time.monotonic)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]


@dataclass
class Exchange:
    """A request on its way through the filters.

    Invariant: a field is read only by filters that come after the one that sets it.
    `deadline` is in seconds of the monotonic clock.
    """

    request: CallerRequest
    state: FleetState
    request_id: str = ""  # identify
    account: str = ""  # identify
    key: str = ""  # identify
    token: str = ""  # identify
    deadline_ms: int = 0  # identify; 0 when the caller named none
    route: Route | None = None  # route
    policy: ServicePolicy | None = None  # route
    deadline: float = 0.0  # route
    fingerprint: bytes = b""  # route
    refusal: RequestError | None = None  # identify, route; told only if no earlier copy ran
    record: Record | None = None  # once; None for idempotent requests
    relayed: bool = False  # set at the start: another node sent the request here
    steps: list[str] = field(default_factory=list)  # all

    @property
    def received_at(self) -> float:
        """When the request began to arrive."""
        return self.request.received_at

    @property
    def routed(self) -> Route:
        """The route; an error in the order of filters when there is none."""
        if self.route is None:
            raise RuntimeError("the exchange hasn't passed the route filter")
        return self.route

    @property
    def service(self) -> ServicePolicy:
        """The service; an error in the order of filters when there is none."""
        if self.policy is None:
            raise RuntimeError("the exchange hasn't passed the route filter")
        return self.policy

    def refuse(self, error: RequestError) -> None:
        """Refuse the request before its record was looked up.

        Raise the error at once unless the request names a key and a token: then an earlier copy
        may have run, and the once filter tells the refusal only if none did (guard
        RECORD_BEFORE_REFUSAL of spec/dispatch.py).
        """
        if not (self.key and self.token):
            raise error
        self.refusal = self.refusal or error

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline; may be negative."""
        return self.deadline - time.monotonic()

    def note(self, step: str) -> None:
        """Add a step to what `toucanctl explain` shows of the request."""
        elapsed_ms = (time.monotonic() - self.received_at) * 1000
        self.steps.append(f"{elapsed_ms:8.2f} ms  {step}")


class Handler(Protocol):
    """Anything that turns an exchange into an outcome."""

    def __call__(self, exchange: Exchange) -> Outcome:
        """Handle the exchange; raise RequestError for an outcome that was not run."""
        ...


class Filter(Protocol):
    """One step of the request path."""

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Do one job, and call `forward` for the rest of the path where it goes on."""
        ...


def build_chain(filters: list[Filter]) -> Handler:
    """Connect filters so that each forwards to the next; the last one must not forward."""

    def end(exchange: Exchange) -> Outcome:
        raise RuntimeError(f"no filter answered {exchange.request.method}")

    handler: Handler = end
    for current in reversed(filters):
        handler = partial(current.handle, forward=handler)
    return handler


def new_request_id() -> str:
    """Return a random id for a request or an attempt."""
    return secrets.token_hex(REQUEST_ID_BYTES)
