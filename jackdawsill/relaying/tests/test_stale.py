"""Hosts whose relay has old updates, or that missed one."""

import unittest

from jackdawsill.core import PeerMessageRead
from jackdawsill.forwarding import (
    ForwardRoute,
    ReplicaRegistry,
    RouteCatalog,
    RouteSet,
    StoreLost,
    StoreRegained,
)
from jackdawsill.relaying._feed import STALE_START_WAIT_S
from jackdawsill.relaying._messages import (
    NewsBeat,
    NewsChange,
    NewsSnapshot,
    NewsWanted,
)
from jackdawsill.relaying.tests._fleet import Fleet, entry

# Size of the largest configuration that the platform's store holds.
STORE_VALUE_BYTES = 1024 * 1024


def large_routes(version: int) -> RouteSet:
    """Return a configuration as large as the largest value of the store."""
    shards = tuple(f"shard-{i:02}" for i in range(63))
    n_routes = STORE_VALUE_BYTES // 600
    routes = tuple(
        ForwardRoute(
            f"route-{i}", b"a.example", b"/r%d/" % i, True, 1.0, 0.1, 1, 2, (), shards
        )
        for i in range(n_routes)
    )
    return RouteSet(version, routes, dict.fromkeys(shards, 125))


class TestRestartBesideOldState(unittest.TestCase):
    """A restarted host doesn't go back to what a cut-off relay still believes."""

    def setUp(self):
        self.fleet = Fleet(12)
        self.fleet.run(6.0)
        # All relays but the last lose the store and each other; then changes are made.
        for seed in self.fleet.seeds[:-1]:
            self.fleet.hosts[seed].reaches_store = False
            for other in self.fleet.hosts:
                self.fleet.muted.add(frozenset((seed, other)))
        self.fleet.store.write("r2")
        self.fleet.store.remove("r1")
        self.fleet.store.configure()
        self.fleet.run(4.0)
        self.fleet.muted.clear()

    def seen_after_restart(self, seconds: float) -> list[tuple[int, list[str]]]:
        """Restart a host and return the different states that it had in turn."""
        self.fleet.restart("h7")
        seen = []
        for _ in range(round(seconds / 0.1)):
            self.fleet.run(0.1)
            known = self.fleet.hosts["h7"].known
            if not seen or seen[-1] != known:
                seen.append(known)
        return seen

    def test_store_reachable(self):
        """Guards against a withdrawn route or replica that is used after a restart."""
        seen = self.seen_after_restart(3.0)
        self.assertEqual([state for state in seen if state[0]], [(2, ["r2"])])

    def test_store_unreachable(self):
        """Guards against the same while only another relay has current updates."""
        self.fleet.hosts["h7"].reaches_store = False
        seen = self.seen_after_restart(6.0)
        self.assertEqual([state for state in seen if state[0]], [(2, ["r2"])])

    def test_only_old_state(self):
        """Guards against a host that refuses all calls though old state is at hand."""
        for host in self.fleet.hosts.values():
            host.reaches_store = False
        self.fleet.run(3.0)
        seen = self.seen_after_restart(STALE_START_WAIT_S + 0.5)
        self.assertNotEqual(seen[-1][0], 0)


