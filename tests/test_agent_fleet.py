"""Tests of agents that discover each other and agree on member states."""

from toucanspindle_core.control_pb2 import DEAD, LEAVING, LEFT, LIVE, SUSPECT

from tests.agentfleet import AgentFleetCase
from tests.harness import wait_until


class JoinTests(AgentFleetCase):
    """Agents discover each other through seeds."""

    def test_agents_learn_all_members_and_the_configuration(self) -> None:
        self.accept_generation(1)
        nodes = self.start_nodes(4)
        self.wait_for_members(nodes)
        self.wait_for_generation(nodes, 1)
        self.accept_generation(2)
        self.wait_for_generation(nodes, 2)


class DepartureTests(AgentFleetCase):
    """Members that leave, fail or stop reporting."""

    def test_proxy_whose_stream_breaks_becomes_dead_on_all_nodes(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        gone_incarnation = nodes[2].incarnation
        nodes[2].proxy.close()
        self.wait_for_state(nodes[:2], gone_incarnation, DEAD)

    def test_left_member_keeps_its_state_and_names_its_successor(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        leaving_node, successor_node = nodes[0], nodes[1]
        leaving_node.proxy.set_state(LEAVING)
        self.wait_for_state(nodes[1:], leaving_node.incarnation, LEAVING)
        leaving_node.proxy.set_state(LEFT, successor_node.incarnation)
        leaving_node.proxy.close()
        self.wait_for_state(nodes[1:], leaving_node.incarnation, LEFT)
        for node in nodes[1:]:
            members = {m.incarnation: m for m in node.proxy.states[-1].members}
            self.assertEqual(
                successor_node.incarnation, members[leaving_node.incarnation].successor
            )

    def test_member_of_a_killed_agent_becomes_suspect_then_dead(self) -> None:
        nodes = self.start_nodes(4)
        self.wait_for_members(nodes)
        gone_incarnation = nodes[3].incarnation
        nodes[3].process.kill()
        self.wait_for_state(nodes[:3], gone_incarnation, SUSPECT, DEAD)
        self.wait_for_state(nodes[:3], gone_incarnation, DEAD)

    def test_proxy_that_stops_reporting_leaves_the_directory_until_it_reports(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        nodes[1].proxy.is_reporting = False
        silent_incarnation = nodes[1].incarnation
        wait_until(lambda: silent_incarnation not in self.live_incarnations(nodes[0]))
        nodes[1].proxy.is_reporting = True
        wait_until(lambda: silent_incarnation in self.live_incarnations(nodes[0]))

    def test_proxy_of_a_restarted_agent_is_live_again(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        self.restart_agent(nodes[2])
        self.wait_for_members(nodes)
        states = nodes[0].proxy.member_states()
        self.assertEqual(LIVE, states[nodes[2].incarnation])
