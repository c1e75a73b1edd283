"""Tests of the keeper of quotas, without a network; times are those of the caller."""

import random
from collections.abc import Callable

from testtools import TestCase
from testtools.matchers import Equals, LessThan
from toucanspindle_entry.accounts import quotamessages
from toucanspindle_entry.accounts.quotakeeper import (
    AccountLimits,
    KeeperRole,
    LoneQuota,
    QuotaKeeper,
    QuotaRules,
)

from tests.entrycase import BOUNDS

LONG_FIRST = KeeperRole(first_since=-100.0, share=1.0)
RULES = QuotaRules(BOUNDS)


def worst_excess(times: list[float], limits: AccountLimits) -> float:
    """Return by how much the worst window exceeds the bound; negative if none does."""
    quota = limits.rate_per_s * BOUNDS.quota_window_s + limits.burst
    bound = quota * (1 + BOUNDS.quota_overage) + BOUNDS.quota_slack
    counts = [
        sum(1 for at in times if start <= at < start + BOUNDS.quota_window_s) for start in times
    ]
    return max(counts) - bound


class KeeperTests(TestCase):
    """Decisions of one keeper."""

    LIMITS = AccountLimits(1, 20.0, 20.0)

    def drain(
        self,
        keeper: QuotaKeeper,
        now: float,
        role: KeeperRole = LONG_FIRST,
        limits: AccountLimits = LIMITS,
    ) -> int:
        """Ask until the keeper refuses; return how much it granted."""
        granted = 0
        while answer := keeper.ask("a", limits, 1, role, now).granted:
            granted += answer
        return granted

    def test_returned_credit_is_granted_again_only_until_the_bucket_was_full(self) -> None:
        """A surge whose requests time out must not run twice: by its returns and its new tokens."""
        keeper = QuotaKeeper(RULES)
        granted = self.drain(keeper, 0.0)
        keeper.give_back("a", granted, 0.0, 0.5)
        self.assertEqual(granted, self.drain(keeper, 0.5))
        self.drain(keeper, 10.0)
        keeper.give_back("a", granted, 0.5, 10.0)
        self.assertEqual(0, self.drain(keeper, 10.0))

    def test_windows_keep_the_bound_with_random_returns(self) -> None:
        """Load: surges of ten times the rate, of which half never run and are returned late."""
        for seed in range(20):
            rng = random.Random(seed)
            keeper = QuotaKeeper(RULES)
            ran: list[float] = []
            returns: list[tuple[float, float]] = []
            now = 0.0
            while now < 30.0:
                now += rng.expovariate(200.0 if now % 10 < 4 else 5.0)
                for due_at, granted_at in [item for item in returns if item[0] <= now]:
                    keeper.give_back("a", 1, granted_at, now)
                    returns.remove((due_at, granted_at))
                if keeper.ask("a", self.LIMITS, 1, LONG_FIRST, now).granted:
                    if rng.random() < 0.5:
                        returns.append((now + rng.uniform(0.0, 4.0), now))
                    else:
                        ran.append(now)
            # Half of the constant slack is all that a single keeper may use of what is allowed.
            spare = 0.1 * 120 + BOUNDS.quota_slack / 2
            self.assertThat(worst_excess(ran, self.LIMITS), LessThan(1 - spare), f"seed {seed}")

    def test_takeover_starts_with_a_part_of_the_slack(self) -> None:
        """Guards against a full burst from each of two keepers in one window."""
        first_now = KeeperRole(first_since=7.0, share=1.0)
        new = QuotaKeeper(RULES)
        taken_over = self.drain(new, 7.0, first_now)
        self.assertEqual(int(RULES.takeover_credit(self.LIMITS)), taken_over)
        # The same for a bucket of earlier, which is full since it wasn't used.
        old = QuotaKeeper(RULES)
        old.ask("a", self.LIMITS, 1, LONG_FIRST, 0.0)
        self.assertEqual(taken_over, self.drain(old, 7.0, first_now))

    def test_accounts_keep_their_bucket_when_other_hosts_end(self) -> None:
        """Guards against refusals after changes of hosts that kept none of these accounts."""
        keeper = QuotaKeeper(RULES)
        keeper.ask("a", self.LIMITS, 1, LONG_FIRST, 0.0)
        self.assertEqual(
            int(RULES.capacity(self.LIMITS, 1.0)), self.drain(keeper, 9.0, KeeperRole(-100.0, 1.0))
        )

    def test_fall_of_the_share_takes_back_what_was_filled_meanwhile(self) -> None:
        """A partition is noticed late; both sides fill their buckets fully until then."""
        keeper = QuotaKeeper(RULES)
        self.drain(keeper, 0.0)
        halved = KeeperRole(-100.0, 0.5)
        self.assertEqual(0, self.drain(keeper, 0.5, halved))
        self.assertEqual(10, self.drain(keeper, 1.5, halved))

    def test_limits_of_the_newest_plan_count(self) -> None:
        """Guards against hosts with an older plan that bring old limits back."""
        keeper = QuotaKeeper(RULES)
        lower = AccountLimits(2, 1.0, 1.0)
        self.drain(keeper, 0.0, limits=lower)
        self.assertEqual(2, self.drain(keeper, 2.0))
        self.assertEqual(30, self.drain(keeper, 2.0, limits=AccountLimits(3, 1.0, 31.0)))
        self.assertEqual(
            500, keeper.ask("a", AccountLimits(4, 0.0, 0.0), 500, LONG_FIRST, 2).granted
        )

    def test_refused_hosts_come_back_one_after_another(self) -> None:
        """Load: 100 hosts at once; all would come back for the same token."""
        keeper = QuotaKeeper(RULES)
        self.drain(keeper, 0.0)
        waits = [keeper.ask("a", self.LIMITS, 1, LONG_FIRST, 0.0).retry_after_s for _ in range(100)]
        self.assertEqual(sorted(waits), waits)
        self.assertThat(waits[0], LessThan(0.11))
        self.assertThat(len(set(waits)), Equals(5))
        self.assertThat(waits[-1], LessThan(0.35))

    def test_state_changes_are_told_once(self) -> None:
        """Guards against a log line for each refusal."""
        keeper = QuotaKeeper(RULES)
        for now in (0.0, 0.1, 0.2):
            self.drain(keeper, now)
        self.assertEqual([True], [change.is_limited for change in keeper.sweep(0.3)])
        self.assertEqual(1, keeper.limited_count)
        self.assertEqual([False], [change.is_limited for change in keeper.sweep(6.0)])
        keeper.sweep(12.0)
        self.assertEqual(0, keeper.bucket_count)


