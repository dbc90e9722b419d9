"""Calls that hosts with different versions of the configuration run for each other."""

import unittest

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import (
    PEER,
    AttemptAnswered,
    AttemptFailed,
    CallArrived,
    DelegateHost,
    DelegateTable,
    RefuseCall,
    ReplicaAnswer,
    ReplicaRegistry,
    RouteCatalog,
    RouteSet,
    RoutesRead,
    SendAttempt,
)
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    fanout_route,
    request,
    single_route,
)

VERSION = 7  # of the model's configuration
HOSTS = tuple(
    DelegateHost(f"host-{i}", f"10.0.{i}.9:7741", "near", checks_terms=True)
    for i in range(2)
)


class TestDelegate(unittest.TestCase):
    """A host runs calls of other hosts only by the version that they have."""

    def setUp(self):
        self.host = GatewayModel(fanout_route(), single_route())

    def arrive(self, version: int | None, target: bytes = b"/sweep/1") -> list:
        """Return the effects of a delegated call with a version."""
        req = request(target)
        return self.host.feed(CallArrived(1, req, True, version))

    def test_other_versions_are_declined(self):
        """Guards against answers by an older version, and a 404 for an added route."""
        for version in VERSION - 2, VERSION + 2:
            for target in b"/sweep/1", b"/added/1":
                with self.subTest(version=version, target=target):
                    self.arrive(version, target)
                    reply = self.host.replies[-1]
                    self.assertEqual(type(reply.error).__name__, "DelegationDeclined")
        self.assertEqual(self.host.sent, [])

    def test_without_a_configuration(self):
        """Guards against refusing the caller of a call that other hosts can run."""
        self.host = GatewayModel()
        self.arrive(VERSION)
        (reply,) = self.host.replies
        self.assertEqual(type(reply.error).__name__, "DelegationDeclined")

    def test_own_version_is_run(self):
        """Guards against declining calls that both hosts route in the same way."""
        for version in VERSION, None:
            n_before = len(self.host.sent)
            self.arrive(version)
            self.assertEqual(len(self.host.sent) - n_before, 4)


class _VersionsCase(unittest.TestCase):
    """Test case with a host that knows two delegates."""

    def setUp(self):
        self.host = GatewayModel(fanout_route(n_shards=36), single_route())
        self.catalog = self.host.state.component(RouteCatalog)
        delegates = DelegateTable(7.0, None)
        delegates.set_delegates(HOSTS, self.host.now)
        self.host.state.attach(delegates)

    def decline(self, send: SendAttempt, version: int) -> list[SendAttempt]:
        """Let a delegate with a version decline; return the attempts sent then."""
        n_before = len(self.host.sent)
        failed = AttemptFailed(
            send.attempt_id, FailureKind.DECLINED, delegate_version=version
        )
        self.host.feed(failed)
        return self.host.sent[n_before:]


class TestNarrowHost(_VersionsCase):
    """A host with a narrow link runs what its delegates decline."""

    def test_states_its_version(self):
        """Guards against a delegate that cannot tell which version routed a call."""
        (send,) = self.host.call(b"/sweep/1")
        self.assertTrue(send.is_delegated)
        self.assertEqual(send.config_version, VERSION)

    def test_runs_what_is_declined(self):
        """Guards against refusing a call that this host can run itself."""
        for number, version in enumerate((VERSION - 2, VERSION + 2)):
            with self.subTest(version=version):
                (send,) = self.host.call(b"/sweep/1", call_id=number)
                sent = self.decline(send, version)
                self.assertEqual(len(sent), 36)
                self.assertFalse(any(s.is_delegated for s in sent))

    def test_goes_on_by_its_own_version(self):
        """Guards against waiting for a version that nobody has shown through it."""
        (send,) = self.host.call(b"/sweep/1")
        self.decline(send, VERSION + 2)
        (send,) = self.host.call(b"/fetch/1", call_id=2)
        self.assertFalse(send.is_delegated)

    def test_older_builds(self):
        """Guards against delegating to hosts that do not look at the version."""
        older = DelegateHost("older", "10.0.3.9:7741", "near")
        table = self.host.state.component(DelegateTable)
        table.set_delegates((older,), self.host.now)
        self.assertEqual(len(self.host.call(b"/sweep/1")), 36)
        table.set_delegates((older, *HOSTS), self.host.now)
        (send,) = self.host.call(b"/sweep/2", call_id=2)
        self.assertNotEqual(send.replica, "older")


class TestCutHost(_VersionsCase):
    """A host that reaches no replica never goes back to an older version."""

    def setUp(self):
        super().setUp()
        self.reach = self.host.state.component(ReplicaRegistry).reach
        self.reach.cut_since_ = self.host.now
        self.reach.next_check_at_ = float("inf")

    def test_older_delegate(self):
        """Guards against the configuration of a delegate that lags behind."""
        (send,) = self.host.call(b"/fetch/1")
        (other,) = self.decline(send, VERSION - 2)
        self.assertNotEqual(other.replica, send.replica)
        self.assertEqual(other.config_version, VERSION)

    def test_newer_delegate(self):
        """Guards against refusing calls that only hosts with a later version can run.

        From then on no host with an older one may run them.
        """
        table = self.host.state.component(DelegateTable)
        table.set_delegates(HOSTS[:1], self.host.now)
        (send,) = self.host.call(b"/fetch/1")
        (again,) = self.decline(send, VERSION + 2)
        self.assertEqual(again.config_version, VERSION + 2)
        self.host.feed(AttemptAnswered(again.attempt_id, ReplicaAnswer(200)))
        (send,) = self.host.call(b"/fetch/1", call_id=2)
        self.assertEqual(send.config_version, VERSION + 2)

    def test_behind_after_the_cut(self):
        """Guards against an older version after a later one was shown.

        The host reaches replicas again, but has not read the later version yet.
        """
        (send,) = self.host.call(b"/fetch/1")
        self.decline(send, VERSION + 2)
        self.reach.cut_since_ = None
        (send,) = self.host.call(b"/fetch/1", call_id=2)
        self.assertTrue(send.is_delegated)
        self.assertEqual(send.config_version, VERSION + 2)
        self.host.call(b"/added/1", call_id=3)
        reply = self.host.replies[-1]
        self.assertIsInstance(reply, RefuseCall)
        self.assertEqual(reply.error.status, 503)
        self.assertGreater(reply.error.retry_after_ms, 0)
        routes = RouteSet(VERSION + 2, (single_route(),), {})
        self.host.feed(RoutesRead(routes, PEER))
        (send,) = self.host.call(b"/fetch/1", call_id=4)
        self.assertFalse(send.is_delegated)
        self.host.call(b"/added/1", call_id=5)
        self.assertEqual(self.host.replies[-1].error.status, 404)

    def test_runs_calls_of_others_by_the_stated_version(self):
        """Guards against declining calls of a host that has shown nothing later."""
        (send,) = self.host.call(b"/fetch/1")
        self.decline(send, VERSION + 2)
        self.reach.cut_since_ = None
        self.host.feed(CallArrived(9, request(b"/fetch/1"), True, VERSION))
        self.assertFalse(self.host.sent[-1].is_delegated)
