"""Bound on the volume of logs."""

import unittest

from jackdawsill.gateway._log_rate_limiter import (
    BURST_LINES,
    LINES_PER_S,
    LogRateLimiter,
)


class TestLogBound(unittest.TestCase):
    """Lines over the bound are counted and not written."""

    def test_bound(self):
        """Guards against logs that grow with an overload without a bound."""
        bound = LogRateLimiter()
        n_seconds, n_each = 5, 2000
        n_written = sum(
            bound.allows(2500, second + i / n_each)
            for second in range(n_seconds)
            for i in range(n_each)
        )
        self.assertLessEqual(n_written, BURST_LINES + n_seconds * LINES_PER_S)
        suppressed = bound.take_suppressed()
        self.assertEqual(suppressed, {2500: n_seconds * n_each - n_written})
        self.assertEqual(bound.take_suppressed(), {})

    def test_numbers_do_not_share(self):
        """Guards against rare events lost behind frequent ones."""
        bound = LogRateLimiter()
        while bound.allows(2500, 1.0):
            pass
        self.assertTrue(bound.allows(2508, 1.0))
