"""Hosts whose store has returned from a copy that is some seconds old."""

import unittest

from jackdawsill.core import CloseLink, PeerMessageRead, SendPeer, reduce
from jackdawsill.forwarding import (
    STORE,
    ReplicaRegistry,
    ReplicasListed,
    StorePosition,
)
from jackdawsill.forwarding._retired import HELD_BACK_S
from jackdawsill.relaying._messages import (
    NewsBeat,
    NewsChange,
    NewsSnapshot,
    NewsWanted,
)
from jackdawsill.relaying.tests._fleet import Fleet, entry


class TestChangesAfterReturn(unittest.TestCase):
    """Changes of the store take effect although their revisions were given before."""

    def setUp(self):
        self.fleet = Fleet(12)
        self.store = self.fleet.store
        for name in ("r2", "r3"):
            self.store.write(name)
        self.fleet.run(6.0)
        self.store.copy()
        # Written in the span that is lost, and written again after it.
        for name in ("r4", "r5", "r6", "r7"):
            self.store.write(name)
        self.fleet.run(1.0)
        self.store.restore()

    def unaware_of_drain(self, name: str) -> list[str]:
        """Return the hosts that take a draining replica for ready."""
        return [
            host.address
            for host in self.fleet.hosts.values()
            if not host.state.component(ReplicaRegistry).replicas_[name].entry.draining
        ]

    def test_drain_is_known_to_hosts_fed_by_relays(self):
        """Guards against calls to a replica that has drained for longer than agreed."""
        self.fleet.run(1.0)
        self.store.write("r4")
        self.store.drain("r2")
        self.fleet.run(1.0)
        self.assertEqual(self.unaware_of_drain("r2"), [])

    def test_all_hosts_agree_with_the_store(self):
        """Guards against replicas that are known for ever, or never."""
        self.store.write("r8")
        self.store.remove("r3")
        self.fleet.run(6.0)
        self.assertEqual(self.fleet.outdated_hosts(), [])

    def test_revision_passed_before_the_next_read(self):
        """Guards against changes that no watch returns, as the revision is known."""
        for host in self.fleet.hosts.values():
            host.reaches_store = False
        self.fleet.run(0.5)
        self.store.drain("r2")
        for name in ("r4", "r5", "r6", "r7", "r8"):
            self.store.write(name)
        for host in self.fleet.hosts.values():
            host.reaches_store = True
        self.fleet.run(6.0)
        self.assertEqual(self.unaware_of_drain("r2"), [])

    def test_replica_that_stays_listed_is_used_by_all_hosts(self):
        """Guards against a live replica of the copy that only its reader uses."""
        fleet = Fleet(12)
        fleet.run(6.0)
        fleet.store.write("r2")
        fleet.run(1.0)
        fleet.store.copy()
        fleet.store.remove("r2")
        fleet.run(1.0)
        fleet.store.restore()
        fleet.run(HELD_BACK_S + 1.0)
        self.assertEqual(fleet.outdated_hosts(), [])


