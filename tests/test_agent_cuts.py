"""Tests of one-way and two-way network partitions between agents, with fault proxies."""

from functools import partial
from typing import Any

from toucanspindle_core.control_pb2 import LIVE
from toucanspindle_core.hostport import HostPort

from tests.agentfleet import AgentFleetCase, AgentNode
from tests.harness import ADDRESSES, WaitTimeoutError, put_json, wait_until

PROBE_INTERVAL_S = 0.4


class CutCase(AgentFleetCase):
    """Base of tests whose agents reach each other only through fault proxies."""

    def start_behind_fault_proxies(self, count: int) -> list[AgentNode]:
        """Start nodes behind fault proxies and wait until all list each other as LIVE."""
        link_addresses = [ADDRESSES.allocate() for _ in range(count)]
        listen_addresses = [ADDRESSES.allocate() for _ in range(count)]
        self.admin_addresses = [ADDRESSES.allocate() for _ in range(count)]
        # One fault proxy per link, since a proxy is slow to look up the source of a connection.
        for index, admin in enumerate(self.admin_addresses):
            argv = ["toucanspindle_standins.main", "faultproxy", "--admin", str(admin)]
            argv += ["--listen", str(link_addresses[index]), "--to", str(listen_addresses[index])]
            self.start_process(f"faults-{index}", *argv, ready_at=admin)
        for link_address, listen_address in zip(link_addresses, listen_addresses, strict=True):
            self.start_node(
                agent_address=str(link_address),
                agent_listen_address=str(listen_address),
                probe_interval_s=PROBE_INTERVAL_S,
            )
        self.register_sources()
        # Reset the connections that were opened before the sources were registered.
        self.set_rules({"faults": {"reset": True}})
        self.remove_faults()
        self.wait_for_members(self.nodes)
        return self.nodes

    def register_sources(self) -> None:
        """Register the agents' process ids at the fault proxies; needed after each restart."""
        sources = {node.settings.node: [node.process.pid] for node in self.nodes}
        for admin in self.admin_addresses:
            put_json(admin, "/sources", sources)

    def block_one_way(self, senders: list[AgentNode], receivers: list[AgentNode]) -> None:
        """Drop the traffic from senders to receivers; the opposite direction stays open."""
        names = [node.settings.node for node in senders]
        other_names = [node.settings.node for node in receivers]
        self.set_rules(
            _rule(receivers, names, "to-server"), _rule(senders, other_names, "to-client")
        )

    def set_rules(self, *rules: dict[str, Any]) -> None:
        """Replace the rules of all fault proxies."""
        for admin in self.admin_addresses:
            put_json(admin, "/faults", {"rules": list(rules)})

    def wait_until_not_live(self, nodes: list[AgentNode], incarnations: set[str]) -> None:
        """Wait until none of the nodes lists any of the incarnations as LIVE."""
        for node in nodes:
            try:
                wait_until(partial(self._lists_none_live, node, incarnations))
            except WaitTimeoutError as error:
                raise AssertionError(self.describe_failure(node, set())) from error

    def _lists_none_live(self, node: AgentNode, incarnations: set[str]) -> bool:
        return not incarnations & self.live_incarnations(node)

    def remove_faults(self) -> None:
        """Remove all rules."""
        self.set_rules()


def _rule(receivers: list[AgentNode], sources: list[str], cut: str) -> dict[str, Any]:
    addresses = [str(HostPort.parse(node.settings.agent_address)) for node in receivers]
    faults = {"cut": cut, "on_heal": "reset"}
    return {"links": addresses, "sources": sources, "faults": faults}


class OneWayCutTests(CutCase):
    """Messages pass in one direction only."""

    def test_node_whose_messages_are_lost_leaves_the_directory_until_healed(self) -> None:
        nodes = self.start_behind_fault_proxies(4)
        cut_off, others = nodes[0], nodes[1:]
        self.block_one_way([cut_off], others)
        self.wait_until_not_live(nodes, {cut_off.incarnation})
        self.assertEqual({n.incarnation for n in others}, self.live_incarnations(cut_off))
        self.remove_faults()
        self.wait_for_members(nodes)

    def test_node_that_receives_nothing_does_not_suspect_its_peers(self) -> None:
        nodes = self.start_behind_fault_proxies(4)
        isolated, others = nodes[0], nodes[1:]
        state_counts = [len(node.proxy.states) for node in others]
        self.block_one_way(others, [isolated])
        self.wait_until_not_live(others, {isolated.incarnation})
        wait_until(lambda: self.live_incarnations(isolated) == {isolated.incarnation})
        other_incarnations = {node.incarnation for node in others}
        for node, first_state in zip(others, state_counts, strict=True):
            for state in node.proxy.states[first_state:]:
                not_live = {
                    m.incarnation
                    for m in state.members
                    if m.incarnation in other_incarnations and m.state != LIVE
                }
                self.assertEqual(set(), not_live)
        self.remove_faults()
        self.wait_for_members(nodes)

    def test_domain_whose_messages_are_lost_leaves_and_still_gets_configurations(self) -> None:
        self.accept_generation(1)
        nodes = self.start_behind_fault_proxies(8)
        self.wait_for_generation(nodes, 1)
        cut_off = [n for n in nodes if n.settings.failure_domain == "beaufort"]
        others = [n for n in nodes if n not in cut_off]
        self.block_one_way(cut_off, others)
        cut_off_incarnations = {node.incarnation for node in cut_off}
        self.wait_until_not_live(nodes, cut_off_incarnations)
        self.accept_generation(2)
        self.wait_for_generation(nodes, 2)
        self.remove_faults()
        self.wait_for_members(nodes)


class PartitionTests(CutCase):
    """No messages pass in either direction."""

    def test_partitioned_halves_rejoin_after_healing(self) -> None:
        nodes = self.start_behind_fault_proxies(4)
        one_half, other_half = nodes[:2], nodes[2:]
        names = [[n.settings.node for n in half] for half in (one_half, other_half)]
        self.set_rules(_rule(one_half, names[1], "both"), _rule(other_half, names[0], "both"))
        other_half_incarnations = {n.incarnation for n in other_half}
        self.wait_until_not_live(one_half, other_half_incarnations)
        self.remove_faults()
        self.wait_for_members(nodes)
