"""Fan-out calls: coverage, objective, merging, and one configuration per call."""

import unittest

from jackdawsill.core import FailureKind
from jackdawsill.exceptions import Outcome
from jackdawsill.forwarding import (
    AttemptAnswered,
    CallTable,
    RefuseCall,
    ReplicasListed,
    RouteSet,
    RoutesRead,
    SendMerged,
    greatest_records,
)
from jackdawsill.forwarding._errors import CoverageTooLow, NoReplica
from jackdawsill.forwarding.tests._gateway_model import (
    RECORD,
    GatewayModel,
    entry,
    fanout_route,
    position_at,
    signed,
)


class TestMerge(unittest.TestCase):
    """The merged body holds the greatest records of the parts."""

    def test_greatest_first(self):
        """Guards against merged records in the order of arrival."""
        bodies = [RECORD % 5 + RECORD % 1, RECORD % 9, RECORD % 7]
        expected = RECORD % 9 + RECORD % 7 + RECORD % 5
        self.assertEqual(greatest_records(bodies, 3), expected)

    def test_equal_records_all_count(self):
        """Guards against dropping equal records of different parts."""
        self.assertEqual(greatest_records([RECORD % 2] * 3, 2), RECORD % 2 * 2)

    def test_truncated_record_is_ignored(self):
        """Guards against a truncated record in the merged body."""
        self.assertEqual(greatest_records([RECORD % 2 + b"999"], 5), RECORD % 2)


class TestCoverage(unittest.TestCase):
    """A success merges enough parts, all of one configuration.

    The signatures in the merged answer identify the parts. The objective of the route
    is 0.138 s, of which the network to the caller takes 0.015 s.
    """

    def setUp(self):
        self.host = GatewayModel(fanout_route())

    def test_all_parts(self):
        """Guards against a reply that waits although all parts are answered."""
        for send in self.host.call(b"/sweep/2f"):
            self.host.answer(send, RECORD % send.attempt_id)
        (reply,) = self.host.replies
        self.assertIsInstance(reply, SendMerged)
        self.assertEqual(reply.answer.n_missing, 0)
        self.assertEqual(len(reply.answer.signatures), 4)

    def test_sufficient_answer_is_sent_at_the_objective(self):
        """Guards against a late complete answer instead of a timely partial one."""
        sends = self.host.call(b"/sweep/2f")
        for send in sends[:3]:
            self.host.answer(send, RECORD % 1)
        self.host.advance(0.122)
        self.assertEqual(self.host.replies, [])
        self.host.advance(0.002)
        (reply,) = self.host.replies
        self.assertEqual(reply.answer.n_missing, 1)

    def test_insufficient_answer_waits_beyond_the_objective(self):
        """Guards against a success below the minimum coverage."""
        sends = self.host.call(b"/sweep/2f")
        for send in sends[:2]:
            self.host.answer(send)
        self.host.advance(0.3)
        self.assertEqual(self.host.replies, [])
        self.host.answer(sends[2])
        (reply,) = self.host.replies
        self.assertEqual(reply.answer.n_missing, 1)

    def test_call_below_coverage_is_refused_at_once(self):
        """Guards against waiting for a call that can no longer succeed."""
        self.host.state.rng.seed(1)
        self.host.call(b"/sweep/2f")
        n_before = len(self.host.sent)
        for send in list(self.host.sent):
            self.host.answer(send, status=500)
        for send in self.host.sent[n_before:]:
            self.host.answer(send, status=500)
        (reply,) = self.host.replies
        self.assertIsInstance(reply.error, CoverageTooLow)
        self.assertEqual(reply.error.status, 502)

    def test_shards_without_replicas_are_refused_as_not_run(self):
        """Guards against sending parts of a call that cannot reach its coverage."""
        entries = tuple(entry(f"s{i}-near", f"s{i}") for i in range(2))
        self.host.feed(ReplicasListed(entries, position_at(60), "store"))
        self.assertEqual(self.host.call(b"/sweep/2f"), [])
        (reply,) = self.host.replies
        self.assertIsInstance(reply.error, NoReplica)
        self.assertIs(reply.error.outcome, Outcome.NOT_RUN)
        self.assertIsNotNone(reply.error.retry_after_ms)

    def test_silent_shard_does_not_delay_answers(self):
        """Guards against each answer waiting for a shard whose replicas are ejected."""
        for call_id in range(8):
            for send in self.host.call(b"/sweep/2f", call_id=call_id):
                if not send.replica.startswith("s0"):
                    self.host.answer(send)
            self.host.advance(0.4)
        n_replicas, n_calls = 3, 8
        n_before = len(self.host.replies)
        for call_id in range(50, 50 + n_calls):
            for send in self.host.call(b"/sweep/2f", call_id=call_id):
                if not send.replica.startswith("s0"):
                    self.host.answer(send)
        # Each ejected replica may be probed by one call; other calls do not wait.
        replies = self.host.replies[n_before:]
        self.assertGreaterEqual(len(replies), n_calls - n_replicas)
        self.assertEqual({reply.answer.n_missing for reply in replies}, {1})

    def test_parts_of_one_configuration(self):
        """Guards against parts of two configurations in one answer."""
        sends = self.host.call(b"/sweep/2f")
        other = fanout_route(shards=("t0", "t1"))
        self.host.feed(RoutesRead(RouteSet(9, (other,), {}), "store"))
        for send in sends:
            self.host.answer(send)
        (reply,) = self.host.replies
        self.assertEqual(len(reply.answer.signatures), 4)

    def test_repeated_signature_counts_once(self):
        """Guards against counting one part twice."""
        sends = self.host.call(b"/sweep/2f")
        for send in sends:
            answer = signed("same" if send in sends[:2] else f"{send.attempt_id}")
            self.host.feed(AttemptAnswered(send.attempt_id, answer))
        (reply,) = self.host.replies
        self.assertEqual(len(set(reply.answer.signatures)), 3)
        self.assertEqual(reply.answer.n_missing, 1)

    def test_second_answer_of_a_part_is_dropped(self):
        """Guards against merging the answers of both a hedge and its first attempt."""
        sends = self.host.call(b"/sweep/2f")
        for send in sends[1:]:
            self.host.answer(send)
        self.host.advance(0.06)
        hedge = self.host.sent[-1]
        self.assertNotEqual(hedge.replica, sends[0].replica)
        self.host.answer(hedge)
        self.host.answer(sends[0])
        (reply,) = self.host.replies
        self.assertEqual(len(reply.answer.signatures), 4)


