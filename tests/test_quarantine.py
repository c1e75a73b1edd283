"""Tests of the quarantine table and the evidence collector."""

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.evidence import EvidenceCollector, Outcome, account_bucket
from toucanspindle_core.quarantine import CRASH_MEMORY_S, QUARANTINE_S, QuarantineTable
from toucanspindle_node.evidencewire import (
    parse_quarantine,
    parse_report,
    quarantine_message,
    report_message,
)


class QuarantineTableTests(TestCase):
    """Quarantine of requests that crash targets."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock(100)
        self.table = QuarantineTable(self.clock)

    def test_a_crash_at_a_second_target_quarantines(self) -> None:
        self.assertFalse(self.table.record_crash("orders", "f", "t1"))
        self.assertFalse(self.table.record_crash("orders", "f", "t1"))
        self.assertTrue(self.table.record_crash("orders", "f", "t2"))
        self.assertTrue(self.table.is_quarantined("orders", "f"))
        self.assertFalse(self.table.is_quarantined("ledger", "f"))

    def test_merging_crashes_at_two_targets_quarantines(self) -> None:
        other = QuarantineTable(self.clock)
        other.record_crash("orders", "f", "t2")
        self.table.record_crash("orders", "f", "t1")
        records = [parse_quarantine(quarantine_message(r)) for r in other.entries()]
        self.table.merge(records)
        self.assertTrue(self.table.is_quarantined("orders", "f"))

    def test_entries_expire_and_merging_does_not_renew_them(self) -> None:
        other = QuarantineTable(self.clock)
        self.table.record_crash("orders", "f", "t1")
        self.table.record_crash("orders", "f", "t2")
        for _ in range(int(QUARANTINE_S) + 1):
            other.merge(self.table.entries())
            self.clock.advance(1)
            self.table.merge(other.entries())
        self.assertFalse(self.table.is_quarantined("orders", "f"))
        self.assertFalse(other.is_quarantined("orders", "f"))

    def test_a_single_crash_expires(self) -> None:
        self.table.record_crash("orders", "f", "t1")
        self.clock.advance(CRASH_MEMORY_S + 1)
        self.assertFalse(self.table.record_crash("orders", "f", "t2"))


class EvidenceCollectorTests(TestCase):
    """Counts of outcomes, their limits and their wire form."""

    def test_counts_are_drained_once_and_round_trip_on_the_wire(self) -> None:
        collector = EvidenceCollector()
        collector.record("orders", "t1", "order", "shop", Outcome.SUCCEEDED, 0.02)
        collector.record("orders", "t1", "order", "shop", Outcome.FAILED, 0.02)
        collector.record("orders", "t1", "order", "shop", Outcome.SHED, 0.0)
        (evidence,) = collector.drain()
        observed = parse_report(report_message(evidence, "node-1", "bole", 4))
        self.assertEqual(evidence, observed.evidence)
        (counts,) = observed.evidence.targets
        self.assertEqual((1, 1, 1), (counts.succeeded, counts.failed, counts.shed))
        self.assertEqual(account_bucket("shop"), counts.account_bucket)
        self.assertEqual([], collector.drain())

    def test_each_window_counts_the_first_attempts_up_to_its_limit(self) -> None:
        collector = EvidenceCollector()
        collector.set_limit("orders", 3)
        for _ in range(2):
            for number in range(5):
                collector.record("orders", f"t{number}", "order", "shop", Outcome.SUCCEEDED, 0.02)
            collector.record("stock", "t1", "look up", "shop", Outcome.SUCCEEDED, 0.02)
            drained = {evidence.service: len(evidence.targets) for evidence in collector.drain()}
            self.assertEqual({"orders": 3, "stock": 1}, drained)
