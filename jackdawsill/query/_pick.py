"""Choose a replica that serves the snapshot and has capacity."""

from jackdawsill.core import HostState
from jackdawsill.objects import Replica
from jackdawsill.query._components import Components, components_of
from jackdawsill.query._model import Query, ShardTask


def pick(
    state: HostState,
    query: Query,
    task: ShardTask,
    now: float,
    *,
    is_hedge: bool = False,
) -> tuple[Replica | None, bool]:
    """Return a replica for a shard, and whether only capacity is lacking.

    The replica is None if none may be used or all usable ones are at capacity; only in
    the second case is the flag True.

    An ejected replica is the last resort, but never for a hedge: after the loss of a
    failure domain, hedges would spend their tokens on the lost replicas.
    """
    components = components_of(state)
    routing = components.routing
    service = task.shard.service
    objects = state.objects_
    declined = components.snapshots.declining(query.snapshot.name, service, now)
    exclude = task.tried_replicas + declined
    replica = routing.pick(
        service, exclude, objects, now, state.rng, allow_ejected=False
    )
    if replica is None and task.tried_replicas:
        # Every usable replica was tried; a failed one may be tried again.
        exclude = tuple([sub.replica for sub in task.subs]) + declined
        replica = routing.pick(
            service, exclude, objects, now, state.rng, allow_ejected=False
        )
    if replica is None and not is_hedge:
        replica = routing.pick(service, exclude, objects, now, state.rng)
    if replica is None and declined and not is_hedge:
        replica = _recheck(state, query, task, now)
    if replica is None:
        return None, False
    if _has_capacity(components, query, replica.name, now):
        return replica, False
    others = [
        other
        for other in routing.usable_replicas(service, exclude, objects, now)
        if _has_capacity(components, query, other.name, now)
    ]
    if not others:
        return None, True
    return min(
        others, key=lambda r: routing.state_of(r.name).expected_latency_s(now)
    ), False


def _recheck(
    state: HostState, query: Query, task: ShardTask, now: float
) -> Replica | None:
    """Return a replica that declined earlier; used when no other one is left.

    Return None if the service was rechecked too recently.
    """
    components = components_of(state)
    service = task.shard.service
    assert query.snapshot is not None
    if not components.snapshots.try_recheck(query.snapshot.name, service, now):
        return None
    return components.routing.pick(
        service, task.tried_replicas, state.objects_, now, state.rng
    )


def declining(
    state: HostState, query: Query, task: ShardTask, now: float
) -> tuple[str, ...]:
    """Return the replicas that are known to decline the query's snapshot."""
    assert query.snapshot is not None
    table = components_of(state).snapshots
    return table.declining(query.snapshot.name, task.shard.service, now)


def _has_capacity(
    components: Components, query: Query, replica: str, now: float
) -> bool:
    """Return whether one more sub-request may be in flight on a replica."""
    in_flight = components.routing.state_of(replica).in_flight
    return components.limits.has_capacity(
        replica, in_flight, query.n_slots
    ) and in_flight < components.shares.share(replica, now)
