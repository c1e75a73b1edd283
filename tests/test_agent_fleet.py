"""Tests of agents that find each other and agree on who is live."""

from toucanspindle_core.control_pb2 import DEAD, LEAVING, LEFT, LIVE, SUSPECT

from tests.agentfleet import AgentFleetCase
from tests.harness import wait_until


class JoinTests(AgentFleetCase):
    """Agents that find each other."""

    def test_all_learn_of_all_and_of_the_configuration(self) -> None:
        self.accept(1)
        nodes = self.start_nodes(4)
        self.wait_for_members(nodes)
        self.wait_for_generation(nodes, 1)
        self.accept(2)
        self.wait_for_generation(nodes, 2)


class DepartureTests(AgentFleetCase):
    """Members that go."""

    def test_a_proxy_whose_stream_breaks_is_dead_at_once_everywhere(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        gone = nodes[2].incarnation
        nodes[2].proxy.close()
        self.wait_for_state(nodes[:2], gone, DEAD)

    def test_left_names_its_successor_and_stays(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        leaver, heir = nodes[0], nodes[1]
        leaver.proxy.set_state(LEAVING)
        self.wait_for_state(nodes[1:], leaver.incarnation, LEAVING)
        leaver.proxy.set_state(LEFT, heir.incarnation)
        leaver.proxy.close()
        self.wait_for_state(nodes[1:], leaver.incarnation, LEFT)
        for node in nodes[1:]:
            members = {m.incarnation: m for m in node.proxy.states[-1].members}
            self.assertEqual(heir.incarnation, members[leaver.incarnation].successor)

    def test_a_killed_agent_is_suspected_then_dead(self) -> None:
        nodes = self.start_nodes(4)
        self.wait_for_members(nodes)
        gone = nodes[3].incarnation
        nodes[3].process.kill()
        self.wait_for_state(nodes[:3], gone, SUSPECT, DEAD)
        self.wait_for_state(nodes[:3], gone, DEAD)

    def test_a_silent_proxy_leaves_the_directory_and_comes_back(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        nodes[1].proxy.reporting = False
        silent = nodes[1].incarnation
        wait_until(lambda: silent not in self.live_at(nodes[0]))
        nodes[1].proxy.reporting = True
        wait_until(lambda: silent in self.live_at(nodes[0]))

    def test_a_restarted_agent_keeps_its_live_proxy_listed(self) -> None:
        nodes = self.start_nodes(3)
        self.wait_for_members(nodes)
        self.restart_agent(nodes[2])
        self.wait_for_members(nodes)
        states = nodes[0].proxy.member_states()
        self.assertEqual(LIVE, states[nodes[2].incarnation])
