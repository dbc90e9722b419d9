"""Replicas known to a host whose store returns from a copy of its data."""

import unittest

from jackdawsill.core import Tick
from jackdawsill.forwarding import (
    ReplicaRegistry,
    ReplicasChanged,
    ReplicasListed,
    StoreConfirmed,
    StoreLost,
    StoreRegained,
)
from jackdawsill.forwarding._retired import HELD_BACK_S
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    entry,
    position_at,
    single_route,
)


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
