"""Model checking of the dispatch of a non-idempotent request."""

from testtools import TestCase
from testtools.matchers import GreaterThan

from spec.checking import check
from spec.dispatch import DispatchSpec, Guard

MIN_STATES = 30_000


class DispatchSpecTests(TestCase):
    """The protocol holds, and each of its guards is needed."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        specification = DispatchSpec().specification()
        result = check(specification)
        print(specification.describe())
        print(result)
        self.assertTrue(result.exhaustive)
        self.assertEqual((), result.violations)
        self.assertThat(result.states, GreaterThan(MIN_STATES))

    def test_each_removed_guard_is_found(self) -> None:
        for guard in Guard:
            result = check(DispatchSpec(guard).specification(), stop_at_violation=True)
            print(result)
            self.assertNotEqual((), result.violations, f"without {guard.name}")

    def test_a_search_cut_short_proves_nothing(self) -> None:
        result = check(DispatchSpec().specification(), max_states=100)
        self.assertFalse(result.exhaustive)
        self.assertIn("NOT COMPLETE", str(result))
