"""Tests of tickets with the real membership, distribution, routing and limits."""

import unittest

from jackdawsill.matrix._build import build_host
from jackdawsill.matrix._scenario import Scenario
from jackdawsill.membership import MemberTable

DOMAINS = ("bogota", "medellin", "cali")


class TestRealComponents(unittest.TestCase):
    """Guards against differences between the fakes and the real components."""

    def setUp(self):
        self.scenario = Scenario(build_host, 1)
        self.world = self.scenario.world

    def send(self, name, body, ticket=None):
        """Send a request; return its first reply."""
        host = self.world.hosts[name]
        attempt = self.scenario.send(host, "ana", "print-order", body, ticket)
        self.world.run_until(self.world.now + 0.4)
        return attempt.replies[0]

    def n_runs(self, body):
        """Return how often a request ran."""
        return sum(run.body == body for run in self.world.journal.runs)

    def test_tickets_outlive_two_stopped_issuers(self):
        """Guards against lost tombstones or chunks in two successive handovers."""
        used, unused = (self.send("h1", b"{}").ticket for _ in range(2))
        self.assertIsNotNone(self.send("h1", b'{"order":1}', used).answer)
        for name in ("h1", "h2"):
            self.scenario.stop(self.world.hosts[name])
            self.world.run_until(self.world.now + 8.0)
            self.assertFalse(self.world.hosts[name].alive)
        for body, ticket in ((b'{"order":1}', used), (b'{"order":2}', unused)) * 2:
            self.assertIsNotNone(self.send("h3", body, ticket).answer)
            self.assertEqual(self.n_runs(body), 1)

    def test_forward_without_a_link(self):
        """Guards against failing forwards where hosts are not all linked.

        Large fleets are not fully meshed, so the forward needs a new link.
        """
        for n in range(4, 27):
            address = f"10.0.0.{n}:7000"
            self.world.start_host(f"h{n}", address, DOMAINS[n % 3])
        self.world.run_until(self.world.now + 40.0)
        issuer = self.world.hosts["h1"].incarnation
        for backend in self.world.backends.backends.values():
            # Longer than the interval at which membership closes unneeded links.
            backend.latency_s = 0.2
        tables = {
            n: h.state.component(MemberTable) for n, h in self.world.hosts.items()
        }
        far = [n for n, t in tables.items() if n != "h1" and not t.link_to(issuer)]
        ticket = self.send("h1", b"{}").ticket
        self.assertIsNotNone(self.send(far[0], b'{"order":1}', ticket).answer)
        self.assertEqual(self.n_runs(b'{"order":1}'), 1)
        self.world.run_until(self.world.now + 5.0)
        self.assertIsNone(tables[far[0]].link_to(issuer))
