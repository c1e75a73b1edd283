"""Tests of the ejections that a proxy heeds: those of its failure domain, until they lapse."""

import time

from testtools import TestCase
from toucanspindle_core.control_pb2 import Ejection, EjectionSet
from toucanspindle_node.fleetstate import FleetState, ejections_for_domain

MS_PER_S = 1000
LEASE_S = 60.0
SERVICE = "lotbook"


def make_set(holder: str, *ejections: Ejection, lease_s: float = LEASE_S) -> EjectionSet:
    """Return a judge's set that lapses in `lease_s` from now."""
    lapses_at_ms = int((time.monotonic() + lease_s) * MS_PER_S)
    return EjectionSet(
        service=SERVICE, holder=holder, ejections=ejections, lapses_at_ms=lapses_at_ms
    )


def ejected(domain: str, *sets: EjectionSet) -> dict[str, int]:
    """Return the trickle in percent of each target that a node of the domain holds ejected."""
    state = FleetState(ejections=ejections_for_domain(list(sets), domain))
    return {name: one.trickle_percent for name, one in state.active_ejections(SERVICE).items()}


class EjectionsOfADomainTests(TestCase):
    """What the nodes of one failure domain heed."""

    def test_an_ejection_from_one_domain_holds_there_only(self) -> None:
        judged = make_set("a", Ejection(target="t1", from_domain="graaff"), Ejection(target="t2"))
        self.assertEqual({"t1", "t2"}, ejected("graaff", judged).keys())
        self.assertEqual({"t2"}, ejected("beaufort", judged).keys())

    def test_a_lapsed_set_is_not_heeded(self) -> None:
        judged = make_set("a", Ejection(target="t1"), lease_s=-1.0)
        self.assertEqual({}, ejected("graaff", judged))

    def test_of_two_judges_the_smaller_trickle_holds(self) -> None:
        first = make_set("a", Ejection(target="t1", trickle_percent=25))
        second = make_set("b", Ejection(target="t1", trickle_percent=5))
        self.assertEqual({"t1": 5}, ejected("graaff", first, second))
