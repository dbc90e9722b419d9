"""Rate limit on log lines."""

import unittest

from jackdawsill.gateway._log_rate_limiter import (
    BURST_LINES,
    LINES_PER_S,
    LogRateLimiter,
)


class TestLogRateLimiter(unittest.TestCase):
    """Lines over the limit are counted and not written."""

    def test_limit(self):
        """Guards against unbounded logs during an overload."""
        limiter = LogRateLimiter()
        n_seconds, n_each = 5, 2000
        n_written = sum(
            limiter.try_acquire(2500, second + i / n_each)
            for second in range(n_seconds)
            for i in range(n_each)
        )
        self.assertLessEqual(n_written, BURST_LINES + n_seconds * LINES_PER_S)
        suppressed = limiter.take_suppressed()
        self.assertEqual(suppressed, {2500: n_seconds * n_each - n_written})
        self.assertEqual(limiter.take_suppressed(), {})

    def test_events_have_separate_limits(self):
        """Guards against frequent events that suppress the lines of rare ones."""
        limiter = LogRateLimiter()
        while limiter.try_acquire(2500, 1.0):
            pass
        self.assertTrue(limiter.try_acquire(2508, 1.0))
