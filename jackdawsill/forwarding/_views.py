"""Status sections on routes and forwarding."""

from typing import Any

from jackdawsill.core import HostState, explain_section, status_section
from jackdawsill.forwarding._calls import CallTable
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._fleet import FleetSize
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replica import LiveReplica


@status_section("routes")
def view_routes(state: HostState, now: float) -> dict[str, Any]:
    """Return version and age of the configuration; empty before the first one."""
    catalog = state.components_.get(RouteCatalog)
    if catalog is None or catalog.routes_ is None:
        return {}
    return {
        "version": catalog.version,
        "age_s": round(now - catalog.read_at_, 1),
        "n_routes": len(catalog.routes_.routes),
    }


@status_section("forwarding")
def view_forwarding(state: HostState, now: float) -> dict[str, Any]:
    """Return calls in progress, and replicas that are not used freely."""
    registry = state.components_.get(ReplicaRegistry)
    if registry is None:
        return {}
    replicas = registry.replicas_.values()
    lost_at = registry.store_lost_at_
    cut_since = registry.reach.cut_since_
    position = registry.position_
    return {
        "calls": len(state.component(CallTable)),
        "fleet": state.component(FleetSize).divisor(now),
        "replicas": len(registry.replicas_),
        "era": None if position is None else position.era,
        "revision": None if position is None else position.revision,
        "changed_s": round(now - registry.changed_at_, 1),
        "store_lost_s": None if lost_at is None else round(now - lost_at, 1),
        "cut_off_s": None if cut_since is None else round(now - cut_since, 1),
        "draining": sorted(r.entry.name for r in replicas if r.entry.draining),
        "avoided": sorted(r.entry.name for r in replicas if r.is_ejected(now)),
        "limited": {
            r.entry.name: r.rate_share.limit_per_s
            for r in replicas
            if r.rate_share is not None
        },
        "leaving": sorted(
            r.entry.name for r in replicas if registry.leaving.is_leaving(r.entry)
        ),
        "held_s": {
            r.entry.name: round(r.held_until - now, 1)
            for r in replicas
            if r.held_until > now
        },
        "lapsed": sorted(r.entry.name for r in replicas if r.lapsed_at is not None),
    }


@explain_section("replica", "forwarding")
def explain_replica(state: HostState, name: str, now: float) -> dict[str, Any] | None:
    """Return how this host treats a replica, and why; None if it is not known."""
    registry = state.components_.get(ReplicaRegistry)
    replica = None if registry is None else registry.replicas_.get(name)
    if replica is None:
        return None
    limit = replica.rate_share
    return {
        "service": replica.entry.service,
        "address": replica.entry.address,
        "incarnation": replica.entry.incarnation,
        "treatment": _describe_treatment(registry, replica, now),
        "held_s": round(max(0.0, replica.held_until - now), 1),
        "limit_per_s": None if limit is None else limit.limit_per_s,
        "ejected_s": round(max(0.0, replica.ejected_until - now), 1),
        "in_flight": replica.in_flight,
        "n_failures": replica.n_failures,
    }


def _describe_treatment(
    registry: ReplicaRegistry, replica: LiveReplica, now: float
) -> str:
    """Return the first rule that applies to a replica."""
    if replica.entry.draining:
        return "no attempts: its entry says that it drains"
    if registry.leaving.is_leaving(replica.entry):
        if replica in registry.by_service_.get(replica.entry.service, ()):
            return "used: a peer reports that it leaves, but no other one is left"
        return "no attempts: it said that it leaves"
    if replica.held_until > now:
        return "no attempts yet: it asked for time"
    if replica.rate_share is not None:
        return "a share of the limit that it states"
    if replica.is_ejected(now):
        return "only if no other is left: it failed"
    return "used"
