"""Tests of the metrics that an agent serves, and of its status after its proxy has ended."""

from aioprometheus import Gauge, Registry
from testtools import TestCase
from toucanspindle_core.control_pb2 import DEAD, LEFT, LIVE, Ejection, EjectionSet
from toucanspindle_core.hostport import HostPort
from toucanspindle_node.metricsexporter import (
    MAX_SERVICE_LABELS,
    OTHER_SERVICES,
    count_ejected_targets,
    set_service_values,
)

from tests.agentfleet import AgentFleetCase, AgentNode
from tests.harness import ADDRESSES, http_call, wait_until

GENERATION = 1


class AgentMetricsTests(AgentFleetCase):
    """The metrics served at `agent_metrics_address`."""

    def start_node_with_metrics(self) -> tuple[AgentNode, HostPort]:
        address = ADDRESSES.allocate()
        return self.start_node(agent_metrics_address=str(address)), address

    def scrape(self, address: HostPort) -> dict[str, float]:
        """Return the value of each time series by name with labels."""
        answer = http_call(address, "GET", "/metrics", {})
        self.assertEqual(200, answer.status)
        lines = [line for line in answer.body.decode().splitlines() if line[:1] not in {"", "#"}]
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    def test_metrics_show_the_state_of_the_agent(self) -> None:
        self.accept_generation(GENERATION)
        _, address = self.start_node_with_metrics()
        other = self.start_node()

        def metrics_are_current() -> bool:
            values = self.scrape(address)
            return (
                values['toucan_agent_members{state="live"}'] == 2
                and values["toucan_agent_config_generation"] == GENERATION
                and values["toucan_agent_proxy_config_generation"] == GENERATION
            )

        wait_until(metrics_are_current, what="the metrics show both members and the generation")
        values = self.scrape(address)
        self.assertEqual(1, values['toucan_agent_hearing{hearing="heard"}'])
        self.assertEqual(0, values['toucan_agent_hearing{hearing="unheard"}'])
        self.assertEqual(1, values["toucan_agent_proxy_connected"])
        self.assertEqual(1, values["toucan_agent_platform_reachable"])
        self.assertGreater(values["toucan_agent_cpu_seconds_total"], 0)
        self.assertGreater(values['toucan_agent_events_total{event="platform_call"}'], 0)
        self.assertEqual(0, values['toucan_agent_events_total{event="evidence_dropped"}'])
        other.proxy.set_state(LEFT)
        wait_until(
            lambda: self.scrape(address)['toucan_agent_members{state="left"}'] == 1,
            what="the metrics show that the other member has left",
        )

    def test_agent_without_a_metrics_address_serves_no_metrics(self) -> None:
        node = self.start_node()
        self.assertIsNone(node.settings.agent_metrics_address)
        self.assertEqual(0, node.generation())


class ServiceGaugeTests(TestCase):
    """The number of targets and services in the gauges."""

    def test_ejections_are_counted_once_for_each_target(self) -> None:
        first_set = EjectionSet(service="lotbook", holder="a", ejections=[Ejection(target="t-1")])
        second_set = EjectionSet(service="lotbook", holder="b", ejections=[Ejection(target="t-1")])
        self.assertEqual({"lotbook": 1}, count_ejected_targets([first_set, second_set]))

    def test_services_beyond_the_limit_share_a_label(self) -> None:
        gauge = Gauge("held", "Held.", registry=Registry())
        services = {f"service-{n:03}": 1 for n in range(MAX_SERVICE_LABELS + 50)}
        set_service_values(gauge, services)
        values = {labels["service"]: value for labels, value in gauge.get_all()}
        self.assertEqual(MAX_SERVICE_LABELS + 1, len(values))
        self.assertEqual(50, values[OTHER_SERVICES])
        set_service_values(gauge, {"service-001": 2})
        self.assertEqual([({"service": "service-001"}, 2)], gauge.get_all())


class EndedProxyTests(AgentFleetCase):
    """The status of a node whose proxy has ended."""

    def test_status_shows_left_after_the_proxy_left(self) -> None:
        node = self.start_node()
        wait_until(lambda: node.status().member.state == LIVE, what="the agent knows its proxy")
        node.proxy.set_state(LEFT)
        node.proxy.close()
        wait_until(lambda: node.status().member.state == LEFT, what="the status shows LEFT")
        self.assertEqual(node.settings.node, node.status().member.node)

    def test_status_shows_dead_after_the_proxy_crashed(self) -> None:
        node = self.start_node()
        wait_until(lambda: node.status().member.state == LIVE, what="the agent knows its proxy")
        node.proxy.close()
        wait_until(lambda: node.status().member.state == DEAD, what="the status shows DEAD")
