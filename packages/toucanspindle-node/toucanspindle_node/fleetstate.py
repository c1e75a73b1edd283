"""The proxy's view of the fleet: an immutable snapshot that is replaced atomically.

The request path reads the snapshot once per request, so that each request is served under one
generation of the configuration.  Only the agent link replaces the snapshot.
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
    """An ejection of one target that applies to this proxy.

    `expires_at` is in seconds of the monotonic clock.
    """

    target: str
    reason: str
    trickle_percent: int
    expires_at: float


@dataclass(frozen=True)
class FleetState:
    """An immutable snapshot of configuration, members, ejections and leaving targets.

    `ejections` are by service name; `leaving_targets` are "service/target" names.  Invariant:
    `routes` was built from `policy`.
    """

    policy: FleetPolicy | None = None
    routes: RouteTable = field(default_factory=RouteTable.empty)
    members: tuple[Member, ...] = ()
    ejections: dict[str, tuple[TargetEjection, ...]] = field(default_factory=dict)
    leaving_targets: frozenset[str] = frozenset()
    assignments: AssignmentCache = field(default_factory=AssignmentCache, repr=False, compare=False)

    @property
    def generation(self) -> int:
        """The generation of the configuration in force, or 0 without a configuration."""
        return self.policy.generation if self.policy else 0

    def live_members(self) -> list[Member]:
        """Return the members in state LIVE, which the directory may list."""
        return [m for m in self.members if m.state == MemberState.LIVE]

    def assigned_nodes(self, service: ServicePolicy) -> list[Member]:
        """Return the nodes that a service is assigned to, from the assignment cache."""
        if self.policy is None:
            return []
        return self.assignments.nodes_by_service(self.policy, self.members).get(service.name, [])

    def find_member(self, incarnation: str) -> Member | None:
        """Return the member with an incarnation, in any state, or None."""
        return next((m for m in self.members if m.incarnation == incarnation), None)

    def active_ejections(self, service: str) -> dict[str, TargetEjection]:
        """Return the unexpired ejections of a service, by target name.

        If two judges eject the same target, the one with the smaller trickle applies.
        """
        now = time.monotonic()
        active: dict[str, TargetEjection] = {}
        for ejection in self.ejections.get(service, ()):
            if ejection.expires_at <= now:
                continue
            current = active.get(ejection.target)
            if current is None or ejection.trickle_percent < current.trickle_percent:
                active[ejection.target] = ejection
        return active


def ejections_for_domain(
    sets: list[EjectionSet], failure_domain: str
) -> dict[str, tuple[TargetEjection, ...]]:
    """Return the ejections that apply to observers in a failure domain, by service."""
    by_service: dict[str, list[TargetEjection]] = {}
    for ejection_set in sets:
        ejections = by_service.setdefault(ejection_set.service, [])
        expires_at = ejection_set.lapses_at_ms / 1000
        for ejection in ejection_set.ejections:
            if ejection.from_domain in {"", failure_domain}:
                ejections.append(
                    TargetEjection(
                        ejection.target, ejection.reason, ejection.trickle_percent, expires_at
                    )
                )
    return {service: tuple(ejections) for service, ejections in by_service.items()}


class FleetStateHolder:
    """Holds the current snapshot; safe for use by several threads.

    Invariant: the generation of the snapshots never decreases.
    """

    def __init__(self) -> None:
        """Create a holder with an empty snapshot."""
        self._state = FleetState()
        self._lock = threading.Lock()

    @property
    def state(self) -> FleetState:
        """The current snapshot."""
        return self._state

    def apply_policy(self, policy: FleetPolicy) -> bool:
        """Replace the policy and routes if the generation is higher; return whether it was."""
        with self._lock:
            if policy.generation <= self._state.generation:
                return False
            routes = RouteTable(policy)
            self._state = replace(self._state, policy=policy, routes=routes)
            return True

    def drop_expired_exceptions(self, now: datetime) -> FleetPolicy | None:
        """Merge the settings again if an exception expired before `now` (UTC).

        Returns the new policy, or None when no exception has expired.
        """
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

    def apply_leaving_targets(self, leaving_targets: frozenset[str]) -> None:
        """Replace the leaving targets ("service/target" names)."""
        with self._lock:
            self._state = replace(self._state, leaving_targets=leaving_targets)
