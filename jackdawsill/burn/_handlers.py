"""Reducer handler that counts finished queries, and the burn report of a host."""

from dataclasses import asdict
from typing import Any

from jackdawsill.burn._budgets import ErrorBudgets
from jackdawsill.core import Effect, HostState, QueryFinished, handles, report_view
from jackdawsill.metrics import LatencyHistograms


@handles(QueryFinished)
def on_finished(state: HostState, event: QueryFinished, now: float) -> list[Effect]:
    """Count a finished query in the error budgets and latency histograms."""
    budgets = state.components_.get(ErrorBudgets)
    if budgets is not None and state.objects_ is not None:
        budgets.on_query(event, state.objects_.objectives, now)
    histograms = state.components_.get(LatencyHistograms)
    if histograms is not None and event.latency_s is not None:
        histograms.record(event.caller, event.route, event.latency_s)
    return []


@report_view("burn")
def burn_report(state: HostState, now: float) -> dict[str, Any]:
    """Return the counts and histograms of this host as JSON data of a `HostReport`.

    Without an object set or error budgets, the report has no series.
    """
    objects = state.objects_
    budgets = state.components_.get(ErrorBudgets)
    histograms = state.components_.get(LatencyHistograms)
    if objects is None or budgets is None:
        return {"host": state.name, "generation": 0, "series": []}
    content = budgets.report(objects.objectives, objects.generation, now)
    if histograms is not None:
        content["histograms"] = [
            asdict(histogram) for histogram in histograms.encoded_histograms()
        ]
    return content
