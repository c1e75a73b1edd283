"""Model checking of ejection permits and the floor."""

from spec.permits import Guard, PermitSpec
from tests.speccase import SpecTestCase

MIN_STATES = 100_000


class PermitSpecTests(SpecTestCase):
    """Every property holds, and removing any guard violates one."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.assert_properties_hold(PermitSpec().specification(), MIN_STATES)

    def test_removing_any_guard_violates_a_property(self) -> None:
        self.assert_guards_needed(Guard, lambda guard: PermitSpec(guard).specification())
