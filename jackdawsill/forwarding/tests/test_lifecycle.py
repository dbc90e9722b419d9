"""Start and graceful stop of a gateway."""

import unittest

from jackdawsill.core import Exit, SetReadiness, StopRequested, Tick
from jackdawsill.exceptions import Outcome
from jackdawsill.forwarding import CallArrived, CloseCallerConnections, RefuseCall
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    request,
    single_route,
)


class TestLifecycle(unittest.TestCase):
    """A gateway is ready only while it can serve, and its stop aborts no call."""

    def test_ready_after_routes_and_replicas(self):
        """Guards against a host that is ready but must refuse every call."""
        host = GatewayModel()
        self.assertEqual(host.feed(Tick()), [])
        host = GatewayModel(single_route())
        self.assertIn(SetReadiness(True), host.feed(Tick()))

    def test_stop_waits_for_calls(self):
        """Guards against calls that are aborted by a planned stop."""
        host = GatewayModel(single_route())
        host.feed(Tick())
        (send,) = host.call(b"/fetch/1")
        effects = host.feed(StopRequested())
        self.assertIn(SetReadiness(False, "stopping"), effects)
        host.now += 3.0
        self.assertIn(CloseCallerConnections(idle_now=True), host.feed(Tick()))
        self.assertNotIn(Exit(), host.feed(Tick()))
        host.answer(send)
        self.assertIn(Exit(), host.feed(Tick()))

    def test_stop_ends_within_the_grace_period(self):
        """Guards against a process that is killed because it waits too long."""
        host = GatewayModel(single_route())
        host.feed(Tick())
        host.call(b"/fetch/1")
        host.feed(StopRequested())
        effects = []
        for _ in range(60):
            host.now += 0.1
            effects += host.feed(Tick())
        self.assertIn(Exit(), effects)


class TestCallsLateInAStop(unittest.TestCase):
    """No call is cut off by the end of the process."""

    def setUp(self):
        order = single_route(name="order", prefix=b"/order/", idempotent=False)
        self.host = GatewayModel(single_route(), order)
        self.host.feed(Tick())

    def stop_and_wait(self, seconds: float) -> None:
        """Request a stop, and let some seconds pass; the grace period is 6 s."""
        self.host.feed(StopRequested())
        for _ in range(round(seconds / 0.1)):
            self.host.advance(0.1)
            self.host.feed(Tick())

    def assert_refused_unsent(self, call_id: int) -> None:
        """Assert that the last reply refuses a call as not run."""
        reply = self.host.replies[-1]
        self.assertIsInstance(reply, RefuseCall)
        self.assertEqual(reply.call_id, call_id)
        self.assertEqual(reply.error.status, 503)
        self.assertIs(reply.error.outcome, Outcome.NOT_RUN)

    def test_request_that_must_not_be_repeated(self):
        """Guards against one that is passed on although its answer may be cut off."""
        self.stop_and_wait(3.5)
        self.assertEqual(len(self.host.call(b"/order/1", 1, deadline_s=9.0)), 1)
        self.host.advance(0.7)
        self.assertEqual(len(self.host.call(b"/order/2", 2, deadline_s=0.5)), 1)
        self.assertEqual(self.host.call(b"/order/3", 3, deadline_s=1.3), [])
        self.assert_refused_unsent(3)

    def test_request_that_may_be_repeated(self):
        """Guards against one that waits for an answer that comes after the end."""
        self.stop_and_wait(4.4)
        self.assertEqual(len(self.host.call(b"/fetch/1", 1)), 1)
        self.host.advance(0.7)
        self.assertEqual(self.host.call(b"/fetch/2", 2), [])
        self.assert_refused_unsent(2)

    def test_delegated_request(self):
        """Guards against the same for calls that other hosts delegate to this one."""
        self.stop_and_wait(5.2)
        self.host.feed(CallArrived(3, request(b"/fetch/3"), is_delegated=True))
        self.assert_refused_unsent(3)

    def test_calls_in_progress_at_the_end(self):
        """Guards against connections that are closed without a reply."""
        self.host.call(b"/fetch/1", 1, deadline_s=9.0)
        self.stop_and_wait(3.5)
        self.host.call(b"/order/2", 2)
        self.host.call(b"/fetch/3", 3, deadline_s=9.0)
        for _ in range(20):
            self.host.advance(0.1)
            self.host.feed(Tick())
        self.assertIn(Exit(), self.host.effects)
        replies = {reply.call_id: reply.error for reply in self.host.replies}
        self.assertEqual(replies.keys(), {1, 2, 3})
        for error in replies.values():
            self.assertIsNot(error.outcome, Outcome.NOT_RUN)
        at_exit = self.host.effects.index(Exit())
        last_reply = max(map(self.host.effects.index, self.host.replies))
        self.assertLess(last_reply, at_exit)
