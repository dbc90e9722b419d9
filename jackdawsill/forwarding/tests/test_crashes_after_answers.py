"""Crashes under requests that replicas have answered before."""

import unittest

from jackdawsill.core import FailureKind
from jackdawsill.forwarding import CallTable, RefuseCall, ReplicaRefused
from jackdawsill.forwarding._crashes import (
    ANSWERED_KEPT_S,
    N_CRASHES_EXCUSED,
    N_CRASHES_TO_SUSPECT,
    Crash,
    CrashEvidence,
)
from jackdawsill.forwarding.tests._replicas_model import (
    N_LATE_ALLOWED,
    POISON,
    Replicas,
)

FINGERPRINT = 7
N_CRASHES_TO_CONDEMN = N_CRASHES_TO_SUSPECT + N_CRASHES_EXCUSED


class TestEvidence(unittest.TestCase):
    """An answer excuses some of the crashes that come after it, and not all."""

    def setUp(self):
        self.evidence = CrashEvidence()
        self.now = 100.0
        self.n_crashes = 0

    def crash(self) -> Crash | None:
        """Crash a replica; return the crash as judged."""
        self.now += 1.0
        self.n_crashes += 1
        number = self.n_crashes
        crash = Crash(f"p{number}", f"r{number}", "1", self.now, self.now - 0.1)
        return self.evidence.on_crash(FINGERPRINT, crash, self.now)

    def is_condemned(self) -> bool:
        """Tell whether the request is condemned now."""
        return self.evidence.is_condemned(FINGERPRINT, self.now)

    def test_answered_before(self):
        """Guards against a request that may crash replicas since it was answered."""
        self.evidence.on_success(FINGERPRINT, self.now)
        for _ in range(N_CRASHES_TO_CONDEMN - 1):
            self.crash()
            self.assertFalse(self.is_condemned())
        self.crash()
        self.assertTrue(self.is_condemned())

    def test_answered_long_before(self):
        """Guards against excusing crashes for an answer that is too old."""
        self.evidence.on_success(FINGERPRINT, self.now)
        self.now += ANSWERED_KEPT_S
        for _ in range(N_CRASHES_TO_SUSPECT):
            self.crash()
        self.assertTrue(self.is_condemned())

    def test_answers_between_crashes(self):
        """Guards against refusing a request beside which others crash replicas."""
        self.evidence.on_success(FINGERPRINT, self.now)
        for _ in range(20):
            for _ in range(N_CRASHES_TO_CONDEMN - 1):
                self.crash()
            self.evidence.on_success(FINGERPRINT, self.now)
            self.assertFalse(self.is_condemned())

    def test_excused_crashes_are_reported(self):
        """Guards against hosts that do not tell others of crashes that they excuse."""
        self.evidence.on_success(FINGERPRINT, self.now)
        self.assertIsNotNone(self.crash())


class TestRequestThatTurnsHarmful(unittest.TestCase):
    """A request that comes all day begins to crash the replicas that run it."""

    def crash(self, replicas: Replicas) -> None:
        """Reset the connections of all replicas that run the poison request."""
        host = replicas.host
        attempts = host.state.component(CallTable).attempts_
        replicas.run_sent()
        while poisoned := [
            send
            for send in host.sent
            if send.req.target == POISON and send.attempt_id in attempts
        ]:
            for send in poisoned:
                host.fail(send, FailureKind.CRASH)
                host.feed(ReplicaRefused(send.replica))
            replicas.run_sent()

    def test_comes_again_and_again(self):
        """Guards against 60 s in which such a request may crash every replica."""
        for idempotent, n_attempts_max in ((True, 2), (False, 1)):
            for interval_s in (0.5, 1.5, 5.0):
                with self.subTest(idempotent=idempotent, interval_s=interval_s):
                    replicas = Replicas(
                        idempotent=idempotent, n_attempts_max=n_attempts_max
                    )
                    replicas.run(3.0)
                    for _ in range(5):
                        replicas.call(POISON, is_harmful=False)
                        replicas.run(1.5)
                    for _ in range(20):
                        replicas.call(POISON)
                        replicas.run(0.1)
                        self.crash(replicas)
                        replicas.run(interval_s - 0.1)
                    self.assertLessEqual(len(replicas.late_requests()), N_LATE_ALLOWED)
                    replicas.call(POISON)
                    self.assertIsInstance(replicas.host.replies[-1], RefuseCall)
