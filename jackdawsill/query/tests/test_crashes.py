"""Tests of crashing backend servers, and of random sequences of failures."""

import unittest

from jackdawsill.core import FailureKind, Policy, SubFailed
from jackdawsill.exceptions import Outcome
from jackdawsill.quarantine import Quarantine, Verdict
from jackdawsill.query import Condemned
from jackdawsill.query.tests.fakes import World, object_set
from jackdawsill.routing import ReplicaTable

POISON = b'{"poison":1}'


def domain_of(replica):
    """Return the failure domain of a replica made by `object_set`."""
    return f"d{int(replica[-1]) + 1}"


class NeverCondemns(Quarantine):
    """Quarantine that never condemns a fingerprint."""

    def on_crash(self, replica, fingerprints, now, canary=None):
        return ()


class TestCrashes(unittest.TestCase):
    """A poison request is refused; the loss of a failure domain condemns no request."""

    def test_poison_request(self):
        """Guards against a poison request that crashes one replica after another.

        It is sent twice, through two callers; other queries must stay complete.
        """
        world = World(object_set(10, 30, n_slots=4))

        def behave(replica, send):
            if send.body == POISON:
                world.crash(replica)
                return 0.0005, FailureKind.CRASH
            return 0.02, None

        world.behave = behave
        innocent = [world.ask(b'{"n":%d}' % i) for i in range(3)]
        n_before = len(world.sent)
        poison = world.ask(POISON)
        resend = world.ask(POISON, at=world.now + 0.0007, token="token2")
        world.run()
        n_poison = sum(s.body == POISON for s in world.sent[n_before:])
        # The first fan-out and two canaries: the first one may not be conclusive,
        # because another request may still have run on its replica.
        self.assertLessEqual(n_poison, 30 + 2)
        for query_id, outcome in (
            (poison, Outcome.PARTLY_RUN),
            (resend, Outcome.NOT_RUN),
        ):
            error = world.refusal_of(query_id)
            self.assertIsInstance(error, Condemned)
            self.assertEqual(error.outcome, outcome)
        for query_id in innocent:
            self.assertTrue(world.answer_of(query_id).complete)
        self.assertEqual(len(world.quarantine.condemned_), 1)
        self.assertIsInstance(world.refusal_of(world.ask(POISON)), Condemned)
        self.assertTrue(world.table.is_empty())

    def test_suspected_resend_runs_as_a_canary(self):
        """Guards against fanning out a suspected request before its canary answers.

        The canary must also be alone on its replica.
        """
        world = World(object_set(10, 30, n_slots=4), behave=lambda r, s: (0.02, None))
        query_id = world.ask(POISON)
        fingerprint = world.table.queries_[query_id].fingerprint
        world.run()
        world.sent.clear()
        world.quarantine.on_crash("svc09-0", (fingerprint,), world.now)
        for i in range(4):
            world.ask(b'{"n":%d}' % i)
        n_before = len(world.sent)
        seen = []

        def behave(replica, send):
            if send.body == POISON:
                seen.append((world.running[replica], world.now))
            return 0.02, None

        world.behave = behave
        query_id = world.ask(POISON)
        world.run()
        self.assertTrue(world.answer_of(query_id).complete)
        first = [s for s in world.sent[n_before:] if s.body == POISON]
        self.assertEqual(len(first), 30)
        self.assertEqual(seen[0][0], 1)
        self.assertGreater(seen[1][1], seen[0][1])
        verdict = world.quarantine.check(fingerprint, world.now)
        self.assertIs(verdict, Verdict.CLEAR)

    def test_lost_failure_domain(self):
        """Guards against partial answers and condemnations after a domain is lost."""
        world = World(object_set(26, 140, n_slots=8))
        lost = set()

        def behave(replica, send):
            if domain_of(replica) in lost:
                return 0.001, FailureKind.CONNECT
            return 0.02, None

        world.behave = behave
        ids = [world.ask(b'{"n":%d}' % i) for i in range(6)]
        world.run(until=world.now + 0.005)
        lost.add("d2")
        for replica in world.objects.replicas:
            if domain_of(replica) in lost:
                world.crash(replica)
        start = world.now
        ids += [world.ask(b'{"n":%d}' % i, at=world.now + 0.01) for i in range(3)]
        world.run()
        for query_id in ids:
            ((when, reply),) = world.replies[query_id]
            self.assertTrue(reply.answer.complete, reply.answer.missing)
            self.assertLess(when, start + 0.33)
        self.assertEqual(world.quarantine.condemned_, {})
        self.assertTrue(world.table.is_empty())
        reserved = [
            s
            for s in world.state.component(ReplicaTable).replicas_.values()
            if s.reserved
        ]
        self.assertEqual(reserved, [])

    def test_canary_on_a_straggler(self):
        """Guards against shards that wait until the deadline for one slow canary."""
        world = World(object_set(10, 30, n_slots=4))
        start = world.now
        canaries = []

        def behave(replica, send):
            if world.now == start:
                first = replica == world.sent[0].replica
                return (0.003, FailureKind.CRASH) if first else (0.01, None)
            canaries.append(send)
            return (None, None) if len(canaries) == 1 else (0.01, None)

        world.behave = behave
        query_id = world.ask()
        world.run()
        self.assertTrue(world.answer_of(query_id).complete)
        self.assertIn(canaries[0].sub_id, world.cancelled)

    def test_everything_crashes(self):
        """Guards against endless canaries if the quarantine never condemns them."""
        world = World(
            behave=lambda r, s: (0.001, FailureKind.CRASH),
            quarantine=NeverCondemns(),
        )
        query_id = world.ask()
        world.run()
        error = world.refusal_of(query_id)
        self.assertEqual(error.outcome, Outcome.PARTLY_RUN)
        self.assertLessEqual(len(world.sent), 12)
        self.assertTrue(world.table.is_empty())


