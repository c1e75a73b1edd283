"""Test of the fleet that the integration tests start: it serves, and its links can be cut."""

from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.faultrules import LinkFaults

from tests.harness import (
    ADDRESSES,
    BrokenAnswerError,
    FleetOptions,
    ProcessTestCase,
    http_call,
    small_fleet,
)


class FleetTests(ProcessTestCase):
    """Three nodes behind the fault proxy."""

    def test_fleet_serves_and_a_cut_entry_is_silent(self) -> None:
        config = small_fleet(ADDRESSES, {"lotbook": 4})
        fleet = self.start_fleet(config, FleetOptions(behind_faults=True))
        domains = {node.settings.failure_domain for node in fleet.nodes}
        self.assertEqual(3, len(domains))
        for node in fleet.nodes:
            self.assertTrue(self.answers(node))
        self.assertEqual(3, len(fleet.all_runs()))
        cut = LinkFaults.model_validate({"cut": "to-client"})
        fleet.links.set_rules([fleet.links.rule(["node-1/entry"], cut)])
        self.assertEqual([False, True, True], [self.answers(node) for node in fleet.nodes])
        fleet.links.heal()
        self.assertTrue(self.answers(fleet.node("node-1")))

    def answers(self, node: EntryNode) -> bool:
        """Whether a lookup through the node is answered soon."""
        account = {"Toucan-Account": "yard-1"}
        try:
            return http_call(node.entry, "GET", "/lotbook/1", account, timeout_s=1).status == 200
        except BrokenAnswerError:
            return False
