"""Tests of how configurations spread between agents, and what a restarted agent serves."""

import time

from toucanspindle_core.objects import CONFIG_KIND, HEAD_NAME, PART_KIND

from tests.agentfleet import AgentFleetCase, AgentNode
from tests.harness import http_call, put_json, wait_until

IN_FORCE_S = 6.0
STAYS_SO_S = 3.0  # several rounds of asking, and well below the limit of the join


class ConfigCase(AgentFleetCase):
    """Starts nodes that hold generation 1."""

    def start_holding(self, count: int) -> list[AgentNode]:
        self.accept(1)
        nodes = self.start_nodes(count)
        self.wait_for_members(nodes)
        self.wait_for_generation(nodes, 1)
        return nodes

    def set_platform(self, **faults: object) -> None:
        put_json(self.platform, "/admin/faults", faults)

    def assert_never_decreased(self, nodes: list[AgentNode]) -> None:
        for node in nodes:
            self.assertEqual(sorted(node.proxy.generations), node.proxy.generations)


class SpreadTests(ConfigCase):
    """A change that was accepted."""

    def test_each_change_is_in_force_everywhere_in_time(self) -> None:
        nodes = self.start_holding(5)
        for generation in (2, 3, 4):
            self.accept(generation)
            self.wait_for_generation(nodes, generation, IN_FORCE_S)
        self.assert_never_decreased(nodes)

    def test_a_change_spreads_from_one_node_that_the_platform_still_reached(self) -> None:
        nodes = self.start_holding(4)
        self.accept(2)
        wait_until(lambda: any(node.proxy.generation() == 2 for node in nodes))
        self.set_platform(away="error")
        self.wait_for_generation(nodes, 2, IN_FORCE_S)
        wait_until(lambda: not nodes[0].status().platform_reachable)

    def test_an_older_head_is_not_followed(self) -> None:
        nodes = self.start_holding(3)
        self.accept(2)
        self.wait_for_generation(nodes, 2)
        query = f"kind={CONFIG_KIND}&name={HEAD_NAME}&version=1"
        self.assertEqual(200, http_call(self.platform, "POST", f"/admin/restore?{query}").status)
        wait_until(lambda: any("TS507" in node.process.stderr() for node in nodes), 40.0)
        self.assertEqual([2, 2, 2], [node.generation() for node in nodes])
        self.assert_never_decreased(nodes)

    def test_a_head_whose_part_is_missing_is_not_applied(self) -> None:
        nodes = self.start_holding(3)
        stored = self.client.read(CONFIG_KIND, HEAD_NAME)
        assert stored is not None
        broken = dict(stored.value)
        broken["generation"] = 2
        broken["parts"] = dict(broken["parts"]) | {"fleet": "0" * 64}
        self.assertIsNone(self.client.read(PART_KIND, "0" * 64))
        self.client.replace(CONFIG_KIND, HEAD_NAME, broken, stored.version)
        wait_until(lambda: any("incomplete" in node.process.stderr() for node in nodes))
        self.assertEqual([1, 1, 1], [node.generation() for node in nodes])


class RestartTests(ConfigCase):
    """Agents that restart while the platform is away."""

    def test_a_lagging_peer_that_answers_first_is_not_believed(self) -> None:
        nodes = self.start_holding(5)
        lagging = nodes[0]
        lagging.process.pause()
        self.accept(2)
        self.wait_for_generation(nodes[1:], 2)
        self.set_platform(away="error")
        for node in nodes[1:]:
            node.process.pause()
        restarted = nodes[4]
        restarted.process.resume()
        restarted.proxy.generations.clear()
        lagging.process.resume()
        self.restart_agent(restarted)
        wait_until(lambda: restarted.generation() == 1, what="the lagging peer was heard")
        time.sleep(STAYS_SO_S)
        self.assertEqual([], restarted.proxy.generations)
        for node in nodes[1:4]:
            node.process.resume()
        self.wait_for_generation(nodes, 2)
        self.assertEqual([2], restarted.proxy.generations)

    def test_all_agents_but_one_restart_during_an_outage(self) -> None:
        nodes = self.start_holding(4)
        self.accept(2)
        self.wait_for_generation(nodes, 2)
        self.set_platform(away="hang")
        for node in nodes[1:]:
            node.proxy.generations.clear()
        for node in nodes[1:]:
            self.restart_agent(node)
        self.wait_for_generation(nodes, 2, 40.0)
        self.assertEqual([[2]] * 3, [node.proxy.generations for node in nodes[1:]])
