"""Tests of the quarantine."""

import random
import unittest

from jackdawsill.core import (
    FailureKind,
    HostState,
    SendPeer,
    SetAccepted,
    SubFailed,
    Tick,
    reduce,
)
from jackdawsill.membership import MemberTable
from jackdawsill.membership.tests.network import FakeNetwork
from jackdawsill.objects import ObjectSet, Replica
from jackdawsill.quarantine import (
    CONDEMNED_S,
    CondemnedItem,
    CrashItem,
    Quarantine,
    Verdict,
    request_fingerprint,
)
from jackdawsill.quarantine._notices import NoticeQueue
from jackdawsill.quarantine._quarantine import (
    MAX_CONDEMNED,
    MAX_STRONG_SUSPICIONS,
    MAX_WEAK_SUSPICIONS,
    SAME_CAUSE_S,
    SUSPICION_TTL_S,
)

# Replicas a0 to a9 are in failure domain a, and so on.
DOMAINS = {f"{domain}{i}": domain for domain in "abc" for i in range(10)}


class QuarantineCase(unittest.TestCase):
    """Base of the tests: a quarantine with known failure domains."""

    def setUp(self):
        self.quarantine = Quarantine()
        self.quarantine.failure_domains_ = DOMAINS

    def verdict(self, name="p", now=1.0):
        return self.quarantine.check(name, now)


class TestEvidence(QuarantineCase):
    """Only two independent crashes that point at a fingerprint alone condemn it."""

    def test_second_crash_as_canary_condemns(self):
        """Guards against a poison request that crashes one replica after another."""
        self.assertEqual(self.quarantine.on_crash("a0", ("p", "q"), 0.0), ())
        self.assertEqual(self.verdict(), Verdict.SUSPECT)
        self.assertEqual(self.quarantine.on_crash("b0", ("p",), 0.1), ("p",))
        self.assertEqual(self.verdict(), Verdict.CONDEMNED)
        self.assertEqual(self.verdict("q"), Verdict.SUSPECT)

    def test_two_crashes_while_alone_condemn(self):
        """Guards against a poison request that is never run as a canary."""
        self.quarantine.on_crash("a0", ("p",), 0.0, canary=False)
        condemned = self.quarantine.on_crash("b0", ("p",), 0.1, canary=False)
        self.assertEqual(condemned, ("p",))

    def test_crashes_with_others_in_flight_condemn_nothing(self):
        """Guards against condemning a frequent query, in flight at every crash."""
        for i in range(10):
            names = ("popular", f"q{i}")
            self.assertEqual(
                self.quarantine.on_crash(f"{'abc'[i % 3]}{i}", names, i), ()
            )

    def test_one_replica_that_crashes_again_condemns_nothing(self):
        """Guards against condemning requests because one replica crashes repeatedly."""
        for at in (0.0, 1.0, 30.0):
            self.assertEqual(self.quarantine.on_crash("a0", ("p",), at), ())

    def test_loss_of_a_failure_domain_condemns_nothing(self):
        """Guards against refusing all frequent queries after a rack is lost.

        Each of them is in flight at the crash of several replicas of the rack.
        """
        for seed in range(20):
            self.setUp()
            rng = random.Random(seed)
            popular = [f"q{i}" for i in range(8)]
            now = 0.0
            for i in range(60):
                now += rng.uniform(0, 0.1)
                names = tuple(rng.sample(popular, rng.randint(1, 3)))
                condemned = self.quarantine.on_crash(f"a{i % 10}", names, now)
                self.assertEqual(condemned, ())
                # Canaries in the other domains succeed.
                if rng.random() < 0.3:
                    self.quarantine.on_success(rng.choice(popular), now)

    def test_crashes_of_one_domain_at_different_times_are_independent(self):
        """Guards against a poison request whose replicas share a failure domain."""
        self.quarantine.on_crash("a0", ("p",), 0.0)
        condemned = self.quarantine.on_crash("a1", ("p",), SAME_CAUSE_S + 1)
        self.assertEqual(condemned, ("p",))

    def test_success_clears_earlier_evidence(self):
        """Guards against condemning for two crashes with a success in between."""
        self.quarantine.on_crash("a0", ("p",), 0.0)
        self.quarantine.on_success("p", 0.2)
        self.assertEqual(self.verdict(), Verdict.CLEAR)
        self.assertEqual(self.quarantine.on_crash("b0", ("p",), 60.0), ())
        self.assertEqual(self.verdict(now=60.0), Verdict.SUSPECT)

    def test_success_of_another_sub_request_does_not_clear(self):
        """Guards against clearing a poison request by other sub-requests' answers."""
        self.quarantine.on_crash("a0", ("p", "q"), 0.0)
        self.quarantine.on_success("p", 0.01, canary=False)
        self.assertEqual(self.verdict(), Verdict.SUSPECT)
        self.assertEqual(self.quarantine.on_crash("b0", ("p",), 0.05), ("p",))

    def test_verdicts_expire(self):
        """Guards against refusing a request for ever."""
        self.quarantine.on_crash("a0", ("p", "q"), 0.0)
        self.quarantine.on_crash("b0", ("p",), 0.0)
        self.assertEqual(self.verdict(now=CONDEMNED_S - 1), Verdict.CONDEMNED)
        self.assertEqual(self.verdict(now=CONDEMNED_S), Verdict.CLEAR)
        self.assertEqual(self.verdict("q", SUSPICION_TTL_S), Verdict.CLEAR)

    def test_equal_bodies_have_one_fingerprint(self):
        """Guards against another fingerprint for other spacing or order of keys."""
        first = request_fingerprint("r", b'{"a": 1, "b": [2]}')
        self.assertEqual(first, request_fingerprint("r", b'{"b":[2],"a":1}'))
        self.assertNotEqual(first, request_fingerprint("s", b'{"b":[2],"a":1}'))
        for body in (b"", b"\xff", b"[" * 100_000):
            self.assertEqual(
                request_fingerprint("r", body), request_fingerprint("r", body)
            )


