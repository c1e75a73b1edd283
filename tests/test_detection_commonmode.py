"""Tests that changes common to all targets cause no verdict."""

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
NORMAL_STEPS = 240
CHANGED_STEPS = 40
ALLOWED_PER_DAY = 5.0

Latency = Callable[[random.Random], float]


def normal_latency_s(generator: random.Random) -> float:
    """Return a normal latency: 15% of the answers wait and take 60 ms, the others about 5 ms."""
    return 0.060 if generator.random() < 0.15 else generator.uniform(0.004, 0.006)


def slow_latency_s(generator: random.Random) -> float:
    """Return a latency of about 25 ms, with little variance."""
    return generator.uniform(0.024, 0.026)


def outcomes_of(target: str, generator: random.Random, latency: Latency) -> TargetOutcomes:
    """Return one observer's counts of a target; the number of requests varies widely."""
    counts = TargetOutcomes(target, "look up", 0)
    for _ in range(generator.choice(ANSWERS_PER_REPORT)):
        counts.add(Outcome.SUCCEEDED, latency(generator))
    return counts


class LatencyShapeChangeTests(TestCase):
    """Latency distributions that change their shape as well as their mean."""

    def verdicts(self, *changed: str, targets_per_report: int = len(TARGETS)) -> list[Verdict]:
        """Return the verdicts over all seeds when the latencies of the named targets become slow.

        `targets_per_report` is the number of targets that a report covers.
        """
        found: list[Verdict] = []
        for seed in range(5):
            found += self.verdicts_for_seed(random.Random(seed), changed, targets_per_report)
        return found

    def verdicts_for_seed(
        self, generator: random.Random, changed: tuple[str, ...], targets_per_report: int
    ) -> list[Verdict]:
        clock = ManualClock()
        detector = SequentialDetector(ALLOWED_PER_DAY, clock)
        detector.set_targets(TARGETS)
        found: list[Verdict] = []
        for step in range(NORMAL_STEPS + CHANGED_STEPS):
            clock.advance(STEP_S)
            if step % STEPS_PER_REPORT < len(DOMAINS):
                domain = DOMAINS[step % STEPS_PER_REPORT]
                for target in generator.sample(TARGETS, targets_per_report):
                    is_slow = step >= NORMAL_STEPS and target in changed
                    counts = outcomes_of(
                        target, generator, slow_latency_s if is_slow else normal_latency_s
                    )
                    detector.observe(domain, counts)
            found += detector.step()
        return found

    def test_no_verdict_when_all_targets_change(self) -> None:
        self.assertEqual([], self.verdicts(*TARGETS))

    def test_no_verdict_when_each_report_covers_few_targets(self) -> None:
        self.assertEqual([], self.verdicts(*TARGETS, targets_per_report=2))

    def test_one_changed_target_is_found(self) -> None:
        self.assertEqual({"t3"}, {verdict.target for verdict in self.verdicts("t3")})
