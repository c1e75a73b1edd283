"""Test of the process fleet of the integration tests, with and without a cut link."""

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
    """A fleet of three nodes behind the fault proxy."""

    def test_fleet_serves_and_a_cut_entry_is_silent(self) -> None:
        config = small_fleet(ADDRESSES, {"lotbook": 4})
        fleet = self.start_fleet(config, FleetOptions(behind_faults=True))
        domains = {node.settings.failure_domain for node in fleet.nodes}
        self.assertEqual(3, len(domains))
        for node in fleet.nodes:
            self.assertTrue(self.is_answered(node))
        self.assertEqual(3, len(fleet.all_runs()))
        cut = LinkFaults.model_validate({"cut": "to-client"})
        fleet.links.set_rules([fleet.links.rule(["node-1/entry"], cut)])
        self.assertEqual([False, True, True], [self.is_answered(node) for node in fleet.nodes])
        fleet.links.clear_rules()
        self.assertTrue(self.is_answered(fleet.node("node-1")))

    def is_answered(self, node: EntryNode) -> bool:
        """Whether a lookup through the node is answered with 200 within a second."""
        account = {"Toucan-Account": "yard-1"}
        try:
            return http_call(node.entry, "GET", "/lotbook/1", account, timeout_s=1).status == 200
        except BrokenAnswerError:
            return False