class TestEras(unittest.TestCase):
    """Updates of different eras of the store, on the link to a relay."""

    def setUp(self):
        self.fleet = Fleet(12)
        self.fleet.run(6.0)
        self.host = self.fleet.hosts["h7"]
        self.registry = self.host.state.component(ReplicaRegistry)
        self.link_id = self.host.feed.relay_link_id_

    def receive(self, message) -> None:
        """Receive a message of the relay in use."""
        self.host.handle(PeerMessageRead(self.link_id, message))

    def test_list_of_a_later_era_at_a_lower_revision(self):
        """Guards against a list that is taken for old by its revision."""
        self.receive(NewsSnapshot(None, (entry("r9"),), 1, 0.1, era=2))
        self.assertEqual(self.registry.position_, StorePosition(2, 1))
        self.assertIn("r9", self.registry.replicas_)
        self.registry.expire(self.fleet.now + 2.1)
        self.assertEqual(list(self.registry.replicas_), ["r9"])

    def test_updates_of_an_ended_era(self):
        """Guards against old state that is applied, or confirms what is known."""
        listed = (entry("r1"), entry("r9"))
        self.receive(NewsSnapshot(None, listed, 1, 0.1, era=2))
        confirmed_at = self.host.feed.confirmed_at_
        self.fleet.now += 0.5
        self.receive(NewsBeat(90, 0.0, digest=1, era=1))
        self.receive(NewsChange(None, (entry("r5"),), (), 1, 91, 0.0, False, era=1))
        self.receive(NewsChange(None, (), ("r9",), 1, 91, 0.0, False, era=1))
        self.receive(NewsSnapshot(None, (entry("r5"),), 92, 0.0, era=1))
        self.assertEqual(list(self.registry.replicas_), ["r1", "r9"])
        self.assertEqual(self.host.feed.confirmed_at_, confirmed_at)

    def test_expiry_of_a_replica_that_is_held_back(self):
        """Guards against using a replica that its relay has removed meanwhile."""
        self.receive(NewsChange(None, (), ("r1",), 1, 9, 0.0, False, era=1))
        self.receive(NewsSnapshot(None, (entry("r1"),), 3, 0.0, era=2))
        self.assertIn("r1", self.registry.retired.held_back_)
        self.receive(NewsChange(None, (), ("r1",), 3, 3, 0.0, False, era=2))
        self.assertEqual(self.registry.retired.held_back_, {})

    def test_change_of_a_later_era(self):
        """Guards against a change that is applied without what the era began with."""
        sent = []
        self.fleet.send = lambda host, link_id, message: sent.append(message)
        self.receive(NewsChange(None, (entry("r9"),), (), 5, 6, 0.0, False, era=2))
        self.assertNotIn("r9", self.registry.replicas_)
        self.assertEqual([type(m) for m in sent], [NewsWanted])

    def test_heartbeat_of_a_later_era(self):
        """Guards against a host that missed the list of the era and never asks."""
        sent = []
        self.fleet.send = lambda host, link_id, message: sent.append(message)
        digest = self.registry.digest + 1
        self.receive(NewsBeat(1, 0.0, digest=digest, era=2))
        self.assertEqual([type(m) for m in sent], [NewsWanted])


class TestOlderBuilds(unittest.TestCase):
    """Hosts that state no era serve beside hosts that do."""

    def setUp(self):
        self.fleet = Fleet(12)
        self.fleet.run(6.0)

    def handle(self, address: str, message, link_id: int) -> list:
        """Return the effects of a message on one host."""
        state = self.fleet.hosts[address].state
        return reduce(state, PeerMessageRead(link_id, message), self.fleet.now)

    def test_relay_is_given_up_and_the_store_followed(self):
        """Guards against a host kept on the state of a relay that missed a return."""
        host = self.fleet.hosts["h7"]
        relay = host.feed.relay_address_
        host.handle(PeerMessageRead(host.feed.relay_link_id_, NewsBeat(90, 0.0)))
        self.assertEqual(host.feed.relay_link_id_, 0)
        self.assertNotIn(relay, host.feed.relay_candidates(self.fleet.now))
        for seed in self.fleet.seeds:
            host.feed.older_builds_until_[seed] = self.fleet.now + 60
        self.fleet.run(3.0)
        self.assertTrue(host.follows)
        self.fleet.store.write("r2")
        self.fleet.run(0.5)
        self.assertEqual(self.fleet.outdated_hosts(), [])

    def test_routes_of_its_relay_are_taken(self):
        """Guards against a host without routes while only an older build has them."""
        self.fleet.store.configure()
        self.fleet.hosts["h0"].follow()
        effects = self.handle("h0", NewsWanted(0, 0), 99)
        messages = [e.message for e in effects if isinstance(e, SendPeer)]
        (snapshot,) = [m for m in messages if isinstance(m, NewsSnapshot)]
        older = NewsSnapshot(snapshot.routes, (entry("r9"),), 90, 0.0)
        host = self.fleet.hosts["h7"]
        host.handle(PeerMessageRead(host.feed.relay_link_id_, older))
        self.assertEqual(host.known, (2, ["r1"]))

    def test_subscriber_ahead_of_the_store_is_refused(self):
        """Guards against heartbeats that confirm what an older build can't correct."""
        effects = self.handle("h0", NewsWanted(1, 90), 99)
        self.assertEqual(effects, [CloseLink(99)])
        self.assertNotIn(99, self.fleet.hosts["h0"].feed.subscribers_)

    def test_subscriber_subscribes_anew_after_a_complete_list(self):
        """Guards against an older build that drops the list of the next era."""
        self.handle("h0", NewsWanted(1, 0), 99)
        state = self.fleet.hosts["h0"].state
        listed = ReplicasListed((entry("r1"),), StorePosition(2, 1), STORE)
        self.assertIn(CloseLink(99), reduce(state, listed, self.fleet.now))
