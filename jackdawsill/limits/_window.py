"""Adaptive number of queries that run at a time in one group."""

# Decrease after a query that met congestion, and increase by each window of
# queries that met none. The increase is small, because hosts that share a group
# grow at the same time: a step of 0.5 kept 12 hosts at four times the load that
# their backend servers took without shedding.
DECREASE_FACTOR = 0.8
INCREASE = 0.15
# A window below one query is kept by a pause between queries, which matters when
# many hosts share a group that can run only a few queries.
MIN_WINDOW = 0.1
# Shed fraction and latency ratio of a query above which the group is congested.
SHED_FRACTION_CONGESTED = 0.02
LATENCY_RATIO_CONGESTED = 3.0
# The lowest mean latency is remembered for one to two of these periods.
BASE_PERIOD_S = 30.0
SERVICE_WEIGHT = 0.1
# Assumed time of a query before the first one has finished.
DEFAULT_SERVICE_S = 0.05


class QueryWindow:
    """Adapt the number of running queries to the capacity that is left.

    The mean latency of a query's sub-requests over all its shards varies little,
    so its ratio to the lowest one shows queueing at the backend servers.
    """

    __slots__ = (
        "base_before_s",
        "base_ends_at",
        "base_s",
        "decreased_at",
        "maximum",
        "service_s",
        "total_dev_s",
        "total_s",
        "value",
    )

    def __init__(self, start: float, maximum: float) -> None:
        self.value = min(max(start, 1.0), maximum)
        self.maximum = maximum
        self.service_s = DEFAULT_SERVICE_S
        self.total_s = DEFAULT_SERVICE_S
        self.total_dev_s = 0.0
        self.base_s = float("inf")
        self.base_before_s = float("inf")
        self.base_ends_at = float("-inf")
        self.decreased_at = float("-inf")

    def n_allowed(self) -> int:
        """Return how many queries may run."""
        return max(1, int(self.value))

    def rate(self) -> float:
        """Return the expected number of queries that leave the window per second."""
        return self.value / self.service_s

    def expected_s(self) -> float:
        """Return the time within which most queries finish."""
        return self.total_s + self.total_dev_s

    def pause_s(self) -> float:
        """Return the pause after a query that keeps a window below one."""
        if self.value >= 1.0:
            return 0.0
        return self.service_s * (1.0 / self.value - 1.0)

    def on_ended(self, total_s: float, is_late: bool, now: float) -> None:
        """Learn from the reply to a query; a late one shows congestion."""
        error_s = total_s - self.total_s
        self.total_s += SERVICE_WEIGHT * error_s
        self.total_dev_s += SERVICE_WEIGHT * (abs(error_s) - self.total_dev_s)
        if is_late:
            self._decrease(now)

    def on_released(
        self,
        service_s: float,
        mean_latency_s: float,
        shed_fraction: float,
        was_full: bool,
        now: float,
    ) -> None:
        """Learn from a query that leaves the window."""
        self.service_s += SERVICE_WEIGHT * (service_s - self.service_s)
        if now >= self.base_ends_at:
            self.base_before_s = self.base_s
            self.base_s = float("inf")
            self.base_ends_at = now + BASE_PERIOD_S
        if mean_latency_s > 0:
            self.base_s = min(self.base_s, mean_latency_s)
        base_s = min(self.base_s, self.base_before_s)
        if (
            shed_fraction > SHED_FRACTION_CONGESTED
            or mean_latency_s > LATENCY_RATIO_CONGESTED * base_s
        ):
            self._decrease(now)
        elif was_full and self.value < self.maximum:
            step = INCREASE / max(self.value, 1.0)
            self.value = min(self.maximum, self.value + step)

    def _decrease(self, now: float) -> None:
        if now - self.decreased_at >= self.service_s:
            self.value = max(MIN_WINDOW, self.value * DECREASE_FACTOR)
            self.decreased_at = now
