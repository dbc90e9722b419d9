"""Tests of the configuration distribution on one host."""

import json
import random
import unittest

from jackdawsill.core import (
    HANDLERS,
    Count,
    HostEntry,
    HostState,
    PeerMessageRead,
    ReadConfig,
    SendPeer,
    SetAccepted,
    handles,
    reduce,
)
from jackdawsill.membership import DigestReply, Member, MemberTable
from jackdawsill.membership.tests.network import FakeNetwork
from jackdawsill.spread import (
    CHUNK_BYTES,
    MANIFEST_KEY,
    ConfigSync,
    InvalidManifest,
    ManifestReply,
    ManifestRequest,
    ServiceReader,
    ValueChunk,
    ValueRequest,
    parse_manifest,
)
from jackdawsill.spread._handlers import N_WATCHERS, watchers
from jackdawsill.spread._joining import ISOLATED_JOIN_TIMEOUT_S, JOIN_TIMEOUT_S
from jackdawsill.spread._service_reader import WATCH_GRACE_S, WATCH_TIMEOUT_S
from jackdawsill.spread._serving import manifest_chunk, value_chunk
from jackdawsill.spread.tests.fakes import (
    FakeService,
    add_host,
    config_sync_of,
    load_bundle,
    make_set,
    start_fleet,
)

RNG = random.Random(7)


def logged(network, number):
    """Return the log events with a number on all hosts."""
    return [e for n in network.nodes for e in n.log if e.number == number]


class Source:
    """Peer that offers and sends an object set to the `ConfigSync` under test."""

    def __init__(self, config_sync, link_id, manifest, values):
        self.config_sync, self.link_id = config_sync, link_id
        self.holder = ConfigSync(load_bundle)
        content = json.loads(manifest)
        self.holder.generation_ = content["generation"]
        self.holder.digest_ = content["digest"]
        self.holder.manifest_bytes_ = manifest
        self.holder.values_ = {
            key.removeprefix("set/"): data for key, data in values.items()
        }
        self.n_requests = 0

    def offer(self, now):
        return self.carry_out(
            self.config_sync.on_offer(
                self.link_id, self.holder.generation_, self.holder.digest_, RNG, now
            ),
            now,
        )

    def carry_out(self, effects, now):
        """Answer the requests to this source; return the other effects."""
        others, pending = [], list(effects)
        while pending:
            effect = pending.pop(0)
            if not isinstance(effect, SendPeer) or effect.link_id != self.link_id:
                others.append(effect)
                continue
            self.n_requests += 1
            if isinstance(effect.message, ManifestRequest):
                chunk = manifest_chunk(self.holder, effect.message)
                pending += self.config_sync.on_manifest_chunk(
                    self.link_id, chunk, RNG, now
                )
            elif isinstance(effect.message, ValueRequest):
                chunk = value_chunk(self.holder, effect.message)
                pending += self.config_sync.on_value_chunk(
                    self.link_id, chunk, RNG, now
                )
        return others


class TestManifest(unittest.TestCase):
    """Checks of manifests."""

    def test_invalid_manifests_are_rejected(self):
        """Guards against crashes and unbounded memory use by published content."""
        good = json.loads(make_set(3)[0])
        value = good["values"][0]
        for change in (
            {"generation": 0},
            {"generation": "x"},
            {"digest": ""},
            {"values": [value, value]},
            {"values": [{**value, "key": MANIFEST_KEY}]},
            {"values": [{**value, "size": 2 << 20}]},
            {"values": [{**value, "sha256": "zz"}]},
        ):
            with self.subTest(change=change), self.assertRaises(InvalidManifest):
                parse_manifest(json.dumps({**good, **change}).encode())
        for data in (b"", b"{", b"\xff", b"[]"):
            with self.subTest(data=data), self.assertRaises(InvalidManifest):
                parse_manifest(data)


