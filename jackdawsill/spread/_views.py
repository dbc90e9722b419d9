"""Operator views of the configuration's spread."""

from typing import Any

from jackdawsill.core import HostState, status_section
from jackdawsill.spread._pull import SERVICE
from jackdawsill.spread._spread import ConfigSync


@status_section("spread")
def spread_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the generation in force and what the sources offer."""
    spread = state.components_.get(ConfigSync)
    if spread is None:
        return {}
    service = spread.offers_.get(SERVICE)
    peers = [o.generation for source, o in spread.offers_.items() if source != SERVICE]
    pull = spread.pull_
    return {
        "generation": spread.generation_,
        "confirmed": spread.confirmed_,
        "joined": spread.join_state_.joined_,
        "service_answers": spread.service_.answered_ and not spread.service_.failing_,
        "service_generation": None if service is None else service.generation,
        "watches_service": spread.service_.watcher_,
        "highest_peer_generation": max(peers, default=None),
        "pulling": None if pull is None else pull.generation,
        "n_conflicts": len(spread.conflicts_),
    }
