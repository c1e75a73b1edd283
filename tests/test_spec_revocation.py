"""Model checking of the time limit for revoked keys."""

from spec.revocation import Guard, RevocationSpec
from tests.speccase import SpecTestCase

MIN_STATES = 10_000


class RevocationSpecTests(SpecTestCase):
    """Every property holds, and removing any guard violates one."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.assert_properties_hold(RevocationSpec().specification(), MIN_STATES)

    def test_removing_any_guard_violates_a_property(self) -> None:
        self.assert_guards_needed(Guard, lambda guard: RevocationSpec(guard).specification())
