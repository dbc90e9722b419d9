"""Construction of a gateway's state from its settings."""

import random

from jackdawsill.core import HostState
from jackdawsill.forwarding import (
    CallTable,
    ConnectionWarmer,
    CrashEvidence,
    DelegateHost,
    DelegateTable,
    FleetSize,
    ForwardingPolicy,
    GatewayLifecycle,
    LimitShares,
    ReplicaRegistry,
    RetryBudget,
    RouteCatalog,
)
from jackdawsill.gateway._settings import GatewaySettings
from jackdawsill.relaying import DemandFeed, UpdateFeed
from jackdawsill.runtime import join_address, split_address


def delegation_address(cfg: GatewaySettings) -> str:
    """Return the address for calls that other hosts delegate to this one.

    It is the second port of the inner range; "" if the range has fewer than two.
    """
    ports = cfg.ports
    if ports.inner_last <= ports.inner_first:
        return ""
    host, _ = split_address(ports.callers)
    return join_address(host, ports.inner_first + 1)


def forwarding_policy(cfg: GatewaySettings) -> ForwardingPolicy:
    """Return the times of the decisions about calls."""
    return ForwardingPolicy(
        caller_network_s=cfg.calls.caller_network_ms / 1000, grace_s=cfg.host.grace_s
    )


def build_gateway_state(cfg: GatewaySettings, rng: random.Random) -> HostState:
    """Return the state of a new process with all components attached."""
    host = cfg.host
    retries = cfg.retries
    state = HostState(host.name, host.failure_domain, rng)
    state.attach(forwarding_policy(cfg))
    state.attach(RouteCatalog())
    fleet = FleetSize()
    state.attach(fleet)
    shares = LimitShares(fleet)
    state.attach(ReplicaRegistry(host.failure_domain, cfg.regions, shares))
    state.attach(RetryBudget(retries.ratio, retries.slack, retries.window_s, fleet))
    state.attach(CrashEvidence())
    state.attach(CallTable())
    state.attach(GatewayLifecycle())
    state.attach(ConnectionWarmer())
    address = delegation_address(cfg)
    offer = None
    if address:
        offer = DelegateHost(host.name, address, host.failure_domain, checks_terms=True)
    state.attach(DelegateTable(host.link_mbps, offer))
    state.attach(DemandFeed())
    state.attach(
        UpdateFeed(
            cfg.ports.peers,
            cfg.store.seed_addresses(),
            is_first_start=cfg.store.first_start,
        )
    )
    return state
