"""Tests of the ticket manager: issue, use, outcome, expiry and forwarding.

Numbers from 3000 are the error codes of `jackdawsill.tickets._errors`.
"""

import unittest
from dataclasses import replace

import msgspec

from jackdawsill.burn import ErrorBudgets, burn_report
from jackdawsill.core import (
    FailureKind,
    LinkClosed,
    PauseDetected,
    QueryArrived,
    SubAnswered,
    Tick,
    TimerFired,
)
from jackdawsill.exceptions import Outcome
from jackdawsill.membership import MemberTable
from jackdawsill.objects import Objective
from jackdawsill.quarantine import Quarantine
from jackdawsill.routing import ReplicaTable
from jackdawsill.spread import ConfigSync
from jackdawsill.tickets import TicketReply, mark_refusal_unknown
from jackdawsill.tickets._errors import TicketInvalid, TicketNotEntitled
from jackdawsill.tickets._issuer import MAX_WAITERS
from jackdawsill.tickets._ledger import RETENTION_S, TICKET_TTL_S, Ledger
from jackdawsill.tickets.tests.fleet import Fleet


class TestIssuer(unittest.TestCase):
    """Decisions of one issuer."""

    def setUp(self):
        self.fleet = Fleet("abc")

    def test_without_ticket_nothing_is_sent(self):
        """Guards against sending a request whose copies could not be recognised."""
        query = self.fleet.ask("a")
        reply = self.fleet.replies[query]
        self.assertEqual((reply.error.status, self.fleet.subs), (428, []))
        self.assertIs(reply.error.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.fleet.manager("a").ledgers_["a"].n_bytes(), 0)

    def test_resend_gets_the_recorded_answer(self):
        """Guards against a second run, and an answer with the id of another copy."""
        fleet, ticket = self.fleet, self.fleet.ticket("a")
        first = fleet.ask("a", ticket)
        waiting = fleet.ask("a", ticket)
        fleet.answer()
        late = fleet.ask("a", ticket)
        answers = [fleet.replies[q].answer for q in (first, waiting, late)]
        self.assertEqual([a.request_id for a in answers], ["r2", "r3", "r4"])
        # The class "secret" is hidden from this caller.
        self.assertEqual([len(a.items) for a in answers], [1, 1, 1])
        self.assertEqual(answers[0].covered, ("s1",))
        self.assertEqual(fleet.ran, {b"x": 1})

    def test_misused_tickets_are_refused(self):
        """Guards against tickets of another caller, route, body or key."""
        fleet, ticket = self.fleet, self.fleet.ticket("a")
        flip = "A" if ticket[0] != "A" else "B"
        queries = [
            fleet.ask("a", ticket, caller="ben"),
            fleet.ask("a", ticket, route="reorder"),
            fleet.ask("a", flip + ticket[1:]),
            fleet.ask("a", "no ticket"),
            fleet.ask("a", ticket),
            fleet.ask("a", ticket, b"y"),
        ]
        codes = [fleet.code(q) for q in queries]
        self.assertEqual(codes, [3003, 3002, 3002, 3002, None, 3004])
        self.assertEqual(len(fleet.subs), 1)

    def test_another_replica_only_if_not_run(self):
        """Guards against a retry of a request that a replica may have run."""
        fleet = self.fleet
        query = fleet.ask("a", fleet.ticket("a"))
        fleet.fail(FailureKind.SHED)
        fleet.fail(FailureKind.CONNECT)
        self.assertEqual(
            len(fleet.manager("a").subs_[fleet.subs[0][1].sub_id].tried), 3
        )
        fleet.fail(FailureKind.DECLINED)
        self.assertEqual((fleet.code(query), fleet.subs), (3011, []))
        for kind in (
            FailureKind.CRASH,
            FailureKind.TIMEOUT,
            FailureKind.BAD_ANSWER,
            FailureKind.CANCELLED,
        ):
            ticket = fleet.ticket("a")
            body = kind.encode()
            query = fleet.ask("a", ticket, body)
            fleet.fail(kind)
            again = fleet.ask("a", ticket, body)
            self.assertEqual((fleet.code(query), fleet.code(again)), (3009, 3009))
            self.assertEqual(fleet.subs, [])

    def test_crash_reaches_the_quarantine(self):
        """Guards against a request that crashes servers again under a new ticket."""
        fleet = self.fleet
        for _ in range(2):
            fleet.ask("a", fleet.ticket("a"), b"poison")
            fleet.fail(FailureKind.CRASH)
        query = fleet.ask("a", fleet.ticket("a"), b"poison")
        self.assertEqual((fleet.code(query), fleet.subs), (3014, []))
        quarantine = fleet.hosts["a"].state.component(Quarantine)
        self.assertEqual(quarantine.crashes.total(), 2)

    def test_suspect_runs_alone_on_its_replica(self):
        """Guards against a suspected request whose crash fails other requests."""
        fleet = self.fleet
        fleet.ask("a", fleet.ticket("a"), b"suspect")
        fleet.fail(FailureKind.CRASH)
        fleet.ask("a", fleet.ticket("a"), b"suspect")
        refused = fleet.ask("a", fleet.ticket("a"), b"suspect")
        self.assertEqual(fleet.code(refused), 3014)
        for i in range(20):
            fleet.ask("a", fleet.ticket("a"), b"other %d" % i)
        used = [sub.replica for _, sub in fleet.subs]
        self.assertEqual(used.count(used[0]), 1)
        fleet.answer()
        table = fleet.hosts["a"].state.component(ReplicaTable)
        self.assertFalse(table.state_of(used[0]).reserved)

    def test_refusal_as_not_run_is_final(self):
        """Guards against a copy that runs after a refusal with outcome not_run."""
        fleet, ticket = self.fleet, self.fleet.ticket("a")
        objects = fleet.hosts["a"].state.objects_
        fleet.hosts["a"].state.objects_ = replace(objects, routes={})
        query = fleet.ask("a", ticket)
        self.assertEqual(fleet.code(query), 3012)
        fleet.hosts["a"].state.objects_ = objects
        self.assertEqual(fleet.code(fleet.ask("a", ticket)), 3012)
        self.assertEqual(fleet.subs, [])

    def test_delivery_checks_the_newest_set(self):
        """Guards against an answer to a caller that lost access since the send."""
        fleet = self.fleet
        query = fleet.ask("a", fleet.ticket("a"))
        state = fleet.hosts["a"].state
        state.objects_ = replace(state.objects_, routes={})
        fleet.answer()
        self.assertEqual(fleet.code(query), 3013)
        self.assertIs(fleet.replies[query].error.outcome, Outcome.OUTCOME_UNKNOWN)

    def test_expiry_and_retention(self):
        """Guards against outcome not_run for a ticket whose record may be dropped."""
        fleet = self.fleet
        used, unused = fleet.ticket("a"), fleet.ticket("a")
        fleet.ask("a", used)
        fleet.answer()
        fleet.now += TICKET_TTL_S + 1
        expired = fleet.ask("a", unused)
        self.assertEqual(fleet.code(expired), 3005)
        self.assertIsNotNone(fleet.replies[expired].ticket)
        self.assertEqual(fleet.code(fleet.ask("a", used)), 0)
        fleet.now += RETENTION_S
        fleet.feed("a", Tick())
        ledger = fleet.manager("a").ledgers_["a"]
        self.assertEqual(ledger.n_bytes(), 0)
        codes = [fleet.code(fleet.ask("a", t)) for t in (used, unused)]
        self.assertEqual(codes, [3009, 3009])

    def test_no_work_after_a_pause(self):
        """Guards against a host that sends on outdated state after a process pause."""
        fleet = self.fleet
        tickets = [fleet.ticket("a") for _ in range(3)]
        pending = fleet.ask("a", tickets[0])
        spread = fleet.hosts["a"].state.component(ConfigSync)
        spread.confirmed_ = False
        fleet.now += 5.0
        fleet.fail(FailureKind.CONNECT)
        refused = fleet.ask("a", tickets[1])
        self.assertEqual([fleet.code(pending), fleet.code(refused)], [3007, 3007])
        self.assertEqual(fleet.subs, [])
        spread.confirmed_ = True
        fleet.ask("a", tickets[2])
        self.assertEqual(len(fleet.subs), 1)

    def test_an_isolated_host_serves_after_a_pause(self):
        """Guards against a single host that refuses forever after a process pause."""
        fleet = Fleet("a")
        state = fleet.hosts["a"].state
        state.component(ConfigSync).confirmed_ = False
        state.component(MemberTable).confirmed_ = False
        fleet.feed("a", PauseDetected(3.0))
        self.assertEqual(fleet.code(fleet.ask("a", fleet.ticket("a"))), 3007)
        # Membership confirms a host that has had no link for some seconds.
        state.component(MemberTable).confirmed_ = True
        fleet.ask("a", fleet.ticket("a"))
        self.assertEqual(len(fleet.subs), 1)

    def test_deadline_in_a_pause(self):
        """Guards against not_run for a request in flight at its deadline.

        Also guards against another send of a request whose deadline passed in a pause.
        """
        fleet = self.fleet
        not_sent = fleet.ask("a", fleet.ticket("a"), b"1")
        sent = fleet.ask("a", fleet.ticket("a"), b"2")
        fleet.now += 0.5
        fleet.fail(FailureKind.SHED)
        fleet.feed("a", TimerFired(f"tickets:deadline:{sent}"))
        self.assertEqual([fleet.code(not_sent), fleet.code(sent)], [3008, 3010])
        fleet.now += 2.0
        fleet.feed("a", Tick())
        self.assertEqual(fleet.manager("a").n_pending(), 0)

    def test_full_memory_refuses_for_good(self):
        """Guards against unbounded memory, and a run after a refusal as not run."""
        fleet = self.fleet
        manager = fleet.manager("a")
        manager.ledgers_["a"] = Ledger("a", manager.key, max_record_bytes=1000)
        tickets = [fleet.ticket("a") for _ in range(4)]
        queries = [fleet.ask("a", t) for t in tickets[:3]]
        self.assertEqual([fleet.code(q) for q in queries], [None, None, 3006])
        fleet.answer()
        codes = [fleet.code(fleet.ask("a", t)) for t in tickets[2:]]
        self.assertEqual(codes, [3006, 3006])
        fleet.ask("a", fleet.ticket("a"))
        self.assertEqual(len(fleet.subs), 2)
        self.assertLessEqual(manager.ledgers_["a"].n_bytes(), 1400)

    def test_pending_bodies_and_copies_are_bounded(self):
        """Guards against memory that grows with the number of concurrent requests."""
        fleet = self.fleet
        too_long = fleet.ask("a", fleet.ticket("a"), b"x" * 1024 * 1024)
        self.assertEqual(fleet.code(too_long), 3002)
        body, ticket = b"x" * 900 * 1024, fleet.ticket("a")
        queries = [fleet.ask("a", ticket, body) for _ in range(9)]
        self.assertEqual([fleet.code(q) for q in queries], [None] * 8 + [3009])
        fleet.answer()
        self.assertEqual(fleet.manager("a").n_body_bytes_, 0)
        ticket = fleet.ticket("a")
        queries = [fleet.ask("a", ticket) for _ in range(MAX_WAITERS + 1)]
        self.assertEqual(fleet.code(queries[-1]), 3009)

    def test_dropped_answer_is_unknown(self):
        """Guards against a second run when the record was dropped for memory."""
        fleet = self.fleet
        manager = fleet.manager("a")
        manager.ledgers_["a"] = Ledger("a", manager.key, max_record_bytes=1000)
        tickets = [fleet.ticket("a") for _ in range(4)]
        for ticket in tickets:
            fleet.ask("a", ticket)
            fleet.answer()
        codes = [fleet.code(fleet.ask("a", t)) for t in tickets]
        self.assertEqual(codes, [3009, 3009, 3009, 0])
        self.assertEqual(fleet.ran[b"x"], 4)

    def test_refusal_before_the_ticket_is_read(self):
        """Guards against not_run for a resend whose first copy ran on another host."""
        request = QueryArrived(1, "r1", "order", "token-a", b"x", ticket="t")
        # A resend may also differ from the first copy in a bad header.
        for exc in (TicketNotEntitled("no route"), TicketInvalid("bad header")):
            mark_refusal_unknown(request, exc)
            self.assertIs(exc.outcome, Outcome.OUTCOME_UNKNOWN)
        first = TicketNotEntitled("no route")
        mark_refusal_unknown(msgspec.structs.replace(request, ticket=None), first)
        self.assertIs(first.outcome, Outcome.NOT_RUN)
        self.assertIs(TicketNotEntitled("other request").outcome, Outcome.NOT_RUN)

    def test_draining_answer_stops_new_work(self):
        """Guards against requests sent to a replica that is known to be leaving."""
        fleet = self.fleet
        fleet.ask("a", fleet.ticket("a"))
        name, sub = fleet.subs.pop()
        event = SubAnswered(sub.sub_id, sub.request_id, "v1", "s1", [], None, True)
        fleet.feed(name, event)
        table = fleet.hosts["a"].state.component(ReplicaTable)
        self.assertFalse(table.may_use(sub.replica, fleet.now))

    def test_replies_feed_the_error_budgets(self):
        """Guards against ticketed requests missing from the burn report."""
        fleet = self.fleet
        state = fleet.hosts["a"].state
        state.attach(ErrorBudgets("a"))
        objective = Objective("o", "order", 340, 0.99, 0.999, 0.05)
        state.objects_ = replace(state.objects_, objectives={"o": objective})
        fleet.ask("a", fleet.ticket("a"), b"1")
        fleet.answer()
        fleet.ask("a", fleet.ticket("a"), b"2")
        fleet.fail(FailureKind.TIMEOUT)
        fleet.ask("a", "no ticket")
        row = burn_report(state, fleet.now)["series"][0]["windows"]["300"]
        self.assertEqual((row["n"], row["n_slow"], row["n_missing"]), (2, 1, 1))


