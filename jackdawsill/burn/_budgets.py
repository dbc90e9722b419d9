"""Counts for the error budgets of one host, per caller and route."""

from array import array

from jackdawsill.core import QueryFinished
from jackdawsill.objects import Objective

# Lengths of the sliding windows in seconds. The short one is for alerts, the medium one
# prevents false alarms, and the long one is the period of the error budget.
WINDOWS_S = (300, 3600, 21_600)
PERIOD_S = WINDOWS_S[-1]
# Buckets of a window. The newest is only partly filled, so the length of a window is
# inexact by at most one bucket in 60.
N_BUCKETS = 60
# Maximum number of series (pairs of caller and route) of a host, besides one shared
# series per route. Each takes 11.6 KB, so 300 take 3.5 MB.
MAX_SERIES = 300
# Caller name of the series that counts all callers beyond MAX_SERIES.
OTHER_CALLERS = "other"

# Counts in the order of the tuple in `on_query`: queries, slow queries, shards, shards
# not covered, sub-requests needed, and sub-requests sent beyond those.
COUNT_FIELDS = ("n", "n_slow", "n_shards", "n_missing", "n_needed", "n_extra")
N_COUNT_FIELDS = len(COUNT_FIELDS)


class SlidingSums:
    """Sums of counts over the last `window_s` seconds, in a ring of buckets.

    The counts of the bucket at `index` start at `counts_[index * N_COUNT_FIELDS]`.
    """

    __slots__ = ("bucket_numbers_", "bucket_s", "counts_")

    def __init__(self, window_s: float) -> None:
        self.bucket_s = window_s / N_BUCKETS
        self.counts_ = array("q", bytes(8 * N_BUCKETS * N_COUNT_FIELDS))
        self.bucket_numbers_ = array(
            "q", [-1] * N_BUCKETS
        )  # buckets since time 0, at each index; -1 if unused

    def add(self, counts: tuple[int, ...], now: float) -> None:
        """Add counts to the bucket of `now`."""
        bucket_number = int(now // self.bucket_s)
        index = bucket_number % N_BUCKETS
        start = index * N_COUNT_FIELDS
        if self.bucket_numbers_[index] > bucket_number:
            # The index holds a later bucket, so this count is out of the window.
            return
        if self.bucket_numbers_[index] != bucket_number:
            self.bucket_numbers_[index] = bucket_number
            self.counts_[start : start + N_COUNT_FIELDS] = array(
                "q", bytes(8 * N_COUNT_FIELDS)
            )
        for i, count in enumerate(counts):
            self.counts_[start + i] += count

    def totals(self, now: float) -> tuple[int, ...]:
        """Return the sums over the window that ends at `now`."""
        newest = int(now // self.bucket_s)
        totals = [0] * N_COUNT_FIELDS
        for index, bucket_number in enumerate(self.bucket_numbers_):
            if newest - N_BUCKETS < bucket_number <= newest:
                start = index * N_COUNT_FIELDS
                for i in range(N_COUNT_FIELDS):
                    totals[i] += self.counts_[start + i]
        return tuple(totals)


class ErrorBudgets:
    """Counts in sliding windows for each caller and route, if it has an objective."""

    __slots__ = ("host", "max_series", "series_")

    def __init__(self, host: str, max_series: int = MAX_SERIES) -> None:
        self.host = host
        self.max_series = max_series
        self.series_: dict[tuple[str, str], tuple[SlidingSums, ...]] = {}

    def on_query(
        self, record: QueryFinished, objectives: dict[str, Objective], now: float
    ) -> None:
        """Count one finished query, unless its route has no objective.

        A query without an answer counts as slow.
        """
        objective = objective_of(record.route, objectives)
        if objective is None:
            return
        limit_s = objective.latency_ms / 1000
        slow = record.latency_s is None or record.latency_s > limit_s
        counts = (
            1,
            int(slow),
            record.n_shards,
            max(record.n_shards - record.n_covered, 0),
            record.n_needed,
            max(record.n_sent - record.n_needed, 0),
        )
        for window in self._series(record.caller, record.route, now):
            window.add(counts, now)

    def _series(self, caller: str, route: str, now: float) -> tuple[SlidingSums, ...]:
        """Return the windows of a caller and route, created if missing.

        Beyond the limit, return the shared ones of the route.
        """
        key = (caller, route)
        if key not in self.series_ and len(self.series_) >= self.max_series:
            self._drop_idle(now)
        if key not in self.series_ and len(self.series_) >= self.max_series:
            # The shared series is per route, because objectives differ by route.
            key = (OTHER_CALLERS, route)
        if key not in self.series_:
            self.series_[key] = tuple(SlidingSums(w) for w in WINDOWS_S)
        return self.series_[key]

    def _drop_idle(self, now: float) -> None:
        """Drop series without a query in their longest window."""
        idle = [
            key
            for key, windows in self.series_.items()
            if not windows[-1].totals(now)[0]
        ]
        for key in idle:
            del self.series_[key]

    def report(
        self, objectives: dict[str, Objective], generation: int, now: float
    ) -> dict:
        """Return the counts of this host as JSON data, for `merge_reports`."""
        series = []
        for (caller, route), windows in sorted(self.series_.items()):
            objective = objective_of(route, objectives)
            if objective is None:
                continue
            series.append(
                {
                    "caller": caller,
                    "route": route,
                    "objective": objective.name,
                    "latency_ms": objective.latency_ms,
                    "latency_target": objective.latency_target,
                    "coverage_target": objective.coverage_target,
                    "extra_load_target": objective.extra_load_target,
                    "windows": {
                        str(window_s): dict(
                            zip(COUNT_FIELDS, window.totals(now), strict=True)
                        )
                        for window_s, window in zip(WINDOWS_S, windows, strict=True)
                    },
                }
            )
        return {"host": self.host, "generation": generation, "series": series}


def objective_of(route: str, objectives: dict[str, Objective]) -> Objective | None:
    """Return the objective of a route, or None.

    If there are several, it is the first one by name.
    """
    matching = (o for o in objectives.values() if o.route == route)
    return min(matching, key=lambda o: o.name, default=None)
