"""Tests of the rate limit on large messages."""

import math
import unittest

from jackdawsill.runtime import SendPacer
from jackdawsill.runtime._send_pacer import BURST_S


class TestSendPacer(unittest.TestCase):
    """Bytes that the pacer allows over time."""

    def drain(self, pacer, n_bytes, now):
        """Send as fast as allowed; return the time at which all bytes are sent."""
        while True:
            n_sent = pacer.allowed(n_bytes, now)
            pacer.spend(n_sent)
            n_bytes -= n_sent
            if not n_bytes:
                return now
            now += pacer.delay_s()

    def test_rate_and_burst(self):
        """Guards against large messages that take the whole link."""
        pacer = SendPacer(1e6)
        self.assertEqual(pacer.allowed(10**9, 50.0), 10_000)
        pacer.spend(10_000)
        self.assertEqual(pacer.allowed(10**9, 50.0), 0)
        ended_at = self.drain(pacer, 1_000_000, 50.0)
        self.assertGreater(ended_at, 50.999)
        self.assertLess(ended_at, 51.0 + 2 * BURST_S)

    def test_idle_time_is_not_saved_up(self):
        """Guards against a burst after a pause."""
        pacer = SendPacer(1e6)
        self.drain(pacer, 10_000, 50.0)
        self.assertEqual(pacer.allowed(10**9, 90.0), 10_000)

    def test_changed_rate(self):
        """Guards against a changed setting that applies only after a restart."""
        pacer = SendPacer(1e6)
        pacer.spend(pacer.allowed(10**9, 50.0))
        pacer.bytes_per_s = 1e7
        self.assertEqual(pacer.allowed(10**9, 50.25), 100_000)
        pacer.bytes_per_s = math.inf
        self.assertEqual(pacer.allowed(10**9, 50.25), 10**9)
