"""Rendering of a burn report as text, as JSON and as an HTML page with plots."""

import base64
import html
import io
import json
import math
from dataclasses import asdict

from jackdawsill.burn._report import Budget, BurnReport, Latency, Measure

HEADINGS = (
    "caller",
    "route",
    "measure",
    "allowed",
    "burn 5 min",
    "burn 1 h",
    "burn 6 h",
    "left",
    "exhausted in",
)
LATENCY_HEADINGS = ("caller", "route", "answers", "p50", "p90", "p99")
# Maximum number of budgets in a plot, those with the least left, so that it stays
# readable. The table lists all.
MAX_PLOT_BUDGETS = 30
STYLE = (
    "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #999;padding:.2em .6em;text-align:right}"
    "tr.over{background:#fdd}"
)


def render_text(report: BurnReport) -> str:
    """Return tables of all budgets and latencies."""
    lines = [_summary(report), ""]
    lines += _aligned_lines(
        [HEADINGS, *[_budget_cells(budget) for budget in report.budgets]]
    )
    if report.latencies:
        rows = [_latency_cells(latency) for latency in report.latencies]
        lines += ["", *_aligned_lines([LATENCY_HEADINGS, *rows])]
    return "\n".join(lines) + "\n"


def _aligned_lines(rows: list[tuple[str, ...]]) -> list[str]:
    """Return one line for each row, with aligned columns."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def render_json(report: BurnReport) -> str:
    """Return the report as JSON; infinite burn rates become null."""
    return json.dumps(_without_infinities(asdict(report)), indent=2) + "\n"


def render_html(report: BurnReport) -> str:
    """Return a self-contained page with the tables and one plot for each measure."""
    head = "".join(f"<th>{heading}</th>" for heading in HEADINGS)
    body = "".join(_html_row(budget) for budget in report.budgets)
    plots = "".join(
        f'<h2>{measure}</h2><img alt="burn rates and budget left, {measure}" '
        f'src="data:image/png;base64,{_plot(report, measure)}">'
        for measure in Measure
        if any(budget.measure is measure for budget in report.budgets)
    )
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f"<title>Burn report</title><style>{STYLE}</style></head><body>"
        f"<h1>Burn report</h1><p>{html.escape(_summary(report))}</p>"
        f"<table><tr>{head}</tr>{body}</table>{_latency_html(report)}{plots}"
        "</body></html>\n"
    )


def _latency_html(report: BurnReport) -> str:
    """Return an HTML table of the latencies, or "" without any."""
    if not report.latencies:
        return ""
    head = "".join(f"<th>{heading}</th>" for heading in LATENCY_HEADINGS)
    body = ""
    for latency in report.latencies:
        cells = (f"<td>{html.escape(c)}</td>" for c in _latency_cells(latency))
        body += f"<tr>{''.join(cells)}</tr>"
    return f"<h2>latencies</h2><table><tr>{head}</tr>{body}</table>"


def _summary(report: BurnReport) -> str:
    """Return one line that summarises the report."""
    n_exhausted = sum(budget.left <= 0 for budget in report.budgets)
    return (
        f"{len(report.hosts)} hosts, generation {report.generation}, "
        f"{len(report.budgets)} budgets, {n_exhausted} used up"
    )


def _budget_cells(budget: Budget) -> tuple[str, ...]:
    """Return the cells of the row of a budget."""
    return (
        budget.caller,
        budget.route,
        str(budget.measure),
        f"{budget.allowed:.2%}",
        *(f"{rate:.2f}" for rate in budget.burn_rates),
        f"{budget.left:.1%}",
        _readable_duration(budget.exhausted_in_s),
    )


def _latency_cells(latency: Latency) -> tuple[str, ...]:
    """Return the cells of the row of a latency."""
    times = (latency.p50_s, latency.p90_s, latency.p99_s)
    cells = (f"{time_s * 1000:.1f} ms" for time_s in times)
    return (latency.caller, latency.route, str(latency.n), *cells)


def _html_row(budget: Budget) -> str:
    """Return the HTML row of a budget; an exhausted budget is highlighted."""
    cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in _budget_cells(budget))
    return f'<tr class="over">{cells}</tr>' if budget.left <= 0 else f"<tr>{cells}</tr>"


def _readable_duration(seconds: float | None) -> str:
    """Return a duration with a readable unit, or "never" for None."""
    if seconds is None:
        return "never"
    if seconds < 60:
        return f"{seconds:.0f} s"
    return f"{seconds / 60:.0f} min" if seconds < 7200 else f"{seconds / 3600:.1f} h"


def _without_infinities(value):
    """Return JSON data with None in place of infinite numbers, which JSON lacks."""
    if isinstance(value, dict):
        return {key: _without_infinities(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_without_infinities(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def _plot(report: BurnReport, measure: Measure) -> str:
    """Return a plot of the budgets of a measure with the least left, as base64 PNG.

    Budgets below -100% are drawn as -100%.
    """
    # Imported here, because hosts import this package only to count, and matplotlib
    # takes a large fraction of the memory that the control plane may use on a host.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    budgets = [budget for budget in report.budgets if budget.measure is measure]
    budgets = sorted(budgets, key=lambda budget: budget.left)[:MAX_PLOT_BUDGETS]
    labels = [f"{budget.caller} / {budget.route}" for budget in budgets]
    # Figure is used without pyplot, which would keep global state between reports.
    figure = Figure(figsize=(10, 1.5 + 0.35 * len(budgets)), layout="constrained")
    FigureCanvasAgg(figure)
    rate_axes, left_axes = figure.subplots(1, 2, sharey=True)
    height = 0.8 / len(report.windows_s)
    for i, window_s in enumerate(report.windows_s):
        positions = [j + i * height for j in range(len(budgets))]
        values = [_clip_for_plot(budget.burn_rates[i]) for budget in budgets]
        rate_axes.barh(positions, values, height, label=f"{window_s // 60} min")
    # At a burn rate of 1 the budget lasts exactly its period.
    rate_axes.axvline(1.0, color="black", linewidth=1)
    rate_axes.set_yticks([j + height for j in range(len(budgets))], labels)
    rate_axes.set_xlabel("burn rate")
    rate_axes.legend()
    positions = [j + height for j in range(len(budgets))]
    left_axes.barh(
        positions, [max(_clip_for_plot(budget.left), -1.0) for budget in budgets]
    )
    left_axes.set_xlabel("budget left")
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=80)
    return base64.b64encode(buffer.getvalue()).decode()


def _clip_for_plot(value: float) -> float:
    """Return a number limited to -100 to 100, so that the axis stays readable."""
    return min(max(value, -100.0), 100.0)
