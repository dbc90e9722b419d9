"""Number of hosts in the fleet, by which fleet-wide bounds are divided."""

from collections import deque

# Assumed number of hosts until the fleet has been counted; a larger count is used at
# once.
N_HOSTS_ASSUMED = 128
# The largest count within this time is used, because a host that changes its relay is
# briefly missing from the count.
COUNT_WINDOW_S = 20.0
# Counts may be too small until this long after the first one, when hosts that start
# together are included.
COUNT_WARMUP_S = 5.0
# Margin for hosts that are not counted yet.
COUNT_MARGIN = 1.25


class FleetSize:
    """Hold recent counts of the hosts that share a replica's limit or a budget."""

    __slots__ = ("counts_", "first_count_at_")

    def __init__(self) -> None:
        self.counts_: deque[tuple[float, int]] = deque()
        self.first_count_at_: float | None = None

    def record_count(self, n_hosts: int, now: float) -> None:
        """Record that the fleet has `n_hosts` hosts now."""
        if self.first_count_at_ is None:
            self.first_count_at_ = now
        counts = self.counts_
        while counts and counts[0][0] < now - COUNT_WINDOW_S:
            counts.popleft()
        # A count below a newer one can no longer become the largest.
        while counts and counts[-1][1] <= n_hosts:
            counts.pop()
        counts.append((now, n_hosts))

    def divisor(self, now: float) -> float:
        """Return the number by which a fleet-wide bound is divided."""
        if self.first_count_at_ is None:
            return float(N_HOSTS_ASSUMED)
        counted = COUNT_MARGIN * self.counts_[0][1]
        if now - self.first_count_at_ < COUNT_WARMUP_S:
            return max(counted, N_HOSTS_ASSUMED)
        return counted
