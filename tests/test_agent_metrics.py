"""Tests of the metrics that an agent serves, and of what it says of a proxy that ended."""

from aioprometheus import Gauge, Registry
from testtools import TestCase
from toucanspindle_core.control_pb2 import DEAD, LEFT, LIVE, Ejection, EjectionSet
from toucanspindle_core.hostport import HostPort
from toucanspindle_node.agent_metrics import (
    MAX_SERVICE_LABELS,
    OTHER_SERVICES,
    ejected_by_service,
    set_by_service,
)

from tests.agentfleet import AgentFleetCase, AgentNode
from tests.harness import ADDRESSES, http_call, wait_until

GENERATION = 1


class AgentMetricsTests(AgentFleetCase):
    """What is served at agent_metrics_address."""

    def start_measured(self) -> tuple[AgentNode, HostPort]:
        address = ADDRESSES.take()
        return self.start_node(agent_metrics_address=str(address)), address

    def scrape(self, address: HostPort) -> dict[str, float]:
        """Return the value of each time series."""
        answer = http_call(address, "GET", "/metrics", {})
        self.assertEqual(200, answer.status)
        lines = [line for line in answer.body.decode().splitlines() if line[:1] not in {"", "#"}]
        return {name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)}

    def test_state_of_the_agent_is_shown(self) -> None:
        self.accept(GENERATION)
        _, address = self.start_measured()
        other = self.start_node()

        def settled() -> bool:
            values = self.scrape(address)
            return (
                values['toucan_agent_members{state="live"}'] == 2
                and values["toucan_agent_config_generation"] == GENERATION
                and values["toucan_agent_proxy_config_generation"] == GENERATION
            )

        wait_until(settled, what="the metrics show both members and the generation")
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

    def test_agent_without_an_address_for_it_serves_none(self) -> None:
        node = self.start_node()
        self.assertIsNone(node.settings.agent_metrics_address)
        self.assertEqual(0, node.generation())


class ServiceLabelTests(TestCase):
    """How many services are told apart."""

    def test_ejections_are_counted_once_for_each_target(self) -> None:
        one = EjectionSet(service="lotbook", holder="a", ejections=[Ejection(target="t-1")])
        two = EjectionSet(service="lotbook", holder="b", ejections=[Ejection(target="t-1")])
        self.assertEqual({"lotbook": 1}, ejected_by_service([one, two]))

    def test_services_beyond_the_limit_share_a_label(self) -> None:
        gauge = Gauge("held", "Held.", registry=Registry())
        services = {f"service-{n:03}": 1 for n in range(MAX_SERVICE_LABELS + 50)}
        set_by_service(gauge, services)
        values = {labels["service"]: value for labels, value in gauge.get_all()}
        self.assertEqual(MAX_SERVICE_LABELS + 1, len(values))
        self.assertEqual(50, values[OTHER_SERVICES])
        set_by_service(gauge, {"service-001": 2})
        self.assertEqual([({"service": "service-001"}, 2)], gauge.get_all())


class EndedProxyTests(AgentFleetCase):
    """What operators are told of a node whose proxy has ended."""

    def test_proxy_that_left_is_shown_as_left(self) -> None:
        node = self.start_node()
        wait_until(lambda: node.status().member.state == LIVE, what="the agent knows its proxy")
        node.proxy.set_state(LEFT)
        node.proxy.close()
        wait_until(lambda: node.status().member.state == LEFT, what="the agent says that it left")
        self.assertEqual(node.settings.node, node.status().member.node)

    def test_proxy_that_crashed_is_shown_as_dead(self) -> None:
        node = self.start_node()
        wait_until(lambda: node.status().member.state == LIVE, what="the agent knows its proxy")
        node.proxy.close()
        wait_until(
            lambda: node.status().member.state == DEAD, what="the agent says that it is dead"
        )
