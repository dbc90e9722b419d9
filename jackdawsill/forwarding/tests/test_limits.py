"""Tests of calls to replicas that state a limit on requests per second."""

import random
import unittest

import msgspec

from jackdawsill.core import EmitEvent, FailureKind
from jackdawsill.forwarding import (
    AttemptAnswered,
    AttemptFailed,
    FleetSize,
    LimitRecorded,
    LimitReported,
    PassAnswer,
    ReplicaRegistry,
    ReplicasChanged,
    SendMerged,
)
from jackdawsill.forwarding._errors import AttemptsFailed, RateLimited
from jackdawsill.forwarding._fleet import COUNT_MARGIN
from jackdawsill.forwarding._limit_handlers import take_limit
from jackdawsill.forwarding._rate_share import RateShare
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    entry,
    fanout_route,
    position_at,
    signed,
    single_route,
)
from jackdawsill.forwarding.tests.test_rate_share import (
    CONTRACT_FACTOR,
    CONTRACT_SLACK,
    CONTRACT_WINDOW_S,
    most_in_window,
)

# With the assumed size of the fleet, this host may send every 256 s.
LOW_LIMIT_PER_S = 0.5


class TestSingleCall(unittest.TestCase):
    """Calls to a service whose replicas state a limit."""

    def setUp(self):
        self.host = GatewayModel(single_route(), domains=("near", "far"))
        self.registry = self.host.state.component(ReplicaRegistry)

    def state_limit(self, name):
        """Let a replica have stated a limit; the next slot is far away."""
        now = self.host.now
        share = RateShare(LOW_LIMIT_PER_S, now, now + 100.0)
        self.registry.replicas_[name].rate_share = share

    def test_other_replica_is_used(self):
        """Guards against requests to a replica in need while another one is free."""
        self.state_limit("docs-near")
        for call_id in range(20):
            (send,) = self.host.call(b"/fetch/1", call_id=call_id)
            self.assertEqual(send.replica, "docs-far")
            self.host.answer(send)

    def test_refused_at_once_without_an_attempt(self):
        """Guards against a call that waits for its deadline, or a wrong Retry-After."""
        self.state_limit("docs-near")
        self.state_limit("docs-far")
        n_before = len(self.host.sent)
        self.host.call(b"/fetch/1", call_id=1)
        self.assertEqual(len(self.host.sent), n_before)
        error = self.host.replies[-1].error
        self.assertIsInstance(error, RateLimited)
        self.host.now += error.retry_after_ms / 1000
        (send,) = self.host.call(b"/fetch/1", call_id=2)
        self.host.call(b"/fetch/1", call_id=3)
        self.assertIsInstance(self.host.replies[-1].error, RateLimited)
        self.host.answer(send)

    def test_retry_keeps_the_limit(self):
        """Guards against retries beyond a limit, and a refusal of what may have run."""
        self.state_limit("docs-far")
        (send,) = self.host.call(b"/fetch/1", call_id=1)
        self.assertEqual(send.replica, "docs-near")
        n_before = len(self.host.sent)
        self.host.fail(send, FailureKind.CRASH)
        self.assertEqual(len(self.host.sent), n_before)
        self.assertIsInstance(self.host.replies[-1].error, AttemptsFailed)

    def test_limit_in_a_refusal(self):
        """Guards against a limit that is overlooked because the attempt was shed."""
        (send,) = self.host.call(b"/fetch/1", call_id=1)
        failed = AttemptFailed(
            send.attempt_id, FailureKind.SHED, "", limit_per_s=LOW_LIMIT_PER_S
        )
        self.host.feed(failed)
        share = self.registry.replicas_[send.replica].rate_share
        self.assertEqual(share.limit_per_s, LOW_LIMIT_PER_S)

    def test_peers_are_told(self):
        """Guards against hosts that each exceed a limit by a first attempt."""
        replica = self.registry.replicas_["docs-near"]

        def reported(limit_per_s, **kwargs):
            """Return the limits that peers are told of after an answer."""
            self.host.now += 1.0
            now = self.host.now
            effects = take_limit(
                self.host.state,
                replica,
                limit_per_s,
                sent_at=now,
                request_id="r1",
                now=now,
                **kwargs,
            )
            events = [e.event for e in effects if isinstance(e, EmitEvent)]
            return [e.limit_per_s for e in events if isinstance(e, LimitRecorded)]

        self.assertEqual(reported(5.0, may_end_for_peers=True), [5.0])
        self.assertEqual(reported(5.0, may_end_for_peers=True), [])
        # An error status without a limit is no evidence for the other hosts.
        self.assertEqual(reported(None, may_end_for_peers=False), [])
        self.assertEqual(reported(5.0, may_end_for_peers=False), [5.0])
        self.assertEqual(reported(None, may_end_for_peers=True), [None])

    def test_limit_known_from_a_peer(self):
        """Guards against an attempt beyond a limit that only peers have been told."""
        for name in ("docs-near", "docs-far"):
            self.host.feed(LimitReported(name, "", LOW_LIMIT_PER_S, 0.0))
        self.host.call(b"/fetch/1", call_id=1)
        self.assertEqual(self.host.sent, [])
        self.assertIsInstance(self.host.replies[-1].error, RateLimited)

    def test_restarted_replica(self):
        """Guards against a limit that outlives the process that stated it."""
        self.state_limit("docs-near")
        again = entry("docs-near", "docs", "near", incarnation="2")
        self.host.feed(ReplicasChanged((again,), (), position_at(60), "store"))
        self.assertIsNone(self.registry.replicas_["docs-near"].rate_share)


