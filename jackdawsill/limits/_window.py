"""Admission window: the adaptive number of queries that one group runs at once."""

# Factor of the window after a congested query.
DECREASE_FACTOR = 0.8
# Increase of a full window, per window of uncongested queries. It is small, because all
# hosts that share a group increase at the same time: with 0.5, 12 hosts stayed at four
# times the load that their backend servers took without shedding.
INCREASE_STEP = 0.15
# A window below 1 is enforced by a pause between queries. This is needed when many
# hosts share a group that can run only a few queries.
MIN_WINDOW = 0.1
# A query is congested above this fraction of shed sub-requests, or above this ratio of
# its mean latency to the lowest recent one.
SHED_FRACTION_CONGESTED = 0.02
LATENCY_RATIO_CONGESTED = 3.0
# The lowest mean latency covers the current and the previous period of this length.
MIN_LATENCY_PERIOD_S = 30.0
SAMPLE_WEIGHT = 0.1  # of a new sample in the moving averages
# Assumed service time before the first query has finished.
DEFAULT_SERVICE_S = 0.05


class AdmissionWindow:
    """Adapt the number of running queries to the free capacity of a group.

    Averaged over all shards of a query, the latency of sub-requests varies little. So
    the ratio of this mean to the lowest recent mean shows queueing at the backend
    servers. `service_s` is the time until a query is released from the window, which
    may be before its reply; `reply_s` is the time until the reply. Both are moving
    averages.
    """

    __slots__ = (
        "decreased_at",
        "maximum",
        "min_latency_s",
        "period_ends_at",
        "previous_min_latency_s",
        "reply_deviation_s",
        "reply_s",
        "service_s",
        "value",
    )

    def __init__(self, start: float, maximum: float) -> None:
        self.value = min(max(start, 1.0), maximum)
        self.maximum = maximum
        self.service_s = DEFAULT_SERVICE_S
        self.reply_s = DEFAULT_SERVICE_S
        self.reply_deviation_s = 0.0
        self.min_latency_s = float("inf")
        self.previous_min_latency_s = float("inf")
        self.period_ends_at = float("-inf")
        self.decreased_at = float("-inf")

    def n_allowed(self) -> int:
        """Return how many queries may run at once."""
        return max(1, int(self.value))

    def rate(self) -> float:
        """Return the expected number of queries that are released per second."""
        return self.value / self.service_s

    def finish_within_s(self) -> float:
        """Return the time in s within which most replies are sent.

        It is the mean plus the mean deviation.
        """
        return self.reply_s + self.reply_deviation_s

    def pause_s(self) -> float:
        """Return the pause after a query that enforces a window below 1, else 0."""
        if self.value >= 1.0:
            return 0.0
        return self.service_s * (1.0 / self.value - 1.0)

    def on_ended(self, reply_s: float, is_late: bool, now: float) -> None:
        """Update the reply time after a reply; a late one decreases the window."""
        deviation_s = reply_s - self.reply_s
        self.reply_s += SAMPLE_WEIGHT * deviation_s
        self.reply_deviation_s += SAMPLE_WEIGHT * (
            abs(deviation_s) - self.reply_deviation_s
        )
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
        """Update the window and the service time after a query was released.

        The window grows only if it was full.
        """
        self.service_s += SAMPLE_WEIGHT * (service_s - self.service_s)
        if now >= self.period_ends_at:
            self.previous_min_latency_s = self.min_latency_s
            self.min_latency_s = float("inf")
            self.period_ends_at = now + MIN_LATENCY_PERIOD_S
        if mean_latency_s > 0:
            self.min_latency_s = min(self.min_latency_s, mean_latency_s)
        min_latency_s = min(self.min_latency_s, self.previous_min_latency_s)
        if (
            shed_fraction > SHED_FRACTION_CONGESTED
            or mean_latency_s > LATENCY_RATIO_CONGESTED * min_latency_s
        ):
            self._decrease(now)
        elif was_full and self.value < self.maximum:
            step = INCREASE_STEP / max(self.value, 1.0)
            self.value = min(self.maximum, self.value + step)

    def _decrease(self, now: float) -> None:
        if now - self.decreased_at >= self.service_s:
            self.value = max(MIN_WINDOW, self.value * DECREASE_FACTOR)
            self.decreased_at = now
