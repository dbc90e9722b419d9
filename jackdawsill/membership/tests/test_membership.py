"""Tests of membership: handshake, member table and whole fleets."""

import random
import unittest

import msgpack
import msgspec

from jackdawsill.core import (
    HostEntry,
    HostState,
    LinkOpened,
    PeerMessageRead,
    Tick,
    reduce,
)
from jackdawsill.membership import (
    DigestDetail,
    DigestReply,
    EvidenceItem,
    Hello,
    HelloProof,
    Member,
    MemberRecord,
    MemberState,
    MemberTable,
    Tombstone,
    choose_across_domains,
)
from jackdawsill.membership._handlers import is_authenticated
from jackdawsill.membership._links import Link, LinkState, authenticator
from jackdawsill.membership._maintenance import FULL_MESH_MAX
from jackdawsill.membership._message_handlers import on_digest_detail
from jackdawsill.membership._tombstones import TOMBSTONE_TTL_S
from jackdawsill.membership.tests.network import FakeNetwork, Node
from jackdawsill.peers import MESSAGES


def start(seed: int, n_hosts: int, loss: float = 0.0, duration_s: float = 8.0):
    """Start hosts and let them find one another."""
    network = FakeNetwork(seed, loss, loss)
    for i in range(n_hosts):
        network.add(f"h{i}", f"d{i % (3 if n_hosts <= FULL_MESH_MAX else 6)}")
    network.run(duration_s)
    return network


def all_know(network: FakeNetwork, n_hosts: int):
    """Return the condition that each live host has `n_hosts` live members."""
    return lambda: all(len(n.table.live_members()) == n_hosts for n in network.live())


def unavailable_everywhere(network: FakeNetwork, node: Node):
    """Return the condition that a process is lost or gone in all other tables."""
    others = [n for n in network.live() if n is not node]
    return lambda: all(n.table.is_unavailable(node.member.incarnation) for n in others)


def record(name: str, refutation: int = 0, state: int = 0) -> MemberRecord:
    return MemberRecord(name, name, f"{name}:1", "d", refutation, state)


class TestHandshake(unittest.TestCase):
    """Authentication of peers by the fleet key."""

    def setUp(self):
        self.state = HostState("a", "d", random.Random(1))
        table = MemberTable(Member("a", "a", "a:1", "d"), b"key")
        self.state.attach(table)
        self.table = table

    def open(self, link_id, outgoing=False):
        effects = reduce(self.state, LinkOpened(link_id, "x", outgoing), 1.0)
        return effects[0].message

    def peer_proof(self, key, own_hello):
        """Return what an acceptor or dialler `b` with `key` sends on a link."""
        peer = HostState("b", "d", random.Random(2))
        peer.attach(MemberTable(Member("b", "b", "b:1", "d"), key))
        hello = reduce(peer, LinkOpened(1, "a:1", True), 1.0)[0].message
        proof = reduce(peer, PeerMessageRead(1, own_hello), 1.0)[0].message
        return hello, proof

    def read(self, link_id, *messages):
        return [
            effect
            for message in messages
            for effect in reduce(self.state, PeerMessageRead(link_id, message), 1.0)
        ]

    def test_peer_with_the_key_becomes_a_member(self):
        """Guards against a handshake that refuses authentic peers."""
        self.read(1, *self.peer_proof(b"key", self.open(1)))
        self.assertFalse(self.table.is_unavailable("b"))
        self.assertEqual(self.table.link_to("b"), 1)

    def test_wrong_key_is_refused(self):
        """Guards against members without the fleet key."""
        self.read(1, *self.peer_proof(b"other", self.open(1)))
        self.assertTrue(self.table.is_unavailable("b"))
        self.assertFalse(
            is_authenticated(
                self.state, PeerMessageRead(1, Tombstone("a", "b", 9.0)), 1.0
            )
        )

    def test_recorded_handshake_is_refused_on_a_new_link(self):
        """Guards against the replay of an old hello and its proof."""
        recorded = self.peer_proof(b"key", self.open(1))
        self.open(2)
        self.read(2, *recorded)
        self.assertTrue(self.table.is_unavailable("b"))

    def test_proof_cannot_be_reflected(self):
        """Guards against an attacker that returns a host's own messages to it."""
        own = self.open(1)
        self.read(1, own)
        self.assertEqual(self.table.links_, {})
        own = self.open(2, outgoing=True)
        hello = Hello("b", "b", "b:1", "d", 0, own.nonce)
        proof = self.read(2, hello)[0].message
        self.read(2, proof)
        self.assertTrue(self.table.is_unavailable("b"))
        sides = {authenticator(b"key", side, own, b"n", "a") for side in (True, False)}
        self.assertEqual(len(sides), 2)

    def test_messages_before_the_proof_reach_no_component(self):
        """Guards against messages of unauthenticated peers."""
        self.open(1)
        self.read(1, Tombstone("old", "b", 9.0))
        self.assertIsNone(self.table.successor_of("old"))
        self.assertFalse(
            is_authenticated(self.state, PeerMessageRead(7, object()), 1.0)
        )

    def test_messages_survive_the_codec(self):
        """Guards against message classes that msgspec cannot convert."""
        hello = Hello("b", "b", "b:1", "d", 3, b"n" * 16)
        samples = [hello, HelloProof(b"x"), self.table.digest_offer()]
        for sample in samples:
            wire = msgpack.packb(msgspec.to_builtins(sample, builtin_types=(bytes,)))
            found = msgspec.convert(
                msgpack.unpackb(wire), type(sample), builtin_types=(bytes,)
            )
            self.assertEqual(found, sample)
        self.assertIs(MESSAGES["Hello"], Hello)


