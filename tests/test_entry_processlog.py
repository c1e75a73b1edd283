"""Tests of the non-blocking log handler: a stalled reader, and bursts."""

import os
import time

import logbook
from testtools import TestCase
from toucanspindle_entry.processlog import BURST_LINES, BoundedStdoutHandler


class BoundedStdoutHandlerTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, self.write_fd)

    def log_lines(self, lines: int, text: str) -> None:
        log = logbook.Logger("test")
        with BoundedStdoutHandler(logbook.INFO, self.write_fd).applicationbound():
            for n in range(lines):
                log.info("event=line n={} {}", n, text)

    def test_stalled_reader_drops_lines_without_blocking(self) -> None:
        started_at = time.monotonic()
        self.log_lines(500, "x" * 1000)
        self.assertLess(time.monotonic() - started_at, 5)
        os.set_blocking(self.read_fd, False)
        output = os.read(self.read_fd, 1_000_000).decode()
        self.assertIn("event=line n=0 ", output)
        self.assertNotIn("event=line n=499 ", output)

    def test_dropped_lines_are_counted(self) -> None:
        handler = BoundedStdoutHandler(logbook.INFO, self.write_fd)
        log = logbook.Logger("test")
        with handler.applicationbound():
            while handler.dropped_lines == 0:
                log.info("event=line {}", "x" * 1000)
            os.read(self.read_fd, 1_000_000)
            log.info("event=after")
        self.assertIn("event=after left_out=1", os.read(self.read_fd, 1_000_000).decode())

    def test_burst_is_bounded(self) -> None:
        self.log_lines(int(BURST_LINES) + 200, "")
        output = os.read(self.read_fd, 1_000_000).decode()
        self.assertLess(output.count("event=line"), BURST_LINES + 100)
