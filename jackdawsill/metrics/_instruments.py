"""OpenTelemetry instruments for the effects `Count` and `Observe`."""

from dataclasses import dataclass
from enum import StrEnum

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from jackdawsill.core import Count, Observe
from jackdawsill.metrics._registry import (
    LABELS_MERGED,
    METRICS,
    UNREGISTERED,
    MetricKind,
    MetricSpec,
)

Labels = tuple[tuple[str, str], ...]

# Limits of the label sets of one metric and of the characters of a label value.
# Operators choose the names of callers and routes, and some label values come from
# requests, so without limits the memory of the host and of its scraper could fill.
MAX_LABEL_SETS = 200
MAX_LABEL_CHARS = 100
OTHER_LABEL = "other"
# Upper bounds of the histogram buckets; 0.34 s is the default deadline.
BOUNDARIES_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 5.0)


class MetricsMode(StrEnum):
    """How metrics are exported."""

    SCRAPE = "scrape"
    PUSH = "push"


@dataclass(slots=True, frozen=True)
class MetricsSettings:
    """Settings of the export: scrape, or push to an OTLP endpoint over HTTP.

    `host` is the name of the host, exported as `service.instance.id`. The section
    `[metrics]` of a settings file is `jackdawsill.settings.MetricsSettings`.
    """

    mode: MetricsMode = MetricsMode.SCRAPE
    push_url: str = ""
    push_interval_s: float = 15.0
    host: str = ""


class LabelLimiter:
    """Keeps the first `max_sets` label sets of a metric.

    Later ones are replaced by the label value `other`.
    """

    __slots__ = ("keys", "max_sets", "seen_")

    def __init__(self, keys: tuple[str, ...], max_sets: int = MAX_LABEL_SETS) -> None:
        self.keys = keys
        self.max_sets = max_sets
        self.seen_: set[Labels] = set()

    def limit(self, labels: Labels) -> tuple[Labels, bool]:
        """Return the labels to use and whether they were replaced by `other`."""
        if labels in self.seen_:
            return labels, False
        given_labels = dict(labels)
        limited = tuple(
            (k, str(given_labels.get(k, ""))[:MAX_LABEL_CHARS]) for k in self.keys
        )
        if limited in self.seen_:
            return limited, False
        if len(self.seen_) < self.max_sets:
            self.seen_.add(limited)
            return limited, False
        return tuple((key, OTHER_LABEL) for key in self.keys), True


class Instruments:
    """Instruments of all metrics, and the reader that exports them.

    `reader` replaces the reader for `settings.mode`.
    """

    __slots__ = (
        "histograms_",
        "label_limiters_",
        "meter_",
        "provider_",
        "registry_",
        "settings",
        "totals_",
    )

    def __init__(
        self, settings: MetricsSettings, reader: MetricReader | None = None
    ) -> None:
        self.settings = settings
        self.registry_ = CollectorRegistry()
        self.provider_ = MeterProvider(
            metric_readers=[reader or self._make_reader()],
            resource=Resource.create(
                {"service.name": "jackdawsill", "service.instance.id": settings.host}
            ),
            shutdown_on_exit=False,
        )
        self.meter_ = self.provider_.get_meter("jackdawsill")
        self.totals_: dict[str, dict[Labels, float]] = {}
        self.histograms_: dict[str, Histogram] = {}
        self.label_limiters_: dict[str, LabelLimiter] = {}

    def _make_reader(self) -> MetricReader:
        """Return the metric reader for the configured mode."""
        if self.settings.mode is MetricsMode.PUSH:
            # Imported here because hosts that are scraped need no HTTP client.
            from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
                OTLPMetricExporter,
            )

            exporter = OTLPMetricExporter(endpoint=self.settings.push_url)
            interval_ms = self.settings.push_interval_s * 1000
            return PeriodicExportingMetricReader(exporter, interval_ms)
        return PrometheusMetricReader(
            disable_target_info=True,
            prefix="jackdawsill",
            scope_info_enabled=False,
            registry=self.registry_,
        )

    def count(self, effect: Count) -> None:
        """Add to a counter.

        Records are dropped and counted in `metrics_unregistered` if the metric or its
        kind is not registered, or the value is negative or NaN.
        """
        self._record(MetricKind.COUNTER, effect.name, effect.value, effect.labels)

    def observe(self, effect: Observe) -> None:
        """Record a value in a histogram; records are dropped as by `count`."""
        self._record(MetricKind.HISTOGRAM, effect.name, effect.value, effect.labels)

    def _record(
        self, kind: MetricKind, name: str, value: float, labels: Labels
    ) -> None:
        """Record a value under limited labels."""
        spec = METRICS.get(name)
        # The exporter treats a decreasing counter as an error. Values of histograms are
        # not negative either.
        if spec is None or spec.kind is not kind or not value >= 0:
            self._record(MetricKind.COUNTER, UNREGISTERED, 1, ())
            return
        limiter = self.label_limiters_.get(name)
        if limiter is None:
            limiter = self.label_limiters_[name] = LabelLimiter(spec.labels)
            self._create_instrument(spec)
        limited, replaced = limiter.limit(labels)
        if kind is MetricKind.COUNTER:
            totals = self.totals_[name]
            totals[limited] = totals.get(limited, 0.0) + value
        else:
            self.histograms_[name].record(value, dict(limited))
        if replaced:
            self._record(MetricKind.COUNTER, LABELS_MERGED, 1, (("metric", name),))

    def _create_instrument(self, spec: MetricSpec) -> None:
        """Create the instrument of a metric.

        Counters are summed in `totals_` and read at each export. Several are
        incremented for every query, and adding to an OpenTelemetry counter takes 8 us.
        """
        if spec.kind is MetricKind.HISTOGRAM:
            self.histograms_[spec.name] = self.meter_.create_histogram(
                spec.name,
                spec.unit,
                spec.description,
                explicit_bucket_boundaries_advisory=BOUNDARIES_S,
            )
            return
        totals = self.totals_[spec.name] = {}

        def read(options: CallbackOptions) -> list[Observation]:
            # Exports by push run in another thread, so the totals are copied first.
            return [Observation(value, dict(k)) for k, value in list(totals.items())]

        self.meter_.create_observable_counter(
            spec.name, [read], spec.unit, spec.description
        )

    def render(self) -> str:
        """Return the metrics in the Prometheus text format, empty in push mode."""
        return generate_latest(self.registry_).decode()

    def close(self) -> None:
        """Push the remaining metrics and shut down the exporter.

        In push mode this blocks until the endpoint answers or the export times out.
        """
        self.provider_.shutdown()
