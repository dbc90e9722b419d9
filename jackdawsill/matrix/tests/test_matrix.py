"""Tests that run the fault matrix, and tests that its checks can fail."""

import random
import unittest
from unittest import mock

from jackdawsill.core import (
    NOT_RUN_KINDS,
    Answer,
    Exit,
    FailureKind,
    MissingShard,
    SetReadiness,
)
from jackdawsill.matrix import (
    FAULTS,
    STEPS,
    Cell,
    CellResult,
    pair_cells,
    run_cell,
    single_cells,
)
from jackdawsill.matrix._build import build_host
from jackdawsill.matrix._invariants import check_recovery
from jackdawsill.matrix._journal import Attempt, Journal, Reply
from jackdawsill.query import _finish, _results
from jackdawsill.query._merge import merge
from jackdawsill.query._model import Query
from jackdawsill.routing import ReplicaTable
from jackdawsill.spread import ConfigSync
from jackdawsill.spread._pull import SERVICE
from jackdawsill.stopping import HostLifecycle
from jackdawsill.tickets import _issuer

N_PAIRS = 120
PAIR_SEED = 20261204


def cell(fault: str, script: str, step: str) -> Cell:
    """Return the cell of one fault at one step."""
    found = next(s for s in STEPS if (s.script, s.name) == (script, step))
    return Cell(((fault, found),))


def run(fault: str, script: str, step: str) -> CellResult:
    """Run the cell of one fault at one step."""
    return run_cell(cell(fault, script, step), build_host)


class TestMatrix(unittest.TestCase):
    """Guards all invariants under every fault at every step."""

    def test_single_cells(self):
        """Guards against a fault at one step that breaks an invariant."""
        reached = set()
        for tested in single_cells():
            with self.subTest(tested.name, seed=tested.seed):
                result = run_cell(tested, build_host)
                self.assertEqual(result.violations, ())
                self.assertGreater(result.n_answers, 0)
            if result.n_injected:
                reached.add(tested.injections[0][1])
        # A step that no cell reaches would not be tested.
        self.assertEqual(reached, set(STEPS))

    def test_pairs(self):
        """Guards against two faults that together break an invariant."""
        cells = random.Random(PAIR_SEED).sample(list(pair_cells()), N_PAIRS)
        for tested in cells:
            with self.subTest(tested.name, seed=tested.seed):
                self.assertEqual(run_cell(tested, build_host).violations, ())


class TestInvariantsDetectDefects(unittest.TestCase):
    """Guards against checks that pass whatever hosts do.

    Each test patches a defect into the hosts that the named check must report.
    """

    def assert_caught(self, name: str, result: CellResult) -> None:
        """Check that the fault was injected and the named invariant violated."""
        self.assertEqual(result.n_injected, 1)
        caught = {violation.split(":")[0] for violation in result.violations}
        self.assertIn(name, caught)

    def test_answer_of_two_snapshots(self):
        """Guards against a check I1 that passes if hosts accept another snapshot."""
        with mock.patch.object(_results, "_mismatched_field", lambda *args: ""):
            self.assert_caught("I1", run("other_snapshot", "query", "send"))

    def test_coverage_of_missing_shards(self):
        """Guards against a check I2 that passes if missing shards count as covered."""

        def merge_all(query, caller, route, objects):
            answer = merge(query, caller, route, objects)
            names = tuple(task.shard.name for task in query.tasks)
            return type(answer)(
                answer.request_id,
                answer.route,
                answer.snapshot,
                answer.generation,
                True,
                names,
                (),
                answer.items,
            )

        with mock.patch.object(_finish, "merge", merge_all):
            self.assert_caught("I2", run("shedding_all", "query", "admit"))

    def test_answer_of_another_request(self):
        """Guards against a check I3 that passes on answers to another request."""
        with mock.patch.object(_results, "_mismatched_field", lambda *args: ""):
            self.assert_caught("I3", run("foreign_answer", "query", "admit"))

    def test_refusal_of_a_run_request(self):
        """Guards against a check I4 that passes if refusals say not_run after a run."""
        with mock.patch.object(Query, "may_have_run", False):
            self.assert_caught("I4", run("poison", "query", "wait"))

    def test_second_run_after_a_crash(self):
        """Guards against a check I5 that passes if hosts retry after a crash."""
        kinds = NOT_RUN_KINDS | {FailureKind.CRASH}
        with mock.patch.object(_issuer, "NOT_RUN_KINDS", kinds):
            self.assert_caught("I5", run("replica_crash", "ticket", "run"))

    def test_work_for_a_leaving_replica(self):
        """Guards against a check I6 that passes if hosts ignore leaving replicas."""
        with mock.patch.object(ReplicaTable, "mark_leaving", return_value=False):
            self.assert_caught("I6", run("replica_drains", "query", "admit"))

    def test_stop_that_cuts_off_requests(self):
        """Guards against a check I7 that passes if stopped hosts exit at once."""

        def on_stop(self, state, now):
            return [SetReadiness(False), Exit()]

        with mock.patch.object(HostLifecycle, "on_stop", on_stop):
            self.assert_caught("I7", run("straggler", "stop", "request"))

    def test_notices_of_generations_ignored(self):
        """Guards against a check I8 that passes if hosts ignore peers' generations."""

        def on_offer(self, source, *args):
            return offer(self, source, *args) if source == SERVICE else []

        offer = ConfigSync.on_offer
        with mock.patch.object(ConfigSync, "on_offer", on_offer):
            self.assert_caught("I8", run("straggler", "configuration", "publish"))

    def test_late_replies(self):
        """Guards against a deadline check that passes if answers come too late."""
        with mock.patch("jackdawsill.query._admit.ANSWER_MARGIN_S", -0.05):
            self.assert_caught("deadline", run("shedding_all", "query", "admit"))

    def test_missing_replies(self):
        """Guards against a check of replies that passes if expired queries get none."""
        with mock.patch("jackdawsill.query._handlers.finish", lambda *args: None):
            self.assert_caught("replies", run("straggler", "query", "admit"))


class TestRecovery(unittest.TestCase):
    """Guards the recovery check, which no single defect above violates."""

    def test_journals_without_recovery(self):
        """Guards against passing a fleet that stays down or answers incompletely."""
        self.assertTrue(check_recovery(Journal(), {}))
        attempt = Attempt("ana", "search", b"{}", "h1", 1.0, 0.34)
        self.assertTrue(check_recovery(Journal(final=[attempt]), {}))
        missing = (MissingShard("s0", "connect"),)
        answer = Answer("r", "search", "archivo-1", 1, False, (), missing, ())
        attempt.replies.append(Reply(1.1, "h1", answer=answer))
        self.assertTrue(check_recovery(Journal(final=[attempt]), {}))


class TestRegistries(unittest.TestCase):
    """Guards the size of the matrix."""

    def test_every_fault_meets_every_step(self):
        """Guards against a fault or step left out, and cells of equal name and seed."""
        names = {tested.name for tested in single_cells()}
        self.assertEqual(len(names), len(FAULTS) * len(STEPS))
