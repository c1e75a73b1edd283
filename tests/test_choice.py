"""Tests of the choice of a target and of the retry budget."""

from random import Random

from testtools import TestCase
from toucanspindle_core.choice import Candidate, TargetChooser
from toucanspindle_core.retrybudget import INITIAL_TOKENS, RetryBudget


class TargetChooserTests(TestCase):
    """Choice among candidates."""

    def setUp(self) -> None:
        super().setUp()
        self.chooser = TargetChooser(Random(7))

    def test_lowest_load_per_slot_is_chosen(self) -> None:
        candidates = [Candidate("small", 1, 2), Candidate("large", 2, 8)]
        chosen = self.chooser.choose(candidates, ())
        self.assertEqual("large", chosen.name if chosen else None)

    def test_lower_load_is_preferred_to_the_own_domain(self) -> None:
        candidates = [Candidate("own", 2, 2, same_domain=True), Candidate("other", 1, 2)]
        chosen = self.chooser.choose(candidates, ())
        self.assertEqual("other", chosen.name if chosen else None)

    def test_excluded_and_zero_weight_candidates_are_never_chosen(self) -> None:
        candidates = [Candidate("tried", 0, 2), Candidate("ejected", 0, 2, weight=0)]
        self.assertIsNone(self.chooser.choose(candidates, {"tried"}))

    def test_a_candidate_takes_part_in_its_weight_of_the_draws(self) -> None:
        candidates = [Candidate("slow-start", 0, 4, weight=0.1), Candidate("busy", 3, 4)]
        chosen = [self.chooser.choose(candidates, ()) for _ in range(2000)]
        share = sum(c is not None and c.name == "slow-start" for c in chosen) / len(chosen)
        self.assertTrue(0.07 < share < 0.13, share)


class RetryBudgetTests(TestCase):
    """Limit on retries."""

    def test_retries_stay_within_their_share(self) -> None:
        budget = RetryBudget(10)
        spent = 0
        for _ in range(1000):
            budget.record_first_attempt()
            spent += budget.try_spend()
        self.assertTrue(spent <= 100 + INITIAL_TOKENS, spent)
        self.assertTrue(spent >= 100, spent)

    def test_zero_percent_allows_no_retry(self) -> None:
        budget = RetryBudget(0)
        budget.record_first_attempt()
        self.assertFalse(budget.try_spend())
