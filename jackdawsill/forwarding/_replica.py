"""State of one replica as observed by this host: latency, failures, backoff."""

import math
import random
from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from jackdawsill.forwarding._model import ReplicaEntry
from jackdawsill.forwarding._rate_share import RateShare

# Observed slowness decays with this time constant, so that a replica that was slow is
# tried again after some seconds.
SLOWNESS_DECAY_S = 2.0
# Refusals decay more slowly, since each further refusal costs a retry.
ACCEPTANCE_DECAY_S = 4.0
# Weight of a new observation; three in a row make up two thirds of the estimate.
SAMPLE_WEIGHT = 0.3
# The slowness of a replica is that of the fastest of this many attempts in a row. A
# pause slows one or two of them down, a loaded or failing replica slows down all.
N_SLOWNESS_SAMPLES = 3
# Bounds of one observation of slowness, as a multiple of the typical latency.
SLOWNESS_MIN, SLOWNESS_MAX = 0.3, 30.0
# Least slowness of a replica that has just started.
COLD_SLOWNESS = 2.0
# A replica on which an attempt takes longer than nearly all others is probably in a
# garbage collection or compaction pause. For this time it counts as stalled, and the
# same time is added to its expected latency.
STALL_S = 0.2
# An aborted attempt counts as a failure of its replica if it took at least this long
# and at least this multiple of the typical latency, both far longer than any pause.
SILENT_MIN_S = 0.25
SILENT_SLOWNESS = 8.0
# Backoff of an ejected replica, doubled by each failed probe.
EJECT_MIN_S, EJECT_MAX_S = 0.25, 4.0
# Failures in a row that eject a replica; single failures are normal.
N_FAILURES_TO_EJECT = 2
# A replica that refuses a connection within this time after it lost one has crashed.
CRASH_CONFIRM_S = 3.0
# So has one whose entry expires, or whose name or address another process takes, within
# this time after it lost a request. Entries expire after three heartbeats, 3.6 s at the
# platform's usual interval.
END_CONFIRM_S = 8.0
# The entry of a process that ends is kept for at most this time.
ENTRY_KEPT_S = 4.0
# A process that crashed does not listen again within this time.
RESTART_MIN_S = 1.0
# Lost requests kept for each replica, to bound memory.
MAX_LOST_KEPT = 16
# Lower bound of the acceptance, so that expected latencies stay finite.
ACCEPTANCE_MIN = 0.05


class LostRequest(msgspec.Struct, frozen=True):
    """A request that got no answer while the replica may have been running it.

    `rtt_s` is the expected round-trip time to the replica. `alive_at` is a time at
    which the replica still ran, if the end of its entry tells one.
    """

    fingerprint: int
    request_id: str
    lost_at: float
    sent_at: float
    rtt_s: float
    alive_at: float | None = None


