"""Delegation of fan-outs from a host with a narrow link to one with a wide link."""

import unittest

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    AttemptAnswered,
    CallArrived,
    DelegateHost,
    DelegateTable,
    DropReplicaConnections,
    PassAnswer,
    ReplicaAnswer,
)
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    fanout_route,
    request,
    single_route,
)

WIDE = DelegateHost("wide", "10.0.0.9:7741", "near", checks_terms=True)
FAR = DelegateHost("elsewhere", "10.3.0.9:7741", "far", checks_terms=True)


class TestDelegates(unittest.TestCase):
    """The caller gets the delegate's answer; a call never runs on both hosts."""

    def setUp(self):
        self.host = GatewayModel(fanout_route(n_shards=36), single_route())
        delegates = DelegateTable(7.0, None)
        delegates.set_delegates((FAR, WIDE), self.host.now)
        self.host.state.attach(delegates)

    def test_answer_is_passed_on(self):
        """Guards against running the fan-out locally, and against a changed answer."""
        (send,) = self.host.call(b"/sweep/1")
        self.assertTrue(send.is_delegated)
        self.assertEqual(send.address, WIDE.address)
        answer = ReplicaAnswer(200, ((b"X", b"1"),), b"merged")
        self.host.feed(AttemptAnswered(send.attempt_id, answer))
        (reply,) = self.host.replies
        self.assertIsInstance(reply, PassAnswer)
        self.assertEqual(reply.answer.body, b"merged")

    def test_refusal_of_the_delegate_is_passed_on(self):
        """Guards against running a call locally that the delegate has refused."""
        (send,) = self.host.call(b"/sweep/1")
        self.host.feed(AttemptAnswered(send.attempt_id, ReplicaAnswer(502)))
        self.assertEqual(self.host.replies[0].answer.status, 502)
        self.assertEqual(len(self.host.sent), 1)

    def test_run_locally_only_if_not_run_by_the_delegate(self):
        """Guards against more attempts of a call than its route allows."""
        (send,) = self.host.call(b"/sweep/1", call_id=1)
        self.host.fail(send, FailureKind.CONNECT)
        self.assertEqual(len(self.host.sent), 1 + 36)
        self.host.advance(10.0)
        n_before = len(self.host.sent)
        (send,) = self.host.call(b"/sweep/1", call_id=2)
        self.host.fail(send, FailureKind.CRASH)
        self.assertEqual(len(self.host.sent), n_before + 1)
        self.assertEqual(self.host.replies[-1].error.status, 502)

    def test_not_delegated_again(self):
        """Guards against calls that are delegated in a circle."""
        self.host.feed(CallArrived(1, request(b"/sweep/1"), is_delegated=True))
        self.assertEqual(len(self.host.sent), 36)

    def test_silent_delegate_is_ejected(self):
        """Guards against delegating further calls to a host that does not answer."""
        self.host.call(b"/sweep/1", call_id=1)
        self.host.advance(0.3)
        self.assertEqual(len(self.host.call(b"/sweep/1", call_id=2)), 36)
        self.assertIn(DropReplicaConnections("wide"), self.host.effects)

    def test_abandoned_call_is_aborted_at_the_delegate(self):
        """Guards against a delegate that goes on after the caller has left."""
        (send,) = self.host.call(b"/sweep/1")
        self.host.leave()
        self.assertEqual(self.host.aborted, [send.attempt_id])

    def test_only_calls_too_large_for_the_link_are_delegated(self):
        """Guards against delegating calls that do not become faster by it."""
        (send,) = self.host.call(b"/fetch/1")
        self.assertFalse(send.is_delegated)
        wide = DelegateTable(100.0, WIDE)
        wide.set_delegates((WIDE,), self.host.now)
        self.host.state.attach(wide)
        self.assertEqual(len(self.host.call(b"/sweep/1", call_id=2)), 36)
