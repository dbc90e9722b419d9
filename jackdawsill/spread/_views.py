"""Operator views of the configuration distribution."""

from typing import Any

from jackdawsill.core import HostState, status_section
from jackdawsill.spread._config_sync import ConfigSync
from jackdawsill.spread._pull import SERVICE


@status_section("spread")
def config_sync_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the accepted generation, its state and the offers of the sources."""
    config_sync = state.components_.get(ConfigSync)
    if config_sync is None:
        return {}
    service = config_sync.offers_.get(SERVICE)
    peers = [
        o.generation for source, o in config_sync.offers_.items() if source != SERVICE
    ]
    pull = config_sync.pull_
    return {
        "generation": config_sync.generation_,
        "confirmed": config_sync.confirmed_,
        "joined": config_sync.join_state_.joined_,
        "service_answers": config_sync.service_.answered_
        and not config_sync.service_.failing_,
        "service_generation": None if service is None else service.generation,
        "watches_service": config_sync.service_.is_watcher_,
        "highest_peer_generation": max(peers, default=None),
        "pulling": None if pull is None else pull.generation,
        "n_conflicts": len(config_sync.conflicts_),
    }
