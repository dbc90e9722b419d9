"""Tests of queries whose backend servers fail."""

import math
import unittest

from jackdawsill.core import (
    FailureKind,
    PeerMessageRead,
    Policy,
    SubAnswered,
    SubFailed,
    TimerFired,
)
from jackdawsill.exceptions import Outcome
from jackdawsill.limits import AdmissionQueue
from jackdawsill.limits._shed_rates import N_SHED_MIN
from jackdawsill.limits._window import DECREASE_FACTOR
from jackdawsill.query import NothingCovered, Overloaded
from jackdawsill.query.tests.fakes import World, object_set
from jackdawsill.routing import LeavingNotice, ReplicaTable
from jackdawsill.snapshots import PROBE_INTERVAL_S, ServableNotice, SnapshotTable


class TestRetries(unittest.TestCase):
    """Failed and slow sub-requests are retried or hedged within limits."""

    def run_one(self, behave, **fields):
        world = World(behave=behave)
        query_id = world.ask(**fields)
        world.run()
        self.assertTrue(world.table.is_empty())
        self.assertEqual(len(world.replies[query_id]), 1)
        return world, query_id

    def test_one_bad_replica(self):
        """Guards against a missing shard when only one of its replicas fails."""
        for kind in FailureKind:
            with self.subTest(kind=kind):
                world, query_id = self.run_one(
                    lambda replica, send, kind=kind: (
                        (0.002, kind) if replica.endswith("-0") else (0.01, None)
                    )
                )
                self.assertTrue(world.answer_of(query_id).complete)
                self.assertLessEqual(len(world.sent), 20)

    def test_nothing_was_run(self):
        """Guards against the outcome `partly_run` for a query that did not run."""
        for kind in (FailureKind.CONNECT, FailureKind.CAP, FailureKind.STARTING):
            world, query_id = self.run_one(lambda r, s, kind=kind: (0.002, kind))
            error = world.refusal_of(query_id)
            self.assertIsInstance(error, NothingCovered)
            self.assertEqual(error.outcome, Outcome.NOT_RUN)
            # Each shard is tried a few times and then given up.
            self.assertLessEqual(len(world.sent), 30)

    def test_reason_of_a_failed_shard(self):
        """Guards against a missing shard whose reason is not its failure."""
        world, query_id = self.run_one(
            lambda r, s: (
                (0.002, FailureKind.SHED) if s.shard == "s001" else (0.01, None)
            )
        )
        missing = world.answer_of(query_id).missing
        self.assertEqual([(m.shard, m.reason) for m in missing], [("s001", "shed")])

    def test_mismatched_answers(self):
        """Guards against using an answer of another request, shard or snapshot."""
        for change in ({"request_id": "x"}, {"shard": "x"}, {"snapshot": "x"}):
            world = World()
            seen = set()

            def behave(replica, send, world=world, seen=seen, change=change):
                if send.shard in seen:
                    return 0.01, None
                seen.add(send.shard)
                items = [{"class": "open", "id": "foreign"}]
                return 0.01, world.answer(send, items=items, **change)

            world.behave = behave
            query_id = world.ask()
            world.run()
            answer = world.answer_of(query_id)
            self.assertTrue(answer.complete)
            self.assertNotIn("foreign", {item["id"] for item in answer.items})
            self.assertEqual(world.counts["answers_discarded"], 10)

    def test_no_retry_on_a_shedding_service(self):
        """Guards against retries that keep an overloaded service shedding."""
        world = World(object_set(1, 10, n_slots=8))
        world.behave = lambda r, s: (0.001, FailureKind.SHED)
        world.ask(policy=Policy.COVERAGE)
        world.run(until=world.now + 0.3)
        n_sent = len(world.sent)
        self.assertLessEqual(n_sent, 16)
        world.run(until=world.now + 0.03)
        self.assertEqual(len(world.sent), n_sent)

    def test_one_shedding_service(self):
        """Guards against refused queries because one service of many sheds."""
        world = World(object_set(10, 10, n_slots=8))
        world.behave = lambda r, s: (
            (0.002, FailureKind.SHED) if s.shard == "s001" else (0.01, None)
        )
        world.ask()
        window = world.state.component(AdmissionQueue).groups_["g"].window
        n_allowed = window.n_allowed()
        for _ in range(50):
            world.run()
            query_id = world.ask()
            world.run()
        missing = world.answer_of(query_id).missing
        self.assertEqual([(m.shard, m.reason) for m in missing], [("s001", "shed")])
        # The first N_SHED_MIN sheds narrow the window, since the service does not count
        # as shedding yet.
        least = n_allowed * DECREASE_FACTOR**N_SHED_MIN
        self.assertGreaterEqual(window.n_allowed(), int(least))

    def test_extra_load_is_bounded(self):
        """Guards against hedges beyond the caller's extra-load budget."""
        world = World(object_set(26, 140, n_slots=40))
        rng = world.state.rng
        world.behave = lambda r, s: (0.3 if rng.random() < 0.3 else 0.01, None)
        for i in range(30):
            world.ask(at=world.now + 0.4 * i)
        world.run()
        extra = len(world.sent) / (30 * 140) - 1
        self.assertGreater(world.counts["hedges_sent"], 50)
        # The extra load that `object_set` allows its callers.
        self.assertLessEqual(extra, 0.05)

    def test_straggler_is_hedged_and_cancelled(self):
        """Guards against a query as slow as its slowest sub-request."""
        world = World(object_set(26, 140))
        for _ in range(10):
            world.ask()
            world.run()
        slow = {}

        def behave(replica, send):
            first = slow.setdefault(send.shard, replica) == replica
            return (0.25 if first and send.shard == "s007" else 0.01), None

        world.behave = behave
        start, n_sent = world.now, len(world.sent)
        query_id = world.ask()
        world.run()
        self.assertTrue(world.answer_of(query_id).complete)
        self.assertLess(world.replies[query_id][0][0] - start, 0.1)
        cancelled = [
            s.shard for s in world.sent[n_sent:] if s.sub_id in world.cancelled
        ]
        self.assertEqual(cancelled, ["s007"])

    def test_busy_host_sends_no_hedges(self):
        """Guards against hedges for a delay that affects all shards alike."""
        world = World(object_set(26, 140))
        for _ in range(20):
            world.ask()
            world.run()
        # Longer than the hedge delay that the answers after 10 ms lead to.
        world.behave = lambda r, s: (0.025, None)
        n_sent = len(world.sent)
        world.ask()
        world.run()
        self.assertEqual(len(world.sent) - n_sent, 140)

    def test_hanging_replicas_are_hedged(self):
        """Guards against missing hedges when many replicas hang at once.

        Many late shards otherwise mean a busy host, for which no hedges are sent.
        """
        world = World(object_set(26, 140))
        for _ in range(20):
            world.ask()
            world.run()
        world.behave = lambda r, s: (0.01 if r[-1] != "0" else 5.0, None)
        n_sent = len(world.sent)
        world.ask()
        world.run()
        # More than one sub-request for each of the 140 shards.
        self.assertGreater(len(world.sent) - n_sent, 145)

    def test_lost_domain_takes_no_hedges(self):
        """Guards against hedges to ejected replicas of a lost failure domain."""
        world = World(object_set(10, 10))
        for _ in range(100):
            world.ask()
            world.run()
        # The first two sub-requests for each shard are stragglers.
        n_tries = {}

        def behave(replica, send):
            n_tries[send.shard] = n_tries.get(send.shard, 0) + 1
            return (0.2 if n_tries[send.shard] <= 2 else 0.01), None

        world.behave = behave
        lost = {r for r in world.state.objects_.replicas if r[-1] == "2"}
        for replica in lost:
            routing = world.state.component(ReplicaTable)
            routing.on_failure(replica, FailureKind.CONNECT, world.now)
        n_sent = len(world.sent)
        world.ask(policy=Policy.COVERAGE)
        world.run(until=world.now + 0.3)
        self.assertGreater(len(world.sent) - n_sent, 10)
        self.assertFalse(lost & {send.replica for send in world.sent[n_sent:]})

    def test_leaving_replica(self):
        """Guards against new sub-requests to a leaving replica, here and at peers."""
        world = World()
        world.members.links_["peer"] = 7
        world.behave = lambda r, s: (
            0.01,
            world.answer(s, draining=True) if r == "svc00-0" else None,
        )
        while not any(s.replica == "svc00-0" for s in world.sent):
            world.ask()
            world.run()
        (notice,) = [m for m in world.peer_messages if isinstance(m, LeavingNotice)]
        self.assertEqual(notice.replica, "svc00-0")
        peer = World()
        peer.members.links_["other"] = 8
        for _ in range(2):
            peer.feed(PeerMessageRead(7, notice))
        self.assertEqual(peer.peer_messages, [notice])
        for host in (world, peer):
            n_sent = len(host.sent)
            for _ in range(20):
                host.ask()
                host.run()
            self.assertNotIn("svc00-0", {s.replica for s in host.sent[n_sent:]})

    def test_pause(self):
        """Guards against sending queued queries whose deadline passed in a pause."""
        world = World(behave=lambda r, s: (0.05, None))
        ids = [world.ask() for _ in range(40)]
        n_sent = len(world.sent)
        self.assertGreater(len(world.table.queries_), 1)
        world.now += 5.0
        # Any event after a gap in time makes the reducer detect the pause.
        world.feed(TimerFired("query:end:0"))
        self.assertEqual(len(world.sent), n_sent)
        self.assertTrue(world.table.is_empty())
        for query_id in ids:
            error = world.refusal_of(query_id)
            not_run = error.outcome is Outcome.NOT_RUN
            self.assertEqual(not_run, isinstance(error, Overloaded))

    def test_overload(self):
        """Guards against fewer complete answers under 4 times the load."""
        useful = {}
        for factor in (1, 4):
            world = World(object_set(4, 8))
            free = {}

            def behave(replica, send, world=world, free=free):
                # Two slots of 10 ms; a queue longer than 40 ms sheds.
                slots = free.setdefault(replica, [0.0, 0.0])
                start = max(min(slots), world.now)
                if start > world.now + 0.04:
                    return 0.001, FailureKind.SHED
                slots[slots.index(min(slots))] = start + 0.01
                return start + 0.01 - world.now, None

            world.behave = behave
            n_asked = 600 * factor
            for i in range(n_asked):
                world.ask(at=world.now + 2.0 * i / n_asked)
            world.run()
            replies = [reply for ((_, reply),) in world.replies.values()]
            self.assertEqual(len(replies), n_asked)
            answers = [r.answer for r in replies if hasattr(r, "answer")]
            useful[factor] = sum(answer.complete for answer in answers)
            self.assertTrue(
                all(
                    r.error.outcome is Outcome.NOT_RUN
                    for r in replies
                    if not hasattr(r, "answer")
                )
            )
            self.assertTrue(world.table.is_empty())
        self.assertGreaterEqual(useful[4], 0.9 * useful[1])


