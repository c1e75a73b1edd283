"""A proxy applies only the ejections for its failure domain, until they expire."""

import time

from testtools import TestCase
from toucanspindle_core.control_pb2 import Ejection, EjectionSet
from toucanspindle_node.fleetstate import FleetState, ejections_for_domain

MS_PER_S = 1000
LEASE_S = 60.0
SERVICE = "lotbook"


def make_set(holder: str, *ejections: Ejection, lease_s: float = LEASE_S) -> EjectionSet:
    """Return a judge's ejection set that expires in `lease_s` seconds."""
    lapses_at_ms = int((time.monotonic() + lease_s) * MS_PER_S)
    return EjectionSet(
        service=SERVICE, holder=holder, ejections=ejections, lapses_at_ms=lapses_at_ms
    )


def trickle_by_target(domain: str, *sets: EjectionSet) -> dict[str, int]:
    """Return the trickle in percent of each target that is ejected for nodes of a domain."""
    state = FleetState(ejections=ejections_for_domain(list(sets), domain))
    return {
        name: ejection.trickle_percent for name, ejection in state.active_ejections(SERVICE).items()
    }


class EjectionsOfDomainTests(TestCase):
    """The ejections that the nodes of one failure domain apply."""

    def test_ejection_from_one_domain_applies_only_there(self) -> None:
        ejection_set = make_set(
            "a", Ejection(target="t1", from_domain="graaff"), Ejection(target="t2")
        )
        self.assertEqual({"t1", "t2"}, trickle_by_target("graaff", ejection_set).keys())
        self.assertEqual({"t2"}, trickle_by_target("beaufort", ejection_set).keys())

    def test_expired_set_is_ignored(self) -> None:
        ejection_set = make_set("a", Ejection(target="t1"), lease_s=-1.0)
        self.assertEqual({}, trickle_by_target("graaff", ejection_set))

    def test_smaller_trickle_of_two_judges_applies(self) -> None:
        first = make_set("a", Ejection(target="t1", trickle_percent=25))
        second = make_set("b", Ejection(target="t1", trickle_percent=5))
        self.assertEqual({"t1": 5}, trickle_by_target("graaff", first, second))
