"""Live replicas: lists, changes, lapsed entries, and the choice of one."""

import random
import unittest

from jackdawsill.core import PauseDetected, Tick
from jackdawsill.forwarding import (
    CheckStore,
    DropIdleConnections,
    DropReplicaConnections,
    LiveReplica,
    ReplicaRegistry,
    ReplicasChanged,
    ReplicasListed,
    RouteCatalog,
    RouteSet,
    RoutesRead,
    StoreLost,
    StoreRegained,
    WeightedService,
)
from jackdawsill.forwarding.tests._gateway_model import (
    REGIONS,
    GatewayModel,
    entry,
    position_at,
    single_route,
)

TYPICAL_S = 0.02


def registry(*entries) -> ReplicaRegistry:
    """Return a registry near `near` with the entries."""
    table = ReplicaRegistry("near", REGIONS)
    table.replace_all(entries, position_at(1), 0.0)
    return table


class TestChoice(unittest.TestCase):
    """The replica expected to answer first gets the attempt."""

    def setUp(self):
        self.table = registry(entry("n", "s", "near"), entry("f", "s", "far"))
        self.rng = random.Random(1)

    def pick(self, now=1.0, exclude=()):
        """Return the name of the choice."""
        replica = self.table.pick("s", exclude, TYPICAL_S, now, self.rng)
        return replica and replica.entry.name

    def test_near_first(self):
        """Guards against traffic between regions without a reason."""
        self.assertEqual(self.pick(), "n")

    def test_slow_replica_is_not_picked_for_some_seconds(self):
        """Guards against picking a slow replica, and against never trying it again."""
        for at in range(4):
            self.table.replicas_["n"].on_answer(10.0, 1.0 + at / 10, 0.0)
        self.assertEqual(self.pick(1.5), "f")
        self.assertEqual(self.pick(20.0), "n")

    def test_one_pause_does_not_change_the_choice(self):
        """Guards against seconds of traffic between regions after a short pause."""
        for ratio in (1.0, 1.0, 12.0, 9.0):
            self.table.replicas_["n"].on_answer(ratio, 1.0, 0.0)
        self.assertEqual(self.pick(1.1), "n")

    def test_refusing_replica_is_not_picked(self):
        """Guards against repeated attempts on a full replica."""
        for at in range(6):
            self.table.replicas_["n"].on_refusal(1.0 + at / 100)
        self.assertEqual(self.pick(1.1), "f")

    def test_ejected_replica_is_picked_last(self):
        """Guards against a missing part although a replica might answer."""
        self.table.replicas_["n"].on_failure(1.0, eject_at_once=True)
        self.assertEqual(self.pick(1.1), "f")
        self.assertEqual(self.pick(1.1, exclude={"f"}), "n")

    def test_draining_replica_is_not_picked(self):
        """Guards against new attempts on a draining replica."""
        draining = entry("n", "s", draining=True)
        self.table.apply_changes([draining], ["f"], position_at(2), 1.0)
        self.assertIsNone(self.pick())


class TestLiveReplica(unittest.TestCase):
    """Ejection and backoff of failing replicas."""

    def test_backoff_doubles_and_ends(self):
        """Guards against constant probing, and against no probing."""
        replica = LiveReplica(entry("n", "s"), 0.0)
        first = replica.on_failure(1.0, eject_at_once=True)
        self.assertEqual(replica.on_failure(1.0), 0.0)
        second = replica.on_failure(2.0, eject_at_once=True)
        self.assertEqual(second, 2 * first)
        self.assertFalse(replica.is_ejected(10.0))

    def test_one_failure_does_not_eject(self):
        """Guards against ejecting a replica for one lost answer."""
        replica = LiveReplica(entry("n", "s"), 0.0)
        self.assertEqual(replica.on_failure(1.0), 0.0)
        self.assertFalse(replica.is_ejected(1.0))


