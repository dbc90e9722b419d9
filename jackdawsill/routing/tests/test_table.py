"""Tests of the replica table."""

import random
import unittest
from collections import Counter

from jackdawsill.core import FailureKind, LoadReport
from jackdawsill.objects import ObjectSet, Replica, Service
from jackdawsill.routing import LEAVING_TTL_S, RAMP_S, ReplicaTable


def objects(n=3, **changes):
    replicas = [
        Replica(f"r{i}", "s", "127.0.0.1", 1, f"d{i}", **changes) for i in range(n)
    ]
    return ObjectSet(
        1,
        "",
        services={"s": Service("s", "g")},
        replicas={r.name: r for r in replicas},
    )


class TestReplicaTable(unittest.TestCase):
    """Work goes to the fastest usable replicas; returned ones get it step by step."""

    def setUp(self):
        self.table = ReplicaTable("d9")
        self.objects = objects()
        self.rng = random.Random(7)

    def shares(self, now, n=600, exclude=()):
        """Return how often each replica is picked; 200 each if all are equal."""
        picks = Counter()
        for _ in range(n):
            replica = self.table.pick("s", exclude, self.objects, now, self.rng)
            picks[replica and replica.name] += 1
        return picks

    def test_slow_and_busy_replicas_get_less_work(self):
        """Guards against ignoring load, and against sending all work to one replica."""
        self.assertGreater(min(self.shares(0.0).values()), 150)
        for _ in range(20):
            self.table.on_answer("r0", 0.2, None, 0.0)
        self.assertLess(self.shares(0.0)["r0"], 30)
        self.table.on_answer("r1", 0.02, LoadReport(9, 2), 0.0)
        self.assertGreater(self.shares(0.1)["r2"], 350)
        # A second later the load report is too old to count.
        self.assertGreater(self.shares(1.0)["r1"], 250)

    def test_local_domain_wins_ties_only(self):
        """Guards against sending all work to the local failure domain."""
        self.table.failure_domain = "d1"
        self.assertGreater(self.shares(0.0)["r1"], 350)
        self.table.on_sent("r1", 0.0)
        self.assertLess(self.shares(0.0)["r1"], 30)

    def test_ejected_replica_is_probed(self):
        """Guards against using a failed replica, and against never using it again."""
        backoff_s = self.table.on_failure("r0", FailureKind.CONNECT, 10.0)
        self.assertGreater(backoff_s, 0)
        self.assertEqual(self.table.on_failure("r0", FailureKind.CRASH, 10.1), 0.0)
        self.assertEqual(self.shares(10.2)["r0"], 0)
        later = 10.0 + backoff_s
        self.assertTrue(self.table.may_use("r0", later))
        self.table.on_sent("r0", later)
        self.assertFalse(self.table.may_use("r0", later))
        self.table.on_ended("r0")
        self.table.on_answer("r0", 0.02, None, later)
        ramped = self.shares(later + 0.1)["r0"]
        self.assertTrue(0 < ramped < 80, ramped)
        self.assertGreater(self.shares(later + RAMP_S)["r0"], 150)

    def test_single_timeouts_do_not_eject(self):
        """Guards against ejecting replicas for routine stragglers."""
        for i in range(8):
            self.assertEqual(self.table.on_failure("r0", FailureKind.TIMEOUT, i), 0.0)
            if i % 2:
                self.table.on_answer("r0", 0.02, None, i)
        for _ in range(2):
            self.table.on_failure("r1", FailureKind.TIMEOUT, 9.0)
        self.assertGreater(self.table.on_failure("r1", FailureKind.TIMEOUT, 9.0), 0)

    def test_all_ejected(self):
        """Guards against giving a shard up while an attempt may succeed."""
        for i, name in enumerate(("r0", "r1", "r2")):
            self.table.on_failure(name, FailureKind.CONNECT, 1.0 + 0.1 * i)
        self.assertEqual(set(self.shares(1.3)), {"r0"})
        self.assertEqual(set(self.shares(1.3, exclude=("r0",))), {"r1"})

    def test_returned_replica_ramps_up(self):
        """Guards against work for leaving replicas and bursts to returned ones."""
        self.assertTrue(self.table.mark_leaving("r0", 5.0))
        self.assertFalse(self.table.mark_leaving("r0", 6.0))
        self.assertEqual(self.shares(6.0 + LEAVING_TTL_S - 0.1)["r0"], 0)
        ramped = self.shares(6.0 + LEAVING_TTL_S)["r0"]
        self.assertTrue(0 < ramped < 80, ramped)
        for name in ("r0", "r1", "r2"):
            self.table.mark_leaving(name, 50.0)
        self.assertEqual(set(self.shares(51.0)), {None})

    def test_repeated_and_malformed_notices_are_ignored(self):
        """Guards against old notices that mark a replica again after its return."""
        self.assertTrue(self.table.on_notice("r0", "h1:1", 30.0, 5.0))
        self.assertFalse(self.table.on_notice("r0", "h2:1", 30.0, 5.1))
        back = 5.1 + LEAVING_TTL_S
        self.assertTrue(self.table.may_use("r0", back))
        self.assertFalse(self.table.on_notice("r0", "h1:1", 30.0, back))
        for ttl_s in (-1.0, 0.0, 1e9, float("nan")):
            start_id = f"h3:{ttl_s}"
            self.assertFalse(self.table.on_notice("r0", start_id, ttl_s, back))
        self.assertTrue(self.table.may_use("r0", back))
        self.table.on_notice("r1", "h4:1", 30.0, back + 1000)
        self.assertEqual(list(self.table.known_start_ids_), ["h4:1"])

    def test_reserved_and_removed_replicas(self):
        """Guards against other work beside a canary, and against stale entries."""
        self.table.reserve("r0")
        self.assertEqual(self.shares(1.0)["r0"], 0)
        self.table.release("r0")
        self.assertGreater(self.shares(1.0)["r0"], 150)
        self.objects = objects(leaving=True)
        self.assertEqual(set(self.shares(1.0)), {None})
        self.table.prune({"r1"})
        self.assertEqual(set(self.table.replicas_), {"r1"})


if __name__ == "__main__":
    unittest.main()
