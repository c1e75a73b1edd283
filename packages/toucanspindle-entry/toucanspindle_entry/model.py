"""Data classes for routes, client accounts, targets and entry hosts.

Adapters decode the platform's objects into these types.  The field names here are independent of
the wire format.
"""

from dataclasses import dataclass, field
from enum import Enum

from toucanspindle_core.hostport import HostPort


@dataclass(frozen=True)
class WeightedService:
    """A service of a route, with its relative weight among the services of that route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """How requests for one host name and path prefix are handled.

    Requests of an `idempotent` route may run more than once.  A request fails after `timeout_s`.
    `latency_goal_s` is the time within which a response has its full value to the caller.
    `max_attempts` includes the first attempt.  `priority` 0 is the most urgent.  Requests of an
    `is_public` route need no account.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    latency_goal_s: float
    max_attempts: int
    priority: int
    weighted_services: tuple[WeightedService, ...]
    is_public: bool = False


@dataclass(frozen=True)
class ClientAccount:
    """A client account; its callers identify themselves with one of its keys.

    `key_digests` are the digests of the keys, see `accountindex`.
    `priority` 0 is the most urgent, and goes before the priority of the route.  Over all hosts, the
    account may send `rate_per_s` requests a second and `burst` more at once; a rate of 0 is no
    limit.
    """

    name: str
    key_digests: tuple[str, ...] = field(repr=False)
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Size limits of a request in bytes, and timeouts of a caller connection in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class FleetPlan:
    """A complete, accepted configuration of the fleet; a higher version replaces a lower one.

    `accounts` is None if the plan has no accounts, so that no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: tuple[ClientAccount, ...] | None = None


class TargetState(Enum):
    """The state that a target reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class TargetEntry:
    """The entry that a target registered in the store.

    `started_ms` (Unix milliseconds) distinguishes incarnations with the same name.  `slots` is the
    number of requests that the target runs concurrently.  `warmup_s` is the remaining warm-up time
    when the target wrote the entry; a target responds slowly during its warm-up.  `revision` is the
    store revision of the entry's last change, or 0 if it isn't known, and `era` the era of the
    store to which that revision belongs.
    """

    name: str
    service: str
    address: HostPort
    failure_domain: str
    slots: int
    state: TargetState
    started_ms: int
    warmup_s: float
    revision: int = 0
    era: int = 0


@dataclass(frozen=True)
class HostEntry:
    """The entry that an entry host registered; `incarnation` changes with each start."""

    name: str
    ip: str
    failure_domain: str
    incarnation: str
