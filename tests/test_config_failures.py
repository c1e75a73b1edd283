"""Tests of accepted changes under combined failures.

The failures are racing operators, lost answers, network cuts, platform outages and agent restarts.
A change that was reported to an operator as accepted must persist, no node may return to an older
generation, and reachable nodes must have the change in force within CONFIG_SPREAD_TIMEOUT_S.
"""

import threading
from typing import Final

from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.errors import ConflictError
from toucanspindle_core.fleetconfig import ExceptionModel, FleetConfig
from toucanspindle_core.objects import ConfigHead
from toucanspindle_core.platformclient import PlatformClient

from tests.agentfleet import AgentNode
from tests.harness import wait_until
from tests.test_agent_config import CONFIG_SPREAD_TIMEOUT_S, ConfigCase
from tests.test_agent_cuts import CutCase

CHANGES_EACH: Final = 3
LOST_ANSWERS: Final = 6  # Writes of parts and heads; each operator change makes three writes.


class Operator(threading.Thread):
    """Adds exceptions one after another, each based on the newest configuration.

    `accepted` maps exception ids to the heads that the store reported as accepted.
    """

    def __init__(self, name: str, platform: str) -> None:
        super().__init__(daemon=True)
        self.who = name
        self.accepted: dict[str, ConfigHead] = {}
        self._client = PlatformClient(platform)
        self._store = ConfigStore(self._client)

    def run(self) -> None:
        """Add CHANGES_EACH exceptions; repeat each after a conflict."""
        for number in range(CHANGES_EACH):
            exception = ExceptionModel.model_validate(
                {
                    "id": f"{self.who}-{number}",
                    "service": "lotbook",
                    "reason": "a change that races others",
                    "settings": {"deadline_ms": 3000 + number},
                }
            )
            self.accepted[exception.id] = self._add(exception)
        self._client.close()

    def _add(self, exception: ExceptionModel) -> ConfigHead:
        while True:
            stored = self._store.read_head()
            assert stored is not None
            config = self._store.read_config(stored.head)
            changed = config.model_copy(update={"exceptions": [*config.exceptions, exception]})
            try:
                return self._store.accept(changed, self.who, "a race", stored.head.generation)
            except ConflictError:
                continue


class RaceTests(ConfigCase):
    """Operators that change the same configuration concurrently."""

    def test_no_accepted_change_of_racing_operators_is_lost(self) -> None:
        nodes = self.start_nodes_with_config(4)
        self.set_platform_faults(lose_write_answers=LOST_ANSWERS)
        operators = [Operator(name, f"http://{self.platform}") for name in ("ann", "bob")]
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join()
        accepted = operators[0].accepted | operators[1].accepted
        last = 1 + len(accepted)
        wait_until(lambda: any(node.proxy.generation() == last for node in nodes))
        self.set_platform_faults(away="error")
        self.wait_for_generation(nodes, last, CONFIG_SPREAD_TIMEOUT_S)
        self.assert_never_decreased(nodes)
        self.set_platform_faults()
        self.check_no_change_lost(accepted)

    def check_no_change_lost(self, accepted: dict[str, ConfigHead]) -> None:
        """Check that each accepted change has its own generation and is in the newest one."""
        heads = {head.generation: head for head in accepted.values()}
        self.assertEqual(list(range(2, 2 + len(accepted))), sorted(heads))
        store = ConfigStore(self.client)
        for generation, head in heads.items():
            self.assertEqual(head, store.find_generation(generation))
        newest: FleetConfig = store.read_config(heads[max(heads)])
        self.assertEqual(sorted(accepted), sorted(one.id for one in newest.exceptions))


class CutOutageTests(ConfigCase, CutCase):
    """A one-way cut, a platform outage during distribution, and a node that restarts in it."""

    def test_node_that_restarts_in_the_outage_serves_the_newest_and_passes_it_on(self) -> None:
        self.accept_generation(1)
        nodes = self.start_behind_fault_proxies(4)
        self.wait_for_generation(nodes, 1)
        lagging, holders, restarted = nodes[0], nodes[1:3], nodes[3]
        self.block_one_way(holders, [lagging])
        restarted.process.kill()
        lagging.process.pause()
        self.accept_generation(2)
        wait_until(lambda: any(node.proxy.generation() == 2 for node in holders))
        self.set_platform_faults(away="error")
        self.wait_for_generation(holders, 2, CONFIG_SPREAD_TIMEOUT_S)
        lagging.process.resume()
        restarted.proxy.generations.clear()
        self.restart(restarted)
        self.wait_for_generation(nodes, 2)
        self.assertEqual([2], restarted.proxy.generations)
        self.assert_never_decreased(nodes)
        self.remove_faults()
        self.set_platform_faults()
        self.accept_generation(3)
        self.wait_for_generation(nodes, 3, CONFIG_SPREAD_TIMEOUT_S)
        self.assert_never_decreased(nodes)

    def restart(self, node: AgentNode) -> None:
        """Restart a killed agent and register its new process with the fault proxies."""
        self.restart_agent(node)
        self.register_sources()
