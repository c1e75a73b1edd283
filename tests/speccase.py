"""What the tests of all specifications share."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeVar

from testtools import TestCase
from testtools.matchers import GreaterThan

from spec.checking import Specification, check

G = TypeVar("G", bound=Enum)


class SpecTestCase(TestCase):
    """Checks that a specification holds and that it needs each of its guards."""

    def check_properties(self, specification: Specification, min_states: int) -> None:
        """Assert that every property holds in more than `min_states` states, all of them."""
        result = check(specification)
        print(specification.describe())
        print(result)
        self.assertTrue(result.exhaustive)
        self.assertEqual((), result.violations)
        self.assertThat(result.states, GreaterThan(min_states))

    def check_guards(self, guards: Iterable[G], without: Callable[[G], Specification]) -> None:
        """Assert that a violation is found without each guard in turn."""
        for guard in guards:
            result = check(without(guard), stop_at_violation=True)
            print(result)
            self.assertNotEqual((), result.violations, f"without {guard.name}")
