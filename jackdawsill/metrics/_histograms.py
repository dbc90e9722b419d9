"""Latency histograms per caller and route that merge exactly across hosts."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from jackdawsill.metrics._errors import HistogramInvalid

# Every host uses the same unit, range and precision, so that merging adds counts
# bucket by bucket and loses nothing.
UNIT_S = 1e-5
HIGHEST_S = 60.0
SIGNIFICANT_FIGURES = 2
# 18.5 KB each (tracemalloc), 3.7 MB in total.
MAX_HISTOGRAMS = 200
MAX_ENCODED_CHARS = 64 * 1024
OTHER_NAME = "other"


@dataclass(slots=True, frozen=True)
class HistogramCopy:
    """Encoded latency histogram of one caller and route."""

    caller: str
    route: str
    encoded: str


def _new_histogram() -> HdrHistogram:
    """Return an empty histogram with the common unit, range and precision."""
    return HdrHistogram(1, round(HIGHEST_S / UNIT_S), SIGNIFICANT_FIGURES)


class LatencyHistograms:
    """Latency histograms by caller and route.

    Beyond `max_histograms`, new callers and routes share one named `other`.
    """

    __slots__ = ("histograms_", "max_histograms")

    def __init__(self, max_histograms: int = MAX_HISTOGRAMS) -> None:
        self.max_histograms = max_histograms
        self.histograms_: dict[tuple[str, str], HdrHistogram] = {}

    def record(self, caller: str, route: str, latency_s: float) -> None:
        """Record a latency, clipped to the range of the histogram."""
        units = round(min(max(latency_s, 0.0), HIGHEST_S) / UNIT_S)
        self._histogram(caller, route).record_value(max(units, 1))

    def _histogram(self, caller: str, route: str) -> HdrHistogram:
        """Return the histogram of a caller and route, or the shared `other`."""
        key = (caller, route)
        if key not in self.histograms_ and len(self.histograms_) >= self.max_histograms:
            key = (OTHER_NAME, OTHER_NAME)
        if key not in self.histograms_:
            self.histograms_[key] = _new_histogram()
        return self.histograms_[key]

    def encoded_histograms(self) -> list[HistogramCopy]:
        """Return all histograms in encoded form."""
        return [
            HistogramCopy(caller, route, histogram.encode().decode())
            for (caller, route), histogram in self.histograms_.items()
        ]

    def merge(self, encoded_histograms: list[HistogramCopy]) -> None:
        """Add the histograms of another host.

        If one is invalid, raise `HistogramInvalid` and add none.
        """
        decoded = [
            (copy, decode_histogram(copy.encoded)) for copy in encoded_histograms
        ]
        for copy, histogram in decoded:
            self._histogram(copy.caller, copy.route).add(histogram)

    def n_recorded(self, caller: str, route: str) -> int:
        """Return the number of recorded latencies of a caller and route."""
        histogram = self.histograms_.get((caller, route))
        return histogram.get_total_count() if histogram else 0

    def quantile_s(self, caller: str, route: str, quantile: float) -> float | None:
        """Return a quantile (0 to 1) of the latencies in seconds, or None."""
        histogram = self.histograms_.get((caller, route))
        if histogram is None or not histogram.get_total_count():
            return None
        return histogram.get_value_at_percentile(quantile * 100) * UNIT_S


def decode_histogram(encoded: str) -> HdrHistogram:
    """Decode a histogram; raise `HistogramInvalid` if its shape differs."""
    if len(encoded) > MAX_ENCODED_CHARS:
        raise HistogramInvalid("the histogram is too long")
    try:
        histogram = HdrHistogram.decode(encoded)
    except Exception as exc:  # hdrh exceptions have no common base class
        raise HistogramInvalid("the histogram cannot be decoded") from exc
    common = _new_histogram()
    shape = (histogram.lowest_trackable_value, histogram.highest_trackable_value)
    expected = (common.lowest_trackable_value, common.highest_trackable_value)
    if shape != expected or histogram.significant_figures != SIGNIFICANT_FIGURES:
        raise HistogramInvalid("the histogram has a different range or precision")
    return histogram
