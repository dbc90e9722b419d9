"""Crashes of replicas under requests that still wait for their answer."""

import unittest

from jackdawsill.core import FailureKind, Tick
from jackdawsill.forwarding import (
    AttemptFailed,
    CallTable,
    CrashEvidence,
    RefuseCall,
    ReplicaRefused,
    ReplicaRegistry,
    ReplicasChanged,
    StoreLost,
    StoreRegained,
)
from jackdawsill.forwarding._crashes import fingerprint
from jackdawsill.forwarding._registry import LAPSE_KEPT_S
from jackdawsill.forwarding.tests._gateway_model import (
    GatewayModel,
    entry,
    position_at,
    request,
    single_route,
)

N_REPLICAS = 12
STEP_S = 0.1
WORK_S = 0.05
# Times of the platform: a silent replica's entry is removed, it is back, it no longer
# counts as an accident that a request reaches replicas.
ENTRY_REMOVED_S = 3.6
REPLACED_S = 5.0
STABLE_WINDOW_S = 4.0
N_LATE_ALLOWED = 3
POISON = b"/fetch/poison"


class _Replicas:
    """Replicas of one service; those that run the poison request become silent."""

    def __init__(self, **route) -> None:
        self.host = GatewayModel(single_route(**route), domains=())
        self.revision = 50
        self.n_started = 0
        self.n_calls = 0
        self.n_sent = 0
        self.due: list[tuple[float, object]] = []
        # (time, call id) of each poison request that reached a replica.
        self.reached: list[tuple[float, bytes]] = []
        self.poisoned: dict[str, float] = {}  # replica -> since when it is silent
        self.change(*(self.new_entry() for _ in range(N_REPLICAS)))

    def new_entry(self):
        """Return the entry of another replica."""
        self.n_started += 1
        return entry(f"r{self.n_started}", "docs")

    def change(self, *written, removed=()) -> None:
        """Feed a change of entries in the store."""
        base, self.revision = position_at(self.revision), self.revision + 1
        position = position_at(self.revision)
        changed = ReplicasChanged(written, tuple(removed), position, "store", base)
        self.host.feed(changed)

    def call(self, target: bytes) -> int:
        """Send a request with an id of its own; return the id of the call."""
        self.n_calls += 1
        self.host.call(
            target, self.n_calls, request_id=b"p%d" % self.n_calls, deadline_s=60.0
        )
        self.run_sent()
        return self.n_calls

    def run_sent(self) -> None:
        """Let the replicas begin to run what was sent to them."""
        host = self.host
        for send in host.sent[self.n_sent :]:
            if send.req.target != POISON:
                self.due.append((host.now + WORK_S, lambda s=send: host.answer(s)))
                continue
            self.reached.append((host.now, send.req.request_id))
            if send.replica not in self.poisoned:
                self.poisoned[send.replica] = host.now
                # Connections to it do not open any more.
                host.refusing.add(send.replica)
                removed_at = host.now + ENTRY_REMOVED_S
                self.due.append((removed_at, lambda s=send: self.remove(s.replica)))
                started_at = host.now + REPLACED_S
                self.due.append((started_at, lambda: self.change(self.new_entry())))
        self.n_sent = len(host.sent)

    def remove(self, name: str) -> None:
        """Let the entry of a replica expire."""
        self.change(removed=[name])

    def run(self, seconds: float) -> None:
        """Let time pass, with an ordinary request in each step."""
        for _ in range(round(seconds / STEP_S)):
            self.call(b"/fetch/%d" % self.n_calls)
            self.host.advance(STEP_S)
            is_due = [item for item in self.due if item[0] <= self.host.now]
            self.due = [item for item in self.due if item[0] > self.host.now]
            for _, act in is_due:
                act()
            self.host.feed(Tick())
            self.run_sent()

    def late_requests(self) -> set[bytes]:
        """Return the requests that reached replicas later than the rule allows for."""
        third = sorted(self.poisoned.values())[2]
        return {id_ for at, id_ in self.reached if at > third + STABLE_WINDOW_S}


