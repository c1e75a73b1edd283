"""Tests of BoottimeClock, the clock that counts suspensions."""

import time

from testtools import TestCase
from toucanspindle_core.clock import BoottimeClock, Clock, MonotonicClock


class BoottimeClockTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspended_s = 0.0
        self.patch(time, "monotonic", lambda: 100.0)
        self.patch(time, "clock_gettime", self._clock_gettime)

    def _clock_gettime(self, clock_id: int) -> float:
        self.assertEqual(time.CLOCK_BOOTTIME, clock_id)
        return 100.0 + self.suspended_s

    def test_suspension_is_counted(self) -> None:
        clocks: tuple[Clock, ...] = (BoottimeClock(), MonotonicClock())
        before = [clock.now() for clock in clocks]
        self.suspended_s = 5.0
        self.assertEqual([5.0, 0.0], [c.now() - b for c, b in zip(clocks, before, strict=True)])
