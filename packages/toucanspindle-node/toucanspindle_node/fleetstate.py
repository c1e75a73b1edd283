"""What a proxy knows of the fleet, as one immutable snapshot that is swapped whole.

The request path reads the snapshot once per request, so that one request is served under one
generation of the configuration.  The agent link is the only writer.
"""

import threading
import time
from dataclasses import dataclass, field, replace
from datetime import datetime

from toucanspindle_core.control_pb2 import EjectionSet, Member, MemberState
from toucanspindle_core.policy import FleetPolicy, ServicePolicy

from toucanspindle_node.assignmentcache import AssignmentCache
from toucanspindle_node.routetable import RouteTable


@dataclass(frozen=True)
class TargetEjection:
    """An ejection of one target that is in force for this proxy.

    `lapses_at` is in seconds of the monotonic clock.
    """

    target: str
    reason: str
    trickle_percent: int
    lapses_at: float


@dataclass(frozen=True)
class FleetState:
    """One snapshot.

    Invariant: `routes` was built from `policy`.  Leaving targets are "service/target" names.
    """

    policy: FleetPolicy | None = None
    routes: RouteTable = field(default_factory=RouteTable.empty)
    members: tuple[Member, ...] = ()
    ejections: dict[str, tuple[TargetEjection, ...]] = field(default_factory=dict)
    leaving_targets: frozenset[str] = frozenset()
    assignments: AssignmentCache = field(default_factory=AssignmentCache, repr=False, compare=False)

    @property
    def generation(self) -> int:
        """The generation in force, or 0 before the first."""
        return self.policy.generation if self.policy else 0

    def live_members(self) -> list[Member]:
        """Return the members that may be named to callers."""
        return [m for m in self.members if m.state == MemberState.LIVE]

    def assigned(self, service: ServicePolicy) -> list[Member]:
        """Return the nodes that a service is assigned to; computed when members change."""
        if self.policy is None:
            return []
        return self.assignments.assigned(self.policy, self.members).get(service.name, [])

    def member(self, incarnation: str) -> Member | None:
        """Return the member of an incarnation, in whatever state, or None."""
        return next((m for m in self.members if m.incarnation == incarnation), None)

    def ejected(self, service: str) -> dict[str, TargetEjection]:
        """Return the ejections of a service that are in force now, by target name.

        Where two judges eject the same target, the smaller trickle holds.
        """
        now = time.monotonic()
        in_force: dict[str, TargetEjection] = {}
        for ejection in self.ejections.get(service, ()):
            if ejection.lapses_at <= now:
                continue
            other = in_force.get(ejection.target)
            if other is None or ejection.trickle_percent < other.trickle_percent:
                in_force[ejection.target] = ejection
        return in_force


def ejections_for_domain(
    sets: list[EjectionSet], failure_domain: str
) -> dict[str, tuple[TargetEjection, ...]]:
    """Return the ejections that concern observers in a failure domain, by service."""
    by_service: dict[str, list[TargetEjection]] = {}
    for ejection_set in sets:
        ejections = by_service.setdefault(ejection_set.service, [])
        lapses_at = ejection_set.lapses_at_ms / 1000
        for ejection in ejection_set.ejections:
            if ejection.from_domain in {"", failure_domain}:
                ejections.append(
                    TargetEjection(
                        ejection.target, ejection.reason, ejection.trickle_percent, lapses_at
                    )
                )
    return {service: tuple(ejections) for service, ejections in by_service.items()}


class FleetStateHolder:
    """Holds the current snapshot.

    Invariant: the generation of the snapshots never decreases.
    """

    def __init__(self) -> None:
        """Create a holder of an empty snapshot."""
        self._state = FleetState()
        self._lock = threading.Lock()

    @property
    def state(self) -> FleetState:
        """The current snapshot."""
        return self._state

    def apply_policy(self, policy: FleetPolicy) -> bool:
        """Apply a configuration if its generation is higher; return whether it was applied."""
        with self._lock:
            if policy.generation <= self._state.generation:
                return False
            routes = RouteTable(policy)
            self._state = replace(self._state, policy=policy, routes=routes)
            return True

    def drop_expired_exceptions(self, now: datetime) -> FleetPolicy | None:
        """Merge anew if an exception has expired before `now` (UTC); return the new policy."""
        with self._lock:
            policy = self._state.policy
            if policy is None or policy.is_current(now):
                return None
            renewed = policy.at(now)
            self._state = replace(self._state, policy=renewed)
            return renewed

    def apply_members(self, members: list[Member]) -> None:
        """Replace the members."""
        with self._lock:
            self._state = replace(self._state, members=tuple(members))

    def apply_ejections(self, ejections: dict[str, tuple[TargetEjection, ...]]) -> None:
        """Replace the ejections."""
        with self._lock:
            self._state = replace(self._state, ejections=ejections)

    def apply_leaving(self, leaving_targets: frozenset[str]) -> None:
        """Replace the leaving targets."""
        with self._lock:
            self._state = replace(self._state, leaving_targets=leaving_targets)
