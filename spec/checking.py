"""Runs a specification through the model checker and reports what was explored.

A specification becomes a `minicheck.Protocol`: a tuple of named fields, an initial state, a
function from a state to its labelled successors, and invariants.  The checker searches
breadth-first, so each counterexample has the fewest possible steps.  A search that reaches the
limit on states proves nothing, and its result says so.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

import minicheck

MAX_STATES: Final = 3_000_000


@dataclass(frozen=True)
class Specification:
    """A state machine and the properties that must hold in each reachable state.

    `successors` yields pairs of a step's name and the state after it; `properties` maps a name
    to a predicate over states.  `bounds` describes the limits of the state space, and `omitted`
    what the abstraction leaves out.
    """

    name: str
    initial: Any
    successors: Callable[[Any], Iterable[tuple[str, Any]]]
    properties: dict[str, Callable[[Any], bool]]
    bounds: str = ""
    omitted: str = ""

    def describe(self) -> str:
        """Return one line with the bounds and the omissions, to print before a run."""
        return f"{self.name}: bounds: {self.bounds}; omitted: {self.omitted}"


@dataclass(frozen=True)
class Violation:
    """A counterexample: a shortest sequence of steps to a state that violates a property."""

    property_name: str
    steps: tuple[str, ...]


@dataclass(frozen=True)
class CheckResult:
    """The result of one search.

    `is_exhaustive` is False if the search stopped at a violation or at the limit on states.
    """

    name: str
    states: int
    seconds: float
    is_exhaustive: bool
    violations: tuple[Violation, ...]

    def __str__(self) -> str:
        """Return one line with the number of states, the duration and the verdict."""
        if self.violations:
            verdict = "; ".join(f"{v.property_name} violated by {v.steps}" for v in self.violations)
        elif not self.is_exhaustive:
            verdict = "SEARCH NOT COMPLETE"
        else:
            verdict = "every property holds"
        return f"{self.name}: {self.states} states in {self.seconds:.1f} s, {verdict}"


def check(
    specification: Specification, stop_at_violation: bool = False, max_states: int = MAX_STATES
) -> CheckResult:
    """Explore every reachable state, at most `max_states`, and return the violations.

    With `stop_at_violation` the search ends at the first violation and isn't exhaustive.
    """
    search = _SearchAdapter(specification, stop_at_violation)
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
        result["exhaustive"] and not search.is_stopped,
        tuple(_list_violations(result["properties"])),
    )


class _SearchAdapter:
    """Adapts a specification to the checker; yields no successors after the search has stopped."""

    def __init__(self, specification: Specification, stop_at_violation: bool) -> None:
        self._specification = specification
        self._stop_at_violation = stop_at_violation
        self._make_state = type(specification.initial)._make
        self.is_stopped = False

    def successors(self, state: Any) -> Iterable[tuple[str, Any]]:
        """Return the steps from a state, or none after the search has stopped."""
        return () if self.is_stopped else self._specification.successors(state)

    def invariant(self, name: str) -> Callable[[dict[str, Any]], bool]:
        """Return the named property as a predicate over the checker's field values."""
        predicate = self._specification.properties[name]

        def evaluate(values: dict[str, Any]) -> bool:
            is_satisfied = predicate(self._make_state(values.values()))
            self.is_stopped = self.is_stopped or (self._stop_at_violation and not is_satisfied)
            return is_satisfied

        return evaluate


def _list_violations(properties: dict[str, Any]) -> Iterable[Violation]:
    for name, outcome in properties.items():
        if outcome["counterexample"] is not None:
            steps = tuple(step["label"] for step in outcome["counterexample"] if step["label"])
            yield Violation(name, steps)