class TestHedging(unittest.TestCase):
    """A slow part gets a second attempt within the budget."""

    def test_hedge_goes_to_another_replica(self):
        """Guards against waiting for a paused replica."""
        host = GatewayModel(fanout_route())
        (first, *rest) = host.call(b"/sweep/2f")
        for send in rest:
            host.answer(send)
        host.advance(0.06)
        self.assertEqual(len(host.sent), 5)
        self.assertNotEqual(host.sent[-1].replica, first.replica)

    def test_stalled_replica_is_not_picked(self):
        """Guards against the next call waiting for the same paused replica."""
        host = GatewayModel(fanout_route())
        (first, *rest) = host.call(b"/sweep/2f")
        for send in rest:
            host.answer(send)
        host.advance(0.06)
        (again, *_) = host.call(b"/sweep/30", call_id=2)
        self.assertNotEqual(again.replica, first.replica)

    def test_attempts_are_bounded(self):
        """Guards against more attempts of a part than the route allows."""
        host = GatewayModel(fanout_route(n_shards=1, min_coverage=0.5))
        host.call(b"/sweep/2f")
        for _ in range(5):
            host.advance(0.05)
            host.fail(host.sent[-1], FailureKind.CRASH)
        self.assertLessEqual(len(host.sent), 2)

    def test_budget_bounds_extra_attempts(self):
        """Guards against retry storms: extra attempts beyond the budget."""
        host = GatewayModel(fanout_route(n_shards=1, min_coverage=0.5))
        n_calls = 100
        for call_id in range(n_calls):
            host.call(b"/sweep/2f", call_id=call_id)
            host.advance(0.06)
            for attempt_id in list(host.state.component(CallTable).attempts_):
                host.feed(AttemptAnswered(attempt_id, signed(str(attempt_id))))
        n_extra = len(host.sent) - n_calls
        self.assertGreater(n_extra, 0)
        self.assertLessEqual(n_extra, 0.2 * n_calls + 104 / 12)


class TestAbandonedCall(unittest.TestCase):
    """After its caller has left, a call causes no more work."""

    def test_attempts_are_aborted(self):
        """Guards against replicas that go on working for an abandoned call."""
        host = GatewayModel(fanout_route())
        sends = host.call(b"/sweep/2f")
        host.leave()
        host.advance(0.3)
        self.assertEqual(sorted(host.aborted), [s.attempt_id for s in sends])
        self.assertEqual(len(host.sent), len(sends))
        self.assertEqual(host.replies, [])

    def test_nothing_is_sent_after_the_caller_left(self):
        """Guards against retries and hedges for a caller that has left."""
        host = GatewayModel(fanout_route())
        sends = host.call(b"/sweep/2f")
        host.leave()
        host.fail(sends[0], FailureKind.CONNECT)
        host.advance(0.2)
        self.assertEqual(len(host.sent), len(sends))


class TestDeadline(unittest.TestCase):
    """Calls without an answer end at their deadline."""

    def test_deadline(self):
        """Guards against a call that outlives its route's timeout."""
        host = GatewayModel(fanout_route(timeout_s=0.5))
        host.call(b"/sweep/2f")
        host.advance(0.501)
        (reply,) = host.replies
        self.assertIsInstance(reply, RefuseCall)
        self.assertEqual(reply.error.status, 504)

    def test_deadline_of_the_caller(self):
        """Guards against answers after the caller has given up."""
        host = GatewayModel(fanout_route())
        host.call(b"/sweep/2f", deadline_s=0.2)
        host.advance(0.2)
        self.assertEqual(len(host.replies), 1)
