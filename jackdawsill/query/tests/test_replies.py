"""Tests of admission and replies while no backend server fails."""

import dataclasses
import unittest

import msgspec

from jackdawsill.core import CallerDisconnected, Policy, SetAccepted
from jackdawsill.exceptions import Outcome
from jackdawsill.query import (
    BadBody,
    BadHeader,
    BadToken,
    Condemned,
    DeadlinePassed,
    EntitlementLost,
    HostStopping,
    NoRoute,
    NoSnapshot,
    NotEntitled,
    NotReady,
)
from jackdawsill.query.tests.fakes import World, object_set
from jackdawsill.stopping import PENDING_WORK_REPORTS, HostPhase


class TestAdmission(unittest.TestCase):
    """A request is checked before any of its sub-requests is sent."""

    def refusal(self, world, error_type, **fields):
        query_id = world.ask(**fields)
        error = world.refusal_of(query_id)
        self.assertIsInstance(error, error_type)
        self.assertEqual(error.outcome, Outcome.NOT_RUN)
        self.assertEqual(world.sent, [])
        self.assertTrue(world.table.is_empty())
        return error

    def test_bad_bodies(self):
        """Guards against request bodies other than JSON objects reaching a replica."""
        for body in (b"", b"{", b"[]", b"7", b"null", b"\xff{}", b"[" * 100_000):
            with self.subTest(body=body[:8]):
                error = self.refusal(World(), BadBody, body=body)
                self.assertEqual(error.status, 400)

    def test_bad_headers(self):
        """Guards against deadlines that break timers, ids that break cancel paths."""
        for deadline_s in (0.0, -1.0, float("nan"), float("inf")):
            self.refusal(World(), BadHeader, deadline_s=deadline_s)
        world = World()
        request = msgspec.structs.replace(self.arrival(world), request_id="a/../b")
        world.feed(request)
        self.assertIsInstance(world.refusal_of(request.query_id), BadHeader)

    def arrival(self, world):
        world.ask(at=world.now)
        return world.queue.pop()[2]

    def test_callers_and_routes(self):
        """Guards against queries without a valid token, route or entitlement."""
        routes = [r for r in object_set().routes.values() if r.name == "press"]
        world = World(object_set(routes=routes))
        self.refusal(world, BadToken, token="other")
        self.refusal(world, NoRoute, route="find")
        self.refusal(world, NotEntitled, token="token2", route="press")

    def test_phase_and_readiness(self):
        """Guards against a joining or stopping host that accepts queries."""
        world = World()
        world.stopping.phase_ = HostPhase.JOINING
        self.refusal(world, NotReady)
        world.stopping.phase_ = HostPhase.DRAINING
        self.refusal(world, HostStopping)
        world.stopping.phase_ = HostPhase.LAMEDUCK
        world.state.objects_ = None
        self.refusal(world, NotReady)

    def test_condemned_request(self):
        """Guards against a condemned request that is accepted with other spacing."""
        world = World()
        query_id = world.ask(b'{"a":1,"b":2}')
        fingerprint = world.table.queries_[query_id].fingerprint
        world.run()
        world.quarantine.condemned_[fingerprint] = world.now + 600
        world.sent.clear()
        self.refusal(world, Condemned, body=b'{ "b": 2, "a": 1 }')

    def test_not_repeatable_route_goes_to_tickets(self):
        """Guards against the fan-out of a request that is not repeatable."""
        world = World()
        query_id = world.ask(route="press")
        self.assertEqual([r.query_id for r in world.tickets.requests], [query_id])
        self.assertEqual(world.sent, [])
        self.assertTrue(world.table.is_empty())

    def test_refused_resend_with_a_ticket(self):
        """Guards against the outcome `not_run` for a ticket that was used earlier."""
        world = World()
        query_id = world.ask(route="press", token="token2", ticket="t")
        error = world.refusal_of(query_id)
        self.assertEqual(error.outcome, Outcome.OUTCOME_UNKNOWN)

    def test_no_snapshot(self):
        """Guards against waiting for the deadline when a group has no snapshot."""
        self.refusal(World(object_set(snapshots=[])), NoSnapshot)