class TestForward(unittest.TestCase):
    """Requests whose ticket was issued by another host."""

    def setUp(self):
        self.fleet = Fleet("abc")
        self.ticket = self.fleet.ticket("a")

    def test_issuer_decides_once_for_all_hosts(self):
        """Guards against two entry hosts that each send the same request."""
        fleet = self.fleet
        queries = [fleet.ask(name, self.ticket) for name in "bc"]
        fleet.deliver(keep=True)
        fleet.deliver_all()
        self.assertEqual([name for name, _ in fleet.subs], ["a"])
        fleet.answer()
        fleet.deliver_all()
        self.assertEqual([fleet.code(q) for q in queries], [0, 0])

    def test_errors_keep_their_code(self):
        """Guards against a refusal whose outcome changes when it is forwarded."""
        fleet = self.fleet
        query = fleet.ask("b", self.ticket, caller="ben")
        fleet.deliver_all()
        self.assertEqual(fleet.code(query), 3003)
        query = fleet.ask("b", self.ticket)
        call = fleet.manager("b").calls_[query]
        reply = TicketReply(call.forward_id, code=9999)
        fleet.messages[:] = [("a", "b", reply)]
        fleet.deliver_all()
        self.assertEqual(fleet.code(query), 3009)
        # An answer that does not fit into a peer message cannot be forwarded.
        query = fleet.ask("b", fleet.ticket("a"))
        fleet.deliver_all()
        name, sub = fleet.subs.pop()
        items = [{"class": "proof", "text": "x" * 1024 * 1024}]
        fleet.feed(name, SubAnswered(sub.sub_id, sub.request_id, "v1", "s1", items))
        fleet.deliver_all()
        self.assertEqual(fleet.code(query), 3009)

    def test_lost_issuer_is_unknown(self):
        """Guards against outcome not_run when the lost issuer may have sent it."""
        fleet = self.fleet
        fleet.ask("a", self.ticket)
        fleet.hosts["a"].alive = False
        self.assertEqual(fleet.code(fleet.ask("b", self.ticket)), 3009)

    def test_closed_link_repeats_the_forward(self):
        """Guards against a caller that gets no answer because its reply was lost."""
        fleet = self.fleet
        query = fleet.ask("b", self.ticket)
        fleet.deliver()
        fleet.answer()
        fleet.messages.clear()
        fleet.hosts["a"].is_isolated = True
        fleet.feed("b", LinkClosed(10_000, "a:7000"))
        fleet.feed("b", TimerFired(f"tickets:retry:{query}"))
        self.assertEqual(fleet.opened, ["a:7000"])
        fleet.hosts["a"].is_isolated = False
        fleet.feed("b", TimerFired(f"tickets:retry:{query}"))
        fleet.deliver_all()
        self.assertEqual((fleet.code(query), fleet.ran[b"x"]), (0, 1))

    def test_unreachable_issuer_at_the_deadline(self):
        """Guards against outcome not_run when the issuer is unreachable."""
        fleet = self.fleet
        fleet.hosts["a"].is_isolated = True
        query = fleet.ask("b", self.ticket)
        fleet.now += 0.34
        fleet.feed("b", TimerFired(f"tickets:deadline:{query}"))
        self.assertEqual(fleet.code(query), 3010)
        self.assertEqual(fleet.manager("b").n_pending(), 0)
