"""Model checking of ejection permits and the floor."""

from spec.permits import Guard, PermitSpec
from tests.speccase import SpecTestCase

MIN_STATES = 100_000


class PermitSpecTests(SpecTestCase):
    """The protocol holds, and each of its guards is needed."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.check_properties(PermitSpec().specification(), MIN_STATES)

    def test_each_removed_guard_is_found(self) -> None:
        self.check_guards(Guard, lambda guard: PermitSpec(guard).specification())
