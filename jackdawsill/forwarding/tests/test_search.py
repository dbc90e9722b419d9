"""Searches for orders of events that break a promise of forwarded calls."""

import unittest
from unittest import mock

from hypothesis.stateful import run_state_machine_as_test

from jackdawsill.core import SetTimer
from jackdawsill.core.tests.searches import search, search_broken
from jackdawsill.forwarding import _admit, _dispatch, _finish, _outcomes
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding.tests._search import ForwardingLife

N_STEPS = 40
SEARCH = search(200, N_STEPS)
# Broken decisions are found in more examples, which end at the first finding.
BROKEN = search_broken(600, N_STEPS)


class TestForwarding(unittest.TestCase):
    """No order of events breaks a promise."""

    def test_search(self):
        """Guards against calls run twice, lost, answered wrongly or too late."""
        run_state_machine_as_test(ForwardingLife, settings=SEARCH)


class TestBrokenDecisions(unittest.TestCase):
    """Each check finds a decision that was broken on purpose."""

    def finds(self, message: str, *patches) -> None:
        """Assert that the search fails with a message under the patches."""
        with self.assertRaisesRegex(AssertionError, message):
            for patch in patches:
                patch.start()
                self.addCleanup(patch.stop)
            run_state_machine_as_test(ForwardingLife, settings=BROKEN)

    def test_repeats(self):
        """Guards against a search that does not see a request run twice."""
        after = _outcomes._after_failure

        def always_unrun(state, part, now, *, not_run):
            return after(state, part, now, not_run=True)

        self.finds(
            "may run twice",
            mock.patch.object(_outcomes, "_after_failure", always_unrun),
        )

    def test_untrue_refusals(self):
        """Guards against a search that does not see an untrue refusal."""
        expired = _finish.errors.ExpiredUnsent
        self.finds(
            "may have run",
            mock.patch.object(_finish.errors, "DeadlinePassed", expired),
            mock.patch.object(_finish.errors, "AttemptsFailed", expired),
        )

    def test_too_many_replicas(self):
        """Guards against a search that does not count replicas."""
        self.finds(
            "too many replicas",
            mock.patch.object(_dispatch, "may_send_more", lambda part: True),
        )

    def test_leaving_replicas(self):
        """Guards against a search that does not see sends to leaving replicas."""

        def index_all(registry):
            registry.by_service_ = {}
            for live in registry.replicas_.values():
                registry.by_service_.setdefault(live.entry.service, []).append(live)

        self.finds("leaves", mock.patch.object(ReplicaRegistry, "_index", index_all))

    def test_low_coverage(self):
        """Guards against a search that does not count parts."""
        self.finds(
            "too few parts",
            mock.patch.object(_finish, "n_parts_needed", lambda call: 1),
        )

    def test_late_answers(self):
        """Guards against a search that does not see calls without an end."""
        timer = _dispatch.call_timer

        def late_timer(call, now):
            return SetTimer(call.timer_id, timer(call, now).at_s + 1.0)

        self.finds(
            "not answered",
            mock.patch.object(_outcomes, "call_timer", late_timer),
            mock.patch.object(_admit, "call_timer", late_timer),
        )

    def test_work_for_nobody(self):
        """Guards against a search that does not see work after the caller left."""
        self.finds("works for nobody", mock.patch.object(_finish, "LINGER_S", 5.0))
