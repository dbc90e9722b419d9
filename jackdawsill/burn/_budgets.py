"""Error budgets of one host: counts per caller and route in sliding windows."""

from array import array

from jackdawsill.core import QueryFinished
from jackdawsill.objects import Objective

# Short window for alerts, medium one against false alarms, long one as the period of
# the error budget.
WINDOWS_S = (300, 3600, 21_600)
PERIOD_S = WINDOWS_S[-1]
# A window is off by at most one slot in 60.
N_SLOTS = 60
# 11.6 KB each by tracemalloc; 300 series take 3.5 MB.
MAX_SERIES = 300
OTHER = "other"

FIELDS = ("n", "n_slow", "n_shards", "n_missing", "n_needed", "n_extra")
N_FIELDS = len(FIELDS)


class SlidingSums:
    """Sum counts over the last `window_s` seconds in a ring of slots."""

    __slots__ = ("counts_", "slot_s", "slots_")

    def __init__(self, window_s: float) -> None:
        self.slot_s = window_s / N_SLOTS
        self.counts_ = array("q", bytes(8 * N_SLOTS * N_FIELDS))
        self.slots_ = array("q", [-1] * N_SLOTS)  # number of the slot held

    def add(self, counts: tuple[int, ...], now: float) -> None:
        """Add counts to the slot of `now`."""
        slot = int(now // self.slot_s)
        place = slot % N_SLOTS
        start = place * N_FIELDS
        if self.slots_[place] > slot:
            # The place holds a later slot, so this count is out of the window.
            return
        if self.slots_[place] != slot:
            self.slots_[place] = slot
            self.counts_[start : start + N_FIELDS] = array("q", bytes(8 * N_FIELDS))
        for i, count in enumerate(counts):
            self.counts_[start + i] += count

    def sums(self, now: float) -> tuple[int, ...]:
        """Return the sums over the window that ends at `now`."""
        newest = int(now // self.slot_s)
        totals = [0] * N_FIELDS
        for place, slot in enumerate(self.slots_):
            if newest - N_SLOTS < slot <= newest:
                start = place * N_FIELDS
                for i in range(N_FIELDS):
                    totals[i] += self.counts_[start + i]
        return tuple(totals)


class ErrorBudgets:
    """Own the counts of all callers and routes that have an objective."""

    __slots__ = ("host", "max_series", "series_")

    def __init__(self, host: str, max_series: int = MAX_SERIES) -> None:
        self.host = host
        self.max_series = max_series
        self.series_: dict[tuple[str, str], tuple[SlidingSums, ...]] = {}

    def on_query(
        self, record: QueryFinished, objectives: dict[str, Objective], now: float
    ) -> None:
        """Count one finished query; queries without an objective are ignored."""
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
        for sums in self._series(record.caller, record.route, now):
            sums.add(counts, now)

    def _series(self, caller: str, route: str, now: float) -> tuple[SlidingSums, ...]:
        """Return the windows of a caller and route, or those of all others."""
        key = (caller, route)
        if key not in self.series_ and len(self.series_) >= self.max_series:
            self._drop_idle(now)
        if key not in self.series_ and len(self.series_) >= self.max_series:
            # One shared series for each route keeps its objective meaningful.
            key = (OTHER, route)
        if key not in self.series_:
            self.series_[key] = tuple(SlidingSums(w) for w in WINDOWS_S)
        return self.series_[key]

    def _drop_idle(self, now: float) -> None:
        """Drop series without a query in the longest window."""
        idle = [key for key, sums in self.series_.items() if not sums[-1].sums(now)[0]]
        for key in idle:
            del self.series_[key]

    def report(
        self, objectives: dict[str, Objective], generation: int, now: float
    ) -> dict:
        """Return the report of this host as plain data for JSON."""
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
                        str(window_s): dict(zip(FIELDS, sums.sums(now), strict=True))
                        for window_s, sums in zip(WINDOWS_S, windows, strict=True)
                    },
                }
            )
        return {"host": self.host, "generation": generation, "series": series}


def objective_of(route: str, objectives: dict[str, Objective]) -> Objective | None:
    """Return the objective of a route; the first by name if there are several."""
    found = (o for o in objectives.values() if o.route == route)
    return min(found, key=lambda o: o.name, default=None)
