"""Selects the members that may judge services and the judges of each service.

A SUSPECT member stays a judge.  A judge that loses its service withdraws its ejections and
releases its permits, and its successor starts without evidence, so short suspicions must not cause
a change.  Only a DEAD, LEFT or LEAVING member is replaced.  If a host has two incarnations, the
LIVE one is selected, so that each agent receives evidence once.

The result is cached until a member changes its state, since every report needs it.
"""

from collections.abc import Iterable

from toucanspindle_core.assignment import assign_judges
from toucanspindle_core.control_pb2 import LIVE, SUSPECT, Member
from toucanspindle_core.membership import Membership


def judge_candidates(members: Iterable[Member]) -> list[Member]:
    """Return the LIVE and SUSPECT members, at most one per agent address."""
    chosen: dict[str, Member] = {}
    for member in members:
        chosen_member = chosen.get(member.agent_address)
        if member.state == LIVE or (member.state == SUSPECT and chosen_member is None):
            chosen[member.agent_address] = member
    return list(chosen.values())


class JudgeAssignment:
    """Assigns services to judges among the members that one agent knows.

    Invariant: the cached results belong to the member states at state change number
    `_assigned_at_change`.
    """

    def __init__(self, membership: Membership) -> None:
        """Create an assignment to the members of `membership`."""
        self._membership = membership
        self._assigned_at_change = membership.state_change_count
        self._candidates = judge_candidates(membership.all_members())
        self._judges: dict[str, list[Member]] = {}

    def candidates(self) -> list[Member]:
        """Return the members that may judge; see `judge_candidates`."""
        if self._assigned_at_change != self._membership.state_change_count:
            self._assigned_at_change = self._membership.state_change_count
            self._candidates = judge_candidates(self._membership.all_members())
            self._judges.clear()
        return self._candidates

    def judges_of(self, service: str) -> list[Member]:
        """Return the members that judge a service, most preferred first."""
        candidates = self.candidates()
        if service not in self._judges:
            self._judges[service] = assign_judges(service, candidates)
        return self._judges[service]
