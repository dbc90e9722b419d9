"""Connections to replicas: the limit of each host, and warming in advance."""

from jackdawsill.core import Effect, HostState, Tick, handles
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._effects import WarmReplicas
from jackdawsill.forwarding._fleet import FleetSize
from jackdawsill.forwarding._policy import TYPICAL_MIN_S
from jackdawsill.forwarding._registry import ReplicaRegistry

# Least connection limit per replica: one call, and a hedge of another at the same time.
N_CONNECTIONS_MIN = 2
# Interval of checks; replicas close idle connections after some seconds.
WARM_INTERVAL_S = 1.0
# Fraction of a replica's connections that all hosts together may open in advance.
WARM_FRACTION = 0.5


def connection_limit(state: HostState, service: str, now: float) -> int:
    """Return how many connections this host may hold to one replica of a service."""
    cap = state.component(RouteCatalog).n_connections_max(service)
    return max(N_CONNECTIONS_MIN, int(cap / state.component(FleetSize).divisor(now)))


class ConnectionWarmer:
    """Hold the time of the last check of warm connections."""

    __slots__ = ("checked_at_",)

    def __init__(self) -> None:
        self.checked_at_ = 0.0


@handles(Tick, needs=ConnectionWarmer)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Keep a connection open to the fastest replica of each shard.

    Without it, a fan-out is delayed by the slowest of the connections that it opens.
    A shard is left out if the hosts of the fleet need more than WARM_FRACTION of its
    replicas' connections.
    """
    warmer = state.component(ConnectionWarmer)
    routes = state.component(RouteCatalog).routes_
    if routes is None or now - warmer.checked_at_ < WARM_INTERVAL_S:
        return []
    warmer.checked_at_ = now
    services = {service for route in routes.routes for service in route.shards}
    catalog = state.component(RouteCatalog)
    registry = state.component(ReplicaRegistry)
    n_hosts = state.component(FleetSize).divisor(now)
    entries = []
    for service in sorted(services):
        replicas = registry.by_service_.get(service, ())
        n_allowed = WARM_FRACTION * catalog.n_connections_max(service) * len(replicas)
        if n_hosts > n_allowed:
            continue
        fastest = registry.pick(service, (), TYPICAL_MIN_S, now, state.rng)
        if fastest is not None and not fastest.is_ejected(now):
            entries.append(fastest.entry)
    return [WarmReplicas(tuple(entries))] if entries else []
