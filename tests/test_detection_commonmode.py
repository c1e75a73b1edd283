"""Tests of what isn't held against a target because all targets show it alike."""

import random
from collections.abc import Callable

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.detection import STEP_S, Verdict
from toucanspindle_core.evidence import Outcome, TargetOutcomes
from toucanspindle_core.sequentialdetector import SequentialDetector

TARGETS = tuple(f"t{number}" for number in range(8))
DOMAINS = ("beaufort", "graaff", "deaar")
ANSWERS_PER_REPORT = (4, 6, 22)
STEPS_PER_REPORT = 4
REST_STEPS = 240
CHANGED_STEPS = 40
ALLOWED_PER_DAY = 5.0

Latency = Callable[[random.Random], float]


def rest_s(source: random.Random) -> float:
    """Most answers come at once, some after a wait."""
    return 0.060 if source.random() < 0.15 else source.uniform(0.004, 0.006)


def slow_s(source: random.Random) -> float:
    """All answers take about as long."""
    return source.uniform(0.024, 0.026)


def outcomes_of(target: str, source: random.Random, latency: Latency) -> TargetOutcomes:
    """Return what one observer saw of a target; some targets get many more requests."""
    counts = TargetOutcomes(target, "look up", 0)
    for _ in range(source.choice(ANSWERS_PER_REPORT)):
        counts.add(Outcome.SUCCEEDED, latency(source))
    return counts


class ChangeOfShapeTests(TestCase):
    """Latencies that change in shape as well as in place."""

    def verdicts(self, *changed: str, seen: int = len(TARGETS)) -> list[Verdict]:
        """Return the verdicts while the named targets' latencies change from rest to slow.

        `seen` is how many targets a report covers.
        """
        found: list[Verdict] = []
        for seed in range(5):
            found += self.verdicts_with(random.Random(seed), changed, seen)
        return found

    def verdicts_with(
        self, source: random.Random, changed: tuple[str, ...], seen: int
    ) -> list[Verdict]:
        clock = ManualClock()
        detector = SequentialDetector(ALLOWED_PER_DAY, clock)
        detector.set_targets(TARGETS)
        found: list[Verdict] = []
        for step in range(REST_STEPS + CHANGED_STEPS):
            clock.advance(STEP_S)
            if step % STEPS_PER_REPORT < len(DOMAINS):
                domain = DOMAINS[step % STEPS_PER_REPORT]
                for target in source.sample(TARGETS, seen):
                    is_slow = step >= REST_STEPS and target in changed
                    counts = outcomes_of(target, source, slow_s if is_slow else rest_s)
                    detector.observe(domain, counts)
            found += detector.step()
        return found

    def test_all_targets_alike_are_not_held_sick(self) -> None:
        self.assertEqual([], self.verdicts(*TARGETS))

    def test_nor_when_few_of_them_are_seen_at_a_time(self) -> None:
        self.assertEqual([], self.verdicts(*TARGETS, seen=2))

    def test_one_target_alone_is(self) -> None:
        self.assertEqual({"t3"}, {verdict.target for verdict in self.verdicts("t3")})