class TestTable(unittest.TestCase):
    """Precedence of records and evidence in one table."""

    def setUp(self):
        self.table = MemberTable(Member("a", "a", "a:1", "d"), b"key")
        for name in "bcd":
            self.table.apply(record(name), 0.0)

    def is_lost_after(self, *reporters, refutation=0, heard=()):
        for reporter in reporters:
            self.table.on_evidence(EvidenceItem("b", refutation, reporter), 0.0)
        self.table.declare_lost_members(set(heard), 0.0)
        self.table.declare_lost_members(set(heard), 1.5)
        return self.table.is_unavailable("b")

    def test_live_hosts_are_cached_until_the_set_changes(self):
        """Guards against a new tuple for each call although no member changed."""
        first, version = self.table.live_members(), self.table.version_
        self.table.apply(record("b", refutation=1), 0.0)
        self.assertIs(self.table.live_members(), first)
        self.table.apply(record("e"), 0.0)
        self.assertGreater(self.table.version_, version)
        self.assertEqual(len(self.table.live_members()), 5)

    def test_one_report_is_not_enough(self):
        """Guards against one host with a broken network path removing another."""
        self.assertFalse(self.is_lost_after("c"))

    def test_two_reports_are_enough(self):
        """Guards against dead hosts that stay members."""
        self.assertTrue(self.is_lost_after("c", "d"))

    def test_one_report_and_the_platform_list_are_enough(self):
        """Guards against ignoring the platform's list as supporting evidence."""
        link_table = self.table.link_table_
        link_table.on_host_list([HostEntry("b", "b:1", "d")])
        link_table.on_host_list([])
        self.assertTrue(self.is_lost_after("c"))

    def test_the_platform_list_alone_removes_no_member(self):
        """Guards against removing a member only because of the lagging list."""
        self.table.link_table_.on_host_list([HostEntry("b", "b:1", "d", leaving=True)])
        self.assertFalse(self.is_lost_after())

    def test_a_host_heard_lately_is_kept(self):
        """Guards against removing a host that still answers this host.

        Hosts on the other side of a broken switch may report it.
        """
        self.assertFalse(self.is_lost_after("c", "d", heard="b"))

    def test_refuted_evidence_is_void(self):
        """Guards against old reports that remove a host which refuted them."""
        self.table.apply(record("b", refutation=1), 0.0)
        self.assertFalse(self.is_lost_after("c", "d", refutation=0))

    def test_a_lost_host_returns_with_a_higher_count_only(self):
        """Guards against old records that revive a dead host."""
        self.is_lost_after("c", "d")
        self.table.apply(record("b"), 2.0)
        self.assertTrue(self.table.is_unavailable("b"))
        self.table.apply(record("b", refutation=1), 2.0)
        self.assertFalse(self.table.is_unavailable("b"))

    def test_handshake_ends_the_earlier_process_at_an_address(self):
        """Guards against two members at one address after a restart."""
        self.table.on_handshake(Member("b2", "b", "b:1", "d"), 0, 1.0)
        self.assertTrue(self.table.is_unavailable("b"))
        self.assertFalse(self.table.is_unavailable("b2"))

    def test_peer_gets_the_record_of_a_gone_host(self):
        """Guards against digests that differ forever.

        They would if a peer kept a host as live that this host knows to be gone.
        """
        self.table.declare_gone("b", 0.0)
        bucket = self.table.entries_["b"].bucket
        link = Link(1, "c:1", True, LinkState.OPEN, 0.0, peer="c")
        detail = DigestDetail((bucket,), {"b": 0})
        [effect] = on_digest_detail(self.table, link, detail, 1.0)
        self.assertEqual(effect.message.records[0].state, MemberState.GONE)

    def test_evidence_about_this_host_is_refuted(self):
        """Guards against a live host that does not refute its loss."""
        self.table.on_evidence(EvidenceItem("a", 4, "c"), 0.0)
        self.assertEqual(self.table.record_of("a").refutation, 5)

    def test_successors_are_followed_and_expire(self):
        """Guards against unroutable tickets after two handovers.

        Also guards against copied tombstones that outlive the original.
        """
        self.table.record_successor("x", "y", 0.0)
        self.table.record_successor("y", "b", 0.0)
        self.assertEqual(self.table.successor_of("x"), "b")
        copied = self.table.tombstones_.messages(TOMBSTONE_TTL_S - 1.0)[0]
        self.assertLessEqual(copied.remaining_s, 1.0)
        self.table.drop_expired(TOMBSTONE_TTL_S)
        self.assertIsNone(self.table.successor_of("x"))
        self.assertEqual(self.table.tombstones_.digest_, 0)

    def test_monitors_are_taken_from_all_domains(self):
        """Guards against monitors that are all in one failure domain."""
        hosts = [(i, f"d{i % 3 if i < 6 else 0}") for i in range(30)]
        chosen = choose_across_domains(hosts, 6, lambda h: h[0], lambda h: h[1])
        self.assertEqual({domain for _, domain in chosen}, {"d0", "d1", "d2"})


