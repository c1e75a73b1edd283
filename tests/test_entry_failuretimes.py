"""Tests of evidence from attempts in progress: those that have outlived the usual failures."""

import random
from unittest import mock

from testtools import TestCase
from toucanspindle_entry.broker.failuretimes import MIN_SAMPLES, FailureTimes
from toucanspindle_entry.broker.slotbroker import SlotBroker
from toucanspindle_entry.broker.slottypes import AttemptReport
from toucanspindle_entry.targets.targethealth import AttemptOutcome

from bench.serviceemulator import Emulator, ServiceShape
from tests.entrycase import granted_target, make_broker, slot_request, target


class FailureTimesTests(TestCase):
    def test_without_enough_failures_nothing_is_known(self) -> None:
        times = FailureTimes()
        for _ in range(MIN_SAMPLES - 1):
            times.record(0.002)
        self.assertIsNone(times.settled_after_s(0.5))

    def test_isolated_errors_at_the_end_of_the_work_do_not_hide_fast_failures(self) -> None:
        times = FailureTimes()
        rng = random.Random(1)
        for n in range(40):
            times.record(0.002 if n % 3 else rng.uniform(0.2, 1.0))
        settled_s = times.settled_after_s(0.5)
        assert settled_s is not None
        self.assertLess(settled_s, 0.02)

    def test_failures_as_slow_as_answers_tell_nothing_early(self) -> None:
        times = FailureTimes()
        for _ in range(MIN_SAMPLES):
            times.record(0.3)
        self.assertIsNone(times.settled_after_s(0.5))


class SettledAttemptTests(TestCase):
    """A gray spell: targets fail most of their requests within milliseconds."""

    def broker_with_fast_failures(self) -> SlotBroker:
        broker = make_broker(target("a", slots=4), target("b", slots=4))
        for n in range(MIN_SAMPLES):
            name = granted_target(broker.request_slot(slot_request(f"f{n}"), 0.0))
            report = AttemptReport(f"f{n}", name, AttemptOutcome.FAILED, 0.002, "")
            broker.record_attempt(report, 0.01)
        return broker

    # Guards against evidence that is as old as an attempt is long.
    def test_attempt_in_progress_that_has_not_failed_tells_of_its_target(self) -> None:
        broker = self.broker_with_fast_failures()
        name = granted_target(broker.request_slot(slot_request("long"), 20.0))
        before = broker.unhealthy_probability(name, 20.0)
        broker.tick(20.1)
        settled = broker.unhealthy_probability(name, 20.1)
        self.assertLess(settled, before / 2)
        report = AttemptReport("long", name, AttemptOutcome.ANSWERED, 2.0, "")
        broker.record_attempt(report, 22.0)
        # The answer tells of the time at which the attempt began.
        self.assertGreater(broker.unhealthy_probability(name, 22.0), settled)

    def test_settled_attempt_that_fails_counts_against_its_target(self) -> None:
        broker = self.broker_with_fast_failures()
        name = granted_target(broker.request_slot(slot_request("long"), 20.0))
        broker.tick(20.1)
        broker.record_attempt(AttemptReport("long", name, AttemptOutcome.FAILED, 0.2, ""), 20.2)
        self.assertGreater(broker.unhealthy_probability(name, 20.2), 0.5)

    # Guards against unsafe requests that are sent to targets which have just fallen ill.
    def test_fewer_unsafe_requests_fail_at_high_load(self) -> None:
        shape = ServiceShape(
            "registry", 16, 6, work_s=0.47, rate=110.0, goal_s=2.0, deadline_s=8.0, idempotent=False
        )
        with mock.patch.object(FailureTimes, "settled_after_s", return_value=None):
            without = Emulator(shape, 1, "broker").run(60.0).failed
        self.assertLess(Emulator(shape, 1, "broker").run(60.0).failed, 0.75 * without)