class TestSilentReplicas(unittest.TestCase):
    """A request under which replicas fall silent is refused, whatever the timeout."""

    def test_comes_again_and_again(self):
        """Guards against requests that end a replica each time on a slow route."""
        for timeout_s in (1.2, 4.0, 12.0, 60.0):
            with self.subTest(timeout_s=timeout_s):
                replicas = _Replicas(timeout_s=timeout_s)
                replicas.run(3.0)
                for _ in range(14):
                    replicas.call(POISON)
                    replicas.run(3.0)
                late = replicas.late_requests()
                self.assertLessEqual(len(late), N_LATE_ALLOWED)
                replicas.call(POISON)
                self.assertIsInstance(replicas.host.replies[-1], RefuseCall)

    def test_requests_that_may_not_be_repeated(self):
        """Guards against the same with one attempt a request."""
        replicas = _Replicas(timeout_s=4.0, idempotent=False, n_attempts_max=1)
        replicas.run(3.0)
        for _ in range(14):
            replicas.call(POISON)
            replicas.run(3.0)
        self.assertLessEqual(len(replicas.late_requests()), N_LATE_ALLOWED)

    def test_replica_replaced_at_its_address(self):
        """Guards against attempts forgotten when another process has the address."""
        replicas = _Replicas(timeout_s=4.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.run(3.0)
        replicas.call(POISON)
        (name,) = replicas.poisoned
        replicas.run(2.0)
        host.call(b"/fetch/other", 900)
        send = host.sent[-1]
        host.state.component(CallTable).attempts_[
            send.attempt_id
        ].replica = host.state.component(ReplicaRegistry).replicas_[name]
        host.fail(send, FailureKind.MISDIRECTED)
        replicas.run(3.0)
        evidence = host.state.component(CrashEvidence)
        self.assertEqual(evidence.count(fingerprint(request(POISON)))[0], 1)


class TestConnectionsLostLater(unittest.TestCase):
    """A connection that is lost after the entry of its replica tells the same."""

    def test_probes_without_an_answer(self):
        """Guards against losses that are noticed after the entry is gone."""
        replicas = _Replicas(timeout_s=60.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.call(POISON)
        (name,) = replicas.poisoned
        (send,) = (s for s in host.sent if s.req.target == POISON)
        replicas.remove(name)
        host.advance(0.2)
        host.feed(AttemptFailed(send.attempt_id, FailureKind.CRASH, "TimeoutError"))
        evidence = host.state.component(CrashEvidence)
        self.assertEqual(evidence.count(fingerprint(request(POISON)))[0], 1)


class TestEntryExpiredWithTheStoreAway(unittest.TestCase):
    """An entry that does not return with the store tells of an end as well."""

    def test_silent_replica(self):
        """Guards against no evidence from crashes while the store was away."""
        replicas = _Replicas(timeout_s=4.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        host.feed(StoreLost("refused"))
        replicas.call(POISON)
        replicas.run(ENTRY_REMOVED_S + 0.1)
        host.feed(StoreRegained())
        replicas.run(LAPSE_KEPT_S + 0.2)
        evidence = host.state.component(CrashEvidence)
        self.assertEqual(evidence.count(fingerprint(request(POISON)))[0], 1)


class TestOutage(unittest.TestCase):
    """Replicas that end together, some with a reset and some in silence."""

    def test_silent_and_reset(self):
        """Guards against refusing a request that one outage has hit several times."""
        replicas = _Replicas(timeout_s=4.0, n_attempts_max=4)
        host = replicas.host
        replicas.run(3.0)
        replicas.call(POISON)
        for _ in range(2):
            send = [s for s in host.sent if s.req.target == POISON][-1]
            host.fail(send, FailureKind.CRASH)
            host.feed(ReplicaRefused(send.replica))
            replicas.run_sent()
        replicas.run(5.0)
        evidence = host.state.component(CrashEvidence)
        self.assertGreaterEqual(evidence.count(fingerprint(request(POISON)))[0], 3)
        n_reached = len(replicas.reached)
        replicas.call(POISON)
        self.assertGreater(len(replicas.reached), n_reached)


class TestReplicasThatLeave(unittest.TestCase):
    """A replica whose entry is removed may still complete what it runs."""

    def test_slow_answers(self):
        """Guards against refusing requests that replicas complete after leaving."""
        replicas = _Replicas(timeout_s=12.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.run(3.0)
        for _ in range(4):
            replicas.call(POISON)
            replicas.run(ENTRY_REMOVED_S + 2.0)
            host.answer(next(s for s in reversed(host.sent) if s.req.target == POISON))
        evidence = host.state.component(CrashEvidence)
        self.assertEqual(evidence.count(fingerprint(request(POISON))), (0, 0))
        n_reached = len(replicas.reached)
        replicas.call(POISON)
        self.assertEqual(len(replicas.reached), n_reached + 1)

    def test_callers_that_left(self):
        """Guards against evidence from attempts that were only aborted early."""
        replicas = _Replicas(timeout_s=12.0, idempotent=False, n_attempts_max=1)
        host = replicas.host
        replicas.run(3.0)
        call_id = replicas.call(POISON)
        (name,) = replicas.poisoned
        host.advance(0.2)
        replicas.remove(name)
        host.leave(call_id)
        host.advance(0.2)
        evidence = host.state.component(CrashEvidence)
        self.assertEqual(evidence.count(fingerprint(request(POISON))), (0, 0))
