"""Hedge delay of each service, learned from the latencies of its answers."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

HEDGE_QUANTILE = 0.95
# Below this number of samples a quantile of 0.95 rests on fewer than five
# answers, so the default delay is used.
N_SAMPLES_MIN = 100
DEFAULT_DELAY_S = 0.05
# A service whose answers all take the same time would be hedged just before
# each answer, because histogram values are rounded to two digits.
DELAY_FACTOR = 1.05
# A shorter delay would hedge on scheduling noise of this host.
MIN_DELAY_S = 0.002
# The quantile covers between one and two half windows.
HALF_WINDOW_S = 15.0
# A percentile visits the whole histogram, about 15 us, so it is kept this long.
REFRESH_S = 5.0
# Histograms count in units of 0.1 ms up to 60 s with two digits and 32-bit
# counters, about 5 KB each.
UNIT_S = 1e-4
MAX_UNITS = 600_000
N_DIGITS = 2
WORD_BYTES = 4


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_UNITS, N_DIGITS, WORD_BYTES)


@dataclass(slots=True)
class _Learned:
    """Latencies of one service in the current and the previous half window."""

    rotate_at: float
    current: HdrHistogram = field(default_factory=_histogram)
    previous: HdrHistogram | None = None
    delay_s: float = DEFAULT_DELAY_S
    refresh_at: float = float("-inf")


class HedgePolicy:
    """Learn the delay after which a sub-request is sent to a second replica."""

    __slots__ = ("learned_", "quantile")

    def __init__(self, quantile: float = HEDGE_QUANTILE) -> None:
        self.quantile = quantile
        self.learned_: dict[str, _Learned] = {}

    def delay_s(self, service: str, now: float) -> float:
        """Return the hedge delay of a service in seconds."""
        learned = self.learned_.get(service)
        if learned is None:
            return DEFAULT_DELAY_S
        if now >= learned.refresh_at:
            self._refresh(learned, now)
        return learned.delay_s

    def on_answer(self, service: str, latency_s: float, now: float) -> None:
        """Record a latency; for a cancelled sub-request, the time it had taken."""
        learned = self.learned_.get(service)
        if learned is None:
            learned = self.learned_[service] = _Learned(now + HALF_WINDOW_S)
        if now >= learned.rotate_at:
            learned.previous = learned.current
            learned.current = _histogram()
            learned.rotate_at = now + HALF_WINDOW_S
        units = int(latency_s / UNIT_S)
        learned.current.record_value(min(max(units, 1), MAX_UNITS))

    def prune(self, known: dict) -> None:
        """Forget services that the newest set does not contain."""
        for name in [n for n in self.learned_ if n not in known]:
            del self.learned_[name]

    def _refresh(self, learned: _Learned, now: float) -> None:
        histograms = [learned.current]
        if learned.previous is not None:
            histograms.append(learned.previous)
        total = sum(histogram.total_count for histogram in histograms)
        if total < N_SAMPLES_MIN:
            # Counted before any percentile is taken: services with few samples
            # are asked for their delay with every sub-request.
            learned.delay_s = DEFAULT_DELAY_S
            return
        weighted = 0.0
        for histogram in histograms:
            if histogram.total_count:
                value = histogram.get_value_at_percentile(100 * self.quantile)
                # The mean of both quantiles, weighted by samples, avoids adding
                # up two histograms of a thousand counters.
                weighted += histogram.total_count * value
        quantile_s = weighted / total * UNIT_S
        learned.delay_s = max(MIN_DELAY_S, DELAY_FACTOR * quantile_s)
        learned.refresh_at = now + REFRESH_S
