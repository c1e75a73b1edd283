"""Model checking of ejection permits and the floor."""

from testtools import TestCase
from testtools.matchers import GreaterThan

from spec.checking import check
from spec.permits import Guard, PermitSpec

MIN_STATES = 100_000


class PermitSpecTests(TestCase):
    """The protocol holds, and each of its guards is needed."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        specification = PermitSpec().specification()
        result = check(specification)
        print(specification.describe())
        print(result)
        self.assertTrue(result.exhaustive)
        self.assertEqual((), result.violations)
        self.assertThat(result.states, GreaterThan(MIN_STATES))

    def test_each_removed_guard_is_found(self) -> None:
        for guard in Guard:
            result = check(PermitSpec(guard).specification(), stop_at_violation=True)
            print(result)
            self.assertNotEqual((), result.violations, f"without {guard.name}")
