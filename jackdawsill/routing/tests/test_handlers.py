"""Tests of the broadcast of leaving notices."""

import random
import unittest

from jackdawsill.core import HostState, PeerMessageRead, SendPeer, reduce
from jackdawsill.membership import Member, MemberTable, PeerUp
from jackdawsill.routing import LeavingNotice, ReplicaTable, broadcast_leaving


class TestLeavingNotices(unittest.TestCase):
    """All linked hosts stop sending new work to a leaving replica."""

    def setUp(self):
        self.state = HostState("h1", "bogota", random.Random(1))
        self.state.attach(MemberTable(Member("a" * 32, "h1", "10.0.0.1:1", "bogota")))
        self.state.attach(ReplicaTable("bogota"))

    def test_leaving_replicas_are_sent_to_a_new_peer(self):
        """Guards against new work of a host that was linked after the evidence."""
        broadcast_leaving(self.state, "r1", "draining refusal", 10.0)
        effects = reduce(self.state, PeerUp(7, "b" * 32, brief=False), 12.0)
        (sent,) = [e for e in effects if isinstance(e, SendPeer)]
        self.assertEqual((sent.link_id, sent.message.replica), (7, "r1"))
        self.assertEqual(sent.message.ttl_s, 28.0)

    def test_expired_marks_are_not_sent(self):
        """Guards against marking a returned replica again at a new peer."""
        broadcast_leaving(self.state, "r1", "draining refusal", 10.0)
        effects = reduce(self.state, PeerUp(7, "b" * 32, brief=False), 41.0)
        self.assertEqual([e for e in effects if isinstance(e, SendPeer)], [])

    def test_joining_host_keeps_notices(self):
        """Guards against dropping a notice received before the first object set."""
        notice = LeavingNotice("r1", "h2:1", 30.0)
        reduce(self.state, PeerMessageRead(7, notice), 10.0)
        self.assertFalse(self.state.component(ReplicaTable).may_use("r1", 11.0))