class TestBounds(QuarantineCase):
    """Memory and notices stay bounded however many fingerprints crash replicas."""

    def test_tables_stay_bounded(self):
        """Guards against unbounded memory, and weak evidence displacing strong."""
        self.quarantine.on_crash("a0", ("p",), 0.0)
        for i in range(3 * MAX_WEAK_SUSPICIONS):
            self.quarantine.on_crash("b0", (f"x{i}", f"y{i}"), 0.0)
            self.quarantine.on_peer_condemned(CondemnedItem(f"c{i}", 9.0), 0.0)
        self.assertEqual(len(self.quarantine.weak_suspicions_), MAX_WEAK_SUSPICIONS)
        self.assertEqual(len(self.quarantine.condemned_), MAX_CONDEMNED)
        self.assertEqual(self.verdict(), Verdict.SUSPECT)
        for i in range(3 * MAX_STRONG_SUSPICIONS):
            self.quarantine.on_crash("b0", (f"z{i}",), 0.0)
        self.assertEqual(len(self.quarantine.strong_suspicions_), MAX_STRONG_SUSPICIONS)
        self.quarantine.expire(SUSPICION_TTL_S + 1)
        self.assertFalse(
            self.quarantine.strong_suspicions_ or self.quarantine.weak_suspicions_
        )

    def test_evidence_about_one_fingerprint_stays_bounded(self):
        """Guards against unbounded memory for one fingerprint with many crashes."""
        for i in range(100):
            self.quarantine.on_crash(f"r{i}", ("p", f"q{i}"), 0.0)
        self.assertLess(len(self.quarantine.weak_suspicions_["p"].crashes), 5)

    def test_notices_are_sent_at_a_bounded_rate(self):
        """Guards against a burst of notices after the loss of a failure domain."""
        queue = NoticeQueue(5.0, 20.0, 100)
        for i in range(1000):
            queue.enqueue(i)
        sent = [item for i in range(100) for item in queue.dequeue(i * 0.1)]
        # A burst of 20, 5 items a second for 10 s, and a margin.
        self.assertLess(len(sent), 75)


