"""Connections to replicas: the share of each host, and those opened ahead."""

from jackdawsill.core import Effect, HostState, Tick, handles
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._effects import WarmReplicas
from jackdawsill.forwarding._fleet import FleetSize
from jackdawsill.forwarding._policy import USUAL_MIN_S
from jackdawsill.forwarding._registry import ReplicaRegistry

# A call and a hedge of another at the same time need two.
N_CONNECTIONS_MIN = 2
# Time between two looks; replicas close idle connections after seconds.
WARM_EVERY_S = 1.0
# Part of a replica's connections that all hosts together may open ahead.
WARM_FRACTION = 0.5


def n_connections(state: HostState, service: str, now: float) -> int:
    """Return how many connections this host may hold to a replica."""
    cap = state.component(RouteCatalog).n_connections_max(service)
    return max(N_CONNECTIONS_MIN, int(cap / state.component(FleetSize).divisor(now)))


class ConnectionWarmer:
    """Own the time of the last look at connections."""

    __slots__ = ("looked_at_",)

    def __init__(self) -> None:
        self.looked_at_ = 0.0


@handles(Tick, needs=ConnectionWarmer)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Keep a connection open to the nearest replica of each shard.

    A fan-out that must open its connections first is as late as the slowest of them.
    """
    warm_up = state.component(ConnectionWarmer)
    routes = state.component(RouteCatalog).routes_
    if routes is None or now - warm_up.looked_at_ < WARM_EVERY_S:
        return []
    warm_up.looked_at_ = now
    services = {service for route in routes.routes for service in route.shards}
    catalog = state.component(RouteCatalog)
    registry = state.component(ReplicaRegistry)
    n_hosts = state.component(FleetSize).divisor(now)
    entries = []
    for service in sorted(services):
        replicas = registry.by_service_.get(service, ())
        room = WARM_FRACTION * catalog.n_connections_max(service) * len(replicas)
        if n_hosts > room:
            continue
        nearest = registry.pick(service, (), USUAL_MIN_S, now, state.rng)
        if nearest is not None and not nearest.is_ejected(now):
            entries.append(nearest.entry)
    return [WarmReplicas(tuple(entries))] if entries else []
