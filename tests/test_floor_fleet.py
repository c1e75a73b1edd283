"""The floor holds over all nodes together, whatever else goes wrong at the same time."""

from functools import partial
from typing import Final

from toucanspindle_core.control_pb2 import DEAD
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import SERVICE, ejected_targets, status_of
from tests.grayfleet import DETECTED_WITHIN_S, EjectionWatch, GrayFleetTestCase
from tests.harness import wait_until

LOOKUPS_WATCHED: Final = 300
LOOKUPS_OF_A_NEW_JUDGE: Final = 1000


class FloorUnderFailureTests(GrayFleetTestCase):
    """Eight targets with a floor of six, more than two of them sick."""

    def make_sick(self, fleet: Fleet, *numbers: int) -> list[str]:
        names = [f"{SERVICE}-{number}" for number in numbers]
        for name in names:
            fleet.targets[name].set_faults(wrong_share=0.5)
        return names

    def test_each_node_sees_another_target_sick(self) -> None:
        fleet = self.start_gray(behind_faults=True)
        cuts = [
            self.cut_off(fleet, node.name, f"{SERVICE}-{number}")
            for number, node in enumerate(fleet.nodes, start=1)
        ]
        fleet.links.set_rules(cuts)

        def eject() -> None:
            self.wait_two_ejected(fleet)
            self.wait_more_told(LOOKUPS_WATCHED)

        self.check_floor_while(fleet, eject)

    def test_target_leaves_while_two_are_ejected(self) -> None:
        fleet = self.start_gray()
        self.make_sick(fleet, 1, 2)
        self.wait_two_ejected(fleet)
        fleet.targets[f"{SERVICE}-3"].set_faults(draining=True)
        wait_until(
            lambda: all(
                f"{SERVICE}/{SERVICE}-3" in status_of(n).leaving_targets for n in fleet.nodes
            ),
            what="all nodes know the leaving target",
        )
        wait_until(
            lambda: len(set().union(*(ejected_targets(n) for n in fleet.nodes))) == 1,
            DETECTED_WITHIN_S,
            "the newer ejection has lapsed",
        )
        watch = EjectionWatch(fleet.nodes)
        self.make_sick(fleet, 4)
        watch.during(partial(self.wait_more_told, LOOKUPS_WATCHED))
        self.assertEqual(1, len(watch.most), watch.most)

    def test_permit_holder_is_frozen_and_woken(self) -> None:
        fleet = self.start_gray()
        (first,) = self.make_sick(fleet, 1)
        self.wait_ejected(fleet, first)
        frozen = fleet.node(holder_of(fleet.nodes[0], first))
        others = [node for node in fleet.nodes if node is not frozen]
        frozen.agent.pause()
        fleet.targets[first].set_faults()
        wait_until(
            lambda: not any(ejected_targets(node) for node in others),
            DETECTED_WITHIN_S,
            "the frozen holder's ejection has lapsed",
        )
        wait_until(
            lambda: all(holds_dead(node, frozen) for node in others),
            DETECTED_WITHIN_S,
            "another node judges in the frozen one's place",
        )
        self.make_sick(fleet, 2, 3, 4)
        meanwhile = EjectionWatch(others, assumed=frozenset({first}))
        meanwhile.during(partial(self.wait_another_ejected, fleet, others))
        self.assertLessEqual(len(meanwhile.most), 2, meanwhile.most)
        frozen.agent.resume()
        self.check_floor_while(fleet, partial(self.wait_two_ejected, fleet))

    def wait_another_ejected(self, fleet: Fleet, nodes: list[EntryNode]) -> None:
        wait_until(
            lambda: all(ejected_targets(node) for node in nodes),
            DETECTED_WITHIN_S,
            "the other holder ejects a target",
        )
        self.wait_more_told(LOOKUPS_OF_A_NEW_JUDGE)


def holder_of(node: EntryNode, target: str) -> str:
    """Return the name of the node whose judge holds a target ejected, as `node` knows it."""
    return next(
        ejections.holder.partition("/")[0]
        for ejections in status_of(node).ejections
        if target in {ejection.target for ejection in ejections.ejections}
    )


def holds_dead(node: EntryNode, other: EntryNode) -> bool:
    """Whether `node` holds another node for dead."""
    return any(m.node == other.name and m.state == DEAD for m in status_of(node).members)
