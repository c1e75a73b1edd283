"""Tests of the detectors: faults that must be found, and changes that must not cause a verdict."""

from testtools import TestCase
from toucanspindle_core.baselines import ConsecutiveFailures, HealthEndpoint, IntervalOutlier
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.cusum import MIN_THRESHOLD, RUN_LENGTH_GAIN, threshold
from toucanspindle_core.detection import ALL_DOMAINS, STEP_S, Detector, FaultKind, Verdict
from toucanspindle_core.evidence import TargetOutcomes
from toucanspindle_core.sequentialdetector import SequentialDetector

from bench.falsealarms import confidence_interval
from bench.outcomestream import Fault, OutcomeStream, ServiceShape

SHAPE = ServiceShape("lotbook", ("beaufort", "graaff"), 6, 4, 10.0, 0.1)
FAULT_START_S = 40.0
FAULT_END_S = 70.0
SICK_INDEX = 2
ALL_TARGETS = tuple(range(SHAPE.targets))


def detect(
    *faults: Fault,
    seed: int = 5,
    detector: Detector | None = None,
    shape: ServiceShape = SHAPE,
    allowed_per_day: float = 0.05,
) -> list[Verdict]:
    """Return the verdicts of a detector on a stream of outcomes with faults, in order."""
    clock = ManualClock()
    used_detector = detector or SequentialDetector(allowed_per_day, clock)
    used_detector.set_targets(shape.target_names())
    verdicts: list[Verdict] = []
    for outcomes in OutcomeStream(shape, seed).steps(FAULT_END_S, faults):
        clock.advance(STEP_S)
        for outcome in outcomes:
            used_detector.observe(outcome.domain, outcome.counts)
        found = used_detector.step()
        verdicts += found
        for verdict in found:
            used_detector.reset_target(verdict.target)
    return verdicts


class SequentialDetectorTests(TestCase):
    """Sequential tests of targets against their peers."""

    def check_found(self, verdicts: list[Verdict], kind: FaultKind, domain: str) -> None:
        """Check that all verdicts are on the sick target, and the first one's kind and domain."""
        self.assertTrue(verdicts)
        self.assertEqual({f"lotbook-{SICK_INDEX + 1}"}, {v.target for v in verdicts})
        self.assertEqual((kind, domain), (verdicts[0].kind, verdicts[0].from_domain))

    def test_a_slow_target_is_found(self) -> None:
        verdicts = detect(Fault(FAULT_START_S, FAULT_END_S, (SICK_INDEX,), slowdown=2.0))
        self.check_found(verdicts, FaultKind.SLOW, ALL_DOMAINS)

    def test_intermittent_failures_are_found_and_the_evidence_names_them(self) -> None:
        verdicts = detect(Fault(FAULT_START_S, FAULT_END_S, (SICK_INDEX,), failure_rate=0.3))
        self.check_found(verdicts, FaultKind.WRONG, ALL_DOMAINS)
        self.assertIn("lotbook-3 failed ", verdicts[0].evidence)
        self.assertIn("its peers", verdicts[0].evidence)

    def test_failures_of_one_account_bucket_are_found(self) -> None:
        verdicts = detect(
            Fault(FAULT_START_S, FAULT_END_S, (SICK_INDEX,), failure_rate=0.8, bucket=1)
        )
        self.check_found(verdicts, FaultKind.WRONG, ALL_DOMAINS)

    def test_failures_seen_from_one_domain_limit_the_verdict_to_it(self) -> None:
        verdicts = detect(
            Fault(FAULT_START_S, FAULT_END_S, (SICK_INDEX,), failure_rate=1.0, domain=1)
        )
        self.check_found(verdicts, FaultKind.WRONG, "graaff")

    def test_two_sick_targets_do_not_hide_each_other(self) -> None:
        verdicts = detect(Fault(FAULT_START_S, FAULT_END_S, (1, 4), failure_rate=0.3))
        self.assertEqual({"lotbook-2", "lotbook-5"}, {v.target for v in verdicts})

    def test_no_verdict_without_a_fault(self) -> None:
        self.assertEqual([], detect())

    def test_no_verdict_when_all_targets_slow_down_or_fail(self) -> None:
        for fault in (
            Fault(FAULT_START_S, FAULT_END_S, ALL_TARGETS, slowdown=3.0),
            Fault(FAULT_START_S, FAULT_END_S, ALL_TARGETS, failure_rate=0.3),
        ):
            for seed in (1, 2, 3):
                self.assertEqual([], detect(fault, seed=seed))

    def test_no_verdict_when_a_busy_service_slows_down_suddenly(self) -> None:
        busy = ServiceShape("lotbook", ("beaufort", "graaff"), 6, 4, 20.0, 0.05)
        for seed in (2, 4, 6):
            for phase_s in (0.05, 0.25, 0.45):
                fault = Fault(FAULT_START_S + phase_s, FAULT_END_S, ALL_TARGETS, slowdown=3.0)
                verdicts = detect(fault, seed=seed, shape=busy, allowed_per_day=0.5)
                self.assertEqual([], verdicts, f"seed {seed}, phase {phase_s}")

    def test_higher_threshold_applies_while_several_targets_are_suspect(self) -> None:
        for seed in (3, 5, 6, 10):
            fault_start_s = FAULT_START_S + 0.037 * seed
            for fault in (
                Fault(fault_start_s, FAULT_END_S, ALL_TARGETS, slowdown=3.0),
                Fault(fault_start_s, FAULT_END_S, ALL_TARGETS, failure_rate=0.3),
            ):
                self.assertEqual([], detect(fault, seed=seed, allowed_per_day=0.5), f"seed {seed}")

    def test_no_verdict_when_a_bucket_or_domain_fails_on_all_targets(self) -> None:
        self.assertEqual(
            [], detect(Fault(FAULT_START_S, FAULT_END_S, ALL_TARGETS, failure_rate=0.9, bucket=0))
        )
        self.assertEqual(
            [], detect(Fault(FAULT_START_S, FAULT_END_S, ALL_TARGETS, failure_rate=1.0, domain=0))
        )

    def test_an_ignored_target_gets_no_verdict(self) -> None:
        detector = SequentialDetector(0.05, ManualClock())
        detector.set_targets(SHAPE.target_names())
        detector.ignore_until("lotbook-3", FAULT_END_S)
        fault = Fault(FAULT_START_S, FAULT_END_S, (SICK_INDEX,), slowdown=5.0)
        self.assertEqual([], detect(fault, detector=detector))

    def test_outcomes_of_unknown_targets_are_dropped(self) -> None:
        detector = SequentialDetector(0.05, ManualClock())
        detector.set_targets(["lotbook-1"])
        for _ in range(20):
            detector.observe("graaff", TargetOutcomes("gone-1", "lookup", 0, failed=50))
            self.assertEqual([], detector.step())


