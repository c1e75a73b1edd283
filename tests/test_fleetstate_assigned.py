"""Tests of the nodes assigned to a service, and of the nodes that get crash notices."""

from unittest.mock import create_autospec

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.control_pb2 import LEAVING, LIVE, SUSPECT, Member, MemberState
from toucanspindle_core.memberrecord import with_state
from toucanspindle_core.policy import merge_policy
from toucanspindle_core.quarantine import QuarantineTable
from toucanspindle_node.crashnotices import MAX_PEERS, CrashNotices
from toucanspindle_node.fleetstate import FleetState, FleetStateHolder, TargetEjection
from toucanspindle_node.issuerlink import IssuerLinkClient

from tests.test_policy import config_with

DOMAINS = ("beaufort", "laingsburg", "graaff", "deaar")
SERVICE = "lotbook"
OWN = "entry-0-incarnation"


def make_member(index: int, state: MemberState.ValueType = LIVE) -> Member:
    return Member(
        node=f"entry-{index}",
        incarnation=f"entry-{index}-incarnation",
        failure_domain=DOMAINS[index % len(DOMAINS)],
        proxy_control_address=f"127.0.0.1:{9000 + index}",
        state=state,
        version=1,
    )


class AssignedNodesTests(TestCase):
    """The nodes that a service is assigned to when the snapshot changes."""

    def setUp(self) -> None:
        super().setUp()
        self.holder = FleetStateHolder()
        self.holder.apply_policy(merge_policy(config_with(), 1))
        self.members = [make_member(index) for index in range(12)]
        self.holder.apply_members(self.members)

    def assigned(self) -> list[Member]:
        state = self.holder.state
        assert state.policy is not None
        return state.assigned_nodes(state.policy.services[SERVICE])

    def test_change_of_ejections_keeps_the_cached_assignment(self) -> None:
        before = self.assigned()
        ejection = TargetEjection("lotbook-1", "slow", 0, 1.0)
        self.holder.apply_ejections({SERVICE: (ejection,)})
        self.assertIs(before, self.assigned())

    def test_suspect_node_is_replaced_and_a_new_token_is_listed(self) -> None:
        suspect_member, live_member = self.assigned()[:2]
        members = [m for m in self.members if m.node not in {suspect_member.node, live_member.node}]
        renewed = with_state(live_member, LIVE, 2)
        renewed.token = "renewed"
        self.holder.apply_members([*members, renewed, with_state(suspect_member, SUSPECT, 2)])
        assigned = self.assigned()
        self.assertNotIn(suspect_member.node, [member.node for member in assigned])
        self.assertIn("renewed", [member.token for member in assigned])

    def test_nothing_is_assigned_without_a_configuration(self) -> None:
        policy = merge_policy(config_with(), 1)
        state = FleetState(members=tuple(self.members))
        self.assertEqual([], state.assigned_nodes(policy.services[SERVICE]))


class CrashNoticeTests(TestCase):
    """The nodes that a proxy notifies of a request that crashed a target."""

    def test_large_fleet_notifies_assigned_and_leaving_nodes(self) -> None:
        members = [make_member(index) for index in range(MAX_PEERS + 12)]
        leaving = [make_member(len(members) + index, LEAVING) for index in range(2)]
        state = FleetState(merge_policy(config_with(), 1), members=(*members, *leaving))
        assert state.policy is not None
        assigned = state.assigned_nodes(state.policy.services[SERVICE])
        clock = MonotonicClock()
        quarantine = QuarantineTable(clock)
        quarantine.record_crash(SERVICE, "fingerprint", "lotbook-1")
        caller = create_autospec(IssuerLinkClient, instance=True)
        caller.notify_crash.return_value = []
        CrashNotices(OWN, quarantine, caller, clock).send(SERVICE, "fingerprint", state)
        addresses, _ = caller.notify_crash.call_args.args
        notified = [member for member in [*assigned, *leaving] if member.incarnation != OWN]
        self.assertEqual([member.proxy_control_address for member in notified], addresses)
