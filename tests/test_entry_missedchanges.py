"""Tests of MissedChanges: changes of the store that only other hosts have seen."""

from testtools import TestCase
from toucanspindle_entry.store.missedchanges import MAX_LAG_S, MissedChanges


class MissedChangesTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.missed = MissedChanges()

    def test_change_that_does_not_arrive_is_overdue(self) -> None:
        self.assertFalse(self.missed.is_overdue(8, 7, 0.0))
        self.assertFalse(self.missed.is_overdue(8, 7, MAX_LAG_S / 2))
        self.assertTrue(self.missed.is_overdue(8, 7, MAX_LAG_S))

    def test_change_that_arrives_late_is_not_overdue(self) -> None:
        self.assertFalse(self.missed.is_overdue(8, 7, 0.0))
        self.assertFalse(self.missed.is_overdue(8, 8, MAX_LAG_S))

    def test_newer_changes_do_not_postpone_an_overdue_one(self) -> None:
        """Other hosts tell another revision each time while the targets change often."""
        self.assertFalse(self.missed.is_overdue(8, 7, 0.0))
        self.assertFalse(self.missed.is_overdue(9, 7, MAX_LAG_S / 2))
        self.assertTrue(self.missed.is_overdue(10, 7, MAX_LAG_S))

    def test_next_change_has_its_own_time_to_arrive(self) -> None:
        self.assertFalse(self.missed.is_overdue(8, 7, 0.0))
        self.assertFalse(self.missed.is_overdue(9, 8, MAX_LAG_S))
        self.assertFalse(self.missed.is_overdue(9, 8, 1.9 * MAX_LAG_S))
        self.assertTrue(self.missed.is_overdue(9, 8, 2 * MAX_LAG_S))

    def test_older_news_of_other_hosts_is_no_change(self) -> None:
        self.assertFalse(self.missed.is_overdue(6, 7, 0.0))
        self.assertFalse(self.missed.is_overdue(7, 7, 2 * MAX_LAG_S))

    def test_overdue_change_is_reported_once(self) -> None:
        """The listing that follows takes a moment."""
        self.missed.is_overdue(8, 7, 0.0)
        self.assertTrue(self.missed.is_overdue(8, 7, MAX_LAG_S))
        self.assertFalse(self.missed.is_overdue(8, 7, MAX_LAG_S + 0.1))
