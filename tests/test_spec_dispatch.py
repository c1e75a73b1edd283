"""Model checking of the dispatch of a non-idempotent request."""

from spec.checking import check
from spec.dispatch import DispatchSpec, Guard
from tests.speccase import SpecTestCase

MIN_STATES = 30_000


class DispatchSpecTests(SpecTestCase):
    """The protocol holds, and each of its guards is needed."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.check_properties(DispatchSpec().specification(), MIN_STATES)

    def test_each_removed_guard_is_found(self) -> None:
        self.check_guards(Guard, lambda guard: DispatchSpec(guard).specification())

    def test_a_search_cut_short_proves_nothing(self) -> None:
        result = check(DispatchSpec().specification(), max_states=100)
        self.assertFalse(result.exhaustive)
        self.assertIn("NOT COMPLETE", str(result))