class LiveReplica(msgspec.Struct, eq=False):
    """Entry of a replica, and what this host's attempts on it have shown."""

    entry: ReplicaEntry
    first_seen_at: float
    in_flight: int = 0
    slowness: float = 1.0  # latency relative to the typical one of the route
    slowness_at: float = 0.0
    recent_slowness: deque[float] = msgspec.field(
        default_factory=lambda: deque([1.0], maxlen=N_SLOWNESS_SAMPLES)
    )
    acceptance: float = 1.0  # fraction of the attempts that were run and answered
    acceptance_at: float = 0.0
    stalled_until: float = 0.0
    n_failures: int = 0
    backoff_s: float = EJECT_MIN_S
    ejected_until: float = 0.0
    rate_share: RateShare | None = None  # while the replica states a limit
    limit_known_at: float = -math.inf  # time of the latest statement, or of none
    held_until: float = 0.0  # end of the time that the replica asked this host for
    lapsed_at: float | None = None  # when its entry expired with the store unreachable
    ended_at: float | None = None  # when it was found to have ended without draining
    # Requests that got no answer, since the last answer to another one.
    lost_requests: list[LostRequest] = msgspec.field(default_factory=list)

    def is_ejected(self, now: float) -> bool:
        """Tell whether the replica gets no new attempts.

        After the backoff it is ejected only while an attempt is in flight, so that one
        attempt at a time probes it.
        """
        if self.ejected_until == 0.0:
            return False
        return now < self.ejected_until or self.in_flight > 0

    def slowness_now(self, now: float) -> float:
        """Return the slowness, decayed since the last observation."""
        decay = math.exp(-max(0.0, now - self.slowness_at) / SLOWNESS_DECAY_S)
        slowness = 1.0 + (self.slowness - 1.0) * decay
        if now < self.first_seen_at + self.entry.cold_s:
            slowness = max(slowness, COLD_SLOWNESS)
        return slowness

    def acceptance_now(self, now: float) -> float:
        """Return the acceptance, decayed since the last observation."""
        decay = math.exp(-max(0.0, now - self.acceptance_at) / ACCEPTANCE_DECAY_S)
        return max(ACCEPTANCE_MIN, 1.0 + (self.acceptance - 1.0) * decay)

    def expected_s(self, typical_s: float, rtt_s: float, now: float) -> float:
        """Return the expected latency of one more attempt, with the cost of refusals.

        `typical_s` is the typical latency of the route.
        """
        queue = max(1.0, (self.in_flight + 1) / max(1, self.entry.n_slots))
        wait_s = typical_s * self.slowness_now(now) * queue
        if now < self.stalled_until:
            wait_s += STALL_S
        # Squared, because a refused attempt costs its own time and a budgeted retry.
        return (rtt_s + wait_s) / self.acceptance_now(now) ** 2

    def on_answer(self, slowness: float, now: float, sent_at: float) -> None:
        """Record an answer, which ends backoff and stall.

        It clears the requests that were lost before its attempt was sent.
        """
        self._record_slowness(slowness, now)
        self._record_acceptance(1.0, now)
        self.stalled_until = 0.0
        self.lost_requests = [r for r in self.lost_requests if r.lost_at > sent_at]
        self.n_failures = 0
        self.ejected_until = 0.0
        self.backoff_s = EJECT_MIN_S

    def on_slow_attempt(self, now: float) -> None:
        """Mark the replica as stalled, because an attempt takes unusually long."""
        self.stalled_until = now + STALL_S

    def on_abort(self, elapsed_s: float, typical_s: float, now: float) -> float:
        """Record an aborted attempt; return the backoff if it ejects, else 0."""
        self._record_slowness(elapsed_s / typical_s, now)
        if elapsed_s < SILENT_MIN_S or elapsed_s < SILENT_SLOWNESS * typical_s:
            return 0.0
        return self.on_failure(now)

    def on_connected(self, now: float) -> None:
        """Drop the requests lost so recently that their process must still listen."""
        self.lost_requests = [
            lost for lost in self.lost_requests if now - lost.lost_at >= RESTART_MIN_S
        ]

    def on_lost(self, lost: LostRequest) -> None:
        """Keep a request that got no answer while it may have been running."""
        if len(self.lost_requests) < MAX_LOST_KEPT:
            self.lost_requests.append(lost)

    def pop_crash_suspects(self, within_s: float, now: float) -> list[LostRequest]:
        """Remove the lost requests; return those lost within a time before."""
        suspects = [r for r in self.lost_requests if now - r.lost_at < within_s]
        self.lost_requests.clear()
        return suspects

    def on_refusal(self, now: float) -> None:
        """Record that an attempt was refused without being run."""
        self._record_acceptance(0.0, now)

    def on_failure(self, now: float, *, eject_at_once: bool = False) -> float:
        """Record a failed attempt; return the backoff if it ejects, else 0.

        `eject_at_once` ejects after a single failure.
        """
        self._record_acceptance(0.0, now)
        self.n_failures += 1
        if now < self.ejected_until:
            # Attempts sent before the ejection may fail after it; they add no evidence.
            return 0.0
        if not eject_at_once and self.n_failures < N_FAILURES_TO_EJECT:
            return 0.0
        backoff_s = self.backoff_s
        self.ejected_until = now + backoff_s
        self.backoff_s = min(2 * backoff_s, EJECT_MAX_S)
        return backoff_s

    def forget_failures(self) -> None:
        """Forget failures that were not the replica's own."""
        self.n_failures = 0
        self.ejected_until = 0.0
        self.backoff_s = EJECT_MIN_S
        self.acceptance = 1.0
        self.stalled_until = 0.0

    def _record_slowness(self, slowness: float, now: float) -> None:
        self.recent_slowness.append(min(max(slowness, SLOWNESS_MIN), SLOWNESS_MAX))
        lowest = min(self.recent_slowness)
        current = self.slowness_now(now)
        self.slowness = current + SAMPLE_WEIGHT * (lowest - current)
        self.slowness_at = now

    def _record_acceptance(self, accepted: float, now: float) -> None:
        current = self.acceptance_now(now)
        self.acceptance = current + SAMPLE_WEIGHT * (accepted - current)
        self.acceptance_at = now


def fastest(
    replicas: Iterable[LiveReplica],
    rtt_s: Callable[[str], float],
    typical_s: float,
    now: float,
    rng: random.Random,
) -> LiveReplica | None:
    """Return the replica with the lowest expected latency, ejected ones last.

    `rtt_s` returns the round-trip time to a failure domain.
    """
    best = None
    best_cost = (True, 0.0)
    for replica in replicas:
        domain_rtt_s = rtt_s(replica.entry.failure_domain)
        # Up to 5 % of noise makes hosts differ in their choice of equal replicas.
        expected_s = replica.expected_s(typical_s, domain_rtt_s, now)
        expected_s *= 1.0 + 0.05 * rng.random()
        cost = (replica.is_ejected(now), expected_s)
        if best is None or cost < best_cost:
            best, best_cost = replica, cost
    return best
