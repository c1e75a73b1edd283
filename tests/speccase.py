"""Base class for tests that run a specification through the model checker."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeVar

from testtools import TestCase
from testtools.matchers import GreaterThan

from spec.checking import Specification, check

GuardT = TypeVar("GuardT", bound=Enum)


class SpecTestCase(TestCase):
    """Asserts that a specification's properties hold and that each of its guards is needed."""

    def assert_properties_hold(self, specification: Specification, min_states: int) -> None:
        """Assert that every property holds in all reachable states, more than `min_states`."""
        result = check(specification)
        print(specification.describe())
        print(result)
        self.assertTrue(result.is_exhaustive)
        self.assertEqual((), result.violations)
        self.assertThat(result.states, GreaterThan(min_states))

    def assert_guards_needed(
        self, guards: Iterable[GuardT], without: Callable[[GuardT], Specification]
    ) -> None:
        """Assert that removing any one guard lets the checker find a violation."""
        for guard in guards:
            result = check(without(guard), stop_at_violation=True)
            print(result)
            self.assertNotEqual((), result.violations, f"without {guard.name}")
