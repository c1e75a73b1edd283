"""Model checking of the dispatch of a non-idempotent request."""

from spec.checking import check
from spec.dispatch import DispatchSpec, Guard
from tests.speccase import SpecTestCase

MIN_STATES = 30_000


class DispatchSpecTests(SpecTestCase):
    """Every property holds, and removing any guard violates one."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.assert_properties_hold(DispatchSpec().specification(), MIN_STATES)

    def test_removing_any_guard_violates_a_property(self) -> None:
        self.assert_guards_needed(Guard, lambda guard: DispatchSpec(guard).specification())

    def test_search_stopped_at_state_limit_is_not_exhaustive(self) -> None:
        result = check(DispatchSpec().specification(), max_states=100)
        self.assertFalse(result.is_exhaustive)
        self.assertIn("NOT COMPLETE", str(result))
