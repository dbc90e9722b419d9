"""Stateful search over orders of ticket events, with faults."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from jackdawsill.core import FailureKind, LinkClosed, StopRequested, Tick, TimerFired
from jackdawsill.core.tests.searches import search, search_broken
from jackdawsill.exceptions import Outcome
from jackdawsill.spread import ConfigSync
from jackdawsill.stopping import HostLifecycle, HostPhase
from jackdawsill.tickets import TicketManager
from jackdawsill.tickets._ledger import Ledger, Record
from jackdawsill.tickets.tests.fleet import Fleet

MAX_HOSTS = 6
N_STEPS = 40
MAY_HAVE_RUN = (FailureKind.CRASH, FailureKind.TIMEOUT, FailureKind.BAD_ANSWER)
OUTCOMES = [None, *MAY_HAVE_RUN, FailureKind.SHED] * 3 + list(FailureKind)
# Not integers(): Hypothesis mixes constants of all imported modules into them, so
# the search would depend on which other tests were loaded.
index = st.sampled_from(range(8))


class TicketMachine(RuleBasedStateMachine):
    """Hosts, callers and backend servers with lost, repeated and late messages."""

    manager_type = TicketManager
    checks_not_run = True

    def __init__(self):
        super().__init__()
        self.fleet = Fleet("abc", self.manager_type)
        self.tickets = []
        self.asked = {}

    def host(self, i):
        """Return the name of a live host."""
        alive = [name for name, host in self.fleet.hosts.items() if host.alive]
        return alive[i % len(alive)]

    @rule(i=index)
    def issue(self, i):
        """A caller requests a ticket."""
        query = self.fleet.ask(self.host(i))
        ticket = getattr(self.fleet.replies.get(query), "ticket", None)
        if ticket is not None:
            self.tickets.append((ticket, f"body {len(self.tickets)}".encode()))

    @precondition(lambda self: self.tickets)
    @rule(hosts=st.lists(index, min_size=1, max_size=3), t=st.sampled_from(range(3)))
    def ask(self, hosts, t):
        """A caller sends one of its latest three requests to some hosts."""
        ticket, body = self.tickets[-1 - t % len(self.tickets)]
        for i in hosts:
            query = self.fleet.ask(self.host(i), ticket, body, deadline_s=2.0)
            self.asked[query] = body

    @rule()
    def all_messages_arrive(self):
        """All messages arrive in order."""
        self.fleet.deliver_all()

    @precondition(lambda self: self.fleet.messages)
    @rule(m=index, fate=st.sampled_from(["arrives", "arrives", "repeats", "lost"]))
    def message(self, m, fate):
        """One message arrives out of order, arrives and stays queued, or is lost."""
        m %= len(self.fleet.messages)
        if fate == "lost":
            del self.fleet.messages[m]
        else:
            self.fleet.deliver(m, keep=fate == "repeats")

    @precondition(lambda self: self.fleet.subs)
    @rule(s=index, kind=st.sampled_from(OUTCOMES), ran=st.booleans())
    def backend(self, s, kind, ran):
        """A backend server answers or fails."""
        s %= len(self.fleet.subs)
        if kind is None:
            self.fleet.answer(s)
        else:
            self.fleet.fail(kind, s, ran=ran and kind in MAY_HAVE_RUN)

    @rule(i=index, gap_s=st.sampled_from([0.01, 0.01, 0.1, 0.4, 3.0, 70.0, 400.0]))
    def time_passes(self, i, gap_s):
        """Time passes; only one host gets a tick, the others appear paused."""
        self.fleet.now += gap_s
        self.fleet.feed(self.host(i), Tick())

    @rule(i=index)
    def timers_fire(self, i):
        """The due timers of a host fire."""
        name = self.host(i)
        for timer_id, at_s in list(self.fleet.hosts[name].timers.items()):
            if at_s <= self.fleet.now:
                del self.fleet.hosts[name].timers[timer_id]
                self.fleet.feed(name, TimerFired(timer_id))

    @rule(i=index, confirmed=st.booleans())
    def confirm(self, i, confirmed):
        """A host's configuration becomes confirmed or unconfirmed."""
        state = self.fleet.hosts[self.host(i)].state
        state.component(ConfigSync).confirmed_ = confirmed

    @rule(i=index, cut=st.booleans())
    def cut(self, i, cut):
        """A host loses or regains its links."""
        names = sorted(self.fleet.hosts)
        name = self.host(i)
        self.fleet.hosts[name].is_isolated = cut
        for peer in names if cut else ():
            event = LinkClosed(10_000 + names.index(name), f"{name}:7000")
            self.fleet.feed(peer, event)

    @precondition(lambda self: len(self.fleet.hosts) < MAX_HOSTS)
    @rule(i=index)
    def crash(self, i):
        """A host crashes and another one starts."""
        self.fleet.hosts[self.host(i)].alive = False
        self.fleet.add_host("abcdefgh"[len(self.fleet.hosts)])

    @precondition(lambda self: len(self.fleet.hosts) < MAX_HOSTS)
    @rule(i=index)
    def stop(self, i):
        """A host starts its handover and another host starts."""
        name = self.host(i)
        self.fleet.add_host("abcdefgh"[len(self.fleet.hosts)])
        self.fleet.feed(name, StopRequested())
        self.fleet.hosts[name].state.component(
            HostLifecycle
        ).phase_ = HostPhase.DRAINING
        self.fleet.feed(name, Tick())

    @invariant()
    def runs_at_most_once(self):
        """Check that no request ran more than once."""
        twice = [body for body, n in self.fleet.ran.items() if n > 1]
        assert not twice, f"{twice} ran more than once"

    @invariant()
    def not_run_is_true(self):
        """Check that a request refused as not run never runs."""
        for query, body in self.asked.items() if self.checks_not_run else ():
            error = getattr(self.fleet.replies.get(query), "error", None)
            if error is not None and error.outcome is Outcome.NOT_RUN:
                assert not self.fleet.ran[body], f"{body} ran in spite of {error}"