class TestSnapshots(unittest.TestCase):
    """A query is answered from one snapshot, the newest that replicas can serve."""

    def test_restart_on_another_snapshot(self):
        """Guards against answers that mix snapshots or lack the declined shards."""
        world = World(object_set(versions=(1, 2)))

        def behave(replica, send):
            if send.snapshot == "v2":
                return 0.002, SubFailed(send.sub_id, FailureKind.DECLINED, ("v1",))
            return 0.01, None

        world.behave = behave
        query_id = world.ask()
        world.run()
        answer = world.answer_of(query_id)
        self.assertEqual((answer.snapshot, answer.complete), ("v1", True))
        self.assertEqual(world.counts["queries_restarted"], 1)
        world.sent.clear()
        world.ask()
        world.run()
        self.assertEqual({s.snapshot for s in world.sent}, {"v1"})
        self.assertTrue(world.table.is_empty())

    def test_new_snapshot_takes_over(self):
        """Guards against a snapshot that is never probed again after declines."""
        world = World(object_set(versions=(1, 2)))
        world.members.links_["peer"] = 7
        ready_at = world.now + 3.0

        def behave(replica, send):
            serves = "v2" if world.now >= ready_at else "v1"
            if send.snapshot != serves:
                return 0.002, SubFailed(send.sub_id, FailureKind.DECLINED, (serves,))
            return 0.01, None

        world.behave = behave
        ids = [world.ask(at=world.now + 0.25 * i) for i in range(40)]
        world.run()
        answers = [world.answer_of(query_id) for query_id in ids]
        self.assertTrue(all(a.complete for a in answers))
        self.assertEqual({a.snapshot for a in answers[-20:]}, {"v2"})
        notices = [m for m in world.peer_messages if isinstance(m, ServableNotice)]
        self.assertEqual([n.snapshot for n in notices], ["v1", "v2"])

    def test_few_replicas_take_no_new_snapshot(self):
        """Guards against all queries going to the few replicas with a new snapshot."""
        world = World(object_set(versions=(1, 2)))
        moved = {"0"}

        def behave(replica, send):
            serves = "v2" if replica[-1] in moved else "v1"
            if send.snapshot != serves:
                return 0.002, SubFailed(send.sub_id, FailureKind.DECLINED, (serves,))
            return 0.01, None

        world.behave = behave
        for last, snapshot in (("0", "v1"), ("1", "v2")):
            moved.add(last)
            ids = [world.ask(at=world.now + 0.1 * i) for i in range(80)]
            world.run()
            answers = [world.answer_of(query_id).snapshot for query_id in ids[-20:]]
            # One probe of the other snapshot is allowed each PROBE_INTERVAL_S.
            n_probes = math.ceil(20 * 0.1 / PROBE_INTERVAL_S)
            self.assertGreaterEqual(answers.count(snapshot), 20 - n_probes, answers)

    def test_outdated_declines_of_one_service(self):
        """Guards against a missing shard until outdated declines expire."""
        world = World(object_set(20, 20, versions=(1, 2)))
        table = world.state.component(SnapshotTable)
        world.ask()
        world.run()
        service = world.objects.snapshots["v2"].shards[0].service
        for replica in world.objects.replicas_of(service):
            table._record_decline("v2", service, replica.name, world.now)
        ids = [world.ask(at=world.now + 0.1 * i) for i in range(5)]
        world.run()
        answers = [world.answer_of(query_id) for query_id in ids]
        self.assertEqual([a.snapshot for a in answers], ["v2"] * 5)
        self.assertTrue(all(a.complete for a in answers))

    def test_notice_of_a_servable_snapshot(self):
        """Guards against notices forwarded for ever, or naming an unknown snapshot."""
        world = World(object_set(versions=(1, 2)))
        world.members.links_["peer"] = 7
        for snapshot in ("v2", "v2", "v9"):
            world.feed(PeerMessageRead(7, ServableNotice("g", snapshot, 2)))
        self.assertEqual(len(world.peer_messages), 1)
        table = world.state.component(SnapshotTable)
        newest = table.newest_servable("g", world.objects, world.now)
        self.assertEqual(newest.name, "v2")


class TestUnknownEvents(unittest.TestCase):
    """Events of other components have no effect."""

    def test_unknown_sub_requests(self):
        """Guards against processing or counting the sub-requests of tickets."""
        world = World()
        world.ask()
        n_before = dict(world.counts)
        event = SubAnswered(10**6, "r.other.1", "v1", "s000", [])
        self.assertEqual(world.feed(event), [])
        self.assertEqual(world.feed(SubFailed(10**6, FailureKind.CRASH)), [])
        self.assertEqual(world.feed(TimerFired("tickets:1")), [])
        self.assertEqual(dict(world.counts), n_before)
        world.run()


if __name__ == "__main__":
    unittest.main()