class TestAcceptance(unittest.TestCase):
    """Which object sets a host accepts, and from which sources."""

    def setUp(self):
        self.config_sync = ConfigSync(load_bundle)

    def source(self, link_id, manifest, values):
        return Source(self.config_sync, link_id, manifest, values)

    def test_only_a_higher_generation_is_accepted(self):
        """Guards against a return to an older generation."""
        self.source(1, *make_set(5)).offer(0.0)
        self.assertEqual(self.config_sync.generation_, 5)
        self.source(2, *make_set(4)).offer(1.0)
        self.assertEqual(self.config_sync.generation_, 5)
        self.config_sync.on_service_manifest(make_set(3)[0], "v", RNG, 2.0)
        self.assertEqual(self.config_sync.generation_, 5)

    def test_only_missing_values_are_sent_in_chunks(self):
        """Guards against messages over 64 KB and downloads of values already held."""
        first = self.source(1, *make_set(1, size=3 * CHUNK_BYTES))
        first.offer(0.0)
        second = self.source(2, *make_set(2, size=3 * CHUNK_BYTES))
        second.offer(1.0)
        self.assertEqual(self.config_sync.generation_, 2)
        self.assertEqual(first.n_requests, 1 + 6 * 3)
        self.assertEqual(second.n_requests, 1 + 2 * 3)

    def test_second_set_under_one_generation_is_reported_once(self):
        """Guards against a second set under one generation that is not reported.

        It must be reported only once, not at every offer.
        """
        self.source(1, *make_set(5)).offer(0.0)
        other = self.source(2, *make_set(5, salt="other"))
        effects = [e for i in range(3) for e in other.offer(1.0 + i)]
        conflicts = [e for e in effects if e == Count("spread_conflicts")]
        self.assertEqual(len(conflicts), 1)
        self.assertNotEqual(self.config_sync.digest_, other.holder.digest_)

    def test_incomplete_and_corrupt_sets_are_downloaded_elsewhere(self):
        """Guards against corrupt sets that are accepted or requested in a loop."""
        manifest, values = make_set(5)
        key = next(iter(values))
        swapped = json.loads(manifest)
        swapped["values"][0]["sha256"] = "0" * 64
        for bad in (
            (manifest, {k: v for k, v in values.items() if k != key}),
            (manifest, {**values, key: b"x" * len(values[key])}),
            (json.dumps(swapped).encode(), values),
        ):
            self.config_sync = ConfigSync(load_bundle)
            source = self.source(1, *bad)
            source.offer(0.0)
            for i in range(1, 101):
                source.carry_out(self.config_sync.advance_pull(RNG, i * 0.1), i * 0.1)
            self.assertEqual(self.config_sync.generation_, 0)
            self.assertLess(source.n_requests, 20)
            good = self.source(2, manifest, values)
            for i in range(101, 201):
                for effect in [*good.offer(i * 0.1)]:
                    source.carry_out([effect], i * 0.1)
            self.assertEqual(self.config_sync.generation_, 5)

    def test_set_that_fails_its_check_is_not_accepted(self):
        """Guards against a manifest whose digest does not match its values."""
        manifest, values = make_set(5)
        forged = json.dumps({**json.loads(manifest), "digest": "d"}).encode()
        self.config_sync.on_service_manifest(forged, "1", RNG, 0.0)
        n_reads = 0
        for i in range(600):
            effects = self.config_sync.advance_pull(RNG, i * 0.1)
            while reads := [e for e in effects if isinstance(e, ReadConfig)]:
                n_reads += 1
                data = values[reads[0].key]
                effects = self.config_sync.on_service_value(
                    reads[0].key, data, RNG, i * 0.1
                )
        self.assertEqual(self.config_sync.generation_, 0)
        self.assertLess(n_reads, 20)

    def test_newer_generation_replaces_a_pull_and_reuses_its_values(self):
        """Guards against an outdated pull that delays a newer generation."""
        first = self.source(1, *make_set(1))
        self.config_sync.on_offer(1, 1, first.holder.digest_, RNG, 0.0)
        self.source(2, *make_set(2)).offer(0.1)
        self.assertEqual(self.config_sync.generation_, 2)

    def test_unobtainable_offer_does_not_block_others(self):
        """Guards against a faulty peer that offers a generation it does not hold."""
        false = self.source(1, *make_set(99))
        false.holder.manifest_bytes_ = b""
        false.offer(0.0)
        good = self.source(2, *make_set(5))
        good.offer(0.1)
        for i in range(2, 12):
            for effect in good.carry_out(
                self.config_sync.advance_pull(RNG, i * 0.1), i * 0.1
            ):
                false.carry_out([effect], i * 0.1)
        self.assertEqual(self.config_sync.generation_, 5)

    def test_unrequested_replies_are_ignored(self):
        """Guards against a peer that sends content without a request."""
        source = self.source(1, *make_set(5))
        self.config_sync.on_manifest_chunk(
            1, ManifestReply(5, "x", 0, 1, b"x"), RNG, 0.0
        )
        self.config_sync.on_offer(1, 5, source.holder.digest_, RNG, 0.0)
        self.config_sync.on_value_chunk(1, ValueChunk("x", 0, 1, b"x"), RNG, 0.0)
        self.config_sync.on_service_value("k", b"x", RNG, 0.0)
        self.assertEqual(self.config_sync.generation_, 0)

    def test_object_set_is_replaced_before_set_accepted_is_handled(self):
        """Guards against handlers of SetAccepted that still see the old set."""
        state = HostState("a", "d", random.Random(1))
        state.attach(MemberTable(Member("a", "a", "a:1", "d")))
        state.attach(self.config_sync)
        seen = []
        on_accepted = handles(SetAccepted)(
            lambda state, event, now: seen.append(state.objects_.generation) or []
        )
        self.addCleanup(HANDLERS[SetAccepted].remove, on_accepted)
        source = self.source(1, *make_set(5))
        message = DigestReply((), True, 5, source.holder.digest_, True, 0)
        effects = reduce(state, PeerMessageRead(1, message), 0.0)
        while effects and isinstance(effects[-1], SendPeer):
            request = effects[-1].message
            serve = (
                manifest_chunk if isinstance(request, ManifestRequest) else value_chunk
            )
            answer = serve(source.holder, request)
            effects = reduce(state, PeerMessageRead(1, answer), 0.0)
        self.assertEqual(seen, [5])


