"""Metrics: OpenTelemetry instruments and mergeable latency histograms."""

from jackdawsill.metrics._errors import HistogramInvalid
from jackdawsill.metrics._histograms import HistogramCopy, LatencyHistograms
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
