"""Tests of connection shares, concurrency limits, shed fractions and admission."""

import unittest

from jackdawsill.core import LoadReport
from jackdawsill.limits import (
    SHARE_RECOVERY_S,
    AdmissionDecision,
    AdmissionQueue,
    ConcurrencyLimits,
    ConnectionShares,
    ShedWatch,
)
from jackdawsill.query.tests.fakes import object_set


class TestConnectionShares(unittest.TestCase):
    """All hosts together open at most the usable connections of a replica.

    These are 160, which is USABLE_FRACTION (0.8) of the cap of 200.
    """

    def shares(self, n_hosts, own=0):
        shares = ConnectionShares(f"h{own}")
        shares.set_objects(object_set())  # 200 connections per replica
        shares.set_hosts([f"h{i}" for i in range(n_hosts)])
        return shares

    def test_equal_shares_below_the_cap(self):
        """Guards against more connections of the fleet than a replica accepts."""
        for n_hosts in (1, 12, 18, 160):
            share = self.shares(n_hosts).share("svc00-0", 0.0)
            self.assertGreaterEqual(share, 1)
            self.assertLessEqual(share * n_hosts, 160)

    def test_holders_in_a_large_fleet(self):
        """Guards against hosts that compute different holders.

        Too many hosts would connect, or a sub-request would be forwarded to a host that
        may not connect.
        """
        hosts = [self.shares(400, own) for own in range(400)]
        holders = hosts[0].holders("svc00-0")
        self.assertEqual(len(holders), 160)
        connected = {v.self_id for v in hosts if v.share("svc00-0", 0.0) == 1}
        self.assertEqual(connected, set(holders))
        self.assertNotEqual(set(hosts[0].holders("svc00-1")), set(holders))

    def test_holders_after_changes_of_the_fleet(self):
        """Guards against wrong ranks or cached holders after hosts join and leave."""
        shares = self.shares(400)
        replicas = sorted(shares.objects_.replicas)
        for n_first, n_last in ((0, 390), (0, 392), (5, 420), (0, 20), (0, 300)):
            hosts = ["h0", *(f"h{i}" for i in range(max(1, n_first), n_last))]
            shares.set_hosts(hosts)
            fresh = self.shares(1)
            fresh.set_hosts(hosts)
            for replica in replicas:
                self.assertEqual(shares.holders(replica), fresh.holders(replica))
                is_holder = "h0" in shares.holders(replica)
                self.assertEqual(shares.share(replica, 0.0) > 0, is_holder)

    def test_refusal_halves_and_recovers_slowly(self):
        """Guards against a host that keeps opening connections at the cap."""
        shares = self.shares(12)
        full = shares.share("svc00-0", 0.0)
        for _ in range(10):
            shares.on_cap_refused("svc00-0", 0.0)
        self.assertEqual(shares.share("svc00-0", 1.0), 1)
        shares.set_hosts([f"h{i}" for i in range(11)])
        self.assertEqual(shares.share("svc00-0", 1.0), 1)
        now = 0.0
        for n in range(2, full + 1):
            now += SHARE_RECOVERY_S
            self.assertEqual(shares.share("svc00-0", now), n)


class TestConcurrencyLimits(unittest.TestCase):
    """The limit rises with answers, and falls with shed or queued sub-requests."""

    def test_increase_and_decrease(self):
        """Guards against a limit that ignores shedding or queueing."""
        limits = ConcurrencyLimits()
        self.assertTrue(limits.has_capacity("r", 1, 2))
        self.assertFalse(limits.has_capacity("r", 2, 2))
        for i in range(100):
            in_flight = int(limits.limit("r", 2))
            limits.on_answer("r", in_flight, 2, LoadReport(1, 2), i)
        high = limits.limit("r", 2)
        self.assertTrue(4 < high <= 9, high)
        limits.on_answer("r", 1, 2, LoadReport(3, 2), 100.0)
        self.assertLess(limits.limit("r", 2), high)
        for i in range(20):
            limits.on_shed("r", 2, 200.0 + i)
        self.assertEqual(limits.limit("r", 2), 1.0)

    def test_one_overload_decreases_once(self):
        """Guards against one burst of shed sub-requests that lowers the limit to 1.

        A single decrease (DECREASE_ON_SHED) takes 8 to 5.6.
        """
        limits = ConcurrencyLimits()
        for _ in range(10):
            limits.on_shed("r", 8, 5.0)
        self.assertAlmostEqual(limits.limit("r", 8), 5.6)

    def test_idle_limit_does_not_grow(self):
        """Guards against raising a limit that was not reached."""
        limits = ConcurrencyLimits()
        for i in range(100):
            limits.on_answer("r", 1, 4, None, i)
        self.assertEqual(limits.limit("r", 4), 4)


