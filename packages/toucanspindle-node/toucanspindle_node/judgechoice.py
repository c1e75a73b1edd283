"""Chooses the members that may judge services.

A member that is suspected for a moment stays a judge: a judge that loses its service withdraws
its ejections and gives its permits back, and the next one begins without evidence.  Only a member
that is DEAD, LEFT or LEAVING is replaced.  Of two incarnations on one host the LIVE one counts, so
that evidence goes to each agent once.
The choice is kept until a member changes its state, since it is asked for with each report.
"""

from collections.abc import Iterable

from toucanspindle_core.assignment import assign_judges
from toucanspindle_core.control_pb2 import LIVE, SUSPECT, Member
from toucanspindle_core.membership import Membership


def judge_candidates(members: Iterable[Member]) -> list[Member]:
    """Return the members that may judge, at most one for each agent address."""
    chosen: dict[str, Member] = {}
    for member in members:
        known = chosen.get(member.agent_address)
        if member.state == LIVE or (member.state == SUSPECT and known is None):
            chosen[member.agent_address] = member
    return list(chosen.values())


class JudgeChoice:
    """The judges of each service, from the members that one agent knows.

    Invariant: what is kept was chosen at `_chosen_at` of the membership's state changes.
    """

    def __init__(self, membership: Membership) -> None:
        """Create a choice among the members of `membership`."""
        self._membership = membership
        self._chosen_at = membership.state_changes
        self._candidates = judge_candidates(membership.all_members())
        self._judges: dict[str, list[Member]] = {}

    def candidates(self) -> list[Member]:
        """Return the members that may judge."""
        if self._chosen_at != self._membership.state_changes:
            self._chosen_at = self._membership.state_changes
            self._candidates = judge_candidates(self._membership.all_members())
            self._judges.clear()
        return self._candidates

    def judges_of(self, service: str) -> list[Member]:
        """Return the members that judge a service, most preferred first."""
        candidates = self.candidates()
        if service not in self._judges:
            self._judges[service] = assign_judges(service, candidates)
        return self._judges[service]
