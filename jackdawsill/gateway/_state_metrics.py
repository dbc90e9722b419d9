"""Metrics of what a gateway has taken over: versions, digests and their ages."""

from collections.abc import Callable, Iterator
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import GaugeMetricFamily, InfoMetricFamily, Metric
from prometheus_client.registry import Collector

# Metric -> section and key of the status, and description. A metric is left out while
# its value is missing.
GAUGES: dict[str, tuple[str, str, str]] = {
    "routes_version": ("routes", "version", "Accepted version of the configuration."),
    "routes_age_seconds": ("routes", "age_s", "Time since that version was accepted."),
    "store_era": ("forwarding", "era", "Era of the store; rises as it is restored."),
    "replicas_revision": ("forwarding", "revision", "Revision of the known replicas."),
    "fleet_divisor": ("forwarding", "fleet", "Shares of limits of the whole fleet."),
    "news_age_seconds": ("news", "age_s", "Age of routes and replicas."),
    "peer_bytes_sent": ("process", "peer_bytes_sent", "Bytes sent to other hosts."),
    "peer_bytes_unsent": ("process", "peer_bytes_unsent", "Bytes that wait for that."),
    "settings_applied_seconds": (
        "settings",
        "applied_s",
        "Time since the settings in use were applied.",
    ),
    "settings_file_valid": ("settings", "file_valid", "1 if the file seen is valid."),
    "settings_waiting": (
        "settings",
        "waiting",
        "Changed settings that take effect at the next start.",
    ),
}
# Labels of the metric `settings`, which is 1, with their keys in the status.
SETTINGS_LABELS = ("digest", "file_digest")


class StateCollector(Collector):
    """Collect gauges from the sections of the status."""

    def __init__(self, read_status: Callable[[], dict[str, Any]]) -> None:
        self.read_status = read_status

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics of the present state."""
        sections = self.read_status()
        for name, (section, key, description) in GAUGES.items():
            value = sections.get(section, {}).get(key)
            if isinstance(value, list):
                value = len(value)
            if value is not None:
                yield GaugeMetricFamily(
                    f"jackdawsill_{name}", description, float(value)
                )
        settings = sections.get("settings", {})
        if settings:
            labels = {key: str(settings.get(key)) for key in SETTINGS_LABELS}
            yield InfoMetricFamily(
                "jackdawsill_settings", "Settings in use, and file seen last.", labels
            )


def render_state(read_status: Callable[[], dict[str, Any]]) -> str:
    """Return the metrics of the present state in the text format of Prometheus."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(StateCollector(read_status))
    return generate_latest(registry).decode()
