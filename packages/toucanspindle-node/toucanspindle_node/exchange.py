"""A caller's request and its context, as the filters of the request path see them.

`CallerRequest` is the request as received.  `Exchange` adds what the filters determine about it;
the comment beside each field names the filter that sets it.
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
    """A complete request as it was received.

    Header names are in lower case.  `received_at` is when the request began to arrive, in seconds
    of the monotonic clock, so time spent waiting for a thread counts against its deadline.
    """

    method: str
    path_and_query: str
    headers: dict[str, str]
    body: bytes
    received_at: float = field(default_factory=time.monotonic)

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.path_and_query.partition("?")[0]


@dataclass
class Exchange:
    """The state of one request while the filters process it.

    Invariant: a field is read only by filters that run after the one that sets it.
    `deadline` is in seconds of the monotonic clock.
    """

    request: CallerRequest
    fleet_state: FleetState
    request_id: str = ""  # identify
    account: str = ""  # identify
    key: str = ""  # identify
    token: str = ""  # identify
    requested_deadline_ms: int = 0  # identify; 0 when the caller sent none
    route: Route | None = None  # route
    service_policy: ServicePolicy | None = None  # route
    deadline: float = 0.0  # route
    fingerprint: bytes = b""  # route
    deferred_refusal: RequestError | None = None  # identify, route; see refuse_or_defer
    record: Record | None = None  # once; None for idempotent requests
    relayed: bool = False  # set on creation: another node sent the request here
    trace_steps: list[str] = field(default_factory=list)  # all

    @property
    def received_at(self) -> float:
        """When the request began to arrive, in seconds of the monotonic clock."""
        return self.request.received_at

    @property
    def matched_route(self) -> Route:
        """The route; raises RuntimeError before the route filter has set it."""
        if self.route is None:
            raise RuntimeError("the exchange hasn't passed the route filter")
        return self.route

    @property
    def service(self) -> ServicePolicy:
        """The service's policy; raises RuntimeError before the route filter has set it."""
        if self.service_policy is None:
            raise RuntimeError("the exchange hasn't passed the route filter")
        return self.service_policy

    def refuse_or_defer(self, error: RequestError) -> None:
        """Raise `error`, or defer it to the once filter when the request has a key and a token.

        An earlier copy of such a request may have run, so the once filter first looks up its
        record, and raises the error only if no copy ran (guard RECORD_BEFORE_REFUSAL of
        spec/dispatch.py).
        """
        if not (self.key and self.token):
            raise error
        self.deferred_refusal = self.deferred_refusal or error

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline; may be negative."""
        return self.deadline - time.monotonic()

    def add_trace_step(self, description: str) -> None:
        """Add a line, with the time since arrival, to the trace that `toucanctl explain` shows."""
        elapsed_ms = (time.monotonic() - self.received_at) * 1000
        self.trace_steps.append(f"{elapsed_ms:8.2f} ms  {description}")


class Handler(Protocol):
    """A function that returns the outcome of an exchange."""

    def __call__(self, exchange: Exchange) -> Outcome:
        """Handle the exchange; raise RequestError when the request was not run."""
        ...


class Filter(Protocol):
    """One step of the request path."""

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Return the outcome; call `forward` to run the remaining filters."""
        ...


def build_chain(filters: list[Filter]) -> Handler:
    """Return a handler that runs the filters in order; the last one must not forward."""

    def raise_unhandled(exchange: Exchange) -> Outcome:
        raise RuntimeError(f"no filter answered {exchange.request.method}")

    handler: Handler = raise_unhandled
    for filter_ in reversed(filters):
        handler = partial(filter_.handle, forward=handler)
    return handler


def new_request_id() -> str:
    """Return a random hexadecimal id for a request or an attempt."""
    return secrets.token_hex(REQUEST_ID_BYTES)