class TestLapsedEntries(unittest.TestCase):
    """Entries that expire while the store is unreachable."""

    def setUp(self):
        self.host = GatewayModel(single_route())
        self.table = self.host.state.component(ReplicaRegistry)

    def remove(self, *names):
        """Remove entries."""
        self.host.feed(ReplicasChanged((), names, position_at(60), "store"))

    def test_removed_while_the_store_is_reachable(self):
        """Guards against sending to a replica that has left."""
        self.remove("docs-near")
        self.assertNotIn("docs-near", self.table.replicas_)

    def test_lapsed_entry_is_kept_until_the_replica_can_register(self):
        """Guards against losing all replicas because the store was unreachable."""
        self.host.feed(StoreLost("test"))
        self.host.now += 5
        self.host.feed(StoreRegained())
        self.remove("docs-near", "docs-far")
        self.assertIn("docs-near", self.table.replicas_)
        self.host.feed(
            ReplicasChanged((entry("docs-near", "docs"),), (), position_at(61), "store")
        )
        self.host.now += 2.1
        self.host.feed(Tick())
        self.assertIn("docs-near", self.table.replicas_)
        self.assertNotIn("docs-far", self.table.replicas_)

    def test_lapsed_long_before_the_store_is_reachable(self):
        """Guards against removing live replicas as soon as the store is reachable."""
        self.host.feed(StoreLost("test"))
        self.remove("docs-near")
        self.host.now += 5
        self.host.feed(StoreRegained())
        self.host.feed(Tick())
        self.assertIn("docs-near", self.table.replicas_)
        self.host.now += 2.1
        self.host.feed(Tick())
        self.assertNotIn("docs-near", self.table.replicas_)

    def test_removed_draining_entry_is_not_kept(self):
        """Guards against sending to a replica that had announced its end."""
        draining = entry("docs-near", "docs", draining=True)
        self.host.feed(ReplicasChanged((draining,), (), position_at(60), "store"))
        self.host.feed(StoreLost("test"))
        self.remove("docs-near")
        self.assertNotIn("docs-near", self.table.replicas_)

    def test_list_of_a_peer_is_current(self):
        """Guards against keeping replicas that a peer knows to be gone."""
        self.host.feed(StoreLost("test"))
        entries = (entry("docs-near", "docs"),)
        self.host.feed(ReplicasListed(entries, position_at(70), "peer"))
        self.assertEqual(list(self.table.replicas_), ["docs-near"])

    def test_restart_under_the_same_name(self):
        """Guards against keeping observations and connections of an ended process."""
        self.table.replicas_["docs-near"].on_failure(100.0, eject_at_once=True)
        again = entry("docs-near", "docs", incarnation="2")
        effects = self.host.feed(
            ReplicasChanged((again,), (), position_at(60), "store")
        )
        self.assertIn(DropReplicaConnections("docs-near"), effects)
        self.assertFalse(self.table.replicas_["docs-near"].is_ejected(100.0))


class TestPause(unittest.TestCase):
    """After a process pause, connections and known state may be outdated."""

    def test_connections_are_closed_and_the_store_is_read(self):
        """Guards against acting on outdated state after a suspension."""
        host = GatewayModel(single_route())
        effects = host.feed(PauseDetected(5.0))
        self.assertIn(DropIdleConnections(), effects)
        self.assertIn(CheckStore(), effects)


class TestCatalog(unittest.TestCase):
    """Versions, and weighted choice of services."""

    def test_older_version_is_ignored(self):
        """Guards against an older configuration from a slow source."""
        host = GatewayModel(single_route())
        host.feed(RoutesRead(RouteSet(6, (), {}), "peer"))
        self.assertEqual(host.state.component(RouteCatalog).version, 7)

    def test_weights(self):
        """Guards against shares that differ from the weights."""
        services = (WeightedService("a", 3.0), WeightedService("b", 1.0))
        route = single_route(services=services)
        catalog = RouteCatalog()
        rng = random.Random(1)
        chosen = [catalog.next_service(route, rng) for _ in range(400)]
        self.assertEqual(chosen.count("a"), 300)

    def test_weights_over_hosts_with_few_calls(self):
        """Guards against a service with a small weight that gets no calls.

        With few calls per host, every host would choose the largest weight first.
        """
        services = (WeightedService("a", 0.9), WeightedService("b", 0.1))
        route = single_route(services=services)
        chosen = []
        for seed in range(100):
            catalog = RouteCatalog()
            rng = random.Random(seed)
            chosen += [catalog.next_service(route, rng) for _ in range(3)]
        self.assertAlmostEqual(chosen.count("b") / len(chosen), 0.1, delta=0.05)
