"""Tests of floor limits, ejection permits and the permit ledger."""

from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.floor import FloorState, PermitLedger
from toucanspindle_core.permits import (
    GRANT_LEASE_S,
    MAX_EJECTION_LEASE_S,
    RECLAIM_MARGIN_S,
    GrantWatch,
    Permits,
    grantable_count,
    usable_count,
)


class FloorStateTests(TestCase):
    """Limits on ejections from the floor."""

    def test_unavailable_targets_reduce_the_current_allowance(self) -> None:
        self.assertEqual(2, FloorState(8, 1, 6).allowance())
        self.assertEqual(1, FloorState(8, 1, 6).current_allowance())
        self.assertEqual(0, FloorState(8, 4, 6).current_allowance())


class PermitLedgerTests(TestCase):
    """Use of the permits of one holder."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.ledger = PermitLedger(self.clock)

    def test_a_released_permit_is_free_only_after_the_ejection_expires(self) -> None:
        self.assertTrue(self.ledger.acquire("t1", 1))
        self.ledger.release("t1", 3.0)
        self.assertFalse(self.ledger.acquire("t2", 1))
        self.clock.advance(3.1)
        self.assertTrue(self.ledger.acquire("t2", 1))

    def test_a_released_target_can_be_ejected_again_before_expiry(self) -> None:
        self.ledger.acquire("t1", 1)
        self.ledger.release("t1", 3.0)
        self.assertTrue(self.ledger.acquire("t1", 1))
        self.assertEqual(1, self.ledger.in_use)

    def test_excess_returns_the_newest_ejections(self) -> None:
        for target in ("t1", "t2", "t3"):
            self.ledger.acquire(target, 3)
        self.assertEqual(["t3", "t2"], self.ledger.excess(1))


class PermitsTests(TestCase):
    """Computations on the grants of a service."""

    def test_grants_never_exceed_the_allowance(self) -> None:
        permits = Permits().with_grant("a", 2, 100)
        self.assertEqual(1, grantable_count(permits, "b", 5, 3))
        self.assertEqual(0, grantable_count(permits, "b", 5, 1))

    def test_holders_share_a_reduced_allowance_in_the_order_of_grants(self) -> None:
        permits = Permits().with_grant("a", 2, 100).with_grant("b", 2, 100)
        for current_allowance in range(6):
            used_counts = [usable_count(permits, h, 2, current_allowance) for h in ("a", "b")]
            self.assertEqual(min(4, current_allowance), sum(used_counts))

    def test_a_holder_with_an_old_copy_never_uses_too_many_permits(self) -> None:
        before = Permits().with_grant("a", 0, 100).with_grant("b", 1, 100)
        after = before.with_grant("a", 2, 100)
        for current_allowance in range(4):
            use_from_old_copy = usable_count(before, "b", 1, current_allowance)
            use_from_new_copy = usable_count(after, "a", 2, current_allowance)
            self.assertTrue(use_from_old_copy + use_from_new_copy <= max(current_allowance, 0))

    def test_a_grant_is_reclaimable_only_after_it_stayed_unchanged(self) -> None:
        clock = ManualClock()
        watch = GrantWatch(clock)
        permits = Permits().with_grant("a", 1, GRANT_LEASE_S)
        watch.observe(permits)
        clock.advance(GRANT_LEASE_S)
        self.assertEqual(set(), watch.reclaimable(permits, "b"))
        renewed = permits.with_grant("a", 1, GRANT_LEASE_S)
        watch.observe(renewed)
        clock.advance(GRANT_LEASE_S)
        self.assertEqual(set(), watch.reclaimable(renewed, "b"))
        clock.advance(MAX_EJECTION_LEASE_S + 2 * RECLAIM_MARGIN_S)
        self.assertEqual({"a"}, watch.reclaimable(renewed, "b"))
        self.assertEqual(set(), watch.reclaimable(renewed, "a"))