class LateLedger(Ledger):
    """Ledger with an injected fault: marks a ticket used when its outcome is known."""

    def use(self, ticket, digest):
        """Return a record without marking the serial used."""
        return Record(ticket.serial, digest, ticket.expires_at)

    def record_outcome(self, record, code, message, answer):
        """Store the record and mark the serial used."""
        record.code, record.answer = code, answer
        self.used_serials_.add(record.serial, record.kept_until)
        self._store(record)


class UsesTicketLate(TicketManager):
    """Manager with an injected fault: the ticket is used after the send."""

    def own_ledger(self, state):
        """Use the broken ledger."""
        ledger = super().own_ledger(state)
        if not isinstance(ledger, LateLedger):
            ledger = LateLedger(ledger.issuer, ledger.key)
            self.ledgers_[ledger.issuer] = ledger
        return ledger


class KeepsDeciding(TicketManager):
    """Manager with an injected fault: it continues to decide after its handover."""

    def begin_handover(self, state, successor, now):
        """Send the ledgers without closing."""
        effects = super().begin_handover(state, successor, now)
        self.closed_ = False
        return effects


class RetriesCrashes(TicketManager):
    """Manager with an injected fault: it sends a request again that may have run."""

    def _finish_unknown(self, state, run, kind, now):
        """Send again."""
        return self._send(state, run, now)


def check(manager_type, settings: settings, checks_not_run: bool = True) -> None:
    """Search with a fixed seed."""
    fields = {"manager_type": manager_type, "checks_not_run": checks_not_run}
    machine = type("Life", (TicketMachine,), fields)
    run_state_machine_as_test(machine, settings=settings)


class TestTicketLife(unittest.TestCase):
    """Searches event orders for second runs and wrong refusals as not run."""

    def test_all_orders(self):
        """Guards against a ticket that runs twice, or after a refusal as not run."""
        check(TicketManager, search(300, N_STEPS))

    def test_broken_decisions_are_caught(self):
        """Guards against a search that cannot find a second run."""
        # Without the check of refusals, the number of runs alone must reveal them.
        for manager_type in (UsesTicketLate, KeepsDeciding, RetriesCrashes):
            with (
                self.subTest(manager_type=manager_type.__name__),
                self.assertRaisesRegex(AssertionError, "ran more than once"),
            ):
                check(manager_type, search_broken(2000, N_STEPS), checks_not_run=False)
