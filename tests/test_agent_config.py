"""Tests of the distribution of configurations, and of what a restarted agent serves."""

import time

from toucanspindle_core.objects import CONFIG_KIND, HEAD_NAME, PART_KIND

from tests.agentfleet import AgentFleetCase, AgentNode
from tests.harness import http_call, put_json, wait_until

CONFIG_SPREAD_TIMEOUT_S = 6.0
NOT_SERVING_CHECK_S = 3.0  # several rounds of `ConfigBootstrap`, well below its time limit


class ConfigCase(AgentFleetCase):
    """Base of tests with nodes that hold generation 1."""

    def start_nodes_with_config(self, count: int) -> list[AgentNode]:
        self.accept_generation(1)
        nodes = self.start_nodes(count)
        self.wait_for_members(nodes)
        self.wait_for_generation(nodes, 1)
        return nodes

    def set_platform_faults(self, **faults: object) -> None:
        put_json(self.platform, "/admin/faults", faults)

    def assert_never_decreased(self, nodes: list[AgentNode]) -> None:
        for node in nodes:
            self.assertEqual(sorted(node.proxy.generations), node.proxy.generations)


class SpreadTests(ConfigCase):
    """Distribution of accepted configurations to all nodes."""

    def test_each_change_is_in_force_on_all_nodes_in_time(self) -> None:
        nodes = self.start_nodes_with_config(5)
        for generation in (2, 3, 4):
            self.accept_generation(generation)
            self.wait_for_generation(nodes, generation, CONFIG_SPREAD_TIMEOUT_S)
        self.assert_never_decreased(nodes)

    def test_change_read_by_one_node_spreads_during_a_platform_outage(self) -> None:
        nodes = self.start_nodes_with_config(4)
        self.accept_generation(2)
        wait_until(lambda: any(node.proxy.generation() == 2 for node in nodes))
        self.set_platform_faults(away="error")
        self.wait_for_generation(nodes, 2, CONFIG_SPREAD_TIMEOUT_S)
        wait_until(lambda: not nodes[0].status().platform_reachable)

    def test_head_of_a_lower_generation_is_not_applied(self) -> None:
        nodes = self.start_nodes_with_config(3)
        self.accept_generation(2)
        self.wait_for_generation(nodes, 2)
        query = f"kind={CONFIG_KIND}&name={HEAD_NAME}&version=1"
        self.assertEqual(200, http_call(self.platform, "POST", f"/admin/restore?{query}").status)
        wait_until(lambda: any("TS507" in node.process.stderr() for node in nodes), 40.0)
        self.assertEqual([2, 2, 2], [node.generation() for node in nodes])
        self.assert_never_decreased(nodes)

    def test_head_with_a_missing_part_is_not_applied(self) -> None:
        nodes = self.start_nodes_with_config(3)
        stored = self.client.read(CONFIG_KIND, HEAD_NAME)
        assert stored is not None
        head_with_missing_part = dict(stored.value)
        head_with_missing_part["generation"] = 2
        head_with_missing_part["parts"] = dict(head_with_missing_part["parts"]) | {
            "fleet": "0" * 64
        }
        self.assertIsNone(self.client.read(PART_KIND, "0" * 64))
        self.client.replace(CONFIG_KIND, HEAD_NAME, head_with_missing_part, stored.version)
        wait_until(lambda: any("incomplete" in node.process.stderr() for node in nodes))
        self.assertEqual([1, 1, 1], [node.generation() for node in nodes])


class RestartTests(ConfigCase):
    """Agents that restart while the platform is unreachable."""

    def test_restarted_agent_does_not_serve_the_lower_generation_of_a_lagging_peer(self) -> None:
        nodes = self.start_nodes_with_config(5)
        lagging = nodes[0]
        lagging.process.pause()
        self.accept_generation(2)
        self.wait_for_generation(nodes[1:], 2)
        self.set_platform_faults(away="error")
        for node in nodes[1:]:
            node.process.pause()
        restarted = nodes[4]
        restarted.process.resume()
        restarted.proxy.generations.clear()
        lagging.process.resume()
        self.restart_agent(restarted)
        wait_until(
            lambda: restarted.generation() == 1,
            what="the restarted agent holds the lagging peer's generation",
        )
        time.sleep(NOT_SERVING_CHECK_S)
        self.assertEqual([], restarted.proxy.generations)
        for node in nodes[1:4]:
            node.process.resume()
        self.wait_for_generation(nodes, 2)
        self.assertEqual([2], restarted.proxy.generations)

    def test_agents_that_restart_during_an_outage_recover_from_the_remaining_one(self) -> None:
        nodes = self.start_nodes_with_config(4)
        self.accept_generation(2)
        self.wait_for_generation(nodes, 2)
        self.set_platform_faults(away="hang")
        for node in nodes[1:]:
            node.proxy.generations.clear()
        for node in nodes[1:]:
            self.restart_agent(node)
        self.wait_for_generation(nodes, 2, 40.0)
        self.assertEqual([[2]] * 3, [node.proxy.generations for node in nodes[1:]])
