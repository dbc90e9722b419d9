"""Tests of hedge delays and of the extra-load budget."""

import random
import unittest

from jackdawsill.core import Policy
from jackdawsill.hedging import (
    BURST_TOKENS,
    DEFAULT_DELAY_S,
    N_SAMPLES_MIN,
    ExtraLoadBudget,
    HedgePolicy,
)
from jackdawsill.objects import Caller


class TestHedgePolicy(unittest.TestCase):
    """The hedge delay follows the recent latencies of a service."""

    def record_answers(self, policy, mean_s, n, start, step=0.01):
        rng = random.Random(3)
        for i in range(n):
            policy.on_answer("s", rng.uniform(0, 2 * mean_s), start + i * step)
        return policy.delay_s("s", start + n * step)

    def test_default_before_enough_samples(self):
        """Guards against a quantile of too few answers."""
        policy = HedgePolicy()
        self.assertEqual(policy.delay_s("s", 0.0), DEFAULT_DELAY_S)
        delay_s = self.record_answers(policy, 0.01, N_SAMPLES_MIN - 1, 0.0)
        self.assertEqual(delay_s, DEFAULT_DELAY_S)

    def test_delay_follows_recent_latencies(self):
        """Guards against a fixed delay, and against old latencies that never expire."""
        policy = HedgePolicy()
        self.assertAlmostEqual(
            self.record_answers(policy, 0.01, 2000, 0.0), 0.02, delta=0.002
        )
        self.assertAlmostEqual(
            self.record_answers(policy, 0.1, 4000, 50.0), 0.2, delta=0.02
        )
        self.assertAlmostEqual(
            self.record_answers(policy, 0.01, 4000, 200.0), 0.02, delta=0.002
        )

    def test_latencies_out_of_range(self):
        """Guards against errors for values that the histogram cannot hold.

        Also guards against keeping a service that the accepted set does not contain.
        """
        policy = HedgePolicy()
        for latency_s in (0.0, -1.0, 1e9):
            policy.on_answer("s", latency_s, 0.0)
        policy.prune({})
        self.assertEqual(policy.services_, {})


class TestExtraLoadBudget(unittest.TestCase):
    """Hedges and retries stay within the extra load of the caller."""

    def caller(self, policy=Policy.LATENCY):
        return Caller("c", "d", "t", policy, 0.05)

    def spend_all(self, budget, **fields):
        n = 0
        while budget.try_spend(self.caller(), 0.0, **fields):
            n += 1
        return n

    def test_tokens_are_earned_by_needed_sub_requests(self):
        """Guards against extra load above the caller's fraction."""
        budget = ExtraLoadBudget()
        self.assertEqual(self.spend_all(budget), 0)
        budget.earn(self.caller(), 140)
        self.assertEqual(self.spend_all(budget), 7)
        budget.earn(self.caller(), 10**6)
        self.assertEqual(self.spend_all(budget), BURST_TOKENS)

    def test_second_bucket_for_missing_shards(self):
        """Guards against more than twice the extra load, once from each bucket."""
        budget = ExtraLoadBudget()
        budget.earn(self.caller(), 140)
        self.assertEqual(self.spend_all(budget), 7)
        self.assertEqual(self.spend_all(budget, for_missing=True), 7)

    def test_reserve_and_debt(self):
        """Guards against hedges that use the reserve or are sent while in debt."""
        budget = ExtraLoadBudget()
        budget.earn(self.caller(), 400)
        self.assertEqual(self.spend_all(budget, reserve=10), 10)
        self.assertEqual(self.spend_all(budget, debt=5), 15)
        budget.earn(self.caller(), 100)
        self.assertEqual(self.spend_all(budget), 0)


if __name__ == "__main__":
    unittest.main()
