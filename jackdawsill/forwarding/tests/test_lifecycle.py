"""Start and graceful stop of a gateway."""

import unittest

from jackdawsill.core import Exit, SetReadiness, StopRequested, Tick
from jackdawsill.forwarding import CloseCallerConnections
from jackdawsill.forwarding.tests._gateway_model import GatewayModel, single_route


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
