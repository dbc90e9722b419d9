"""Sliding counts and quantiles of recent observations."""

from collections import deque

# A few seconds of a route's attempts at one host, enough for a quantile of 0.85.
N_SAMPLES_KEPT = 128
# Samples are sorted again after this many new ones.
N_SAMPLES_PER_SORT = 8
# With fewer samples a high quantile is not reliable.
N_SAMPLES_MIN = 20


class SlidingCounter:
    """Count events in a sliding window of `window_s` seconds.

    An event may be counted for up to a tenth of the window longer.
    """

    __slots__ = ("bucket_s", "buckets_", "count_", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.bucket_s = window_s / 10
        self.buckets_: deque[list[float]] = deque()  # [start, count]
        self.count_ = 0

    def add(self, now: float) -> None:
        """Count one event."""
        self._expire(now)
        buckets = self.buckets_
        if not buckets or now - buckets[-1][0] >= self.bucket_s:
            buckets.append([now, 0])
        buckets[-1][1] += 1
        self.count_ += 1

    def total(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        self._expire(now)
        return self.count_

    def _expire(self, now: float) -> None:
        buckets = self.buckets_
        # A bucket is dropped when all of its events are older than the window.
        limit = now - self.window_s - self.bucket_s
        while buckets and buckets[0][0] < limit:
            self.count_ -= int(buckets.popleft()[1])


class LatencyWindow:
    """Quantiles of the last N_SAMPLES_KEPT latencies, in seconds."""

    __slots__ = ("_n_unsorted", "_sorted", "samples_")

    def __init__(self) -> None:
        self.samples_: deque[float] = deque(maxlen=N_SAMPLES_KEPT)
        self._sorted: list[float] = []
        self._n_unsorted = 0

    def add(self, latency_s: float) -> None:
        """Record a latency."""
        self.samples_.append(latency_s)
        self._n_unsorted += 1

    def quantile(self, fraction: float, default: float) -> float:
        """Return a quantile, or `default` with fewer than N_SAMPLES_MIN samples."""
        if len(self.samples_) < N_SAMPLES_MIN:
            return default
        if self._n_unsorted >= N_SAMPLES_PER_SORT or not self._sorted:
            self._sorted = sorted(self.samples_)
            self._n_unsorted = 0
        return self._sorted[
            min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        ]
