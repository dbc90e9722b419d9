"""Registry of metrics: names, units, descriptions and label keys."""

from dataclasses import dataclass
from enum import StrEnum


class MetricKind(StrEnum):
    """Name the kinds of instruments."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"


@dataclass(slots=True, frozen=True)
class MetricSpec:
    """Describe one metric; only the label keys named here are kept."""

    name: str
    kind: MetricKind
    unit: str
    description: str
    labels: tuple[str, ...] = ()


METRICS: dict[str, MetricSpec] = {}


def register_metric(
    name: str,
    kind: MetricKind,
    unit: str,
    description: str,
    labels: tuple[str, ...] = (),
) -> str:
    """Register a metric and return its name."""
    spec = MetricSpec(name, kind, unit, description, labels)
    if METRICS.get(name, spec) != spec:
        raise ValueError(f"metric {name} is already registered otherwise")
    METRICS[name] = spec
    return name


TICKETS_ISSUED = register_metric(
    "tickets_issued", MetricKind.COUNTER, "1", "Tickets issued."
)
TICKETS_SPENT = register_metric(
    "tickets_spent", MetricKind.COUNTER, "1", "Tickets spent here."
)
TICKETS_RESENT = register_metric(
    "tickets_resent",
    MetricKind.COUNTER,
    "1",
    "Requests whose ticket was spent before.",
)
TICKETS_FORWARDED = register_metric(
    "tickets_forwarded",
    MetricKind.COUNTER,
    "1",
    "Requests forwarded to the issuer of their ticket.",
)
TICKETS_SETTLED = register_metric(
    "tickets_settled",
    MetricKind.COUNTER,
    "1",
    "Ticketed requests by recorded outcome; code 0 is an answer.",
    ("code",),
)
UNREGISTERED = register_metric(
    "metrics_unregistered",
    MetricKind.COUNTER,
    "1",
    "Records dropped because their metric or its kind is not registered.",
)
LABELS_MERGED = register_metric(
    "metrics_labels_merged",
    MetricKind.COUNTER,
    "1",
    "Records counted under the label value other because of the bound.",
    ("metric",),
)
