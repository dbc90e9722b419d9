"""A live replica as this host observes it."""

import math
from collections import deque

import msgspec

from jackdawsill.forwarding._model import ReplicaEntry

# An observation loses its weight with this time constant, so that a replica that was
# slow is tried again after some seconds.
MEMORY_S = 2.0
# Refusals are remembered longer, since each one that is met again costs a retry.
ACCEPTANCE_MEMORY_S = 4.0
# Weight of a new observation: three in a row make up two thirds of the estimate.
SAMPLE_WEIGHT = 0.3
# A replica counts as slow as the fastest of this many attempts in a row: pauses make
# one or two of them slow, a loaded or failing replica makes all of them slow.
N_SLOW_TO_BELIEVE = 3
# Bounds of one observation of slowness, as a multiple of the usual time.
SLOWNESS_MIN, SLOWNESS_MAX = 0.3, 30.0
# A replica that has just started works slower than its peers.
COLD_SLOWNESS = 2.0
# A replica that did not answer for longer than nearly all attempts is likely to be
# in a garbage collection or compaction pause; it is avoided for this time.
STALL_S = 0.2
# An attempt that is aborted after this time and this multiple of the usual one, far
# over any pause, counts as a failure of its replica.
SILENT_MIN_S = 0.25
SILENT_SLOWNESS = 8.0
# Backoff of a replica whose attempts fail, doubled by each failed probe.
EJECT_MIN_S, EJECT_MAX_S = 0.25, 4.0
# Failures in a row that eject; single ones are routine.
N_FAILURES_TO_EJECT = 2
# A replica that refuses connections within this time after it lost some has crashed.
CRASH_CONFIRM_S = 3.0
# Lost requests remembered for each replica, which bounds memory.
MAX_LOST_KEPT = 16
# The acceptance of a replica that refuses everything, so that costs stay finite.
ACCEPTANCE_MIN = 0.05


class LiveReplica(msgspec.Struct, eq=False):
    """An entry with what the attempts of this host showed; times in seconds."""

    entry: ReplicaEntry
    seen_at: float
    in_flight: int = 0
    slowness: float = 1.0  # time of an attempt over the usual one of its route
    slowness_at: float = 0.0
    recent: deque[float] = msgspec.field(
        default_factory=lambda: deque([1.0], maxlen=N_SLOW_TO_BELIEVE)
    )
    acceptance: float = 1.0  # part of the attempts that were run and answered
    acceptance_at: float = 0.0
    stalled_until: float = 0.0
    n_failures: int = 0
    backoff_s: float = EJECT_MIN_S
    ejected_until: float = 0.0
    lapsed_at: float | None = None  # its entry expired while the store was away
    # Requests whose connections were lost since the last answer: time, fingerprint
    # and request id.
    lost: list[tuple[float, int, str]] = msgspec.field(default_factory=list)

    def is_ejected(self, now: float) -> bool:
        """Tell whether new work avoids the replica; one attempt at a time probes."""
        if self.ejected_until == 0.0:
            return False
        return now < self.ejected_until or self.in_flight > 0

    def slowness_now(self, now: float) -> float:
        """Return the expected slowness; old observations fade."""
        fade = math.exp(-max(0.0, now - self.slowness_at) / MEMORY_S)
        slowness = 1.0 + (self.slowness - 1.0) * fade
        if now < self.seen_at + self.entry.cold_s:
            slowness = max(slowness, COLD_SLOWNESS)
        return slowness

    def acceptance_now(self, now: float) -> float:
        """Return the expected part of attempts that are answered."""
        fade = math.exp(-max(0.0, now - self.acceptance_at) / ACCEPTANCE_MEMORY_S)
        return max(ACCEPTANCE_MIN, 1.0 + (self.acceptance - 1.0) * fade)

    def expected_s(self, usual_s: float, distance_s: float, now: float) -> float:
        """Return the expected time of one more attempt."""
        queue = max(1.0, (self.in_flight + 1) / max(1, self.entry.n_slots))
        wait_s = usual_s * self.slowness_now(now) * queue
        if now < self.stalled_until:
            wait_s += STALL_S
        # Squared, because a refused attempt costs its time and a scarce retry.
        return (distance_s + wait_s) / self.acceptance_now(now) ** 2

    def on_answer(self, slowness: float, now: float) -> None:
        """Learn from an answer, which ends any suspicion."""
        self._learn_slowness(slowness, now)
        self._learn_acceptance(1.0, now)
        self.stalled_until = 0.0
        self.lost.clear()
        self.n_failures = 0
        self.ejected_until = 0.0
        self.backoff_s = EJECT_MIN_S

    def on_silence(self, now: float) -> None:
        """Avoid the replica for a moment: an attempt takes unusually long."""
        self.stalled_until = now + STALL_S

    def on_abort(self, elapsed_s: float, usual_s: float, now: float) -> float:
        """Learn from an attempt without an answer; return the backoff if it ejects."""
        self._learn_slowness(elapsed_s / usual_s, now)
        if elapsed_s < SILENT_MIN_S or elapsed_s < SILENT_SLOWNESS * usual_s:
            return 0.0
        return self.on_failure(now)

    def on_lost(self, fingerprint: int, request_id: str, now: float) -> None:
        """Remember a request whose connection was lost while it may have run."""
        if len(self.lost) < MAX_LOST_KEPT:
            self.lost.append((now, fingerprint, request_id))

    def take_suspects(self, now: float) -> list[tuple[int, str]]:
        """Return the requests lost just before the replica refused a connection."""
        suspects = [
            (key, request_id)
            for at, key, request_id in self.lost
            if now - at < CRASH_CONFIRM_S
        ]
        self.lost.clear()
        return suspects

    def on_refusal(self, now: float) -> None:
        """Learn that an attempt was refused without being run."""
        self._learn_acceptance(0.0, now)

    def on_failure(self, now: float, *, at_once: bool = False) -> float:
        """Learn from a failed attempt; return the backoff if it ejects, else 0."""
        self._learn_acceptance(0.0, now)
        self.n_failures += 1
        if now < self.ejected_until:
            # Attempts sent before an ejection fail after it and add no evidence.
            return 0.0
        if not at_once and self.n_failures < N_FAILURES_TO_EJECT:
            return 0.0
        backoff_s = self.backoff_s
        self.ejected_until = now + backoff_s
        self.backoff_s = min(2 * backoff_s, EJECT_MAX_S)
        return backoff_s

    def _learn_slowness(self, slowness: float, now: float) -> None:
        self.recent.append(min(max(slowness, SLOWNESS_MIN), SLOWNESS_MAX))
        bounded = min(self.recent)
        current = self.slowness_now(now)
        self.slowness = current + SAMPLE_WEIGHT * (bounded - current)
        self.slowness_at = now

    def _learn_acceptance(self, accepted: float, now: float) -> None:
        current = self.acceptance_now(now)
        self.acceptance = current + SAMPLE_WEIGHT * (accepted - current)
        self.acceptance_at = now
