"""Registry of metrics: names, units, descriptions and label keys."""

from dataclasses import dataclass
from enum import StrEnum


class MetricKind(StrEnum):
    """Kinds of instruments."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"


@dataclass(slots=True, frozen=True)
class MetricSpec:
    """Description of a metric.

    `labels` are its label keys; other labels of a record are dropped.
    """

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
    """Register a metric and return its name.

    Raise `ValueError` if the name is registered with another kind, unit, description
    or labels.
    """
    spec = MetricSpec(name, kind, unit, description, labels)
    if METRICS.get(name, spec) != spec:
        raise ValueError(f"metric {name} is already registered with other properties")
    METRICS[name] = spec
    return name


# Name, description and label keys of each counter. Components refer to metrics by name
# in `Count` and `Observe`; all metrics are registered here, so that operators find them
# in one place.
COUNTERS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ("answers_discarded", "Backend answers that were not used.", ("reason",)),
    ("forwarding_answers_partial", "Merged answers that lack a part.", ()),
    ("forwarding_attempts_failed", "Failed attempts of calls.", ("kind",)),
    ("forwarding_calls_abandoned", "Calls whose caller left.", ()),
    ("forwarding_calls_delegated", "Calls given to another host.", ()),
    ("forwarding_calls_refused", "Refused calls.", ("error",)),
    ("forwarding_cuts", "Cuts of the host from all replicas.", ()),
    ("forwarding_hedges_sent", "Second attempts for a slow part.", ()),
    ("forwarding_hedges_withheld", "Hedges that the budget did not allow.", ()),
    ("forwarding_replicas_held", "Times that replicas asked for.", ()),
    ("forwarding_replicas_leaving", "Replicas that said that they leave.", ("source",)),
    ("forwarding_retries_sent", "Attempts after a failed one.", ()),
    (
        "forwarding_store_answers_too_long",
        "Answers of the store that were too long to be read.",
        (),
    ),
    (
        "gateway_connections_closed",
        "Connections of callers closed as there were too many.",
        (),
    ),
    ("gateway_requests_rejected", "Requests rejected unread.", ("status",)),
    ("hedges_sent", "Second sub-requests for a slow shard.", ()),
    ("membership_handshakes_refused", "Peers that did not prove themselves.", ()),
    ("membership_lost", "Hosts that were declared lost.", ()),
    ("membership_refutations", "Times this host refuted its own loss.", ()),
    ("quarantine_condemned", "Fingerprints condemned after crashes.", ()),
    ("queries_partial", "Answers that do not cover all shards.", ("route",)),
    ("queries_refused", "Refused requests.", ("error",)),
    ("queries_restarted", "Queries restarted on another snapshot.", ()),
    ("relaying_links_silent", "Links between relays that were silent.", ()),
    ("spread_conflicts", "Two sets seen under one generation.", ()),
    ("spread_manifests_unreadable", "Manifests that could not be decoded.", ()),
    ("spread_pulls_failed", "Sets that could not be pulled.", ()),
    ("spread_service_failures", "Failed reads of the configuration service.", ()),
    ("spread_sets_accepted", "Object sets put in force.", ()),
    ("spread_stale_manifests", "Manifests older than the set in force.", ()),
    ("spread_watches_unanswered", "Watches that were never answered.", ()),
    ("sub_requests_failed", "Failed sub-requests.", ("kind",)),
    ("sub_requests_needed", "Sub-requests that the queries needed.", ("route",)),
    ("sub_requests_sent", "Sub-requests sent for queries.", ("route",)),
    ("tickets_forwarded", "Requests forwarded to their issuer.", ()),
    ("tickets_issued", "Tickets issued.", ()),
    ("tickets_resent", "Requests whose ticket was spent before.", ()),
    ("tickets_settled", "Ticketed requests; code 0 is an answer.", ("code",)),
    ("tickets_spent", "Tickets spent here.", ()),
)
for _name, _description, _labels in COUNTERS:
    register_metric(_name, MetricKind.COUNTER, "1", _description, _labels)

QUERY_SECONDS = register_metric(
    "query_seconds",
    MetricKind.HISTOGRAM,
    "s",
    "Time from the arrival of a query to its answer.",
    ("route",),
)
FORWARDING_CALL_SECONDS = register_metric(
    "forwarding_call_seconds",
    MetricKind.HISTOGRAM,
    "s",
    "Time from the arrival of a call to its reply.",
    ("route",),
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