class ThresholdTests(TestCase):
    """Thresholds of the CUSUM tests."""

    def test_run_length_gain_lowers_the_threshold(self) -> None:
        self.assertAlmostEqual(
            threshold(0.5, 2) - RUN_LENGTH_GAIN, threshold(0.5, 2, RUN_LENGTH_GAIN)
        )

    def test_threshold_falls_with_allowed_rate_down_to_its_minimum(self) -> None:
        values = [
            threshold(allowed_per_day, 2, RUN_LENGTH_GAIN)
            for allowed_per_day in (0.01, 0.5, 50.0, 1e6)
        ]
        self.assertEqual(sorted(values, reverse=True), values)
        self.assertEqual(MIN_THRESHOLD, values[-1])


class ConfidenceIntervalTests(TestCase):
    """Confidence intervals of the number of false ejections."""

    def test_intervals_are_those_of_the_exact_poisson_test(self) -> None:
        for count, low, high in ((0, 0.0, 3.69), (2, 0.24, 7.22), (10, 4.80, 18.39)):
            interval = confidence_interval(count)
            self.assertAlmostEqual(low, interval[0], places=2)
            self.assertAlmostEqual(high, interval[1], places=2)


class BaselineTests(TestCase):
    """Detectors used for comparison."""

    def test_consecutive_failures_are_counted_over_reports(self) -> None:
        detector = ConsecutiveFailures(5)
        detector.observe("graaff", TargetOutcomes("t", "lookup", 0, failed=3))
        self.assertEqual([], detector.step())
        detector.observe("graaff", TargetOutcomes("t", "lookup", 0, failed=2))
        self.assertEqual(["t"], [v.target for v in detector.step()])

    def test_an_interval_outlier_is_found(self) -> None:
        fault = Fault(FAULT_START_S, FAULT_END_S, (SICK_INDEX,), slowdown=5.0)
        verdicts = detect(fault, detector=IntervalOutlier(2.0))
        slow = {v.target for v in verdicts if v.kind is FaultKind.SLOW}
        self.assertEqual({"lotbook-3"}, slow)

    def test_unhealthy_answers_in_a_row_are_found(self) -> None:
        detector = HealthEndpoint()
        for _ in range(3):
            detector.observe_health("t", healthy=False)
        self.assertEqual(["t"], [v.target for v in detector.step()])
