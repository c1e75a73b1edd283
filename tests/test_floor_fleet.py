"""Tests that all nodes together respect the capacity floor while other failures occur."""

from functools import partial
from typing import Final

from toucanspindle_core.control_pb2 import DEAD
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import SERVICE, ejected_targets, status_of
from tests.grayfleet import DETECTION_TIMEOUT_S, EjectionWatch, GrayFleetTestCase
from tests.harness import wait_until

LOOKUPS_WATCHED: Final = 300
LOOKUPS_AFTER_JUDGE_CHANGE: Final = 1000


class FloorUnderFailureTests(GrayFleetTestCase):
    """Eight targets with a floor of six; more than two targets are faulty."""

    def make_faulty(self, fleet: Fleet, *numbers: int) -> list[str]:
        names = [f"{SERVICE}-{number}" for number in numbers]
        for name in names:
            fleet.targets[name].set_faults(wrong_share=0.5)
        return names

    def test_floor_holds_when_each_node_fails_to_reach_another_target(self) -> None:
        fleet = self.start_fleet_with_traffic(behind_faults=True)
        fault_rules = [
            self.partition_rule(fleet, node.name, f"{SERVICE}-{number}")
            for number, node in enumerate(fleet.nodes, start=1)
        ]
        fleet.links.set_rules(fault_rules)

        def wait_for_ejections() -> None:
            self.wait_for_two_ejections(fleet)
            self.wait_for_more_lookups(LOOKUPS_WATCHED)

        self.assert_floor_holds_during(fleet, wait_for_ejections)

    def test_leaving_target_reduces_the_number_of_ejections(self) -> None:
        fleet = self.start_fleet_with_traffic()
        self.make_faulty(fleet, 1, 2)
        self.wait_for_two_ejections(fleet)
        fleet.targets[f"{SERVICE}-3"].set_faults(draining=True)
        wait_until(
            lambda: all(
                f"{SERVICE}/{SERVICE}-3" in status_of(n).leaving_targets for n in fleet.nodes
            ),
            what="all nodes know the leaving target",
        )
        wait_until(
            lambda: len(set().union(*(ejected_targets(n) for n in fleet.nodes))) == 1,
            DETECTION_TIMEOUT_S,
            "the newer ejection has expired",
        )
        watch = EjectionWatch(fleet.nodes)
        self.make_faulty(fleet, 4)
        watch.watch_during(partial(self.wait_for_more_lookups, LOOKUPS_WATCHED))
        self.assertEqual(1, len(watch.largest_ejected_set), watch.largest_ejected_set)

    def test_suspended_permit_holder_ejects_nothing_beyond_the_floor_after_resuming(self) -> None:
        fleet = self.start_fleet_with_traffic()
        (first_target,) = self.make_faulty(fleet, 1)
        self.wait_ejected(fleet, first_target)
        suspended = fleet.node(holder_of(fleet.nodes[0], first_target))
        others = [node for node in fleet.nodes if node is not suspended]
        suspended.agent.pause()
        fleet.targets[first_target].set_faults()
        wait_until(
            lambda: not any(ejected_targets(node) for node in others),
            DETECTION_TIMEOUT_S,
            "the suspended holder's ejection has expired",
        )
        wait_until(
            lambda: all(considers_dead(node, suspended) for node in others),
            DETECTION_TIMEOUT_S,
            "all other nodes consider the suspended node DEAD",
        )
        self.make_faulty(fleet, 2, 3, 4)
        watch_while_suspended = EjectionWatch(others, assumed_ejected=frozenset({first_target}))
        watch_while_suspended.watch_during(partial(self.wait_another_ejected, fleet, others))
        self.assertLessEqual(
            len(watch_while_suspended.largest_ejected_set),
            2,
            watch_while_suspended.largest_ejected_set,
        )
        suspended.agent.resume()
        self.assert_floor_holds_during(fleet, partial(self.wait_for_two_ejections, fleet))

    def wait_another_ejected(self, fleet: Fleet, nodes: list[EntryNode]) -> None:
        wait_until(
            lambda: all(ejected_targets(node) for node in nodes),
            DETECTION_TIMEOUT_S,
            "the other holder ejects a target",
        )
        self.wait_for_more_lookups(LOOKUPS_AFTER_JUDGE_CHANGE)


def holder_of(node: EntryNode, target: str) -> str:
    """Return the node whose judge ejected a target, according to `node`."""
    return next(
        ejections.holder.partition("/")[0]
        for ejections in status_of(node).ejections
        if target in {ejection.target for ejection in ejections.ejections}
    )


def considers_dead(node: EntryNode, other: EntryNode) -> bool:
    """Return whether `node` lists a member of the other node as DEAD."""
    return any(m.node == other.name and m.state == DEAD for m in status_of(node).members)
