"""Tests of detection: what must be found, and what must not be held against a target."""

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
BEGIN_S = 40.0
END_S = 70.0
SICK = 2
ALL_TARGETS = tuple(range(SHAPE.targets))


def detect(
    *faults: Fault,
    seed: int = 5,
    detector: Detector | None = None,
    shape: ServiceShape = SHAPE,
    allowed: float = 0.05,
) -> list[Verdict]:
    """Return the verdicts on a stream with faults, in order."""
    clock = ManualClock()
    chosen = detector or SequentialDetector(allowed, clock)
    chosen.set_targets(shape.target_names())
    verdicts: list[Verdict] = []
    for outcomes in OutcomeStream(shape, seed).steps(END_S, faults):
        clock.advance(STEP_S)
        for one in outcomes:
            chosen.observe(one.domain, one.counts)
        found = chosen.step()
        verdicts += found
        for verdict in found:
            chosen.forget(verdict.target)
    return verdicts


class SequentialDetectorTests(TestCase):
    """Sequential tests against peers."""

    def check_found(self, verdicts: list[Verdict], kind: FaultKind, domain: str) -> None:
        """Check that the first verdict is on the sick target, and all are on it."""
        self.assertTrue(verdicts)
        self.assertEqual({f"lotbook-{SICK + 1}"}, {v.target for v in verdicts})
        self.assertEqual((kind, domain), (verdicts[0].kind, verdicts[0].from_domain))

    def test_a_slow_target_is_found(self) -> None:
        verdicts = detect(Fault(BEGIN_S, END_S, (SICK,), slowdown=2.0))
        self.check_found(verdicts, FaultKind.SLOW, ALL_DOMAINS)

    def test_a_target_that_is_wrong_now_and_then_is_found_and_the_evidence_is_told(self) -> None:
        verdicts = detect(Fault(BEGIN_S, END_S, (SICK,), failure_rate=0.3))
        self.check_found(verdicts, FaultKind.WRONG, ALL_DOMAINS)
        self.assertIn("lotbook-3 failed ", verdicts[0].evidence)
        self.assertIn("its peers", verdicts[0].evidence)

    def test_a_target_that_fails_one_account_bucket_is_found(self) -> None:
        verdicts = detect(Fault(BEGIN_S, END_S, (SICK,), failure_rate=0.8, bucket=1))
        self.check_found(verdicts, FaultKind.WRONG, ALL_DOMAINS)

    def test_a_target_cut_off_from_one_domain_is_found_for_that_domain_only(self) -> None:
        verdicts = detect(Fault(BEGIN_S, END_S, (SICK,), failure_rate=1.0, domain=1))
        self.check_found(verdicts, FaultKind.WRONG, "graaff")

    def test_two_sick_targets_do_not_hide_each_other(self) -> None:
        verdicts = detect(Fault(BEGIN_S, END_S, (1, 4), failure_rate=0.3))
        self.assertEqual({"lotbook-2", "lotbook-5"}, {v.target for v in verdicts})

    def test_nothing_is_found_without_a_fault(self) -> None:
        self.assertEqual([], detect())

    def test_a_whole_service_that_slows_down_or_fails_ejects_nobody(self) -> None:
        for fault in (
            Fault(BEGIN_S, END_S, ALL_TARGETS, slowdown=3.0),
            Fault(BEGIN_S, END_S, ALL_TARGETS, failure_rate=0.3),
        ):
            for seed in (1, 2, 3):
                self.assertEqual([], detect(fault, seed=seed))

    def test_a_busy_service_that_slows_down_at_once_ejects_nobody(self) -> None:
        busy = ServiceShape("lotbook", ("beaufort", "graaff"), 6, 4, 20.0, 0.05)
        for seed in (2, 4, 6):
            for phase_s in (0.05, 0.25, 0.45):
                fault = Fault(BEGIN_S + phase_s, END_S, ALL_TARGETS, slowdown=3.0)
                verdicts = detect(fault, seed=seed, shape=busy, allowed=0.5)
                self.assertEqual([], verdicts, f"seed {seed}, phase {phase_s}")

    def test_thresholds_for_well_peers_do_not_hold_while_several_targets_are_suspect(self) -> None:
        for seed in (3, 5, 6, 10):
            begin_s = BEGIN_S + 0.037 * seed
            for fault in (
                Fault(begin_s, END_S, ALL_TARGETS, slowdown=3.0),
                Fault(begin_s, END_S, ALL_TARGETS, failure_rate=0.3),
            ):
                self.assertEqual([], detect(fault, seed=seed, allowed=0.5), f"seed {seed}")

    def test_what_fails_on_every_target_says_nothing_against_one(self) -> None:
        self.assertEqual([], detect(Fault(BEGIN_S, END_S, ALL_TARGETS, failure_rate=0.9, bucket=0)))
        self.assertEqual([], detect(Fault(BEGIN_S, END_S, ALL_TARGETS, failure_rate=1.0, domain=0)))

    def test_an_excused_target_is_not_judged(self) -> None:
        detector = SequentialDetector(0.05, ManualClock())
        detector.set_targets(SHAPE.target_names())
        detector.excuse("lotbook-3", END_S)
        fault = Fault(BEGIN_S, END_S, (SICK,), slowdown=5.0)
        self.assertEqual([], detect(fault, detector=detector))

    def test_outcomes_of_unknown_targets_are_dropped(self) -> None:
        detector = SequentialDetector(0.05, ManualClock())
        detector.set_targets(["lotbook-1"])
        for _ in range(20):
            detector.observe("graaff", TargetOutcomes("gone-1", "lookup", 0, failed=50))
            self.assertEqual([], detector.step())


