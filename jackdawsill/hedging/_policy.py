"""Hedge delay of each service, derived from a quantile of its recent latencies."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

HEDGE_QUANTILE = 0.95
# Below this number of samples a quantile of 0.95 rests on fewer than five
# answers, so the default delay is used.
N_SAMPLES_MIN = 100
DEFAULT_DELAY_S = 0.05
# The delay exceeds the quantile by this factor. Histogram values are rounded to two
# digits, so a service whose answers all take the same time could otherwise be hedged
# just before each answer.
DELAY_FACTOR = 1.05
# A shorter delay would hedge on scheduling noise of this host.
MIN_DELAY_S = 0.002
# The quantile covers the current and the previous half window: 15 to 30 s.
HALF_WINDOW_S = 15.0
# The delay is cached for this time, because computing a percentile scans the whole
# histogram, which takes about 15 us.
REFRESH_S = 5.0
# Histograms count in units of 0.1 ms up to 60 s with two digits and 32-bit counters,
# and take about 5 KB each.
UNIT_S = 1e-4
MAX_UNITS = 600_000
N_DIGITS = 2
WORD_BYTES = 4


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_UNITS, N_DIGITS, WORD_BYTES)


@dataclass(slots=True)
class _ServiceLatencies:
    """Latencies of one service in the current and the previous half window."""

    rotate_at: float
    current: HdrHistogram = field(default_factory=_histogram)
    previous: HdrHistogram | None = None
    delay_s: float = DEFAULT_DELAY_S
    refresh_at: float = float("-inf")


class HedgePolicy:
    """Hold the delay after which a sub-request is hedged, for each service."""

    __slots__ = ("quantile", "services_")

    def __init__(self, quantile: float = HEDGE_QUANTILE) -> None:
        self.quantile = quantile
        self.services_: dict[str, _ServiceLatencies] = {}

    def delay_s(self, service: str, now: float) -> float:
        """Return the hedge delay of a service in seconds.

        It is DEFAULT_DELAY_S with fewer than N_SAMPLES_MIN answers.
        """
        latencies = self.services_.get(service)
        if latencies is None:
            return DEFAULT_DELAY_S
        if now >= latencies.refresh_at:
            self._refresh(latencies, now)
        return latencies.delay_s

    def on_answer(self, service: str, latency_s: float, now: float) -> None:
        """Record a latency, or the time until a sub-request was cancelled."""
        latencies = self.services_.get(service)
        if latencies is None:
            latencies = self.services_[service] = _ServiceLatencies(now + HALF_WINDOW_S)
        if now >= latencies.rotate_at:
            latencies.previous = latencies.current
            latencies.current = _histogram()
            latencies.rotate_at = now + HALF_WINDOW_S
        units = int(latency_s / UNIT_S)
        latencies.current.record_value(min(max(units, 1), MAX_UNITS))

    def prune(self, known: dict) -> None:
        """Remove services that are not in `known`, the services of the accepted set."""
        for name in [n for n in self.services_ if n not in known]:
            del self.services_[name]

    def _refresh(self, latencies: _ServiceLatencies, now: float) -> None:
        histograms = [latencies.current]
        if latencies.previous is not None:
            histograms.append(latencies.previous)
        total = sum(histogram.total_count for histogram in histograms)
        if total < N_SAMPLES_MIN:
            # The default is not cached, so return before the slow percentiles.
            latencies.delay_s = DEFAULT_DELAY_S
            return
        weighted = 0.0
        for histogram in histograms:
            if histogram.total_count:
                value = histogram.get_value_at_percentile(100 * self.quantile)
                # The sample-weighted mean of both quantiles approximates the quantile
                # of all samples. Adding up two histograms of a thousand counters would
                # be slower.
                weighted += histogram.total_count * value
        quantile_s = weighted / total * UNIT_S
        latencies.delay_s = max(MIN_DELAY_S, DELAY_FACTOR * quantile_s)
        latencies.refresh_at = now + REFRESH_S
