"""Size of the fleet, for bounds that all hosts share."""

from collections import deque

# Assumed until the fleet has been counted: a bound on the fleets of today.
N_HOSTS_ASSUMED = 128
# The largest count of this time is used, since a host that changes its relay is
# missing from the count for a moment.
COUNT_MEMORY_S = 20.0
# A count is used after this time, when the hosts that started together are in it.
COUNT_SETTLED_S = 5.0
# Reserve for hosts that are not counted yet.
RESERVE = 1.25


class FleetSize:
    """Hold the number of hosts that share the bounds of a replica or a budget."""

    __slots__ = ("counts_", "first_at_")

    def __init__(self) -> None:
        self.counts_: deque[tuple[float, int]] = deque()
        self.first_at_: float | None = None

    def record_count(self, n_hosts: int, now: float) -> None:
        """Record a count of the fleet."""
        if self.first_at_ is None:
            self.first_at_ = now
        counts = self.counts_
        while counts and counts[0][0] < now - COUNT_MEMORY_S:
            counts.popleft()
        # Counts below a newer one can never become the largest.
        while counts and counts[-1][1] <= n_hosts:
            counts.pop()
        counts.append((now, n_hosts))

    def divisor(self, now: float) -> float:
        """Return the number of hosts to divide a shared bound by."""
        is_settled = (
            self.first_at_ is not None and now - self.first_at_ >= COUNT_SETTLED_S
        )
        if not is_settled or not self.counts_:
            return float(N_HOSTS_ASSUMED)
        return RESERVE * self.counts_[0][1]
