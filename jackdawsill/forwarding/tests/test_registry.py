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
    StoreConfirmed,
    StoreLost,
    StoreRegained,
    WeightedService,
)
from jackdawsill.forwarding._retired import HELD_BACK_S
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
            self.table.replicas_["n"].on_answer(10.0, 1.0 + at / 10)
        self.assertEqual(self.pick(1.5), "f")
        self.assertEqual(self.pick(20.0), "n")

    def test_one_pause_does_not_change_the_choice(self):
        """Guards against seconds of traffic between regions after a short pause."""
        for ratio in (1.0, 1.0, 12.0, 9.0):
            self.table.replicas_["n"].on_answer(ratio, 1.0)
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


class TestOrderOfEntries(unittest.TestCase):
    """Of two entries of one process, the one that it wrote later counts."""

    def setUp(self):
        self.host = GatewayModel(single_route())
        self.table = self.host.state.component(ReplicaRegistry)

    def write(self, revision: int, era: int = 1, **fields) -> None:
        """Feed an entry of one replica from the store."""
        written = entry("docs-near", "docs", incarnation="7", **fields)
        at = position_at(revision, era)
        self.host.feed(ReplicasChanged((written,), (), at, "store"))

    @property
    def is_draining(self) -> bool:
        """Return whether the replica is known to drain."""
        return self.table.replicas_["docs-near"].entry.draining

    def test_older_entry_at_a_later_position(self):
        """Guards against calls to a draining replica that an old copy calls ready."""
        self.write(60, sequence=20, draining=True)
        self.write(70, sequence=1)
        self.write(5, era=2, sequence=19)
        self.assertTrue(self.is_draining)

    def test_entry_without_count(self):
        """Guards against the same for replicas that do not count their entries."""
        self.write(60, draining=True)
        self.write(5, era=2)
        self.assertTrue(self.is_draining)

    def test_entry_written_again(self):
        """Guards against ignoring what a replica writes again after the return."""
        self.write(60, sequence=20)
        self.write(5, era=2, sequence=20, n_slots=9)
        self.assertEqual(self.table.replicas_["docs-near"].entry.n_slots, 9)
        self.write(6, era=2, sequence=21, draining=True)
        self.assertTrue(self.is_draining)

    def test_another_process_counts_anew(self):
        """Guards against ignoring a replica that has started again under its name."""
        self.write(60, sequence=20, draining=True)
        again = entry("docs-near", "docs", incarnation="8", sequence=1)
        self.host.feed(ReplicasChanged((again,), (), position_at(61), "store"))
        self.assertFalse(self.is_draining)


