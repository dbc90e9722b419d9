"""Routing: observations of replicas by this host, and the choice between them."""

from jackdawsill.routing import _views  # noqa: F401
from jackdawsill.routing._handlers import broadcast_leaving
from jackdawsill.routing._log_events import REPLICA_EJECTED, REPLICA_LEAVING
from jackdawsill.routing._messages import LeavingNotice
from jackdawsill.routing._replica import (
    LEAVING_TTL_S,
    RAMP_S,
    ReplicaState,
)
from jackdawsill.routing._table import ReplicaTable

__all__ = [
    "LEAVING_TTL_S",
    "RAMP_S",
    "REPLICA_EJECTED",
    "REPLICA_LEAVING",
    "LeavingNotice",
    "ReplicaState",
    "ReplicaTable",
    "broadcast_leaving",
]
