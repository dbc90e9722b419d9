"""Metrics: OpenTelemetry instruments and mergeable latency histograms."""

from typing import Any

from jackdawsill.metrics._errors import HistogramInvalid
from jackdawsill.metrics._instruments import (
    Instruments,
    MetricsMode,
    MetricsSettings,
)
from jackdawsill.metrics._registry import (
    METRICS,
    MetricKind,
    MetricSpec,
    register_metric,
)

__all__ = [
    "METRICS",
    "HistogramCopy",
    "HistogramInvalid",
    "Instruments",
    "LatencyHistograms",
    "MetricKind",
    "MetricSpec",
    "MetricsMode",
    "MetricsSettings",
    "register_metric",
]

_HISTOGRAM_NAMES = frozenset({"HistogramCopy", "LatencyHistograms"})


def __getattr__(name: str) -> Any:
    """Import the mergeable histograms on first use.

    A gateway uses none of them and does not load `hdrh`.
    """
    if name in _HISTOGRAM_NAMES:
        from jackdawsill.metrics import _histograms

        return getattr(_histograms, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
