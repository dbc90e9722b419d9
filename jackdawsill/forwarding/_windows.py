"""Sliding counts and quantiles of recent observations."""

from collections import deque

# Some seconds of a route's attempts at one host, enough for a quantile of 0.85.
N_SAMPLES_KEPT = 128
# The quantile is computed anew once for this many samples.
N_SAMPLES_PER_SORT = 8
# Below this number of samples a high quantile says little.
N_SAMPLES_MIN = 20


class SecondCounter:
    """Count events within a sliding window, to the tenth of its length."""

    __slots__ = ("cell_s", "cells_", "n_", "window_s")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.cell_s = window_s / 10
        self.cells_: deque[list[float]] = deque()  # [start, count]
        self.n_ = 0

    def add(self, now: float) -> None:
        """Count one event."""
        self._expire(now)
        cells = self.cells_
        if not cells or now - cells[-1][0] >= self.cell_s:
            cells.append([now, 0])
        cells[-1][1] += 1
        self.n_ += 1

    def total(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        self._expire(now)
        return self.n_

    def _expire(self, now: float) -> None:
        cells = self.cells_
        # A cell is dropped when all of its events have left the window.
        limit = now - self.window_s - self.cell_s
        while cells and cells[0][0] < limit:
            self.n_ -= int(cells.popleft()[1])


class LatencyWindow:
    """Quantiles of the most recent latencies, in seconds."""

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
        """Return a quantile, or `default` while there are too few samples."""
        if len(self.samples_) < N_SAMPLES_MIN:
            return default
        if self._n_unsorted >= N_SAMPLES_PER_SORT or not self._sorted:
            self._sorted = sorted(self.samples_)
            self._n_unsorted = 0
        return self._sorted[
            min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        ]
