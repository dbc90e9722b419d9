"""State of one replica as this host observes it."""

from dataclasses import dataclass

from jackdawsill.core import FailureKind, LoadReport

# A leaving replica takes no new work for this time after the last evidence; it
# covers the longest drain expected before the process has gone.
LEAVING_TTL_S = 30.0
# A replica that returns has cold caches and is ramped from 10% to full.
RAMP_S = 10.0
RAMP_START = 0.1
# Backoff of an ejected replica, doubled by each failed probe.
EJECT_MIN_S = 0.5
EJECT_MAX_S = 30.0
# Timeouts and bad answers eject only in a row, because stragglers are routine.
N_FAILURES_TO_EJECT = 3
# Assumed latency of a replica that has not answered yet.
DEFAULT_LATENCY_S = 0.02
LATENCY_WEIGHT = 0.2
# An in-band load report older than this says nothing about the load now.
LOAD_FRESH_S = 0.5

EJECT_AT_ONCE = frozenset({FailureKind.CRASH, FailureKind.CONNECT})
COUNTED_FAILURES = frozenset(
    {FailureKind.TIMEOUT, FailureKind.BAD_ANSWER, FailureKind.STARTING}
)


@dataclass(slots=True)
class ReplicaState:
    """Observations of one replica; times are monotonic seconds."""

    in_flight: int = 0
    latency_s: float = DEFAULT_LATENCY_S
    load: int = 0
    load_at: float = float("-inf")
    n_failures: int = 0
    backoff_s: float = EJECT_MIN_S
    ejected_until: float | None = None
    leaving_until: float | None = None
    leaving_start_id: str = ""
    ramp_from: float | None = None
    reserved: bool = False
    # Whether any of the fields above is set; the common path checks only this.
    flagged: bool = False

    def update_flag(self) -> None:
        """Recompute `flagged`."""
        self.flagged = (
            self.reserved
            or self.ejected_until is not None
            or self.leaving_until is not None
            or self.ramp_from is not None
        )

    def may_use(self, now: float) -> bool:
        """Tell whether new work may be sent; expired marks are dropped."""
        if not self.flagged:
            return True
        if self.leaving_until is not None:
            if now < self.leaving_until:
                return False
            self.leaving_until = None
            self.ramp_from = now
        if self.ramp_from is not None and now >= self.ramp_from + RAMP_S:
            self.ramp_from = None
        if self.reserved:
            return False
        if self.ejected_until is not None:
            # After the backoff, one sub-request at a time probes the replica.
            return now >= self.ejected_until and self.in_flight == 0
        self.update_flag()
        return True

    def ramp(self, now: float) -> float:
        """Return the fraction of its usual work that a replica takes."""
        if self.ramp_from is None:
            return 1.0
        return min(1.0, RAMP_START + (1 - RAMP_START) * (now - self.ramp_from) / RAMP_S)

    def cost(self, now: float) -> float:
        """Return the expected wait of one more sub-request."""
        n_running = self.in_flight
        if self.load > n_running and now - self.load_at < LOAD_FRESH_S:
            n_running = self.load
        return (n_running + 1) * self.latency_s

    def on_ended(self) -> None:
        """Count the end of a sub-request in flight."""
        if self.in_flight > 0:
            self.in_flight -= 1

    def on_answer(self, latency_s: float, load: LoadReport | None, now: float) -> None:
        """Learn from an answer; a replica that was ejected returns cold."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        if load is not None:
            self.load = load.running
            self.load_at = now
        self.n_failures = 0
        if self.ejected_until is not None:
            self.ejected_until = None
            self.backoff_s = EJECT_MIN_S
            self.ramp_from = now
            self.flagged = True

    def eject(self, now: float) -> float:
        """Stop using the replica for its backoff, which is returned."""
        backoff_s = self.backoff_s
        self.ejected_until = now + backoff_s
        self.backoff_s = min(2 * backoff_s, EJECT_MAX_S)
        self.flagged = True
        return backoff_s
