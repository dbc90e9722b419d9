"""Tests of the host lifecycle and the handover of tickets."""

import unittest

from jackdawsill.core import (
    FailureKind,
    SetReadiness,
    StopRequested,
    Tick,
    TimerFired,
    reduce,
)
from jackdawsill.membership import MemberTable
from jackdawsill.peers import Decoder, encode
from jackdawsill.spread import ConfigSync
from jackdawsill.stopping import HostLifecycle, HostPhase, _log_events
from jackdawsill.tickets._handover import CHUNK_BYTES
from jackdawsill.tickets._ledger import RETENTION_S, TICKET_TTL_S
from jackdawsill.tickets.tests.fleet import Fleet


class LifecycleFleet(Fleet):
    """Fleet whose hosts can stop and whose time advances in ticks."""

    def run_for(self, seconds: float) -> None:
        """Advance the time; hosts get ticks and their due timers."""
        end_at = self.now + seconds
        while self.now < end_at:
            self.now += 0.1
            for name, host in list(self.hosts.items()):
                self.feed(name, Tick())
                for timer_id, fires_at in list(host.timers.items()):
                    if fires_at <= self.now:
                        del host.timers[timer_id]
                        self.feed(name, TimerFired(timer_id))

    def phase(self, name: str) -> HostPhase:
        """Return the phase of a host."""
        return self.hosts[name].state.component(HostLifecycle).phase_

    def stop(self, name: str) -> None:
        """Stop a host and run until its handover phase."""
        self.feed(name, StopRequested())
        self.run_for(5.4)  # 5 s of lameduck, then draining without pending work


class TestPhases(unittest.TestCase):
    """Order and time limits of the phases."""

    def test_joining_waits_for_the_object_set(self):
        """Guards against a host that serves before it has the newest object set."""
        fleet = Fleet("a")
        state = fleet.hosts["a"].state
        state.attach(HostLifecycle())
        # `Fleet` attaches a fake of `ConfigSync` with this attribute.
        state.component(ConfigSync).is_ready = False
        self.assertEqual(reduce(state, Tick(), fleet.now), [])
        self.assertFalse(state.component(HostLifecycle).accepts_requests())
        state.component(ConfigSync).is_ready = True
        self.assertIn(SetReadiness(True), reduce(state, Tick(), fleet.now))
        self.assertTrue(
            state.ready_ and state.component(HostLifecycle).accepts_requests()
        )

    def test_lameduck_accepts_requests(self):
        """Guards against refusals while the load balancer still sends requests."""
        fleet = LifecycleFleet("ab")
        effects = reduce(fleet.hosts["a"].state, StopRequested(), fleet.now)
        self.assertIn(SetReadiness(False, "stopping"), effects)
        fleet.carry_out("a", effects)
        fleet.run_for(4.8)
        self.assertIs(fleet.phase("a"), HostPhase.LAMEDUCK)
        self.assertTrue(
            fleet.hosts["a"].state.component(HostLifecycle).accepts_requests()
        )
        fleet.feed("a", StopRequested())
        self.assertIn(_log_events.STOP_REPEATED, fleet.logs)

    def test_draining_waits_for_pending_work(self):
        """Guards against a stop that drops a running request."""
        fleet = LifecycleFleet("ab")
        fleet.feed("a", StopRequested())
        fleet.run_for(4.9)
        query = fleet.ask("a", fleet.ticket("a"), deadline_s=8.0)
        fleet.run_for(3.0)
        self.assertIs(fleet.phase("a"), HostPhase.DRAINING)
        fleet.answer()
        fleet.run_for(0.2)
        self.assertEqual(fleet.code(query), 0)
        self.assertIs(fleet.phase("a"), HostPhase.HANDOVER)

    def test_stop_is_bounded(self):
        """Guards against a stop that waits forever for a peer or a request.

        Without a linked peer there is no successor, and the request is never answered.
        """
        for names in ("a", "ab"):
            fleet = LifecycleFleet(names)
            fleet.ask("a", fleet.ticket("a"), deadline_s=100.0)
            fleet.feed("a", StopRequested())
            fleet.run_for(5.0 + 30.0 + 30.0 + 0.6)
            self.assertEqual(fleet.exits, ["a"])
            self.assertIn(_log_events.HANDOVER_LOST, fleet.logs)
            self.assertIn(_log_events.DRAIN_INCOMPLETE, fleet.logs)

    def test_stop_while_joining(self):
        """Guards against a host that cannot stop before it has an object set."""
        fleet = LifecycleFleet("a")
        fleet.hosts["a"].state.attach(HostLifecycle())
        fleet.feed("a", StopRequested())
        fleet.run_for(4.0)
        self.assertEqual(fleet.exits, ["a"])