class LoneHostTests(TestCase):
    def test_all_hosts_alone_grant_no_more_than_the_quota(self) -> None:
        """Load: each of 114 hosts without contact gets ten requests a second of an account."""
        limits = AccountLimits(1, 3.0, 3.0)
        times: list[float] = []
        rng = random.Random(1)
        for _ in range(114):
            alone = LoneQuota(RULES, rng)
            times += [
                now / 10
                for now in range(200)
                if alone.take("a", limits, 114, 0.0, now / 10) is None
            ]
        self.assertThat(worst_excess(times, limits), LessThan(0.0))
        self.assertThat(len(times), Equals(len(times) or 1))


class MessageTests(TestCase):
    def test_invalid_numbers_are_malformed(self) -> None:
        """A message of another host must not create credit or end the process."""
        cases: list[tuple[Callable[..., object], list[object]]] = [
            (quotamessages.decode_question, ["quota-ask", "i", "a", 0, 1, 1.0, 1.0]),
            (quotamessages.decode_question, ["quota-ask", "i", "a", 1, 1, -1.0, 1.0]),
            (quotamessages.decode_answer, ["quota-grant", "i", -1, 0]),
            (quotamessages.decode_return, ["quota-return", "a", -5, 0]),
            (quotamessages.decode_debit, ["quota-debit", "a", "5", 0]),
        ]
        for decode, message in cases:
            self.assertRaises(ValueError, decode, message)
