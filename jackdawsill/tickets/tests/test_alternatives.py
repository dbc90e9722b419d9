"""Shows why tickets are needed.

Each test runs a simpler design until it runs a request twice, then the same trace with
a ticket.
"""

import unittest
from collections import Counter
from dataclasses import dataclass, field

import xxhash

from benchmarks.tickets import HistoryServer
from jackdawsill.core import FailureKind
from jackdawsill.tickets.tests.fleet import Fleet


def owner_of(request_id: str, view: str) -> str:
    """Return the owner of a request by rendezvous hashing over a member view."""
    return max(
        view, key=lambda h: xxhash.xxh3_64_intdigest(f"{request_id}{h}".encode())
    )


@dataclass(slots=True)
class RememberingHost:
    """Host that runs each request id once and knows only its own runs."""

    ran: Counter
    seen: set[str] = field(default_factory=set)

    def run(self, request_id: str) -> None:
        """Run a request unless this host has run it before."""
        if request_id not in self.seen:
            self.seen.add(request_id)
            self.ran[request_id] += 1


class TestAlternatives(unittest.TestCase):
    """Simpler designs that run a request twice."""

    def setUp(self):
        self.ran = Counter()

    def ticket_trace(self):
        """Run the trace of a lost host with a ticket; return the number of runs."""
        fleet = Fleet("abc")
        ticket = fleet.ticket("c")
        first = fleet.ask("c", ticket)
        # The backend server runs the request; the issuer crashes before it replies.
        fleet.hosts["c"].alive = False
        fleet.answer()
        again = fleet.ask("b", ticket)
        fleet.deliver_all()
        self.assertEqual((fleet.code(first), fleet.code(again)), (None, 3009))
        return fleet.ran[b"x"]

    def test_owner_by_hash_under_differing_views(self):
        """An owner chosen by hash differs between hosts with different member views."""
        hosts = {name: RememberingHost(self.ran) for name in "abc"}
        views = {"a": "abc", "b": "ab"}  # "b" has lost contact with "c"
        ids = (f"r{i}" for i in range(100))
        request_id = next(i for i in ids if owner_of(i, views["a"]) == "c")
        for entry in "ab":
            hosts[owner_of(request_id, views[entry])].run(request_id)
        self.assertEqual(self.ran[request_id], 2)
        self.assertEqual(self.ticket_trace(), 1)

    def test_plain_retry_at_another_host(self):
        """Hosts that deduplicate only their own runs repeat a run of another host."""
        for host in (RememberingHost(self.ran), RememberingHost(self.ran)):
            host.run("r1")  # the reply of the first is lost, the caller retries
        self.assertEqual(self.ran["r1"], 2)
        fleet = Fleet("ab")
        ticket = fleet.ticket("a")
        fleet.ask("a", ticket)
        fleet.fail(FailureKind.TIMEOUT, ran=True)
        fleet.ask("b", ticket)
        fleet.deliver_all()
        self.assertEqual((fleet.ran[b"x"], fleet.subs), (1, []))

    def test_client_held_history_without_its_server_record(self):
        """A history kept by the client lacks a request whose reply was lost.

        The server that ran the request detects the outdated history by its hash;
        another server does not have that hash.
        """

        def run(request_id):
            self.ran[request_id] += 1

        server = HistoryServer()
        history = server.run("ana", [], "r1", run)
        server.run("ana", history, "r2", run)  # the reply is lost
        # The server still has the hash, so it refuses the outdated history.
        with self.assertRaises(ValueError):
            server.run("ana", history, "r2", run)
        # A server on another host does not have the hash.
        HistoryServer().run("ana", history, "r2", run)
        self.assertEqual(self.ran["r2"], 2)
        self.assertEqual(self.ticket_trace(), 1)
