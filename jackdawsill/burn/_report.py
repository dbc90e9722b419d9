"""Burn report of several hosts, merged exactly from their counts."""

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from jackdawsill.burn._budgets import PERIOD_S, WINDOWS_S
from jackdawsill.burn._errors import BurnReportInvalid
from jackdawsill.metrics import HistogramCopy, HistogramInvalid, LatencyHistograms

# Maximum number of pairs of caller and route in the merged latencies. It exceeds the
# limit of one host, because callers differ between hosts.
MAX_MERGED_HISTOGRAMS = 2000


class Measure(StrEnum):
    """Measure of an objective.

    Its bad events are slow queries, shards not covered, or sub-requests beyond the
    needed ones.
    """

    LATENCY = "latency"
    COVERAGE = "coverage"
    EXTRA_LOAD = "extra_load"


@dataclass(slots=True)
class WindowCounts:
    """Counts of the queries in one window, as in `COUNT_FIELDS`."""

    n: int = 0
    n_slow: int = 0
    n_shards: int = 0
    n_missing: int = 0
    n_needed: int = 0
    n_extra: int = 0

    def add(self, other: "WindowCounts") -> None:
        """Add the counts of another host for the same window."""
        self.n += other.n
        self.n_slow += other.n_slow
        self.n_shards += other.n_shards
        self.n_missing += other.n_missing
        self.n_needed += other.n_needed
        self.n_extra += other.n_extra


@dataclass(slots=True)
class HostSeries:
    """Counts of one caller and route on a host, with the objective of the route."""

    caller: str
    route: str
    objective: str
    latency_ms: int
    latency_target: float
    coverage_target: float
    extra_load_target: float
    windows: dict[str, WindowCounts]


@dataclass(slots=True)
class HostReport:
    """Burn report of one host, decoded from the JSON data of `burn_report`."""

    host: str
    generation: int
    series: list[HostSeries]
    histograms: list[HistogramCopy] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Budget:
    """Error budget of one measure of a caller and route.

    `allowed` is the fraction of bad events that the objective allows. `bad_fractions`
    and `burn_rates` have one value per window, in the order of `WINDOWS_S`; at a rate
    of 1 the budget lasts exactly one period. `left` is the fraction of the budget that
    is left, negative if more was used. `exhausted_in_s` is the time until the budget is
    exhausted at the rate of the short window: 0 if it already is, None if that rate is
    0.
    """

    caller: str
    route: str
    objective: str
    measure: Measure
    allowed: float
    bad_fractions: tuple[float, ...]
    burn_rates: tuple[float, ...]
    left: float
    exhausted_in_s: float | None


@dataclass(slots=True, frozen=True)
class Latency:
    """Latency quantiles over `n` answered queries since the hosts started."""

    caller: str
    route: str
    n: int
    p50_s: float
    p90_s: float
    p99_s: float


@dataclass(slots=True)
class BurnReport:
    """Merged report of several hosts."""

    hosts: tuple[str, ...]
    generation: int
    windows_s: tuple[int, ...] = WINDOWS_S
    budgets: list[Budget] = field(default_factory=list)
    latencies: list[Latency] = field(default_factory=list)


def merge_reports(reports: list[dict]) -> BurnReport:
    """Merge the burn reports of hosts.

    Of several reports of one host only the last counts. If hosts have different
    objectives for a route, the targets of the highest generation apply; slow queries
    were already counted against the latency limit of each host.

    Raise BurnReportInvalid if a report has missing or invalid fields.
    """
    by_host: dict[str, HostReport] = {}
    for report in reports:
        try:
            checked = msgspec.convert(report, HostReport)
        except msgspec.ValidationError as exc:
            raise BurnReportInvalid(f"the report is not valid: {exc}") from exc
        by_host[checked.host] = checked
    merged: dict[tuple[str, str], HostSeries] = {}
    for report in sorted(by_host.values(), key=lambda r: (-r.generation, r.host)):
        for series in report.series:
            key = (series.caller, series.route)
            merged_series = merged.setdefault(key, series)
            # The first series has the highest generation; the others add their counts.
            if merged_series is series:
                continue
            for window, counts in series.windows.items():
                merged_series.windows.setdefault(window, WindowCounts()).add(counts)
    generations = [report.generation for report in by_host.values()]
    result = BurnReport(tuple(sorted(by_host)), max(generations, default=0))
    for _, series in sorted(merged.items()):
        result.budgets += budgets_of(series)
    result.latencies = merge_latencies(list(by_host.values()))
    return result


def merge_latencies(reports: list[HostReport]) -> list[Latency]:
    """Return the latency quantiles over all hosts.

    Raise BurnReportInvalid if a histogram cannot be merged.
    """
    merged = LatencyHistograms(max_histograms=MAX_MERGED_HISTOGRAMS)
    try:
        for report in reports:
            merged.merge(report.histograms)
    except HistogramInvalid as exc:
        raise BurnReportInvalid(f"the report is not valid: {exc.message}") from exc
    return [
        Latency(
            caller,
            route,
            merged.n_recorded(caller, route),
            *(merged.quantile_s(caller, route, q) or 0.0 for q in (0.5, 0.9, 0.99)),
        )
        for caller, route in sorted(merged.histograms_)
    ]


def budgets_of(series: HostSeries) -> list[Budget]:
    """Return the error budgets of one caller and route, one for each measure."""
    counts = [series.windows.get(str(w), WindowCounts()) for w in WINDOWS_S]
    rows = {
        Measure.LATENCY: (
            1.0 - series.latency_target,
            [(c.n_slow, c.n) for c in counts],
        ),
        Measure.COVERAGE: (
            1.0 - series.coverage_target,
            [(c.n_missing, c.n_shards) for c in counts],
        ),
        Measure.EXTRA_LOAD: (
            series.extra_load_target,
            [(c.n_extra, c.n_needed) for c in counts],
        ),
    }
    return [
        _budget(series, measure, allowed, pairs)
        for measure, (allowed, pairs) in rows.items()
    ]


def _budget(
    series: HostSeries,
    measure: Measure,
    allowed: float,
    pairs: list[tuple[int, int]],
) -> Budget:
    """Return one budget; `pairs` holds bad and all events for each window."""
    fractions = tuple(bad / total if total else 0.0 for bad, total in pairs)
    rates = tuple(_rate(fraction, allowed) for fraction in fractions)
    left = 1.0 - rates[-1]
    return Budget(
        caller=series.caller,
        route=series.route,
        objective=series.objective,
        measure=measure,
        allowed=allowed,
        bad_fractions=fractions,
        burn_rates=rates,
        left=left,
        exhausted_in_s=_exhausted_in_s(left, rates[0]),
    )


def _rate(fraction: float, allowed: float) -> float:
    """Return the burn rate: the bad fraction divided by the allowed one."""
    if fraction <= 0:
        return 0.0
    # An allowed fraction below 1e-9 is 0 but for rounding errors of 1 minus the target,
    # so any bad event gives an infinite rate.
    return fraction / allowed if allowed > 1e-9 else float("inf")


def _exhausted_in_s(left: float, rate: float) -> float | None:
    """Return the time until the budget is used up at a burn rate, or None if never."""
    if left <= 0:
        return 0.0
    return left * PERIOD_S / rate if rate > 0 else None
