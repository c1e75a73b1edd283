"""Tests of agents behind the fault proxy: nodes and domains that are cut off one way."""

from functools import partial
from typing import Any

from toucanspindle_core.control_pb2 import LIVE
from toucanspindle_core.hostport import HostPort

from tests.agentfleet import AgentFleetCase, AgentNode
from tests.harness import ADDRESSES, WaitTimeoutError, put_json, wait_until

PROBE_INTERVAL_S = 0.4


class CutCase(AgentFleetCase):
    """Starts agents whose peers reach them through links of the fault proxy only."""

    def start_linked(self, count: int) -> list[AgentNode]:
        """Start nodes behind links and wait until all know all."""
        links = [ADDRESSES.take() for _ in range(count)]
        listening = [ADDRESSES.take() for _ in range(count)]
        self.admins = [ADDRESSES.take() for _ in range(count)]
        # One fault proxy per link: looking up the source of a connection takes it a while.
        for index, admin in enumerate(self.admins):
            argv = ["toucanspindle_standins.main", "faultproxy", "--admin", str(admin)]
            argv += ["--listen", str(links[index]), "--to", str(listening[index])]
            self.start_process(f"faults-{index}", *argv, ready_at=admin)
        for link, server in zip(links, listening, strict=True):
            self.start_node(
                agent_address=str(link),
                agent_listen_address=str(server),
                probe_interval_s=PROBE_INTERVAL_S,
            )
        self.register_sources()
        # Connections opened before are of no known source.
        self.set_rules({"faults": {"reset": True}})
        self.heal()
        self.wait_for_members(self.nodes)
        return self.nodes

    def register_sources(self) -> None:
        """Tell the fault proxies the process ids; to be called after a restart of an agent."""
        sources = {node.settings.node: [node.process.pid] for node in self.nodes}
        for admin in self.admins:
            put_json(admin, "/sources", sources)

    def cut(self, senders: list[AgentNode], receivers: list[AgentNode]) -> None:
        """Hold back every byte from the senders to the receivers; the other way stays open."""
        names = [node.settings.node for node in senders]
        other_names = [node.settings.node for node in receivers]
        self.set_rules(
            _rule(receivers, names, "to-server"), _rule(senders, other_names, "to-client")
        )

    def set_rules(self, *rules: dict[str, Any]) -> None:
        """Replace all rules."""
        for admin in self.admins:
            put_json(admin, "/faults", {"rules": list(rules)})

    def wait_until_unlisted(self, nodes: list[AgentNode], incarnations: set[str]) -> None:
        """Wait until none of the nodes names any of the incarnations to callers."""
        for node in nodes:
            try:
                wait_until(partial(self._names_none, node, incarnations))
            except WaitTimeoutError as error:
                raise AssertionError(self.describe(node, set())) from error

    def _names_none(self, node: AgentNode, incarnations: set[str]) -> bool:
        return not incarnations & self.live_at(node)

    def heal(self) -> None:
        """End all cuts."""
        self.set_rules()


def _rule(links: list[AgentNode], sources: list[str], cut: str) -> dict[str, Any]:
    addresses = [str(HostPort.parse(node.settings.agent_address)) for node in links]
    faults = {"cut": cut, "on_heal": "reset"}
    return {"links": addresses, "sources": sources, "faults": faults}


class OneWayCutTests(CutCase):
    """One side hears the other but isn't heard."""

    def test_a_node_that_is_not_heard_leaves_the_directory_and_returns(self) -> None:
        nodes = self.start_linked(4)
        unheard, others = nodes[0], nodes[1:]
        self.cut([unheard], others)
        self.wait_until_unlisted(nodes, {unheard.incarnation})
        self.assertEqual({n.incarnation for n in others}, self.live_at(unheard))
        self.heal()
        self.wait_for_members(nodes)

    def test_a_deaf_node_speaks_ill_of_nobody(self) -> None:
        nodes = self.start_linked(4)
        deaf, others = nodes[0], nodes[1:]
        first = [len(node.proxy.states) for node in others]
        self.cut(others, [deaf])
        self.wait_until_unlisted(others, {deaf.incarnation})
        wait_until(lambda: self.live_at(deaf) == {deaf.incarnation})
        names = {node.incarnation for node in others}
        for node, start in zip(others, first, strict=True):
            for state in node.proxy.states[start:]:
                spoken_ill_of = {
                    m.incarnation
                    for m in state.members
                    if m.incarnation in names and m.state != LIVE
                }
                self.assertEqual(set(), spoken_ill_of)
        self.heal()
        self.wait_for_members(nodes)

    def test_a_domain_that_is_not_heard_leaves_and_still_gets_configurations(self) -> None:
        self.accept(1)
        nodes = self.start_linked(8)
        self.wait_for_generation(nodes, 1)
        unheard = [n for n in nodes if n.settings.failure_domain == "beaufort"]
        others = [n for n in nodes if n not in unheard]
        self.cut(unheard, others)
        names = {node.incarnation for node in unheard}
        self.wait_until_unlisted(nodes, names)
        self.accept(2)
        self.wait_for_generation(nodes, 2)
        self.heal()
        self.wait_for_members(nodes)


class PartitionTests(CutCase):
    """Both ways cut."""

    def test_parted_halves_join_again_without_declaring_each_other_dead(self) -> None:
        nodes = self.start_linked(4)
        one, other = nodes[:2], nodes[2:]
        names = [[n.settings.node for n in half] for half in (one, other)]
        self.set_rules(_rule(one, names[1], "both"), _rule(other, names[0], "both"))
        gone = {n.incarnation for n in other}
        self.wait_until_unlisted(one, gone)
        self.heal()
        self.wait_for_members(nodes)
