"""Latency histograms per caller and route that merge exactly across hosts."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from jackdawsill.metrics._errors import HistogramInvalid

# Every host uses the same unit, range and precision, so that merging adds counts
# bucket by bucket and loses nothing.
RESOLUTION_S = 1e-5
MAX_LATENCY_S = 60.0  # longer latencies are recorded as this one
SIGNIFICANT_DIGITS = 2
# Bounds the memory of the histograms: 18.5 KB each, 3.7 MB in total.
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
    return HdrHistogram(1, round(MAX_LATENCY_S / RESOLUTION_S), SIGNIFICANT_DIGITS)


class LatencyHistograms:
    """Latency histograms by caller and route.

    After `max_histograms` pairs of caller and route, all others share one more
    histogram, whose caller and route are `other`.
    """

    __slots__ = ("histograms_", "max_histograms")

    def __init__(self, max_histograms: int = MAX_HISTOGRAMS) -> None:
        self.max_histograms = max_histograms
        self.histograms_: dict[tuple[str, str], HdrHistogram] = {}

    def record(self, caller: str, route: str, latency_s: float) -> None:
        """Record a latency, clipped to the range of the histogram."""
        units = round(min(max(latency_s, 0.0), MAX_LATENCY_S) / RESOLUTION_S)
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
        return histogram.get_value_at_percentile(quantile * 100) * RESOLUTION_S


def decode_histogram(encoded: str) -> HdrHistogram:
    """Decode a histogram.

    Raise `HistogramInvalid` if it is too long, cannot be decoded or has another range
    or precision.
    """
    if len(encoded) > MAX_ENCODED_CHARS:
        raise HistogramInvalid("the histogram is too long")
    try:
        histogram = HdrHistogram.decode(encoded)
    except Exception as exc:  # hdrh exceptions have no common base class
        raise HistogramInvalid("the histogram cannot be decoded") from exc
    reference = _new_histogram()
    value_range = (histogram.lowest_trackable_value, histogram.highest_trackable_value)
    expected = (reference.lowest_trackable_value, reference.highest_trackable_value)
    if value_range != expected or histogram.significant_figures != SIGNIFICANT_DIGITS:
        raise HistogramInvalid("the histogram has a different range or precision")
    return histogram