class TestReturnFromCopy(unittest.TestCase):
    """The list from the copy from which the store has returned."""

    def setUp(self):
        self.host = GatewayModel(single_route())
        self.table = self.host.state.component(ReplicaRegistry)

    def list_entries(self, *names: str, revision=5, era=2, source="store") -> None:
        """Feed a complete list."""
        entries = tuple(entry(name, "docs") for name in names)
        at = position_at(revision, era)
        self.host.feed(ReplicasListed(entries, at, source))

    def test_replica_that_the_copy_lacks(self):
        """Guards against losing replicas that have not written their entries again."""
        self.list_entries("docs-far")
        self.assertIn("docs-near", self.table.replicas_)
        self.host.now += 2.1
        self.host.feed(Tick())
        self.assertNotIn("docs-near", self.table.replicas_)

    def remove(self, name: str, revision: int) -> None:
        """Feed that a replica has left."""
        at = position_at(revision)
        self.host.feed(ReplicasChanged((), (name,), at, "store"))

    def write(self, name: str, revision: int, incarnation="7", **fields) -> None:
        """Feed that a replica has written its entry."""
        written = entry(name, "docs", incarnation=incarnation, **fields)
        at = position_at(revision)
        self.host.feed(ReplicasChanged((written,), (), at, "store"))

    def ready_names(self, service: str) -> list[str]:
        """Return the names of the replicas that may be used."""
        return [r.entry.name for r in self.table.by_service_.get(service, ())]

    def test_replica_that_had_left(self):
        """Guards against calls to a replica that only the copy still lists."""
        self.remove("docs-near", 60)
        for source in ("store", "peer"):
            self.list_entries("docs-near", "docs-far", source=source)
            self.assertNotIn("docs-near", self.table.replicas_)
        again = entry("docs-near", "docs")
        at = position_at(6, era=2)
        self.host.feed(ReplicasChanged((again,), (), at, "store"))
        self.assertIn("docs-near", self.table.replicas_)

    def test_replica_that_stays_listed(self):
        """Guards against a live replica that is never used since nothing changes."""
        self.remove("docs-near", 60)
        self.list_entries("docs-near", "docs-far")
        self.host.now += HELD_BACK_S / 2
        self.list_entries("docs-near", "docs-far", revision=6)
        self.host.feed(Tick())
        self.assertNotIn("docs-near", self.table.replicas_)
        self.host.now += HELD_BACK_S / 2
        self.host.feed(Tick())
        self.assertIn("docs-near", self.table.replicas_)
        self.list_entries("docs-near", "docs-far", revision=7)
        self.assertIn("docs-near", self.table.replicas_)

    def test_lapsed_replica_in_the_list_of_a_peer(self):
        """Guards against using a removed replica because it was held back."""
        self.remove("docs-near", 60)
        listed = (entry("docs-near", "docs"), entry("docs-far", "docs"))
        at = position_at(5, era=2)
        self.host.feed(ReplicasListed(listed, at, "peer", ("docs-near",)))
        self.host.now += 2 * HELD_BACK_S
        self.host.feed(Tick())
        self.assertNotIn("docs-near", self.table.replicas_)

    def test_expired_replica_that_a_later_copy_lists(self):
        """Guards against holding back a replica that no entry said had left."""
        for source in ("own", "peer"):
            with self.subTest(expired_at=source):
                self.setUp()
                self.list_entries("docs-far")
                if source == "peer":
                    at = position_at(5, era=2)
                    expired = ReplicasChanged(
                        (), ("docs-near",), at, "peer", at, may_lapse=False
                    )
                    self.host.feed(expired)
                else:
                    self.host.now += 2.1
                    self.host.feed(Tick())
                self.assertNotIn("docs-near", self.table.replicas_)
                self.list_entries("docs-near", "docs-far", era=3)
                self.assertIn("docs-near", self.table.replicas_)

    def test_removed_while_held_back(self):
        """Guards against using an entry that the store has removed meanwhile."""
        self.remove("docs-near", 60)
        self.list_entries("docs-near", "docs-far")
        at = position_at(6, era=2)
        self.host.feed(ReplicasChanged((), ("docs-near",), at, "store"))
        self.host.now += 2 * HELD_BACK_S
        self.host.feed(Tick())
        self.assertNotIn("docs-near", self.table.replicas_)

    def test_list_of_the_same_era(self):
        """Guards against holding back a replica that has registered again."""
        self.remove("docs-near", 60)
        self.list_entries("docs-near", "docs-far", revision=61, era=1)
        self.assertIn("docs-near", self.table.replicas_)

    def test_confirmation_before_the_list(self):
        """Guards against taking the list for one of the era that is known."""
        self.host.feed(StoreConfirmed(position_at(5, era=2)))
        self.test_replica_that_the_copy_lacks()

    def test_older_entry_of_a_lapsed_replica(self):
        """Guards against removing a listed replica since its entry was older."""
        self.write("docs-near", 60, sequence=9)
        self.host.feed(StoreLost("test"))
        self.remove("docs-near", 61)
        self.host.feed(StoreRegained())
        older = entry("docs-near", "docs", incarnation="7", sequence=8)
        at = position_at(5, era=2)
        self.host.feed(ReplicasListed((older,), at, "store"))
        self.host.now += 2.1
        self.host.feed(Tick())
        self.assertIn("docs-near", self.table.replicas_)

    def test_earlier_process_under_the_same_name(self):
        """Guards against an ended process that replaces the one started after it."""
        for left in (False, True):
            with self.subTest(left=left):
                self.setUp()
                self.write("docs-near", 60, incarnation="12", draining=True)
                if left:
                    self.remove("docs-near", 61)
                earlier = entry("docs-near", "docs", incarnation="7", sequence=30)
                at = position_at(5, era=2)
                self.host.feed(ReplicasListed((earlier,), at, "store"))
                self.assertNotIn("docs-near", self.ready_names("docs"))
                self.host.now += HELD_BACK_S
                self.host.feed(Tick())
                self.assertIn("docs-near", self.ready_names("docs"))

    def test_replica_that_the_first_list_of_a_peer_lacks(self):
        """Guards against losing all replicas by the list of a host without memory."""
        self.list_entries("docs-far", source="peer")
        self.list_entries("docs-far", source="peer", revision=6)
        self.assertIn("docs-near", self.table.replicas_)
        self.host.now += 2.1
        self.host.feed(Tick())
        self.assertNotIn("docs-near", self.table.replicas_)

    def test_copy_lacks_a_replica_of_a_host_without_store(self):
        """Guards against keeping it for ever while only relays reach the store."""
        self.host.feed(StoreLost("test"))
        self.host.now += 1.0
        self.test_replica_that_the_first_list_of_a_peer_lacks()

    def test_replica_that_only_the_first_list_lacks(self):
        """Guards against holding back a replica that has written its entry again."""
        draining = entry("docs-near", "docs", draining=True)
        self.host.feed(ReplicasChanged((draining,), (), position_at(60), "store"))
        self.list_entries("docs-far")
        self.list_entries("docs-near", "docs-far", revision=6)
        self.assertIn("docs-near", self.table.replicas_)

    def test_list_of_a_peer_before_the_own_one(self):
        """Guards against the same once a peer has told of the return first."""
        self.list_entries("docs-near", "docs-far", source="peer")
        self.list_entries("docs-far", revision=6)
        self.assertIn("docs-near", self.table.replicas_)


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