class TestFanout(unittest.TestCase):
    """Fan-outs to shards whose replicas state a limit."""

    def setUp(self):
        self.host = GatewayModel(fanout_route(), domains=("near", "far"))
        self.registry = self.host.state.component(ReplicaRegistry)

    def limit_services(self, *services):
        """Let all replicas of the services have stated a limit."""
        now = self.host.now
        for service in services:
            for replica in self.registry.by_service_[service]:
                replica.rate_share = RateShare(LOW_LIMIT_PER_S, now, now + 100.0)

    def test_limit_of_a_part(self):
        """Guards against a limit that is overlooked in the answer of a part."""
        first, *others = self.host.call(b"/sweep/1", call_id=1)
        answer = msgspec.structs.replace(signed(first.replica), limit_per_s=7.0)
        self.host.feed(AttemptAnswered(first.attempt_id, answer))
        for send in others:
            self.host.answer(send)
        limited = {n: r for n, r in self.registry.replicas_.items() if r.rate_share}
        self.assertEqual(list(limited), [first.replica])

    def test_limited_part_is_left_out(self):
        """Guards against a fan-out that waits for a part which it cannot send."""
        self.limit_services("s1")
        sent = self.host.call(b"/sweep/1", call_id=2)
        self.assertEqual(len(sent), 3)
        for send in sent:
            self.host.answer(send)
        self.assertEqual(self.host.replies[-1].answer.n_missing, 1)

    def test_too_few_parts(self):
        """Guards against work of replicas for a fan-out that cannot be answered."""
        self.limit_services("s1", "s2")
        self.assertEqual(self.host.call(b"/sweep/1", call_id=2), [])
        self.assertIsInstance(self.host.replies[-1].error, RateLimited)


class TestLoadOfAFleet(unittest.TestCase):
    """Callers of a whole fleet whose replicas state limits below the load."""

    N_HOSTS = 18
    LIMIT_PER_S = 15.0
    CALLS_PER_S = 90.0
    SECONDS = 20.0

    def play(self, route, services):
        """Play a seeded load; return arrivals by replica, and the replies."""
        rng = random.Random(5)
        hosts = []
        for seed in range(self.N_HOSTS):
            host = GatewayModel(route)
            host.state.rng = random.Random(seed)
            host.state.component(
                ReplicaRegistry
            ).limit_shares.fleet = self.counted_fleet(host.now)
            hosts.append(host)
        arrivals = {}
        start = hosts[0].now
        now = start
        call_id = 0
        while now < start + self.SECONDS:
            now += rng.expovariate(self.CALLS_PER_S)
            host = rng.choice(hosts)
            host.advance(now - host.now)
            call_id += 1
            for send in host.call(route.prefix + b"1", call_id=call_id):
                arrivals.setdefault(send.replica, []).append(now)
                answer = signed(f"{send.attempt_id}")
                if send.replica.partition("-")[0] in services:
                    answer = msgspec.structs.replace(
                        answer, limit_per_s=self.LIMIT_PER_S
                    )
                host.feed(AttemptAnswered(send.attempt_id, answer))
        replies = [reply for host in hosts for reply in host.replies]
        self.assertEqual(len(replies), call_id)
        return arrivals, replies

    def counted_fleet(self, now):
        """Return a fleet that was counted some time ago."""
        fleet = FleetSize()
        for at in (now - 10.0, now):
            fleet.record_count(self.N_HOSTS, at)
        return fleet

    def check_limits(self, arrivals, services):
        allowed = CONTRACT_FACTOR * self.LIMIT_PER_S * CONTRACT_WINDOW_S
        for replica, times in arrivals.items():
            if replica.partition("-")[0] in services:
                settled = [at for at in times if at > min(times) + CONTRACT_WINDOW_S]
                n_most = most_in_window(settled)
                self.assertLessEqual(n_most, allowed + CONTRACT_SLACK, replica)

    def test_all_replicas_limited(self):
        """Guards against replicas above their limits, and callers left without any."""
        arrivals, replies = self.play(single_route(), {"docs"})
        self.check_limits(arrivals, {"docs"})
        served = [r for r in replies if isinstance(r, PassAnswer)]
        share = 3 * self.LIMIT_PER_S / COUNT_MARGIN / self.CALLS_PER_S
        self.assertGreater(len(served) / len(replies), 0.8 * share)
        for reply in replies:
            if not isinstance(reply, PassAnswer):
                self.assertIsInstance(reply.error, RateLimited)

    def test_some_shards_limited(self):
        """Guards against fan-outs refused while enough shards are free."""
        arrivals, replies = self.play(fanout_route(8, min_coverage=0.8), {"s1"})
        self.check_limits(arrivals, {"s1"})
        self.assertTrue(all(isinstance(r, SendMerged) for r in replies))
        n_missing = sum(r.answer.n_missing for r in replies)
        self.assertLess(n_missing / len(replies), 0.75)
