"""Tests of how the demand for limited services reaches all hosts."""

import unittest

from jackdawsill.forwarding import Demand, ReplicaRegistry
from jackdawsill.forwarding._rate_share import RateShare
from jackdawsill.relaying.tests._fleet import Fleet

SERVICE = "docs"
N_HOSTS = 9


class TestDemands(unittest.TestCase):
    """Reports of nine hosts, of which three are relays."""

    def setUp(self):
        self.fleet = Fleet(N_HOSTS)
        self.fleet.run(7.0)

    def registry(self, address):
        return self.fleet.hosts[address].state.component(ReplicaRegistry)

    def limit(self, *addresses):
        """Let the only replica state a limit to some hosts."""
        for address in addresses:
            replica = self.registry(address).replicas_["r1"]
            replica.rate_share = RateShare(20.0, self.fleet.now, self.fleet.now)

    def run_with_calls(self, seconds, addresses):
        """Run the fleet while some hosts want to send an attempt at each tick."""
        for _ in range(round(seconds / 0.1)):
            for address in addresses:
                shares = self.registry(address).limit_shares
                shares.record(SERVICE, self.fleet.now)
            self.fleet.run(0.1)

    def totals(self):
        return {
            address: self.registry(address).limit_shares.total_
            for address in self.fleet.hosts
            if address not in self.fleet.down
        }

    def test_nothing_is_sent_without_limits(self):
        """Guards against messages on calm days."""
        self.run_with_calls(2.0, self.fleet.hosts)
        self.assertEqual([t for t in self.totals().values() if t], [])

    def test_each_host_is_counted_once(self):
        """Guards against demand that relays add up twice, or do not hear of."""
        self.limit("h0", "h7")
        self.run_with_calls(5.0, self.fleet.hosts)
        for address, total in self.totals().items():
            with self.subTest(address=address):
                self.assertEqual(total[SERVICE].n_hosts, N_HOSTS)
                self.assertAlmostEqual(total[SERVICE].per_s, 10.0 * N_HOSTS, delta=12.0)

    def test_busy_hosts_get_larger_shares(self):
        """Guards against equal shares although only some hosts have calls."""
        self.limit(*self.fleet.hosts)
        self.run_with_calls(5.0, ("h0", "h5"))
        now = self.fleet.now
        divisors = {
            address: self.registry(address).limit_shares.divisor(SERVICE, now)
            for address in self.fleet.hosts
        }
        self.assertLess(divisors["h0"], 4.0)
        self.assertLess(divisors["h5"], 4.0)
        self.assertGreater(divisors["h6"], 30.0)
        self.assertLessEqual(sum(1.0 / d for d in divisors.values()), 1.0)

    def test_lost_relay(self):
        """Guards against shares that together exceed a limit while a relay is lost."""
        self.limit(*self.fleet.hosts)
        self.run_with_calls(4.0, self.fleet.hosts)
        self.fleet.stop("h1")
        for _ in range(40):
            self.run_with_calls(0.1, self.fleet.hosts)
            now = self.fleet.now
            shares = [
                1.0 / self.registry(address).limit_shares.divisor(SERVICE, now)
                for address in self.fleet.hosts
                if address not in self.fleet.down
            ]
            self.assertLessEqual(sum(shares), 1.1)

    def test_end_of_limits(self):
        """Guards against reports that keep each other alive after the last limit."""
        self.limit("h0", "h7")
        self.run_with_calls(3.0, self.fleet.hosts)
        self.assertIsInstance(self.totals()["h3"][SERVICE], Demand)
        for address in ("h0", "h7"):
            self.registry(address).replicas_["r1"].rate_share = None
        self.run_with_calls(5.0, self.fleet.hosts)
        counters = [
            a for a in self.fleet.hosts if self.registry(a).limit_shares.counters_
        ]
        self.assertEqual(counters, [])
