"""Observations of one replica by this host."""

from dataclasses import dataclass

from jackdawsill.core import FailureKind, LoadReport

# A leaving replica gets no new work for this time after the last evidence. It covers
# the longest drain that is expected before the process ends.
LEAVING_TTL_S = 30.0
# A replica that returns has cold caches, so its work is ramped up from RAMP_START to
# its full share over RAMP_S.
RAMP_S = 10.0
RAMP_START = 0.1
# First and longest backoff of an ejected replica; each failed probe doubles it.
EJECT_MIN_S = 0.5
EJECT_MAX_S = 30.0
# This many consecutive timeouts or bad answers eject a replica. Single ones are normal,
# since every replica has stragglers at times.
N_FAILURES_TO_EJECT = 3
# Latency assumed for a replica that has not answered yet.
DEFAULT_LATENCY_S = 0.02
# Weight of the newest latency in the moving average.
LATENCY_WEIGHT = 0.2
# A load report (sent with an answer) is ignored when it is older than this.
LOAD_FRESH_S = 0.5

# Failures that eject a replica at their first occurrence.
EJECT_AT_ONCE = frozenset({FailureKind.CRASH, FailureKind.CONNECT})
# Failures that eject a replica after N_FAILURES_TO_EJECT in a row. Those of neither
# set, such as sheds, say nothing about the health of the replica.
CONSECUTIVE_FAILURES = frozenset(
    {FailureKind.TIMEOUT, FailureKind.BAD_ANSWER, FailureKind.STARTING}
)


@dataclass(slots=True)
class ReplicaState:
    """Observations of one replica; all times are monotonic, in seconds."""

    in_flight: int = 0
    latency_s: float = DEFAULT_LATENCY_S
    reported_running: int = 0  # running requests in the last load report
    reported_at: float = float("-inf")
    n_failures: int = 0  # consecutive
    backoff_s: float = EJECT_MIN_S
    ejected_until: float | None = None
    leaving_until: float | None = None
    leaving_start_id: str = ""  # as in `LeavingNotice`
    ramp_started_at: float | None = None
    reserved: bool = False  # for a canary
    # Whether the replica is reserved, ejected, leaving or ramping up. If not, `may_use`
    # is True without further checks, which keeps the common case fast.
    is_restricted: bool = False

    def update_is_restricted(self) -> None:
        """Recompute `is_restricted`."""
        self.is_restricted = (
            self.reserved
            or self.ejected_until is not None
            or self.leaving_until is not None
            or self.ramp_started_at is not None
        )

    def may_use(self, now: float) -> bool:
        """Return whether new work may be sent; drop what has expired.

        When a leaving mark expires, the replica starts to ramp up.
        """
        if not self.is_restricted:
            return True
        if self.leaving_until is not None:
            if now < self.leaving_until:
                return False
            self.leaving_until = None
            self.ramp_started_at = now
        if self.ramp_started_at is not None and now >= self.ramp_started_at + RAMP_S:
            self.ramp_started_at = None
        if self.reserved:
            return False
        if self.ejected_until is not None:
            # After the backoff, the replica is probed with one sub-request at a time.
            return now >= self.ejected_until and self.in_flight == 0
        self.update_is_restricted()
        return True

    def ramp_fraction(self, now: float) -> float:
        """Return the fraction of its full share of work that a replica gets, 0 to 1."""
        if self.ramp_started_at is None:
            return 1.0
        return min(
            1.0, RAMP_START + (1 - RAMP_START) * (now - self.ramp_started_at) / RAMP_S
        )

    def expected_latency_s(self, now: float) -> float:
        """Return the expected latency of one more sub-request in seconds.

        A fresh load report counts if it shows more running requests than this host has
        in flight there.
        """
        n_running = self.in_flight
        if self.reported_running > n_running and now - self.reported_at < LOAD_FRESH_S:
            n_running = self.reported_running
        return (n_running + 1) * self.latency_s

    def on_ended(self) -> None:
        """Count the end of a sub-request in flight."""
        if self.in_flight > 0:
            self.in_flight -= 1

    def on_answer(self, latency_s: float, load: LoadReport | None, now: float) -> None:
        """Record an answer; a replica that was ejected starts to ramp up."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        if load is not None:
            self.reported_running = load.running
            self.reported_at = now
        self.n_failures = 0
        if self.ejected_until is not None:
            self.ejected_until = None
            self.backoff_s = EJECT_MIN_S
            self.ramp_started_at = now
            self.is_restricted = True

    def eject(self, now: float) -> float:
        """Eject the replica for its backoff; return the backoff in seconds."""
        backoff_s = self.backoff_s
        self.ejected_until = now + backoff_s
        self.backoff_s = min(2 * backoff_s, EJECT_MAX_S)
        self.is_restricted = True
        return backoff_s
