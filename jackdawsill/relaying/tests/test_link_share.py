"""Tests of the share of a host's link that updates take."""

import random
import unittest
import zlib

import msgspec

from jackdawsill.core import CloseLink, PeerMessageRead, reduce
from jackdawsill.forwarding import (
    CallerLimits,
    ForwardRoute,
    RouteCatalog,
    RouteSet,
    WeightedService,
)
from jackdawsill.relaying import NewsChange
from jackdawsill.relaying._route_codec import (
    MAX_ROUTES_BYTES,
    PackedRoutes,
    RoutesInvalid,
    pack_routes,
    unpack_routes,
)
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


class TestRouteCodec(unittest.TestCase):
    """Packed routes restore the configuration, or are rejected."""

    def setUp(self):
        self.old = random_routes(40, 3)
        changed = msgspec.structs.replace(self.old.routes[2], timeout_s=9.0)
        routes = (changed, *random_routes(50, 4).routes[3:])
        limits = CallerLimits(idle_timeout_s=4.0)
        self.new = RouteSet(4, routes, {"compliance": 7}, limits)

    def by_name(self, routes):
        """Return the routes of a configuration by their names."""
        return {route.name: route for route in routes.routes}

    def test_change_of_routes(self):
        """Guards against hosts that keep a route that was removed or changed."""
        packed = pack_routes(self.old, self.new)
        self.assertEqual(packed.base, 3)
        routes = unpack_routes(packed, self.old)
        self.assertEqual(self.by_name(routes), self.by_name(self.new))
        self.assertEqual(routes.n_connections_max, self.new.n_connections_max)
        self.assertEqual(routes.limits, self.new.limits)

    def test_other_base(self):
        """Guards against changes applied to another version than theirs."""
        packed = pack_routes(self.old, self.new)
        self.assertIsNone(unpack_routes(packed, None))
        self.assertIsNone(unpack_routes(packed, random_routes(40, 2)))

    def test_ambiguous_routes(self):
        """Guards against a change of routes that share a name or a path."""
        twice = msgspec.structs.replace(self.new, routes=self.new.routes[:1] * 2)
        for base, routes in ((self.old, twice), (twice, self.old)):
            packed = pack_routes(base, routes)
            self.assertEqual(packed.base, 0)
            self.assertEqual(unpack_routes(packed, None), routes)

    def test_malformed_routes(self):
        """Guards against a peer whose bytes end or block a host."""
        valid = pack_routes(None, self.new).data
        bomb = zlib.compress(bytes(MAX_ROUTES_BYTES + 1))
        for data in (b"", b"none", valid[:-9], zlib.compress(b"\xc1"), bomb):
            with self.subTest(data[:8]), self.assertRaises(RoutesInvalid):
                unpack_routes(PackedRoutes(0, 4, data), None)


class TestMissedConfiguration(unittest.TestCase):
    """Changes of a configuration that a host does not have."""

    def setUp(self):
        self.fleet = Fleet(5, 1)
        self.store = self.fleet.store
        self.fleet.run(6)

    def publish(self, n_routes):
        """Write a configuration with this number of routes to the store."""
        self.store.configure()
        routes = random_routes(n_routes, self.store.version)
        self.store.routes = lambda: routes

    def test_missed_version(self):
        """Guards against a host that lacks the routes of a version that it missed."""
        self.fleet.muted.add(frozenset(("h0", "h3")))
        self.publish(20)
        self.fleet.run(0.1)
        self.fleet.muted.clear()
        self.publish(30)
        self.fleet.run(0.2)
        self.assertEqual(self.fleet.outdated_hosts(), [])
        catalog = self.fleet.hosts["h3"].state.component(RouteCatalog)
        self.assertEqual(len(catalog.routes_.routes), 30)

    def test_malformed_routes_close_the_link(self):
        """Guards against a relay whose invalid routes are ignored without a trace."""
        host = self.fleet.hosts["h3"]
        version = self.store.version + 1
        change = NewsChange(
            PackedRoutes(0, version, b"?"), (), (), 0, 0, 0.0, False, era=1
        )
        link_id = host.feed.relay_link_id_
        message = PeerMessageRead(link_id, change)
        effects = reduce(host.state, message, self.fleet.now)
        self.assertIn(CloseLink(link_id), effects)
