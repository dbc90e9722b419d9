"""Tests of a host's share of the request rate that a replica accepts."""

import random
import unittest
from bisect import bisect_left

from jackdawsill.forwarding._fleet import COUNT_MARGIN
from jackdawsill.forwarding._rate_share import RateShare, update_share

# The contract: in any such time a replica gets at most this multiple of what its limit
# allows, and a few requests more.
CONTRACT_WINDOW_S = 4.0
CONTRACT_FACTOR = 1.5
CONTRACT_SLACK = 5


def most_in_window(times: list[float]) -> int:
    """Return the largest number of requests in a contract window."""
    times = sorted(times)
    ends = (bisect_left(times, start + CONTRACT_WINDOW_S) for start in times)
    return max((end - i for i, end in enumerate(ends)), default=0)


def send_times(share, arrivals, n_hosts):
    """Return when one host may send, given the times at which it wants to."""
    sent = []
    for now in arrivals:
        if share.available_at(n_hosts, now) <= now:
            share.take(n_hosts, now)
            sent.append(now)
    return sent


def arrivals(rng, per_s, start, end):
    """Return Poisson arrivals."""
    times = []
    now = start + rng.expovariate(per_s)
    while now < end:
        times.append(now)
        now += rng.expovariate(per_s)
    return times


class TestFleet(unittest.TestCase):
    """Requests of a whole fleet to one replica with a limit."""

    def fleet_times(self, n_hosts, limit_per_s, seed, host_arrivals):
        """Return the times at which all hosts send."""
        rng = random.Random(seed)
        n_counted = COUNT_MARGIN * n_hosts
        times = []
        for i in range(n_hosts):
            share = update_share(None, limit_per_s, 0.0, n_counted, 0.0, rng)
            times += send_times(share, host_arrivals(rng, i), n_counted)
        return times

    def check(self, host_arrivals, loads=((18, 15.0), (97, 40.0), (195, 20.0))):
        for n_hosts, limit_per_s in loads:
            allowed = CONTRACT_FACTOR * limit_per_s * CONTRACT_WINDOW_S + CONTRACT_SLACK
            for seed in range(20):
                with self.subTest(n_hosts=n_hosts, seed=seed):
                    times = self.fleet_times(n_hosts, limit_per_s, seed, host_arrivals)
                    self.assertLessEqual(most_in_window(times), allowed)

    def test_steady_overload(self):
        """Guards against a replica that gets more than it said it can take."""
        self.check(lambda rng, i: arrivals(rng, 4.0, 0.0, 30.0))

    def test_unequal_load(self):
        """Guards against busy hosts that exceed the limit together with idle ones."""
        self.check(lambda rng, i: arrivals(rng, 40.0 if i % 5 == 0 else 0.2, 0.0, 30.0))

    def test_burst_after_idle_time(self):
        """Guards against shares that are saved up and used by all hosts at once."""
        self.check(lambda rng, i: arrivals(rng, 20.0, 20.0, 26.0))

    def test_share_is_used(self):
        """Guards against a limit that is kept by sending hardly anything."""
        times = self.fleet_times(18, 15.0, 1, lambda rng, i: arrivals(rng, 4, 0, 60))
        self.assertGreater(len(times), 0.75 / COUNT_MARGIN * 15.0 * 60)


class TestShare(unittest.TestCase):
    """Changes of the limit and of the fleet."""

    def setUp(self):
        self.rng = random.Random(1)

    def update(self, share, limit_per_s, sent_at, now=10.0):
        return update_share(share, limit_per_s, sent_at, 20.0, now, self.rng)

    def test_end_of_a_limit(self):
        """Guards against a limit that outlasts the replica's need, or ends too soon."""
        share = self.update(None, 10.0, 9.0)
        self.assertIs(self.update(share, None, 8.9), share)
        self.assertIsNone(self.update(share, None, 9.1))
        self.assertIsNone(self.update(None, None, 9.0))

    def test_changed_limit(self):
        """Guards against the use of an old limit after an answer with a new one."""
        share = self.update(None, 10.0, 9.0)
        self.update(share, 5.0, 9.5)
        self.update(share, 20.0, 9.2)
        self.assertEqual(share.limit_per_s, 5.0)

    def test_count_of_the_fleet(self):
        """Guards against a long wait that was set before the fleet was counted."""
        share = RateShare(10.0, 9.0, 10.0)
        share.take(128.0, 10.0)
        self.assertAlmostEqual(share.next_slot_at, 22.8)
        self.assertLessEqual(share.available_at(20.0, 10.0), 12.0)

    def test_limit_of_zero(self):
        """Guards against a host that never learns that a limit of zero has ended."""
        share = self.update(None, 0.0, 9.0)
        self.assertLess(share.available_at(20.0, 10.0), 60.0)