class TestMissedUpdates(unittest.TestCase):
    """A host notices that it lacks an update that its relay has."""

    def setUp(self):
        self.fleet = Fleet(12)
        self.fleet.run(6.0)

    def test_large_configuration(self):
        """Guards against a configuration that no message between hosts can carry."""
        store = self.fleet.store
        store.configure()
        routes = large_routes(store.version)
        store.routes = lambda: routes
        self.fleet.run(0.5)
        self.assertEqual(self.fleet.outdated_hosts(), [])
        self.fleet.restart("h7")
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.outdated_hosts(), [])

    def test_lost_configuration(self):
        """Guards against a host that keeps an old configuration beside current ones."""
        host = self.fleet.hosts["h7"]
        silenced = frozenset((host.address, host.feed.relay_address_))
        self.fleet.muted.add(silenced)
        self.fleet.store.configure()
        self.fleet.run(0.3)
        self.fleet.muted.clear()
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.outdated_hosts(), [])

    def test_old_configuration_is_requested_once_per_heartbeat(self):
        """Guards against requests that repeat for each message of a relay."""
        host = self.fleet.hosts["h7"]
        registry = host.state.component(ReplicaRegistry)
        version = host.state.component(RouteCatalog).version
        sent = []
        self.fleet.send = lambda host, link_id, message: sent.append(message)
        beat = NewsBeat(registry.position_.revision, 0.1, 1, 12, version + 1, 0, era=1)
        host.handle(PeerMessageRead(host.feed.relay_link_id_, beat))
        self.assertEqual([type(m) for m in sent], [NewsWanted])

    def test_lapsed_entry_of_a_relay_that_ends(self):
        """Guards against a replica that has left and is kept for ever.

        The relay had kept its entry in case that it was only lapsed, and told a
        restarted host of it; the other relays have dropped it since.
        """
        relays = [self.fleet.hosts[seed] for seed in self.fleet.seeds]
        for host in relays:
            host.handle(StoreLost("test"))
        self.fleet.store.remove("r1")
        self.fleet.store.write("r2")
        for host in relays:
            host.follow()
            host.handle(StoreRegained())
        self.fleet.run(1.0)
        host = self.fleet.hosts["h7"]
        self.assertEqual(host.known[1], ["r1", "r2"])
        self.fleet.restart("h7")
        self.fleet.run(0.3)
        # From now on the host hears nothing of its relay, which then ends.
        host = self.fleet.hosts["h7"]
        relay = host.feed.relay_address_
        self.fleet.muted.add(frozenset(("h7", relay)))
        self.fleet.run(1.2)
        self.fleet.stop(relay)
        self.fleet.run(6.0)
        self.assertEqual(self.fleet.outdated_hosts(), [])

    def test_snapshot_of_the_same_revision(self):
        """Guards against a requested snapshot that is ignored as not newer."""
        host = self.fleet.hosts["h7"]
        registry = host.state.component(ReplicaRegistry)
        revision = registry.position_.revision
        link_id = host.feed.relay_link_id_
        beat = NewsBeat(revision, 0.1, 1, 12, 1, registry.digest + 1, era=1)
        host.handle(PeerMessageRead(link_id, beat))
        entries = (entry("r1"), entry("r9"))
        snapshot = NewsSnapshot(None, entries, revision, 0.1, era=1)
        host.handle(PeerMessageRead(link_id, snapshot))
        self.assertEqual(sorted(registry.replicas_), ["r1", "r9"])


class TestLateExpiry(unittest.TestCase):
    """A host that has missed an update decides that a lapsed replica is gone."""

    def test_replica_that_has_registered_again(self):
        """Guards against the removal of live replicas on all hosts by one of them."""
        fleet = Fleet(6)
        fleet.run(6.0)
        fleet.store.write("r2")
        fleet.run(1.0)
        host = fleet.hosts["h5"]
        missed = host.state.component(ReplicaRegistry).position_.revision - 1
        expiry = NewsChange(None, (), ("r2",), missed, missed, 0.0, False, era=1)
        host.handle(PeerMessageRead(host.feed.relay_link_id_, expiry))
        self.assertEqual(host.known, (1, ["r1", "r2"]))


class TestLapsedInSnapshot(unittest.TestCase):
    """Replicas that lapsed at a relay before a host got its snapshot."""

    def test_relays_stop_before_the_entry_expires(self):
        """Guards against a replica kept for ever by a host without its relay."""
        fleet = Fleet(6)
        fleet.store.write("r2")
        fleet.run(6.0)
        for host in fleet.hosts.values():
            host.reaches_store = False
        fleet.run(0.5)
        fleet.store.remove("r2")
        for host in fleet.hosts.values():
            host.reaches_store = True
        fleet.run(0.2)
        fleet.restart("h5")
        fleet.run(0.3)
        self.assertEqual(fleet.hosts["h5"].known, (1, ["r1", "r2"]))
        for seed in fleet.seeds:
            fleet.stop(seed)
        fleet.run(6.0)
        self.assertEqual(fleet.outdated_hosts(), [])