class TestNotices(QuarantineCase):
    """Evidence and condemnations of one host take effect on all hosts."""

    def test_evidence_of_two_hosts_condemns(self):
        """Guards against a poison request that its caller sends to several hosts."""
        self.quarantine.on_peer_crash(CrashItem("p", "a0", 2.0, True, False), 3.0)
        self.assertEqual(self.verdict(now=3.0), Verdict.SUSPECT)
        self.assertEqual(self.quarantine.on_crash("b0", ("p",), 3.1), ("p",))

    def test_reports_of_one_crash_by_many_hosts_count_once(self):
        """Guards against counting one crash once for each host that reports it."""
        for _ in range(10):
            item = CrashItem("p", "a0", 0.5, True, True)
            self.assertFalse(self.quarantine.on_peer_crash(item, 1.0))

    def test_old_reports_do_not_suspect_a_cleared_fingerprint(self):
        """Guards against suspicion by a crash before the success that cleared it."""
        self.quarantine.on_crash("a0", ("p",), 0.0)
        self.quarantine.on_success("p", 1.0)
        self.quarantine.on_peer_crash(CrashItem("p", "a1", 2.0, True, False), 2.0)
        self.assertEqual(self.verdict(now=2.0), Verdict.CLEAR)

    def test_condemnation_is_never_prolonged_by_copies(self):
        """Guards against hosts that renew one another's condemnation for ever."""
        self.quarantine.on_peer_condemned(CondemnedItem("p", 5.0), 0.0)
        self.quarantine.on_peer_condemned(CondemnedItem("p", 500.0), 1.0)
        self.assertEqual(self.verdict(now=5.0), Verdict.CLEAR)

    def test_condemnation_reaches_the_fleet_and_late_hosts(self):
        """Guards against refusing a condemned request at one host only."""
        network = FakeNetwork(1)
        for i in range(30):
            network.add(f"h{i}", f"d{i % 3}", Quarantine())
        network.run(6.0)
        first = network.nodes[0].state.component(Quarantine)
        first.on_crash("r0", ("p",), network.now)
        network.run(1.0)
        other = network.nodes[9].state.component(Quarantine)
        self.assertEqual(other.check("p", network.now), Verdict.SUSPECT)
        other.on_crash("r1", ("p",), network.now)
        network.add("h40", "d0", Quarantine())

        def everywhere():
            found = {
                n.state.component(Quarantine).check("p", network.now)
                for n in network.live()
            }
            return found == {Verdict.CONDEMNED}

        self.assertTrue(network.run(5.0, everywhere))

    def test_crash_notice_is_sent_before_the_next_tick(self):
        """Guards against fanning out, at another host, a request that just crashed."""
        network = FakeNetwork(1)
        for i in range(3):
            network.add(f"h{i}", f"d{i}", Quarantine())
        network.run(6.0)
        state = network.nodes[0].state
        state.component(Quarantine).on_crash("r0", ("p",), network.now)
        effects = reduce(state, SubFailed(1, FailureKind.CRASH), network.now)
        notified = {e.link_id for e in effects if isinstance(e, SendPeer)}
        self.assertEqual(notified, set(state.component(MemberTable).links_.values()))
        self.assertEqual(len(notified), 2)
        again = reduce(state, SubFailed(2, FailureKind.TIMEOUT), network.now)
        self.assertEqual(again, [])

    def test_failure_domains_come_from_the_accepted_set(self):
        """Guards against evidence that ignores the failure domains of replicas.

        Without links, no notice of the crashes is sent either.
        """
        state = HostState("h", "d", random.Random(1))
        state.attach(Quarantine())
        replicas = {n: Replica(n, "s", "x", 1, "d") for n in ("r0", "r1")}
        state.objects_ = ObjectSet(1, "x", replicas=replicas)
        reduce(state, SetAccepted(1, "x"), 0.0)
        quarantine = state.component(Quarantine)
        quarantine.on_crash("r0", ("p",), 0.0)
        self.assertEqual(quarantine.on_crash("r1", ("p",), 0.1), ())
        self.assertEqual(reduce(state, Tick(), 0.2), [])
