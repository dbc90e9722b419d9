"""Searches for orders of events that violate an invariant of forwarded calls."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from jackdawsill.core import SetTimer
from jackdawsill.core.tests.searches import search, search_broken
from jackdawsill.forwarding import _admit, _attempt_handlers, _dispatch, _replies
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding.tests._search import ForwardingMachine

N_STEPS = 40
SEARCH = search(200, N_STEPS)
# Injected faults may need more examples; the search ends at the first violation.
FAULT_SEARCH = search_broken(600, N_STEPS)


class TestForwarding(unittest.TestCase):
    """No order of events violates an invariant."""

    def test_search(self):
        """Guards against calls that run twice, get lost, or end wrongly or late."""
        run_state_machine_as_test(ForwardingMachine, settings=SEARCH)


class TestInjectedFaults(unittest.TestCase):
    """Each check of the search detects a fault injected into the decisions."""

    def finds(self, message: str, *patches) -> None:
        """Assert that the search fails with a message while the patches apply."""
        with self.assertRaisesRegex(AssertionError, message):
            for patch in patches:
                patch.start()
                self.addCleanup(patch.stop)
            run_state_machine_as_test(ForwardingMachine, settings=FAULT_SEARCH)

    def test_repeats(self):
        """Guards against a search that misses a request run twice."""
        retry_or_fail = _attempt_handlers._retry_or_fail

        def always_not_run(state, part, now, *, not_run):
            return retry_or_fail(state, part, now, not_run=True)

        self.finds(
            "may run twice",
            mock.patch.object(_attempt_handlers, "_retry_or_fail", always_not_run),
        )

    def test_wrong_not_run_outcomes(self):
        """Guards against a search that misses a refusal with a wrong outcome."""
        expired = _replies.errors.ExpiredUnsent
        self.finds(
            "may have run",
            mock.patch.object(_replies.errors, "DeadlinePassed", expired),
            mock.patch.object(_replies.errors, "AttemptsFailed", expired),
        )

    def test_too_many_replicas(self):
        """Guards against a search that does not count the attempts of a part."""
        self.finds(
            "too many replicas",
            mock.patch.object(_dispatch, "may_send_more", lambda part: True),
        )

    def test_sends_to_leaving_replicas(self):
        """Guards against a search that misses attempts on leaving replicas."""

        def index_all(registry):
            registry.by_service_ = {}
            for live in registry.replicas_.values():
                registry.by_service_.setdefault(live.entry.service, []).append(live)

        self.finds(
            "leaving replica",
            mock.patch.object(ReplicaRegistry, "_rebuild_index", index_all),
        )

    def test_low_coverage(self):
        """Guards against a search that does not count the merged parts."""
        self.finds(
            "too few parts",
            mock.patch.object(_replies, "n_parts_needed", lambda call: 1),
        )

    def test_late_answers(self):
        """Guards against a search that misses calls without a reply."""
        timer = _dispatch.call_timer

        def late_timer(call, now):
            return SetTimer(call.timer_id, timer(call, now).at_s + 1.0)

        self.finds(
            "not answered",
            mock.patch.object(_attempt_handlers, "call_timer", late_timer),
            mock.patch.object(_admit, "call_timer", late_timer),
        )

    def test_work_for_abandoned_calls(self):
        """Guards against a search that misses work after the caller has left."""
        self.finds("abandoned call", mock.patch.object(_replies, "LINGER_S", 5.0))