class TestShedWatch(unittest.TestCase):
    """A service that sheds too much gets no retries."""

    def test_fraction_of_the_last_second(self):
        """Guards against suppression by single sheds, or for longer than a second."""
        watch = ShedWatch()
        watch.on_shed("s", 0.0)
        self.assertFalse(watch.is_shedding("s", 0.0))
        for _ in range(9):
            watch.on_shed("s", 0.1)
        self.assertTrue(watch.is_shedding("s", 0.1))
        for _ in range(89):
            watch.on_answer("s", 0.2)
        self.assertTrue(watch.is_shedding("s", 0.2))
        watch.on_answer("s", 0.2)
        self.assertFalse(watch.is_shedding("s", 0.2))
        for _ in range(50):
            watch.on_shed("s", 0.3)
        self.assertTrue(watch.is_shedding("s", 0.7))
        self.assertFalse(watch.is_shedding("s", 1.3))


class TestAdmissionQueue(unittest.TestCase):
    """A query starts, waits or is refused, depending on window and deadline."""

    def setUp(self):
        self.queue = AdmissionQueue()
        self.queue.set_objects(object_set(2, 2, n_slots=1))

    def submit(self, query_id, department="dep1", now=0.0, left_s=0.34):
        return self.queue.submit("g", department, query_id, now + left_s, now)[0]

    def release(self, now, service_s=0.05, **fields):
        return self.queue.release("g", now, service_s=service_s, **fields)

    def fill(self, n=100, department="dep1", start=0, left_s=0.34):
        decisions = [self.submit(start + i, department, 0.0, left_s) for i in range(n)]
        return [
            start + i for i, o in enumerate(decisions) if o is AdmissionDecision.QUEUED
        ]

    def test_start_queue_and_refuse(self):
        """Guards against queueing queries that would miss their deadlines."""
        self.assertEqual(
            [self.submit(i) for i in (1, 2, 3)], [AdmissionDecision.START] * 3
        )
        queued = self.fill(start=10)
        self.assertTrue(0 < len(queued) < 12, queued)
        wait_s = self.queue.predicted_wait_s("g")
        self.assertTrue(0 < wait_s < 0.34, wait_s)
        self.assertEqual(self.submit(200, left_s=0.01), AdmissionDecision.REFUSED)
        self.assertEqual(self.release(0.05).started, queued[:1])

    def test_queued_queries_expire(self):
        """Guards against starting a query that cannot finish in time."""
        self.fill(n=3)
        queued = self.fill(start=10)
        released = self.release(0.33)
        self.assertEqual((released.started, released.expired), ([], queued))
        self.assertEqual(self.queue.entries_, {})

    def test_departments_share_by_weight(self):
        """Guards against one department getting all of a busy group."""
        self.fill(n=3)
        first = self.fill(department="dep1", start=1000, left_s=2.0)
        second = self.fill(department="dep2", start=2000, left_s=2.0)
        self.assertGreater(len(second), 8)
        started = []
        for i in range(8):
            started += self.release(0.01 * i, 0.01).started
        n_second = sum(query_id in second for query_id in started)
        self.assertGreater(n_second, len(started) / 2)
        self.assertTrue(set(started) & set(first))

    def test_abandoned_query_leaves_the_queue(self):
        """Guards against starting a query whose caller has left."""
        self.fill(n=3)
        queued = self.fill(start=10)
        for query_id in queued:
            self.queue.abandon(query_id)
            self.queue.abandon(query_id)
        self.assertEqual(self.release(0.01).started, [])
        self.assertEqual(self.queue.groups_["g"].active_weight, 0.0)

    def window(self):
        return self.queue.groups_["g"].window

    def test_window_adapts(self):
        """Guards against a window that ignores congestion or never grows."""
        self.submit(1)
        start = self.window().value
        for i in range(200):
            self.queue.groups_["g"].n_running = self.window().n_allowed()
            self.release(0.1 * i, mean_latency_s=0.01)
        high = self.window().value
        self.assertGreater(high, start)
        for i in range(200):
            self.release(50 + 0.1 * i, mean_latency_s=0.01, shed_fraction=0.5)
        low = self.window().value
        self.assertLess(low, 1)
        self.assertLess(low, high)
        # A window below 1 causes a pause after each query.
        self.assertEqual(self.submit(2, now=70.0, left_s=3.0), AdmissionDecision.QUEUED)
        released = self.queue.start_next("g", 70.0)
        self.assertEqual(released.started, [])
        self.assertGreater(released.retry_at, 70.0)
        self.assertEqual(self.queue.start_next("g", released.retry_at).started, [2])

    def test_late_replies_decrease_the_window(self):
        """Guards against a window that stays large while replies are late."""
        self.submit(1)
        before = self.window().value
        self.queue.on_ended("g", 0.3, False, 1.0)
        self.assertEqual(self.window().value, before)
        self.queue.on_ended("g", 0.3, True, 1.0)
        self.assertLess(self.window().value, before)

    def test_query_starts_after_a_slow_period(self):
        """Guards against refusing every query after some slow ones."""
        self.submit(1)
        for i in range(50):
            self.queue.groups_["g"].n_running = 1
            self.release(float(i), service_s=5.0)
            self.queue.on_ended("g", 5.0, False, float(i))
        self.assertEqual(self.submit(2, now=60.0), AdmissionDecision.START)


if __name__ == "__main__":
    unittest.main()
