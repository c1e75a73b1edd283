"""What an entry process knows of routes, targets and other entry hosts, as plain data.

Adapters decode the platform's objects into these types; nothing here names a wire field.
"""

from dataclasses import dataclass, field
from enum import Enum

from toucanspindle_core.hostport import HostPort


@dataclass(frozen=True)
class RoutePart:
    """One service that takes a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Requests of one host name under one path prefix.

    `timeout_s` is the longest time that a caller is kept waiting; `latency_goal_s` the time
    within which an answer is of full use.  `priority` 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    latency_goal_s: float
    max_attempts: int
    priority: int
    parts: tuple[RoutePart, ...]


@dataclass(frozen=True)
class CallerLimits:
    """Bounds of what a caller may send, and how long it may take or stay idle (seconds)."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class FleetPlan:
    """One accepted configuration in full."""

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]
    limits: CallerLimits = field(default_factory=CallerLimits)


class TargetState(Enum):
    """What a target says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class TargetEntry:
    """A target as it registered itself.

    `started_ms` (Unix milliseconds) tells two incarnations with one name apart; `warmup_s` is how
    long it was to stay slow when it wrote the entry.
    """

    name: str
    service: str
    address: HostPort
    failure_domain: str
    slots: int
    state: TargetState
    started_ms: int
    warmup_s: float


@dataclass(frozen=True)
class HostEntry:
    """An entry host as it registered itself; `incarnation` is new with each start."""

    name: str
    ip: str
    failure_domain: str
    incarnation: str