class ThresholdTests(TestCase):
    """Thresholds of the CUSUM tests."""

    def test_a_longer_run_length_lowers_the_threshold(self) -> None:
        self.assertAlmostEqual(
            threshold(0.5, 2) - RUN_LENGTH_GAIN, threshold(0.5, 2, RUN_LENGTH_GAIN)
        )

    def test_the_threshold_falls_with_what_is_allowed_down_to_a_least_value(self) -> None:
        values = [threshold(allowed, 2, RUN_LENGTH_GAIN) for allowed in (0.01, 0.5, 50.0, 1e6)]
        self.assertEqual(sorted(values, reverse=True), values)
        self.assertEqual(MIN_THRESHOLD, values[-1])


class ConfidenceIntervalTests(TestCase):
    """Intervals of the false ejections that were counted."""

    def test_intervals_are_those_of_the_exact_poisson_test(self) -> None:
        for count, low, high in ((0, 0.0, 3.69), (2, 0.24, 7.22), (10, 4.80, 18.39)):
            interval = confidence_interval(count)
            self.assertAlmostEqual(low, interval[0], places=2)
            self.assertAlmostEqual(high, interval[1], places=2)


class BaselineTests(TestCase):
    """The customary ways."""

    def test_consecutive_failures_are_counted_over_reports(self) -> None:
        detector = ConsecutiveFailures(5)
        detector.observe("graaff", TargetOutcomes("t", "lookup", 0, failed=3))
        self.assertEqual([], detector.step())
        detector.observe("graaff", TargetOutcomes("t", "lookup", 0, failed=2))
        self.assertEqual(["t"], [v.target for v in detector.step()])

    def test_an_interval_outlier_is_found(self) -> None:
        fault = Fault(BEGIN_S, END_S, (SICK,), slowdown=5.0)
        verdicts = detect(fault, detector=IntervalOutlier(2.0))
        slow = {v.target for v in verdicts if v.kind is FaultKind.SLOW}
        self.assertEqual({"lotbook-3"}, slow)

    def test_the_health_endpoint_is_believed(self) -> None:
        detector = HealthEndpoint()
        for _ in range(3):
            detector.observe_health("t", healthy=False)
        self.assertEqual(["t"], [v.target for v in detector.step()])
