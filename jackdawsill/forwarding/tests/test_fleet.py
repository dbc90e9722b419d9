"""Tests of the number of hosts by which bounds of the whole fleet are divided."""

import unittest

from jackdawsill.forwarding._fleet import (
    COUNT_MARGIN,
    COUNT_WARMUP_S,
    N_HOSTS_ASSUMED,
    FleetSize,
)


class TestDivisor(unittest.TestCase):
    """The divisor before and after the fleet has been counted."""

    def setUp(self):
        self.fleet = FleetSize()

    def test_large_fleet_before_it_is_counted(self):
        """Guards against a restarted host that takes a part for 128 of 195 hosts."""
        self.assertEqual(self.fleet.divisor(10.0), N_HOSTS_ASSUMED)
        self.fleet.record_count(195, 10.0)
        self.assertEqual(self.fleet.divisor(10.1), COUNT_MARGIN * 195)

    def test_small_fleet_before_it_is_counted(self):
        """Guards against large parts while other hosts of a first start are missing."""
        self.fleet.record_count(3, 10.0)
        self.assertEqual(self.fleet.divisor(10.1), N_HOSTS_ASSUMED)
        now = 10.0 + COUNT_WARMUP_S
        self.fleet.record_count(18, now)
        self.assertEqual(self.fleet.divisor(now), COUNT_MARGIN * 18)
