"""Tests of the shares of hosts in the limits that replicas state."""

import random
import unittest

from jackdawsill.forwarding._fleet import COUNT_MARGIN, COUNT_WARMUP_S, FleetSize
from jackdawsill.forwarding._limit_shares import Demand, LimitShares, add_demands
from jackdawsill.forwarding._rate_share import update_share
from jackdawsill.forwarding.tests.test_rate_share import (
    CONTRACT_FACTOR,
    CONTRACT_SLACK,
    CONTRACT_WINDOW_S,
    most_in_window,
)

STEP_S = 0.05
REPORT_INTERVAL_S = 0.5
# How long a report counts at a relay, and how late its total reaches the hosts.
REPORT_KEPT_S = 1.5
TOTAL_DELAY_S = 0.3
SERVICE = "docs"


def counted_fleet(n_hosts, now):
    """Return a fleet whose hosts have been counted for long enough."""
    fleet = FleetSize()
    fleet.record_count(n_hosts, now - COUNT_WARMUP_S - 1.0)
    fleet.record_count(n_hosts, now)
    return fleet


class HostModel:
    """One host that wants to send to one limited replica."""

    def __init__(self, n_hosts, limit_per_s, rng):
        self.shares = LimitShares(counted_fleet(n_hosts, 0.0))
        equal = self.shares.divisor(SERVICE, 0.0)
        self.share = update_share(None, limit_per_s, 0.0, equal, 0.0, rng)
        self.sent = []

    def want(self, now):
        """Send an attempt if this host's share of the limit allows it."""
        self.shares.record(SERVICE, now)
        divisor = self.shares.divisor(SERVICE, now)
        if self.share.available_at(divisor, now) <= now:
            self.share.take(divisor, now)
            self.sent.append(now)


class TestFleet(unittest.TestCase):
    """Requests of a fleet to one replica, with reports that arrive late."""

    def play(self, n_hosts, limit_per_s, loads, seed=1, is_lost=None, until=30.0):
        """Return the hosts after a run; `loads` returns attempts per second of a host.

        `is_lost` returns whether a host's reports and totals are lost at a time.
        """
        is_lost = is_lost or (lambda i, now: False)
        rng = random.Random(seed)
        hosts = [HostModel(n_hosts, limit_per_s, rng) for _ in range(n_hosts)]
        reports = {}
        totals = []  # (time of arrival, total)
        for step in range(int(until / STEP_S)):
            now = step * STEP_S
            if step % round(REPORT_INTERVAL_S / STEP_S) == 0:
                for i, host in enumerate(hosts):
                    report = host.shares.make_report({SERVICE}, now)
                    if not is_lost(i, now):
                        reports[i] = now, report
                recent = [r for at, r in reports.values() if now - at <= REPORT_KEPT_S]
                totals.append((now + TOTAL_DELAY_S, add_demands(recent)))
            while totals and totals[0][0] <= now:
                _, total = totals.pop(0)
                for i, host in enumerate(hosts):
                    if not is_lost(i, now):
                        host.shares.set_total(total, now)
            for i, host in enumerate(hosts):
                rate = loads(i, now) * STEP_S
                for _ in range(int(rate) + (rng.random() < rate % 1.0)):
                    host.want(now)
        return hosts

    def check_limit(self, hosts, limit_per_s):
        times = [t for host in hosts for t in host.sent]
        allowed = CONTRACT_FACTOR * limit_per_s * CONTRACT_WINDOW_S + CONTRACT_SLACK
        self.assertLessEqual(most_in_window(times), allowed)

    def used(self, hosts, limit_per_s, start, until):
        n_sent = sum(start <= t < until for host in hosts for t in host.sent)
        return n_sent / (limit_per_s * (until - start))

    def test_load_on_few_hosts(self):
        """Guards against refusals while most of a replica's limit is unused."""
        for n_hosts, n_busy, limit in ((18, 3, 15.0), (97, 8, 40.0), (195, 6, 20.0)):
            with self.subTest(n_hosts=n_hosts):
                hosts = self.play(
                    n_hosts, limit, lambda i, now, n=n_busy: 20.0 if i < n else 0.02
                )
                self.check_limit(hosts, limit)
                self.assertGreater(self.used(hosts, limit, 6.0, 30.0), 0.5)

    def test_load_that_moves_between_hosts(self):
        """Guards against two sets of hosts that both hold shares of the same limit."""

        def loads(i, now):
            is_busy = i % 3 == int(now / 5.0) % 3
            return 12.0 if is_busy else 0.1

        for seed in range(5):
            self.check_limit(self.play(30, 20.0, loads, seed), 20.0)

    def test_burst_of_all_hosts(self):
        """Guards against shares that grow with a burst before it has been reported."""
        for seed in range(5):
            hosts = self.play(
                30, 20.0, lambda i, now: 20.0 if 10.0 < now < 16.0 else 0.5, seed
            )
            self.check_limit(hosts, 20.0)

    def test_hosts_without_totals(self):
        """Guards against hosts that are cut off and exceed the limit with the rest."""
        for seed in range(5):
            hosts = self.play(
                30,
                20.0,
                lambda i, now: 6.0,
                seed,
                is_lost=lambda i, now: i % 3 == 0 and 8.0 < now < 20.0,
            )
            self.check_limit(hosts, 20.0)

    def test_hosts_that_never_report(self):
        """Guards against older builds whose equal shares come on top of the others."""
        for seed in range(5):
            hosts = self.play(
                30, 20.0, lambda i, now: 6.0, seed, is_lost=lambda i, now: i % 2 == 0
            )
            self.check_limit(hosts, 20.0)


class TestShares(unittest.TestCase):
    """The divisor of one host."""

    def setUp(self):
        self.shares = LimitShares(counted_fleet(20, 10.0))
        self.equal = COUNT_MARGIN * 20

    def report(self, n, now):
        """Make a report after `n` attempts."""
        self.shares.make_report({SERVICE}, now - 1.0)
        for _ in range(n):
            self.shares.record(SERVICE, now)
        return self.shares.make_report({SERVICE}, now)

    def test_equal_without_a_recent_total(self):
        """Guards against the use of a total that is no longer true."""
        self.report(20, 10.0)
        self.assertEqual(self.shares.divisor(SERVICE, 10.0), self.equal)
        self.shares.set_total({SERVICE: Demand(20.0, 20, 3)}, 10.0)
        self.assertNotEqual(self.shares.divisor(SERVICE, 11.0), self.equal)
        self.assertEqual(self.shares.divisor(SERVICE, 12.0), self.equal)
        self.assertEqual(self.shares.divisor("other", 11.0), self.equal)

    def test_idle_host_keeps_a_small_share(self):
        """Guards against a host that may send nothing when its load begins."""
        self.report(0, 10.0)
        self.shares.set_total({SERVICE: Demand(20.0, 20, 3)}, 10.0)
        self.assertAlmostEqual(self.shares.divisor(SERVICE, 10.0), 4 * self.equal)

    def test_demand_elsewhere_is_counted(self):
        """Guards against a host that never reports as its replicas state no limit."""
        self.shares.set_total({SERVICE: Demand(20.0, 20, 3)}, 10.0)
        self.assertEqual(
            self.shares.make_report(set(), 10.0), {SERVICE: Demand(0.0, 1, 0)}
        )
        self.shares.record(SERVICE, 10.1)
        self.assertEqual(
            self.shares.make_report(set(), 10.5), {SERVICE: Demand(0.5, 1, 0)}
        )