class TestService(unittest.TestCase):
    """Load on the configuration service."""

    def test_watch_without_an_answer_is_repeated(self):
        """Guards against a watcher that waits forever for a hung watch."""
        reader = ServiceReader()
        watches = 0
        for i in range(int((WATCH_TIMEOUT_S + WATCH_GRACE_S) * 10) + 20):
            effects = reader.due_reads(True, False, 10**6, RNG, i * 0.1)
            watches += sum(isinstance(e, ReadConfig) and e.wait_s > 0 for e in effects)
        self.assertEqual(watches, 2)

    def test_failing_service_is_not_read_in_a_tight_loop(self):
        """Guards against 730 hosts that overload a recovering service."""
        reader = ServiceReader()
        n_reads = 0
        for i in range(600):
            for effect in reader.due_reads(True, True, 730, RNG, i * 0.1):
                if isinstance(effect, ReadConfig):
                    n_reads += 1
                    reader.on_failed("down", RNG, i * 0.1)
        self.assertLess(n_reads, 90)

    def test_poll_rate_of_the_fleet_is_constant(self):
        """Guards against a read rate that grows with the fleet."""
        for n_hosts in (18, 180):
            readers = [ServiceReader() for _ in range(n_hosts)]
            n_reads = 0
            for i in range(1500):
                for reader in readers:
                    for effect in reader.due_reads(False, False, n_hosts, RNG, i * 2.0):
                        n_reads += isinstance(effect, ReadConfig)
                        reader.on_answer("1", i * 2.0)
            self.assertLess(n_reads / 3000, 0.6)
            self.assertGreater(n_reads / 3000, 0.35)

    def test_watchers_are_the_same_at_all_hosts(self):
        """Guards against a failure domain where no host or every host watches."""
        members = [Member(f"i{i}", "n", "a", f"d{i % 3}") for i in range(90)]
        chosen = watchers(tuple(members), "d1")
        self.assertEqual(len(chosen), N_WATCHERS)
        self.assertEqual(chosen, watchers(tuple(reversed(members)), "d1"))


class TestJoin(unittest.TestCase):
    """When a starting host may serve."""

    def test_host_without_a_set_is_never_ready(self):
        """Guards against a host that serves without knowing the entitlements."""
        network = FakeNetwork(1)
        FakeService(network).down = True
        node = add_host(network, "h0", "d0")
        network.run(60.0)
        self.assertFalse(config_sync_of(node).ready_to_serve(network.now))

    def test_single_host_joins_with_the_service_alone(self):
        """Guards against a first host that waits for peers that do not exist."""
        network = FakeNetwork(2)
        FakeService(network).publish(*make_set(1))
        node = add_host(network, "h0", "d0")
        ready = lambda: config_sync_of(node).ready_to_serve(network.now)  # noqa: E731
        self.assertTrue(network.run(JOIN_TIMEOUT_S, ready))

    def test_isolated_host_joins_late_and_unconfirmed(self):
        """Guards against an isolated host that serves an old set at once."""
        network = FakeNetwork(3)
        FakeService(network).publish(*make_set(1))
        network.extra_entries = [HostEntry("x", "x", "d1")]
        node = add_host(network, "h0", "d0")
        network.run(ISOLATED_JOIN_TIMEOUT_S - 1.0)
        self.assertFalse(config_sync_of(node).ready_to_serve(network.now))
        network.run(3.0)
        self.assertTrue(config_sync_of(node).ready_to_serve(network.now))
        self.assertFalse(config_sync_of(node).confirmed_)

    def test_joining_host_takes_the_highest_generation(self):
        """Guards against a new host that serves an older set of the service."""
        network, service = start_fleet(8, 9)
        service.publish(*make_set(4))
        network.run(5.0)
        service.publish(*make_set(3))
        node = add_host(network, "h20", "d0")
        ready = lambda: config_sync_of(node).ready_to_serve(network.now)  # noqa: E731
        self.assertTrue(network.run(JOIN_TIMEOUT_S, ready))
        self.assertEqual(config_sync_of(node).generation_, 4)
