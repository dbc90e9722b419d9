"""Crashes of replicas under requests that still wait for their answer."""

import unittest

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    AttemptFailed,
    CallTable,
    RefuseCall,
    ReplicaRefused,
    ReplicaRegistry,
    StoreLost,
    StoreRegained,
)
from jackdawsill.forwarding._registry import LAPSE_KEPT_S
from jackdawsill.forwarding.tests._replicas_model import (
    ENTRY_REMOVED_S,
    N_LATE_ALLOWED,
    POISON,
    Replicas,
)


class TestSilentReplicas(unittest.TestCase):
    """A request under which replicas fall silent is refused, whatever the timeout."""

    def test_comes_again_and_again(self):
        """Guards against requests that end a replica each time on a slow route."""
        for timeout_s in (1.2, 4.0, 12.0, 60.0):
            with self.subTest(timeout_s=timeout_s):
                replicas = Replicas(timeout_s=timeout_s)
                replicas.run(3.0)
                for _ in range(14):
                    replicas.call(POISON)
                    replicas.run(3.0)
                late = replicas.late_requests()
                self.assertLessEqual(len(late), N_LATE_ALLOWED)
                replicas.call(POISON)
                self.assertIsInstance(replicas.host.replies[-1], RefuseCall)

    def test_requests_that_may_not_be_repeated(self):
        """Guards against the same with one attempt a request."""
        replicas = Replicas(timeout_s=4.0, idempotent=False, n_attempts_max=1)
        replicas.run(3.0)
        for _ in range(14):
            replicas.call(POISON)
            replicas.run(3.0)
        self.assertLessEqual(len(replicas.late_requests()), N_LATE_ALLOWED)

    def test_replica_replaced_at_its_address(self):
        """Guards against attempts forgotten when another process has the address."""
        replicas = Replicas(timeout_s=4.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.run(3.0)
        replicas.call(POISON)
        (name,) = replicas.poisoned
        replicas.run(2.0)
        host.call(b"/fetch/other", 900)
        send = host.sent[-1]
        host.state.component(CallTable).attempts_[
            send.attempt_id
        ].replica = host.state.component(ReplicaRegistry).replicas_[name]
        host.fail(send, FailureKind.MISDIRECTED)
        replicas.run(3.0)
        self.assertEqual(replicas.n_crashes, 1)


class TestConnectionsLostLater(unittest.TestCase):
    """A connection that is lost after the entry of its replica tells the same."""

    def test_probes_without_an_answer(self):
        """Guards against losses that are noticed after the entry is gone."""
        replicas = Replicas(timeout_s=60.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.call(POISON)
        (name,) = replicas.poisoned
        (send,) = (s for s in host.sent if s.req.target == POISON)
        replicas.remove(name)
        host.advance(0.2)
        host.feed(AttemptFailed(send.attempt_id, FailureKind.CRASH, "TimeoutError"))
        self.assertEqual(replicas.n_crashes, 1)


class TestEntryExpiredWithTheStoreAway(unittest.TestCase):
    """An entry that does not return with the store tells of an end as well."""

    def test_silent_replica(self):
        """Guards against no evidence from crashes while the store was away."""
        replicas = Replicas(timeout_s=4.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        host.feed(StoreLost("refused"))
        replicas.call(POISON)
        replicas.run(ENTRY_REMOVED_S + 0.1)
        host.feed(StoreRegained())
        replicas.run(LAPSE_KEPT_S + 0.2)
        self.assertEqual(replicas.n_crashes, 1)

    def test_replicas_that_end_together(self):
        """Guards against refusing a request that an outage with the store has hit.

        Requests are sent to replicas that have ended already, as the host cannot know.
        """
        replicas = Replicas(timeout_s=20.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        host.feed(StoreLost("refused"))
        for _ in range(3):
            replicas.call(POISON)
            replicas.run(2.0)
        replicas.run(ENTRY_REMOVED_S)
        host.feed(StoreRegained())
        replicas.run(LAPSE_KEPT_S + 0.2)
        self.assertEqual(replicas.n_crashes, 3)
        n_reached = len(replicas.reached)
        replicas.call(POISON)
        self.assertEqual(len(replicas.reached), n_reached + 1)


class TestOutage(unittest.TestCase):
    """Replicas that end together, some with a reset and some in silence."""

    def test_silent_and_reset(self):
        """Guards against refusing a request that one outage has hit several times."""
        replicas = Replicas(timeout_s=4.0, n_attempts_max=4)
        host = replicas.host
        replicas.run(3.0)
        replicas.call(POISON)
        for _ in range(2):
            send = [s for s in host.sent if s.req.target == POISON][-1]
            host.fail(send, FailureKind.CRASH)
            host.feed(ReplicaRefused(send.replica))
            replicas.run_sent()
        replicas.run(5.0)
        self.assertGreaterEqual(replicas.n_crashes, 3)
        n_reached = len(replicas.reached)
        replicas.call(POISON)
        self.assertGreater(len(replicas.reached), n_reached)


class TestReplicasThatLeave(unittest.TestCase):
    """A replica whose entry is removed may still complete what it runs."""

    def test_slow_answers(self):
        """Guards against refusing requests that replicas complete after leaving."""
        replicas = Replicas(timeout_s=12.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.run(3.0)
        for _ in range(4):
            replicas.call(POISON)
            replicas.run(ENTRY_REMOVED_S + 2.0)
            host.answer(next(s for s in reversed(host.sent) if s.req.target == POISON))
        self.assertEqual(replicas.n_crashes, 0)
        n_reached = len(replicas.reached)
        replicas.call(POISON)
        self.assertEqual(len(replicas.reached), n_reached + 1)

    def test_callers_that_left(self):
        """Guards against evidence from attempts that were only aborted early."""
        replicas = Replicas(timeout_s=12.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.run(3.0)
        call_id = replicas.call(POISON)
        (name,) = replicas.poisoned
        host.advance(0.2)
        replicas.remove(name)
        host.leave(call_id)
        host.advance(0.2)
        self.assertEqual(replicas.n_crashes, 0)


class TestAnswersOnTheWay(unittest.TestCase):
    """An answer sent before a crash says nothing of the time after it."""

    def setUp(self):
        self.replicas = Replicas(timeout_s=4.0, idempotent=False, n_attempts_max=1)
        self.host = self.replicas.host
        self.replicas.run(1.0)
        self.replicas.call(POISON)
        (self.name,) = self.replicas.poisoned
        sent = self.host.sent
        (self.poisoned,) = (s for s in sent if s.req.target == POISON)

    def send_other(self):
        """Send another request to the replica that runs the poison request."""
        self.host.call(b"/fetch/other", 900)
        send = self.host.sent[-1]
        registry = self.host.state.component(ReplicaRegistry)
        attempt = self.host.state.component(CallTable).attempts_[send.attempt_id]
        attempt.replica = registry.replicas_[self.name]
        return send

    def test_answer_of_an_earlier_attempt(self):
        """Guards against crashes forgotten for an answer that was sent before them."""
        other = self.send_other()
        self.host.advance(0.05)
        self.host.fail(self.poisoned, FailureKind.CRASH)
        self.host.answer(other)
        self.replicas.remove(self.name)
        self.assertEqual(self.replicas.n_crashes, 1)

    def test_answer_of_a_later_attempt(self):
        """Guards against evidence from replicas that only closed a connection."""
        self.host.fail(self.poisoned, FailureKind.CRASH)
        self.host.advance(0.05)
        self.host.answer(self.send_other())
        self.replicas.remove(self.name)
        self.assertEqual(self.replicas.n_crashes, 0)
