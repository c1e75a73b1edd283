"""Running a specification through the model checker and stating what was explored.

A specification is a `minicheck.Protocol`: a tuple of named fields, an initial state, a function
from a state to its labelled successors, and invariants.  The checker searches breadth-first, so
each counterexample is a shortest one.  A search that meets the bound on states proves nothing,
and `check` says so.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import minicheck

MAX_STATES: Final = 3_000_000


@dataclass(frozen=True)
class Specification:
    """A state machine with what must hold in each reachable state.

    `successors` yields pairs of a step's name and the state after it; `properties` maps a name
    to a predicate over states.  `bounds` says how far the search goes, and `left_out` what the
    abstraction doesn't have.
    """

    name: str
    initial: Any
    successors: Callable[[Any], Iterable[tuple[str, Any]]]
    properties: dict[str, Callable[[Any], bool]]
    bounds: str = ""
    left_out: str = ""

    def describe(self) -> str:
        """Return the bounds and what is left out, for the reader of a run."""
        return f"{self.name}: bounds: {self.bounds}; left out: {self.left_out}"


@dataclass(frozen=True)
class Violation:
    """A shortest run into a state in which a property doesn't hold."""

    property_name: str
    steps: tuple[str, ...]


@dataclass(frozen=True)
class CheckResult:
    """What one exhaustive search found."""

    name: str
    states: int
    seconds: float
    exhaustive: bool
    violations: tuple[Violation, ...]

    def __str__(self) -> str:
        """Return one line for the reader of a test run."""
        if self.violations:
            verdict = "; ".join(f"{v.property_name} broken: {v.steps}" for v in self.violations)
        elif not self.exhaustive:
            verdict = "SEARCH NOT COMPLETE"
        else:
            verdict = "every property holds"
        return f"{self.name}: {self.states} states in {self.seconds:.1f} s, {verdict}"


def check(
    specification: Specification, stop_at_violation: bool = False, max_states: int = MAX_STATES
) -> CheckResult:
    """Explore every reachable state, or those up to the first violation."""
    search = _Search(specification, stop_at_violation)
    model = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=type(specification.initial)._fields,
        initial=specification.initial,
        transitions=search.successors,
        invariants={name: search.invariant(name) for name in specification.properties},
    )
    started_at = time.monotonic()
    result = minicheck.check_safety(model, max_states=max_states)
    return CheckResult(
        specification.name,
        result["reachable_states"],
        time.monotonic() - started_at,
        result["exhaustive"] and not search.stopped,
        tuple(_violations(result["properties"])),
    )


class _Search:
    """Hands a specification to the checker, and no more successors once a search is to stop."""

    def __init__(self, specification: Specification, stop_at_violation: bool) -> None:
        self._specification = specification
        self._stop_at_violation = stop_at_violation
        self._build = type(specification.initial)._make
        self.stopped = False

    def successors(self, state: Any) -> Iterable[tuple[str, Any]]:
        """Return the steps from a state, none once the search has stopped."""
        return () if self.stopped else self._specification.successors(state)

    def invariant(self, name: str) -> Callable[[dict[str, Any]], bool]:
        """Return a property as the predicate that the checker calls."""
        holds = self._specification.properties[name]

        def checked(values: dict[str, Any]) -> bool:
            held = holds(self._build(values.values()))
            self.stopped = self.stopped or (self._stop_at_violation and not held)
            return held

        return checked


def _violations(properties: dict[str, Any]) -> Iterable[Violation]:
    for name, found in properties.items():
        if found["counterexample"] is not None:
            steps = tuple(step["label"] for step in found["counterexample"] if step["label"])
            yield Violation(name, steps)
