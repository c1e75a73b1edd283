"""Caches the assignment of nodes to services for the current members and configuration."""

import threading

from toucanspindle_core.balancedassignment import BalancedAssignment
from toucanspindle_core.control_pb2 import Member, MemberState
from toucanspindle_core.policy import FleetPolicy


class AssignmentCache:
    """The last computed assignment; safe for use by several threads.

    Invariant: the assignment belongs to the policy and the members of the last call.
    """

    def __init__(self) -> None:
        """Create an empty cache."""
        self._lock = threading.Lock()
        self._assignment: BalancedAssignment[Member] = BalancedAssignment()
        self._policy: FleetPolicy | None = None
        self._members: tuple[Member, ...] = ()
        self._nodes_by_service: dict[str, list[Member]] = {}

    def nodes_by_service(
        self, policy: FleetPolicy, members: tuple[Member, ...]
    ) -> dict[str, list[Member]]:
        """Return the LIVE members that each service is assigned to, by service name.

        Computes the assignment only if `policy` or `members` isn't the object of the last call.
        """
        with self._lock:
            if policy is not self._policy or members is not self._members:
                live = [m for m in members if m.state == MemberState.LIVE]
                self._nodes_by_service = self._assignment.assign(policy.demands(), live)
                self._policy, self._members = policy, members
            return self._nodes_by_service