class TestFleet(unittest.TestCase):
    """Member tables of whole fleets under failures."""

    def test_hosts_find_one_another_under_loss(self):
        """Guards against tables that need every message to arrive."""
        for seed in range(3):
            network = start(seed, 18, loss=0.1, duration_s=0.0)
            self.assertTrue(network.run(10.0, all_know(network, 18)))

    def test_large_fleet_has_few_links(self):
        """Guards against a number of links per host that grows with the fleet."""
        network = start(1, 60)
        self.assertTrue(all_know(network, 60)())
        self.assertLess(max(len(n.table.links_) for n in network.live()), 25)

    def test_dead_host_is_lost_within_5_s(self):
        """Guards against queries and tickets sent to dead hosts."""
        network = start(2, 60)
        network.kill(network.nodes[0])
        self.assertTrue(network.run(5.0, all_know(network, 59)))

    def test_paused_host_is_lost_refutes_and_returns(self):
        """Guards against a paused host that stays lost or unconfirmed."""
        network = start(3, 18, loss=0.05)
        node = network.nodes[1]
        node.wakes_at = network.now + 6.0
        self.assertTrue(network.run(5.5, unavailable_everywhere(network, node)))
        network.run(node.wakes_at - network.now)
        self.assertTrue(network.run(8.0, all_know(network, 18)))
        self.assertGreater(node.table.refutation_, 0)
        self.assertTrue(network.run(5.0, lambda: node.table.confirmed_))

    def test_reply_from_before_a_pause_confirms_nothing(self):
        """Guards against confirming the view by replies queued during a pause."""
        network = start(10, 3)
        node = network.nodes[0]
        self.assertTrue(node.table.confirmed_)
        now = network.now + 5.0
        reduce(node.state, Tick(), now)
        self.assertFalse(node.table.confirmed_)
        for n_pauses, confirmed in ((0, False), (1, True)):
            reply = DigestReply((), True, 0, "", False, n_pauses)
            link_id = next(iter(node.table.links_.values()))
            reduce(node.state, PeerMessageRead(link_id, reply), now)
            self.assertEqual(node.table.confirmed_, confirmed)

    def test_members_during_and_after_a_partition(self):
        """Guards against sides that stay apart after a partition or lose live hosts."""
        for seed, n_cut in ((4, 9), (5, 1)):
            network = start(seed, 18)
            network.listed = False
            cut = [f"h{i}" for i in range(n_cut)]
            network.sides = dict.fromkeys(cut, 1)

            def split(network=network, cut=cut):
                return all(
                    len(n.table.live_members())
                    == (len(cut) if n.member.address in cut else 18 - len(cut))
                    for n in network.live()
                )

            self.assertTrue(network.run(15.0, split))
            network.run(20.0)
            network.sides = {}
            self.assertTrue(network.run(10.0, all_know(network, 18)))
            fewest = []
            network.run(
                15.0,
                lambda network=network, fewest=fewest: fewest.append(
                    min(len(n.table.live_members()) for n in network.live())
                ),
            )
            self.assertEqual(min(fewest), 18)

    def test_restarted_host_replaces_its_earlier_incarnation(self):
        """Guards against two members at one address."""
        network = start(6, 18)
        old = network.nodes[3]
        new = network.add(old.member.address, "d0")
        self.assertTrue(
            network.run(
                3.0,
                lambda: (
                    unavailable_everywhere(network, old)()
                    and all_know(network, 18)()
                    and not network.nodes[0].table.is_unavailable(
                        new.member.incarnation
                    )
                ),
            )
        )

    def test_leaving_host_is_gone_at_once(self):
        """Guards against a planned stop that waits for evidence."""
        network = start(7, 60)
        node = network.nodes[5]
        for effect in node.table.leave():
            network.carry_out(node, effect)
        self.assertTrue(network.run(1.0, unavailable_everywhere(network, node)))

    def test_tombstones_reach_hosts_that_join_later(self):
        """Guards against tickets that a late host cannot route to the successor."""
        network = start(8, 18)
        effects = network.nodes[0].table.record_successor("old", "new", network.now)
        for effect in effects[:2]:
            network.carry_out(network.nodes[0], effect)
        late = network.add("h30", "d0")
        self.assertTrue(
            network.run(
                10.0,
                lambda: all(
                    n.table.successor_of("old") == "new"
                    for n in (*network.live(), late)
                ),
            )
        )

    def test_gone_state_is_not_revived_by_old_records(self):
        """Guards against a gone host that old records make live again."""
        network = start(9, 18)
        table = network.nodes[0].table
        gone = network.nodes[1].member.incarnation
        old = table.record_of(gone)
        table.declare_gone(gone, network.now)
        table.apply(old, network.now)
        self.assertEqual(table.entries_[gone].state, MemberState.GONE)
