"""Tests of the selection of members that may judge services."""

from testtools import TestCase
from toucanspindle_core.control_pb2 import DEAD, LEAVING, LEFT, LIVE, SUSPECT, Member, MemberState
from toucanspindle_node.judgeassignment import judge_candidates


def member(agent_address: str, state: MemberState.ValueType, incarnation: str = "i") -> Member:
    """Return a member; the other fields are empty."""
    return Member(incarnation=incarnation, agent_address=agent_address, state=state)


class JudgeCandidatesTests(TestCase):
    """The members that `judge_candidates` selects."""

    def test_suspected_member_stays_a_candidate(self) -> None:
        members = [member("a", LIVE), member("b", SUSPECT)]
        self.assertEqual(members, judge_candidates(members))

    def test_dead_left_and_leaving_members_are_no_candidates(self) -> None:
        members = [member("a", DEAD), member("b", LEFT), member("c", LEAVING)]
        self.assertEqual([], judge_candidates(members))

    def test_live_incarnation_of_a_host_is_preferred(self) -> None:
        old, new = member("a", SUSPECT, "old"), member("a", LIVE, "new")
        self.assertEqual([new], judge_candidates([old, new]))
        self.assertEqual([new], judge_candidates([new, old]))
