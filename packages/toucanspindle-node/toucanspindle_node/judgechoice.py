"""Chooses the members that may judge services.

A member that is suspected for a moment stays a judge: a judge that loses its service withdraws
its ejections and gives its permits back, and the next one begins without evidence.  Only a member
that is DEAD, LEFT or LEAVING is replaced.  Of two incarnations on one host the LIVE one counts, so
that evidence goes to each agent once.
"""

from collections.abc import Iterable

from toucanspindle_core.control_pb2 import LIVE, SUSPECT, Member


def judge_candidates(members: Iterable[Member]) -> list[Member]:
    """Return the members that may judge, at most one for each agent address."""
    chosen: dict[str, Member] = {}
    for member in members:
        known = chosen.get(member.agent_address)
        if member.state == LIVE or (member.state == SUSPECT and known is None):
            chosen[member.agent_address] = member
    return list(chosen.values())
