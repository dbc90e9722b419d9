"""Snapshots: which ones replicas can serve, and the choice of one for a query."""

from jackdawsill.snapshots import _views  # noqa: F401
from jackdawsill.snapshots._handlers import broadcast_servable
from jackdawsill.snapshots._messages import ServableNotice
from jackdawsill.snapshots._table import (
    DECLINE_TTL_S,
    PROBE_INTERVAL_S,
    SERVABLE_FRACTION,
    SnapshotTable,
)

__all__ = [
    "DECLINE_TTL_S",
    "PROBE_INTERVAL_S",
    "SERVABLE_FRACTION",
    "ServableNotice",
    "SnapshotTable",
    "broadcast_servable",
]
