"""Tests of the choice of members that may judge services."""

from testtools import TestCase
from toucanspindle_core.control_pb2 import DEAD, LEAVING, LEFT, LIVE, SUSPECT, Member, MemberState
from toucanspindle_node.judgechoice import judge_candidates


def member(agent_address: str, state: MemberState.ValueType, incarnation: str = "i") -> Member:
    """Return a member with an agent address and a state."""
    return Member(incarnation=incarnation, agent_address=agent_address, state=state)


class JudgeCandidatesTests(TestCase):
    """Members that may judge."""

    def test_a_suspected_member_stays_a_candidate(self) -> None:
        members = [member("a", LIVE), member("b", SUSPECT)]
        self.assertEqual(members, judge_candidates(members))

    def test_members_that_are_gone_or_leave_are_none(self) -> None:
        members = [member("a", DEAD), member("b", LEFT), member("c", LEAVING)]
        self.assertEqual([], judge_candidates(members))

    def test_one_incarnation_of_a_host_is_chosen_the_live_one_first(self) -> None:
        old, new = member("a", SUSPECT, "old"), member("a", LIVE, "new")
        self.assertEqual([new], judge_candidates([old, new]))
        self.assertEqual([new], judge_candidates([new, old]))