class TestDelivery(unittest.TestCase):
    """Each query gets exactly one reply, and it is correct."""

    def test_complete_answer(self):
        """Guards against lost shards, extra sub-requests and leaked state."""
        world = World()
        query_id = world.ask()
        self.assertEqual(PENDING_WORK_REPORTS["query"](world.state).n_pending, 1)
        world.run()
        answer = world.answer_of(query_id)
        self.assertTrue(answer.complete)
        shards = tuple(f"s{i:03}" for i in range(10))
        self.assertEqual(answer.covered, shards)
        self.assertEqual(tuple(item["id"] for item in answer.items), shards)
        self.assertEqual((answer.snapshot, answer.generation), ("v1", 1))
        self.assertEqual(len(world.sent), 10)
        self.assertTrue(world.table.is_empty())
        self.assertEqual(world.timers, {})
        self.assertEqual(PENDING_WORK_REPORTS["query"](world.state).n_pending, 0)

    def test_items_of_other_classes_are_removed(self):
        """Guards against items whose class is forbidden, absent or malformed."""
        items = [{"class": c} for c in ("open", "shut", "none", None, ["open"])]
        items.append({})
        world = World()
        world.behave = lambda replica, send: (0.01, world.answer(send, items=items))
        query_id = world.ask()
        world.run()
        answer = world.answer_of(query_id)
        self.assertEqual({item["class"] for item in answer.items}, {"open"})
        self.assertEqual(len(answer.covered), 10)

    def test_classes_of_the_newest_set(self):
        """Guards against an answer filtered by the set of the query's arrival."""
        world = World()
        query_id = world.ask()
        callers = [
            dataclasses.replace(c, classes=("shut",))
            for c in world.objects.callers.values()
        ]
        self.accept(world, object_set(callers=callers, generation=2))
        world.run()
        answer = world.answer_of(query_id)
        self.assertEqual((answer.items, answer.generation), ((), 2))

    def accept(self, world, objects):
        world.state.objects_ = objects
        world.feed(SetAccepted(objects.generation, objects.digest))

    def test_route_lost_while_running(self):
        """Guards against an answer to a caller that lost the route meanwhile."""
        for change in ({"callers": []}, {"routes": []}):
            world = World()
            query_id = world.ask()
            self.accept(world, object_set(generation=2, **change))
            world.run()
            error = world.refusal_of(query_id)
            self.assertIsInstance(error, EntitlementLost)
            self.assertEqual(error.outcome, Outcome.PARTLY_RUN)
            self.assertTrue(world.table.is_empty())

    def test_set_without_the_bound_snapshot(self):
        """Guards against failing a query whose snapshot is no longer published."""
        world = World()
        query_id = world.ask()
        self.accept(world, object_set(versions=(2,), generation=2))
        world.run()
        self.assertEqual(world.answer_of(query_id).snapshot, "v1")
        self.assertEqual(world.state.component(type(world.table)).n_unreplied(), 0)

    def test_partial_answer_before_the_deadline(self):
        """Guards against late partial answers with wrong reasons or coverage."""
        for policy in Policy:
            world = World()
            world.behave = lambda replica, send: (
                (None, None) if send.shard == "s003" else (0.01, None)
            )
            start = world.now
            query_id = world.ask(policy=policy, deadline_s=0.2)
            world.run()
            answer = world.answer_of(query_id)
            self.assertFalse(answer.complete)
            self.assertNotIn("s003", answer.covered)
            missing = [(m.shard, m.reason) for m in answer.missing]
            self.assertEqual(missing, [("s003", "no_answer_in_time")])
            self.assertLess(world.replies[query_id][0][0], start + 0.2)
            self.assertTrue(world.table.is_empty())
            self.assertEqual(world.in_flight, {})

    def test_nothing_answers(self):
        """Guards against the outcome `not_run` for a query that may have run."""
        world = World(behave=lambda replica, send: (None, None))
        query_id = world.ask()
        world.run()
        error = world.refusal_of(query_id)
        self.assertIsInstance(error, DeadlinePassed)
        self.assertEqual(error.outcome, Outcome.PARTLY_RUN)
        self.assertTrue(world.table.is_empty())

    def test_disconnected_caller(self):
        """Guards against sub-requests that keep running for a disconnected caller."""
        world = World()
        running = world.ask()
        others = [world.ask(token="token2") for _ in range(30)]
        for query_id in (running, *others):
            world.feed(CallerDisconnected(query_id))
            world.feed(CallerDisconnected(query_id))
        self.assertEqual(len(world.cancelled), len(world.sent))
        self.assertTrue(world.table.is_empty())
        self.assertNotIn(running, world.replies)
        self.assertEqual(world.timers, {})

    def test_late_and_repeated_answers(self):
        """Guards against late answers of a finished query being used or not counted."""
        world = World()
        query_id = world.ask()
        late = [world.answer(send) for send in world.sent]
        world.run()
        world.ask()
        for event in late:
            world.feed(event)
        self.assertEqual(world.counts["answers_discarded"], len(late))
        self.assertEqual(len(world.replies[query_id]), 1)


if __name__ == "__main__":
    unittest.main()
