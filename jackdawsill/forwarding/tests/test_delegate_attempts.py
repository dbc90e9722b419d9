"""Attempts of a call that another host goes on with."""

import unittest

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    CallArrived,
    DelegateHost,
    DelegateTable,
    ReplicaRegistry,
    SendAttempt,
)
from jackdawsill.forwarding._reach_handlers import _begin_cut
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    request,
    single_route,
)

VERSION = 7  # of the model's configuration
NEW, OLD = (
    DelegateHost(name, "10.0.0.9:7741", "near", checks_terms=name == "new")
    for name in ("new", "old")
)


class TestHostThatIsCutOff(unittest.TestCase):
    """A host that loses its replicas tells how many attempts may have run."""

    def setUp(self):
        self.host = GatewayModel(single_route())
        self.table = DelegateTable(1000.0, None)
        self.table.set_delegates((NEW,), self.host.now)
        self.host.state.attach(self.table)

    def cut_off(self) -> list[SendAttempt]:
        """Cut the host off from all replicas; return the attempts sent then."""
        reach = self.host.state.component(ReplicaRegistry).reach
        reach.cut_since_ = self.host.now
        reach.next_check_at_ = float("inf")
        effects = _begin_cut(self.host.state, [], self.host.now)
        return [e for e in effects if isinstance(e, SendAttempt)]

    def test_attempts_are_stated(self):
        """Guards against a call that runs on more replicas than its route allows."""
        self.host.call(b"/fetch/1")
        (send,) = self.cut_off()
        self.assertTrue(send.is_delegated)
        self.assertEqual(send.n_attempts_before, 1)

    def test_all_attempts_used(self):
        """Guards against another replica after all attempts may have run."""
        (send,) = self.host.call(b"/fetch/1")
        self.host.fail(send, FailureKind.CRASH)
        self.assertEqual(len(self.host.sent), 2)
        self.assertEqual(self.cut_off(), [])

    def test_older_builds(self):
        """Guards against a host that would use all attempts again."""
        self.table.set_delegates((OLD,), self.host.now)
        self.host.call(b"/fetch/1")
        self.assertEqual(self.cut_off(), [])

    def test_after_the_cut(self):
        """Guards against using all attempts again once the link is back."""
        self.host.call(b"/fetch/1")
        (delegated,) = self.cut_off()
        self.host.state.component(ReplicaRegistry).reach.cut_since_ = None
        n_before = len(self.host.sent)
        self.host.fail(delegated, FailureKind.DECLINED)
        (send,) = self.host.sent[n_before:]
        self.host.fail(send, FailureKind.CRASH)
        self.assertEqual(len(self.host.sent), n_before + 1)
        self.assertEqual(self.host.replies[-1].error.status, 502)


class TestDelegate(unittest.TestCase):
    """A delegate uses the attempts that are left."""

    def arrive(self, n_attempts_before: int) -> SendAttempt:
        """Return the first attempt of a delegated call."""
        self.host = GatewayModel(single_route())
        req = request(b"/fetch/1")
        self.host.feed(CallArrived(1, req, True, VERSION, n_attempts_before))
        (send,) = self.host.sent
        return send

    def test_retries(self):
        """Guards against a retry beyond what the route allows."""
        for n_before, n_sent in (0, 2), (1, 1):
            with self.subTest(n_before=n_before):
                send = self.arrive(n_before)
                self.host.fail(send, FailureKind.CRASH)
                self.assertEqual(len(self.host.sent), n_sent)

    def test_refused_attempts_do_not_count(self):
        """Guards against giving up a call that no replica has run."""
        send = self.arrive(1)
        self.host.fail(send, FailureKind.SHED)
        self.assertEqual(len(self.host.sent), 2)
