"""Log lines that never block: a reader that stops, and bursts."""

import os
import time

import logbook
from testtools import TestCase
from toucanspindle_entry.processlog import BURST_LINES, BoundedStdoutHandler


class BoundedLogTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def write(self, lines: int, text: str) -> None:
        log = logbook.Logger("test")
        with BoundedStdoutHandler(logbook.INFO, self.writer).applicationbound():
            for n in range(lines):
                log.info("event=line n={} {}", n, text)

    def test_reader_that_stops_costs_lines_and_no_time(self) -> None:
        began_at = time.monotonic()
        self.write(500, "x" * 1000)
        self.assertLess(time.monotonic() - began_at, 5)
        os.set_blocking(self.reader, False)
        heard = os.read(self.reader, 1_000_000).decode()
        self.assertIn("event=line n=0 ", heard)
        self.assertNotIn("event=line n=499 ", heard)

    def test_lines_that_were_left_out_are_counted(self) -> None:
        handler = BoundedStdoutHandler(logbook.INFO, self.writer)
        log = logbook.Logger("test")
        with handler.applicationbound():
            while handler.left_out == 0:
                log.info("event=line {}", "x" * 1000)
            os.read(self.reader, 1_000_000)
            log.info("event=after")
        self.assertIn("event=after left_out=1", os.read(self.reader, 1_000_000).decode())

    def test_burst_is_bounded(self) -> None:
        self.write(int(BURST_LINES) + 200, "")
        heard = os.read(self.reader, 1_000_000).decode()
        self.assertLess(heard.count("event=line"), BURST_LINES + 100)
