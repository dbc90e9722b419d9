"""Tests of the share of a host's link that updates take."""

import random
import unittest

from jackdawsill.forwarding import ForwardRoute, RouteSet, WeightedService
from jackdawsill.relaying.tests._fleet import Fleet

# Bandwidth of a relay's link, in bytes per second: 100 Mbit/s.
LINK_BYTES_PER_S = 12.5e6
# Time by which a request may be handed on with more time than its caller has left.
SLACK_S = 0.5
N_SUBSCRIBERS = 32


def random_routes(n: int, version: int) -> RouteSet:
    """Return a configuration; a larger one contains the routes of a smaller one."""
    rng = random.Random(1)

    def word(length: int) -> str:
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=length))

    services = (WeightedService("compliance", 1.0),)
    routes = tuple(
        ForwardRoute(
            f"r-{word(7)}",
            f"{word(6)}.example".encode(),
            f"/{word(9)}/".encode(),
            idempotent=True,
            timeout_s=1.0,
            objective_s=0.1,
            rank=1,
            n_attempts_max=2,
            services=services,
        )
        for _ in range(n)
    )
    return RouteSet(version, routes, {"compliance": 159})


class TestConfigurationBytes(unittest.TestCase):
    """Bytes that one relay sends to its subscribers for a configuration."""

    def setUp(self):
        self.fleet = Fleet(1 + N_SUBSCRIBERS, 1)
        self.store = self.fleet.store
        self.publish(2850)
        self.fleet.run(10)
        self.relay = self.fleet.hosts["h0"]

    def publish(self, n_routes):
        """Write a configuration with this number of routes to the store."""
        self.store.configure()
        routes = random_routes(n_routes, self.store.version)
        self.store.routes = lambda: routes

    def link_s(self, n_bytes):
        """Return how long bytes occupy the relay's link."""
        return n_bytes / LINK_BYTES_PER_S

    def test_calls_do_not_wait_behind_a_changed_configuration(self):
        """Guards against attempts that are sent in time and reach replicas too late."""
        before = self.relay.n_bytes_sent
        self.publish(4250)
        self.fleet.run(1)
        self.assertEqual(self.fleet.outdated_hosts(), [])
        n_bytes = self.relay.n_bytes_sent - before
        self.assertLess(self.link_s(n_bytes), SLACK_S)

    def test_calls_do_not_wait_behind_snapshots_for_started_hosts(self):
        """Guards against a full link after many hosts have started together."""
        before = self.relay.n_bytes_sent
        for address in list(self.fleet.hosts):
            if address != "h0":
                self.fleet.restart(address)
        self.fleet.run(3)
        self.assertEqual(self.fleet.outdated_hosts(), [])
        n_bytes = self.relay.n_bytes_sent - before
        self.assertLess(self.link_s(n_bytes), SLACK_S)