class TestHandover(unittest.TestCase):
    """Handover of the tickets of a stopping host."""

    def setUp(self):
        self.fleet = LifecycleFleet("abc")
        # Makes "b" the only possible successor, for a deterministic test.
        self.fleet.hosts["c"].is_isolated = True
        self.used, self.unused = self.fleet.ticket("a"), self.fleet.ticket("a")
        self.fleet.ask("a", self.used, b"used")
        self.fleet.answer()

    def deliver_chunks(self):
        self.fleet.deliver_all()
        self.fleet.run_for(0.3)
        self.fleet.hosts["c"].is_isolated = False

    def test_successor_answers_for_the_stopped_host(self):
        """Guards against void tickets and second runs after a planned stop.

        The successor needs the records of the stopped host to accept its unused
        tickets and to repeat the outcomes of used ones.
        """
        fleet = self.fleet
        fleet.stop("a")
        self.assertEqual(fleet.exits, [])
        self.deliver_chunks()
        self.assertEqual((fleet.exits, fleet.tombstones), (["a"], {"a": "b"}))
        queries = [
            fleet.ask("c", self.used, b"used"),
            fleet.ask("c", self.unused, b"unused"),
            fleet.ask("b", self.unused, b"unused"),
        ]
        fleet.deliver_all()
        fleet.answer()
        fleet.deliver_all()
        self.assertEqual([fleet.code(q) for q in queries], [0, 0, 0])
        self.assertEqual(fleet.ran, {b"used": 1, b"unused": 1})

    def test_chain_of_handovers(self):
        """Guards against tickets that are lost when the successor stops as well."""
        fleet = self.fleet
        fleet.stop("a")
        self.deliver_chunks()
        fleet.stop("b")
        self.deliver_chunks()
        self.assertEqual(fleet.exits, ["a", "b"])
        self.assertEqual(fleet.tombstones, {"a": "b", "b": "c"})
        self.assertEqual(fleet.code(fleet.ask("c", self.used, b"used")), 0)
        fleet.now += TICKET_TTL_S
        self.assertEqual(fleet.code(fleet.ask("c", self.unused)), 3005)
        fleet.run_for(0.1)
        fleet.now += RETENTION_S
        fleet.feed("c", Tick())
        self.assertEqual(list(fleet.manager("c").ledgers_), ["c"])

    def test_issuer_stays_stopped_after_a_lost_handover(self):
        """Guards against an issuer that resumes because it got no acknowledgement.

        The successor may have received the state and decide by it.
        """
        for n_delivered in (0, 1):
            with self.subTest(n_delivered=n_delivered):
                self.setUp()
                fleet = self.fleet
                fleet.stop("a")
                late = fleet.ask("a", self.unused, b"unused")
                for _ in range(n_delivered):
                    fleet.deliver()
                fleet.messages.clear()
                fleet.run_for(3.5)
                self.assertEqual(fleet.exits, ["a"])
                self.assertIn(_log_events.HANDOVER_LOST, fleet.logs)
                self.assertEqual(fleet.code(late), 3010)
                fleet.ask("b", self.unused, b"unused")
                self.assertEqual(len(fleet.subs), n_delivered)

    def test_crash_at_each_step(self):
        """Guards against a second run when either host crashes during a handover."""
        for n_delivered in range(4):
            for crashed in "bc":
                with self.subTest(n_delivered=n_delivered, crashed=crashed):
                    self.setUp()
                    fleet = self.fleet
                    fleet.stop("a")
                    self.deliver_chunks()
                    # "b" holds two ledgers now, so it sends two chunks to "c".
                    fleet.add_host("d")
                    fleet.hosts["d"].is_isolated = True
                    fleet.stop("b")
                    self.assertEqual(len(fleet.messages), 2)
                    for _ in range(n_delivered):
                        if fleet.messages:
                            fleet.deliver()
                    fleet.hosts[crashed].alive = False
                    fleet.messages.clear()
                    fleet.hosts["d"].is_isolated = False
                    for body, ticket in ((b"used", self.used), (b"new", self.unused)):
                        # Each host is asked twice, so that a second run would show.
                        for name in "dbc" * 2:
                            fleet.ask(name, ticket, body)
                            fleet.deliver_all()
                            while fleet.subs:
                                fleet.answer()
                    self.assertLessEqual(max(fleet.ran.values()), 1)
                    received = crashed == "b" and n_delivered >= 2
                    self.assertEqual(fleet.ran[b"new"], int(received))

    def test_repeated_and_late_chunks_change_nothing(self):
        """Guards against an outdated chunk that replaces newer records."""
        fleet = self.fleet
        fleet.stop("a")
        fleet.deliver(keep=True)  # the chunk arrives again below
        fleet.ask("b", self.unused, b"unused")
        fleet.answer()
        fleet.deliver_all()
        fleet.ask("b", self.unused, b"unused")
        self.assertEqual((fleet.ran[b"unused"], fleet.subs), (1, []))

    def test_pending_forward_is_answered_before_the_exit(self):
        """Guards against a forwarded request that is dropped while its issuer stops."""
        fleet = self.fleet
        fleet.hosts["a"].state.component(HostLifecycle).phase_ = HostPhase.DRAINING
        query = fleet.ask("b", self.unused, b"unused", deadline_s=2.0)
        fleet.deliver()
        fleet.hosts["a"].state.component(HostLifecycle).drain_deadline_at_ = fleet.now
        fleet.run_for(0.1)
        fleet.deliver_all()
        fleet.run_for(0.3)
        self.assertEqual((fleet.phase("a"), fleet.exits), (HostPhase.HANDOVER, []))
        fleet.answer()
        fleet.deliver_all()
        fleet.run_for(0.3)
        self.assertEqual((fleet.code(query), fleet.exits), (0, ["a"]))

    def test_running_request_is_unknown_at_the_successor(self):
        """Guards against a second run of a request that ran during the handover."""
        fleet = self.fleet
        fleet.hosts["a"].state.component(HostLifecycle).phase_ = HostPhase.DRAINING
        fleet.ask("a", self.unused, b"unused", deadline_s=50.0)
        fleet.run_for(0.1)
        self.assertIs(fleet.phase("a"), HostPhase.HANDOVER)
        fleet.deliver_all()
        self.assertEqual(fleet.code(fleet.ask("b", self.unused, b"unused")), 3009)
        fleet.fail(FailureKind.SHED)
        self.assertEqual(fleet.subs, [])

    def test_chunks_are_small(self):
        """Guards against lost records, and chunks so large that they delay pings."""
        fleet = self.fleet
        manager = fleet.manager("a")
        for _ in range(600):
            fleet.ask("a", fleet.ticket("a"), b"small")
            fleet.answer()
        for _ in range(40):
            fleet.ask("a", fleet.ticket("a"), b"big")
            run = next(iter(manager.runs_.values()))
            answer = b'{"snapshot":"v1","generation":1,"shard":"s1","items":[]}'
            answer = answer.ljust(20_000)
            manager._finish(fleet.hosts["a"].state, run, answer, fleet.now)
            fleet.subs.clear()
        fleet.stop("a")
        chunks = [m for _, _, m in fleet.messages]
        self.assertGreater(len(chunks), 10)
        self.assertLess(max(len(encode(chunk)) for chunk in chunks), CHUNK_BYTES)
        decoded = list(Decoder().feed(b"".join(encode(chunk) for chunk in chunks)))
        self.assertEqual(decoded, chunks)
        fleet.deliver_all()
        self.assertEqual(len(fleet.manager("b").ledgers_["a"].records_), 641)
        self.assertEqual(fleet.manager("b").ledgers_["a"].n_running_, 0)

    def test_successor_prefers_another_failure_domain(self):
        """Guards against a handover to a host that stops soon as well."""
        fleet = self.fleet
        fleet.hosts["c"].is_isolated = False
        state = fleet.hosts["c"].state
        member = state.component(MemberTable).self_member
        state.component(MemberTable).self_member = type(member)("c", "c", "c:1", "cali")
        fleet.stop("a")
        self.assertEqual({peer for _, peer, _ in fleet.messages}, {"c"})
