"""State of a gateway from its settings."""

import random

from jackdawsill.core import HostState
from jackdawsill.forwarding import (
    CallTable,
    CrashEvidence,
    FleetSize,
    ForwardingPolicy,
    GatewayLife,
    ReplicaRegistry,
    RetryBudget,
    RouteCatalog,
    WarmUp,
)
from jackdawsill.gateway._settings import GatewaySettings
from jackdawsill.relaying import NewsFeed


def build_gateway_state(cfg: GatewaySettings, rng: random.Random) -> HostState:
    """Return the state of a new process with one object of each part."""
    host = cfg.host
    retries = cfg.retries
    state = HostState(host.name, host.failure_domain, rng)
    state.attach(
        ForwardingPolicy(
            caller_network_s=cfg.calls.caller_network_ms / 1000,
            settle_s=host.settle_s,
            grace_s=host.grace_s,
        )
    )
    state.attach(RouteCatalog())
    state.attach(ReplicaRegistry(host.failure_domain, cfg.regions))
    fleet = FleetSize()
    state.attach(fleet)
    state.attach(RetryBudget(retries.ratio, retries.slack, retries.window_s, fleet))
    state.attach(CrashEvidence())
    state.attach(CallTable())
    state.attach(GatewayLife())
    state.attach(WarmUp())
    state.attach(
        NewsFeed(
            cfg.ports.peers,
            cfg.store.seed_addresses(),
            is_first_start=cfg.store.first_start,
        )
    )
    return state
