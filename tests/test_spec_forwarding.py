"""Model checking of the forwarding of a non-idempotent request in the deployed form."""

from spec.forwarding import ForwardingSpec, Guard
from tests.speccase import SpecTestCase

MIN_STATES = 100


class ForwardingSpecTests(SpecTestCase):
    """Every property holds, and removing any guard violates one."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.assert_properties_hold(ForwardingSpec().specification(), MIN_STATES)

    def test_removing_any_guard_violates_a_property(self) -> None:
        self.assert_guards_needed(Guard, lambda guard: ForwardingSpec(guard).specification())
