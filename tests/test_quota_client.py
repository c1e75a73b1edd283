"""Tests of the credits of one host: what it returns, to whom, and what it decides alone."""

import random

from testtools import TestCase
from toucanspindle_entry.accounts.quotakeeper import AccountLimits, LoneQuota, QuotaRules

from tests.entrycase import BOUNDS

RULES = QuotaRules(BOUNDS)


class LoneQuotaTests(TestCase):
    def test_returned_credit_keeps_the_rest_of_the_bucket(self) -> None:
        """Guards against a bucket that is cut to one token when a credit is returned."""
        limits = AccountLimits(1, 100.0, 100.0)
        alone = LoneQuota(RULES, random.Random(1))
        self.assertIsNone(alone.take("a", limits, 4, 0.0, 60.0))
        alone.give_back("a")
        taken = 0
        while alone.take("a", limits, 4, 0.0, 60.0) is None:
            taken += 1
        self.assertEqual(int(RULES.capacity(limits, 1 / 4)), taken)
