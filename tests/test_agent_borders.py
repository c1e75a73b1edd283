"""Tests of messages that agents refuse, and of leaving targets in the platform's host list."""

from google.protobuf.message import Message
from toucanspindle_core.control_grpc import PeerLinkStub
from toucanspindle_core.control_pb2 import LEFT, LIVE, Member, MemberTable, PingRequest
from toucanspindle_node.peerlink import MAX_MESSAGE_BYTES

from tests.agentfleet import AgentFleetCase, AgentNode, listen_address
from tests.harness import put_json, wait_until
from tests.rawmessages import call_error_code, oversized_call_error_code

LEAVING_S = 5.0


class RefusalTests(AgentFleetCase):
    """An agent refuses invalid messages with an error code and keeps its member table."""

    def setUp(self) -> None:
        super().setUp()
        self.started_nodes = self.start_nodes(2)
        self.wait_for_members(self.started_nodes)
        self.node = self.started_nodes[0]

    def call_error_code(self, method: str, request: Message | bytes) -> str:
        """Call the first agent and return the error code with which it refuses."""
        address = listen_address(self.node.settings)
        return self.loop.call(call_error_code(address, PeerLinkStub, method, request))

    def assert_members_unchanged(self) -> None:
        self.wait_for_members(self.started_nodes)
        members = self.node.status().members
        self.assertEqual(
            {n.incarnation for n in self.started_nodes}, {m.incarnation for m in members}
        )

    def test_ping_of_an_unknown_incarnation_is_refused(self) -> None:
        request = PingRequest(from_incarnation="never seen", from_agent_address="127.0.0.1:1")
        self.assertEqual("TS504", self.call_error_code("Ping", request))
        self.assert_members_unchanged()

    def test_ping_of_an_incarnation_that_left_is_refused(self) -> None:
        left_node = self.started_nodes[1]
        left_node.proxy.set_state(LEFT, self.node.incarnation)
        self.wait_for_state([self.node], left_node.incarnation, LEFT)
        request = PingRequest(
            from_incarnation=left_node.incarnation,
            from_agent_address=left_node.settings.agent_address,
        )
        self.assertEqual("TS503", self.call_error_code("Ping", request))

    def test_malformed_member_records_are_refused(self) -> None:
        malformed_member = Member(node="x", incarnation="x", failure_domain="x", state=LIVE)
        self.assertEqual(
            "TS502", self.call_error_code("Ping", PingRequest(updates=[malformed_member]))
        )
        table = MemberTable(members=[malformed_member, Member(incarnation="y")])
        self.assertEqual("TS502", self.call_error_code("ExchangeMembers", table))
        self.assert_members_unchanged()

    def test_undecodable_and_oversized_messages_are_refused(self) -> None:
        for method in ("Ping", "ExchangeMembers", "SendEvidence", "Status"):
            self.assertEqual("TS502", self.call_error_code(method, b"\xff" * 64), method)
        address, path = listen_address(self.node.settings), "/toucanspindle.PeerLink/SendEvidence"
        refusal = self.loop.call(oversized_call_error_code(address, path, MAX_MESSAGE_BYTES + 1))
        self.assertEqual("TS502", refusal)
        self.assert_members_unchanged()


class LeavingTargetTests(AgentFleetCase):
    """Proxies learn of targets that the host list shows as leaving."""

    def test_every_proxy_learns_of_a_leaving_target_in_time(self) -> None:
        self.accept_generation(1)
        nodes = self.start_nodes(4)
        self.wait_for_members(nodes)
        self.wait_for_generation(nodes, 1)
        host = {
            "name": "lotbook-2",
            "role": "target",
            "address": "127.0.0.1:9",
            "failure_domain": "beaufort",
            "state": "leaving",
            "service": "lotbook",
        }
        put_json(self.platform, "/admin/hosts", {"hosts": [host]})
        for node in nodes:
            wait_until(lambda: "lotbook/lotbook-2" in _leaving_at(node), LEAVING_S)  # noqa: B023


def _leaving_at(node: AgentNode) -> list[str]:
    return list(node.proxy.states[-1].leaving_targets)
