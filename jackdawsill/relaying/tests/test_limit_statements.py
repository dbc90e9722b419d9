"""Tests of how a limit that a replica states reaches all hosts."""

import collections
import unittest

from jackdawsill.core import LinkOpened, SendPeer, reduce
from jackdawsill.forwarding import LimitReported, ReplicaRegistry
from jackdawsill.forwarding._limit_handlers import STATEMENT_MARGIN_S
from jackdawsill.relaying._messages import ReplicaLimit
from jackdawsill.relaying.tests._fleet import Fleet

N_HOSTS = 9


class TestStatements(unittest.TestCase):
    """Nine hosts, of which three are relays, and one replica."""

    def setUp(self):
        self.fleet = Fleet(N_HOSTS)
        self.fleet.run(7.0)

    def replica(self, address):
        registry = self.fleet.hosts[address].state.component(ReplicaRegistry)
        return registry.replicas_["r1"]

    def state_limit(self, address, limit_per_s, age_s=0.0):
        """Tell one host of a limit, as if it came from its relay."""
        incarnation = self.replica(address).entry.incarnation
        event = LimitReported("r1", incarnation, limit_per_s, age_s)
        self.fleet.hosts[address].handle(event)

    def limits(self):
        shares = {a: self.replica(a).rate_share for a in self.fleet.hosts}
        return {a: s if s is None else s.limit_per_s for a, s in shares.items()}

    def test_reaches_all_hosts(self):
        """Guards against hosts that learn of a limit only by their own attempts."""
        for source, limit in (("h7", 4.0), ("h0", 2.0), ("h4", None)):
            with self.subTest(source=source):
                self.state_limit(source, limit)
                self.fleet.run(1.0)
                expected = dict.fromkeys(self.fleet.hosts, limit)
                self.assertEqual(self.limits(), expected)

    def test_forwarding_ends(self):
        """Guards against statements that circulate among the relays."""
        n_sent = collections.Counter()
        send = self.fleet.send

        def count_and_send(host, link_id, message):
            n_sent[type(message)] += 1
            send(host, link_id, message)

        self.fleet.send = count_and_send
        for i, address in enumerate(self.fleet.hosts):
            self.state_limit(address, 1.0 + i)
        self.fleet.run(3.0)
        n_before = n_sent[ReplicaLimit]
        self.assertGreater(n_before, 0)
        self.fleet.run(5.0)
        self.assertEqual(n_sent[ReplicaLimit], n_before)

    def test_later_knowledge_is_kept(self):
        """Guards against an old statement that replaces a later one."""
        self.state_limit("h3", 4.0)
        self.state_limit("h3", 9.0, age_s=2.0)
        self.assertEqual(self.limits()["h3"], 4.0)

    def test_other_process(self):
        """Guards against a limit of a process that has been replaced."""
        self.fleet.hosts["h3"].handle(LimitReported("r1", "other", 4.0, 0.0))
        self.fleet.hosts["h3"].handle(LimitReported("gone", "other", 4.0, 0.0))
        self.assertIsNone(self.limits()["h3"])

    def test_new_host(self):
        """Guards against a restarted host that exceeds the limit."""
        self.state_limit("h0", 4.0)
        self.fleet.run(1.0)
        state = self.fleet.hosts["h0"].state
        effects = reduce(state, LinkOpened(99, "h8", True), self.fleet.now)
        (message,) = [
            e.message
            for e in effects
            if isinstance(e, SendPeer) and isinstance(e.message, ReplicaLimit)
        ]
        self.assertEqual(message.limit_per_s, 4.0)
        self.assertGreaterEqual(message.age_s, 1.0 - STATEMENT_MARGIN_S)