class TestRandomFailures(unittest.TestCase):
    """Each query gets one correct reply under random failures and delays."""

    def test_random_failures(self):
        """Guards against lost or repeated replies, wrong coverage and leaked state.

        Sub-requests fail, hang or are answered twice at random.
        """
        for seed in range(60):
            with self.subTest(seed=seed):
                self.check(seed)

    def check(self, seed):
        world = World(object_set(4, 12, versions=(1, 2)), seed=seed)
        rng = world.state.rng.__class__(seed)
        kinds = list(FailureKind)
        failure_rate = rng.random() * 0.6
        ran = set()

        def behave(replica, send):
            request = send.request_id.split(".")[0]
            roll = rng.random()
            if roll < 0.05:
                ran.add(request)
                return None, None
            if roll < failure_rate:
                kind = rng.choice(kinds)
                if kind in (FailureKind.CRASH, FailureKind.TIMEOUT):
                    ran.add(request)
                return rng.random() * 0.1, SubFailed(send.sub_id, kind, ("v1",))
            ran.add(request)
            items = [{"class": "open", "id": (send.snapshot, send.shard, send.body)}]
            delay_s = rng.expovariate(50)
            if rng.random() < 0.02:
                world.at(world.now + delay_s + 0.01, world.answer(send, items=items))
            return delay_s, world.answer(send, items=items)

        world.behave = behave
        bodies = {}
        for _ in range(40):
            body = b'{"n":%d}' % rng.randrange(30)
            policy = rng.choice(list(Policy))
            when = world.now + rng.random()
            bodies[world.ask(body, at=when, policy=policy)] = body
        world.run()
        self.assertTrue(world.table.is_empty())
        self.assertEqual(world.in_flight, {})
        for query_id, body in bodies.items():
            reply = world.reply(query_id)
            if not hasattr(reply, "answer"):
                if reply.error.outcome is Outcome.NOT_RUN:
                    self.assertNotIn(f"r{query_id}", ran)
                continue
            answer = reply.answer
            expected = [(answer.snapshot, shard, body) for shard in answer.covered]
            self.assertEqual([item["id"] for item in answer.items], expected)
            named = [*answer.covered, *(m.shard for m in answer.missing)]
            self.assertEqual(sorted(named), [f"s{i:03}" for i in range(12)])
            self.assertTrue(all(m.reason for m in answer.missing))


if __name__ == "__main__":
    unittest.main()
