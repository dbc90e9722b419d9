"""Tests of the configuration distribution in a fleet under failures."""

import random
import unittest

from jackdawsill.core import (
    ConfigReadFailed,
    Tick,
    reduce,
)
from jackdawsill.spread._joining import JOIN_TIMEOUT_S
from jackdawsill.spread.tests.fakes import (
    add_host,
    all_at,
    config_sync_of,
    make_set,
    start_fleet,
)


def logged(network, number):
    """Return the log events with a number on all hosts."""
    return [e for n in network.nodes for e in n.log if e.number == number]


class TestFleet(unittest.TestCase):
    """Configuration distribution in a fleet under failures."""

    def test_change_reaches_all_hosts_within_5_s_under_loss(self):
        """Guards against a change that lost messages delay beyond 5 s on some host.

        Invariant I8, with 10% message loss.
        """
        for seed in range(6):
            network, service = start_fleet(seed, 18, loss=0.1)
            service.publish(*make_set(2))
            self.assertTrue(network.run(5.0, lambda n=network: all_at(n, 2)))

    def test_lost_messages_do_not_exclude_the_only_source(self):
        """Guards against a backoff of the only source because messages were lost.

        Invariant I8, with 20% message loss; only one host reaches the service.
        """
        for seed in range(4):
            network, service = start_fleet(seed, 3, loss=0.2)
            first, read = network.nodes[0], service.read
            network.on_read = lambda node, effect, first=first, read=read: (
                read(node, effect)
                if node is first
                else ConfigReadFailed(effect.key, "unreachable")
            )
            network.run(10.0)
            for generation in range(2, 10):
                service.publish(*make_set(generation))
                accepted = lambda n=network, g=generation: all_at(n, g)  # noqa: E731
                self.assertTrue(network.run(5.0, accepted), (seed, generation))

    def test_change_reaches_a_fleet_that_is_not_fully_linked(self):
        """Guards against notices that hosts do not forward to their own peers."""
        network, service = start_fleet(1, 60, n_domains=6)
        service.publish(*make_set(2, size=100_000))
        self.assertTrue(network.run(5.0, lambda: all_at(network, 2)))

    def test_rapid_publications_converge_to_the_last(self):
        """Guards against pulls that stick to a set that the service has replaced."""
        network, service = start_fleet(2, 18)
        for generation in range(2, 12):
            service.publish(*make_set(generation))
            network.run(0.03)
        self.assertTrue(network.run(5.0, lambda: all_at(network, 11)))

    def test_polls_find_a_change_when_watches_hang(self):
        """Guards against a fleet that gets changes through watches only."""
        network, service = start_fleet(3, 18)
        service.hanging = True
        network.run(1.0)
        service.publish(*make_set(2))
        self.assertTrue(network.run(30.0, lambda: all_at(network, 2)))

    def test_service_down_then_stale_never_reverts(self):
        """Guards against a return to an older set that the service serves again."""
        network, service = start_fleet(4, 18)
        service.publish(*make_set(2))
        network.run(5.0)
        service.down = True
        late = add_host(network, "h3", "d0")
        ready = lambda: config_sync_of(late).ready_to_serve(network.now)  # noqa: E731
        self.assertTrue(network.run(JOIN_TIMEOUT_S + 1.0, ready))
        self.assertEqual(config_sync_of(late).generation_, 2)
        service.down = False
        service.publish(*make_set(1))
        network.run(30.0)
        self.assertTrue(all_at(network, 2))
        self.assertTrue(logged(network, 4103))

    def test_generations_never_decrease_under_partitions_pauses_and_restarts(self):
        """Guards against a host that returns to an older generation after failures.

        Invariant I8. The fleet must also converge once the failures end.
        """
        network, service = start_fleet(5, 12, loss=0.05)
        rng = random.Random(5)
        newest: dict[str, int] = {}
        generation = 1

        def check_increasing():
            for node in network.live():
                name, own = node.state.name, config_sync_of(node).generation_
                self.assertGreaterEqual(own, newest.get(name, 0))
                newest[name] = own

        for _ in range(25):
            fault = rng.randrange(5)
            address = rng.choice(network.live()).member.address
            if fault == 0:
                network.sides = {f"h{i}": 1 for i in range(rng.randrange(12))}
            elif fault == 1:
                rng.choice(network.live()).wakes_at = network.now + 4.0
            elif fault == 2:
                add_host(network, address, "d1")
            elif fault == 3:
                service.down = not service.down
            else:
                generation += 1
                service.publish(*make_set(generation))
            network.run(3.0, check_increasing)
        network.sides, service.down = {}, False
        service.publish(*make_set(generation + 1))
        self.assertTrue(network.run(40.0, lambda: all_at(network, generation + 1)))

    def test_paused_host_is_unconfirmed_until_a_peer_answers(self):
        """Guards against decisions by a generation replaced during a process pause."""
        network, service = start_fleet(6, 18)
        service.down = True
        node = network.nodes[0]
        node.wakes_at = network.now + 5.0
        network.run(5.05)
        confirmed = lambda: config_sync_of(node).confirmed_  # noqa: E731
        self.assertTrue(network.run(5.0, confirmed))
        reduce(node.state, Tick(), network.now + 5.0)
        self.assertFalse(confirmed())

    def test_fleet_recovers_after_all_hosts_were_paused(self):
        """Guards against unconfirmed hosts that wait for one another forever."""
        network, service = start_fleet(7, 6)
        service.down = True
        for node in network.live():
            node.wakes_at = network.now + 5.0
        network.run(6.0)
        done = lambda: all(config_sync_of(n).confirmed_ for n in network.live())  # noqa: E731
        self.assertTrue(network.run(30.0, done))
