"""Gateway process: forwards callers' requests to the replicas that a store lists."""

from jackdawsill.gateway._build import build_gateway_state, delegation_address
from jackdawsill.gateway._follower import StoreFollower
from jackdawsill.gateway._log_events import BAD_ENTRY
from jackdawsill.gateway._main import run
from jackdawsill.gateway._process import GatewayProcess
from jackdawsill.gateway._reload import settings_digest
from jackdawsill.gateway._settings import GatewaySettings, load_gateway_settings
from jackdawsill.gateway._store import (
    AnswerTooLong,
    BaseStore,
    HistoryLost,
    StoreChanges,
    StoreSnapshot,
    StoreUnavailable,
)

__all__ = [
    "BAD_ENTRY",
    "AnswerTooLong",
    "BaseStore",
    "GatewayProcess",
    "GatewaySettings",
    "HistoryLost",
    "StoreChanges",
    "StoreFollower",
    "StoreSnapshot",
    "StoreUnavailable",
    "build_gateway_state",
    "delegation_address",
    "load_gateway_settings",
    "run",
    "settings_digest",
]
