"""Hosts whose store has returned from a copy that is some seconds old."""

import unittest

from jackdawsill.forwarding import ReplicaRegistry
from jackdawsill.relaying.tests._fleet import Fleet


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
