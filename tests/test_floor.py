"""Tests of floor arithmetic, permits and their ledger."""

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.floor import FloorState, PermitLedger
from toucanspindle_core.permits import (
    GRANT_LEASE_S,
    MAX_EJECTION_LEASE_S,
    RECLAIM_MARGIN_S,
    GrantWatch,
    Permits,
    grantable,
    usable,
)


class FloorStateTests(TestCase):
    """How many targets may be ejected."""

    def test_unavailable_targets_lower_what_may_be_ejected_now(self) -> None:
        self.assertEqual(2, FloorState(8, 1, 6).allowance())
        self.assertEqual(1, FloorState(8, 1, 6).allowance_now())
        self.assertEqual(0, FloorState(8, 4, 6).allowance_now())


class PermitLedgerTests(TestCase):
    """Permits of one holder."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.ledger = PermitLedger(self.clock)

    def test_a_permit_is_free_only_once_the_ejection_has_lapsed(self) -> None:
        self.assertTrue(self.ledger.acquire("t1", 1))
        self.ledger.release("t1", 3.0)
        self.assertFalse(self.ledger.acquire("t2", 1))
        self.clock.advance(3.1)
        self.assertTrue(self.ledger.acquire("t2", 1))

    def test_a_target_whose_ejection_lapses_can_be_ejected_again(self) -> None:
        self.ledger.acquire("t1", 1)
        self.ledger.release("t1", 3.0)
        self.assertTrue(self.ledger.acquire("t1", 1))
        self.assertEqual(1, self.ledger.in_use)

    def test_the_newest_ejections_are_in_excess(self) -> None:
        for target in ("t1", "t2", "t3"):
            self.ledger.acquire(target, 3)
        self.assertEqual(["t3", "t2"], self.ledger.excess(1))


class PermitsTests(TestCase):
    """Arithmetic on the grants."""

    def test_grants_never_exceed_the_allowance(self) -> None:
        permits = Permits().with_grant("a", 2, 100)
        self.assertEqual(1, grantable(permits, "b", 5, 3))
        self.assertEqual(0, grantable(permits, "b", 5, 1))

    def test_holders_share_a_lowered_allowance_in_the_order_of_their_grants(self) -> None:
        permits = Permits().with_grant("a", 2, 100).with_grant("b", 2, 100)
        for allowance_now in range(6):
            uses = [usable(permits, h, 2, allowance_now) for h in ("a", "b")]
            self.assertEqual(min(4, allowance_now), sum(uses))

    def test_a_holder_that_reads_late_never_uses_too_much(self) -> None:
        before = Permits().with_grant("a", 0, 100).with_grant("b", 1, 100)
        after = before.with_grant("a", 2, 100)
        for allowance_now in range(4):
            late = usable(before, "b", 1, allowance_now)
            current = usable(after, "a", 2, allowance_now)
            self.assertTrue(late + current <= max(allowance_now, 0))

    def test_a_grant_is_reclaimed_only_after_it_was_watched_unchanged(self) -> None:
        clock = ManualClock()
        watch = GrantWatch(clock)
        permits = Permits().with_grant("a", 1, GRANT_LEASE_S)
        watch.see(permits)
        clock.advance(GRANT_LEASE_S)
        self.assertEqual(set(), watch.reclaimable(permits, "b"))
        renewed = permits.with_grant("a", 1, GRANT_LEASE_S)
        watch.see(renewed)
        clock.advance(GRANT_LEASE_S)
        self.assertEqual(set(), watch.reclaimable(renewed, "b"))
        clock.advance(MAX_EJECTION_LEASE_S + 2 * RECLAIM_MARGIN_S)
        self.assertEqual({"a"}, watch.reclaimable(renewed, "b"))
        self.assertEqual(set(), watch.reclaimable(renewed, "a"))
