"""Keeps the assignment of nodes to services for the present members and configuration."""

import threading

from toucanspindle_core.balancedassignment import BalancedAssignment
from toucanspindle_core.control_pb2 import Member, MemberState
from toucanspindle_core.policy import FleetPolicy


class AssignmentCache:
    """The last assignment; safe for use by several threads.

    Invariant: it is of the policy and the members that it was last asked for.
    """

    def __init__(self) -> None:
        """Create a cache that holds nothing."""
        self._lock = threading.Lock()
        self._assignment: BalancedAssignment[Member] = BalancedAssignment()
        self._policy: FleetPolicy | None = None
        self._members: tuple[Member, ...] = ()
        self._assigned: dict[str, list[Member]] = {}

    def assigned(self, policy: FleetPolicy, members: tuple[Member, ...]) -> dict[str, list[Member]]:
        """Return the LIVE ones of the members by the service that they are assigned to."""
        with self._lock:
            if policy is not self._policy or members is not self._members:
                live = [m for m in members if m.state == MemberState.LIVE]
                self._assigned = self._assignment.assign(policy.demands(), live)
                self._policy, self._members = policy, members
            return self._assigned
