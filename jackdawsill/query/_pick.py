"""Step 3: choose a replica that serves the snapshot and has room."""

from jackdawsill.core import HostState
from jackdawsill.objects import Replica
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.query._parts import Parts, parts_of


def pick(
    state: HostState,
    query: Query,
    task: ShardTask,
    now: float,
    *,
    is_hedge: bool = False,
) -> tuple[Replica | None, bool]:
    """Return a replica for a shard, or None and whether replicas only lack room.

    An ejected replica is the last resort, and none for a hedge: after the loss of a
    failure domain, hedges would spend their tokens on its replicas.
    """
    parts = parts_of(state)
    routing = parts.routing
    service = task.shard.service
    objects = state.objects_
    declined = parts.snapshots.declining(query.snapshot.name, service, now)
    exclude = task.tried + declined
    replica = routing.pick(
        service, exclude, objects, now, state.rng, is_last_resort=False
    )
    if replica is None and task.tried:
        # Every usable replica was tried; a failed one may be tried again.
        exclude = tuple([sub.replica for sub in task.subs]) + declined
        replica = routing.pick(
            service, exclude, objects, now, state.rng, is_last_resort=False
        )
    if replica is None and not is_hedge:
        replica = routing.pick(service, exclude, objects, now, state.rng)
    if replica is None and declined and not is_hedge:
        replica = _recheck(state, query, task, now)
    if replica is None:
        return None, False
    if _has_room(parts, query, replica.name, now):
        return replica, False
    others = [
        other
        for other in routing.usable(service, exclude, objects, now)
        if _has_room(parts, query, other.name, now)
    ]
    if not others:
        return None, True
    return min(others, key=lambda r: routing.state_of(r.name).cost(now)), False


def _recheck(
    state: HostState, query: Query, task: ShardTask, now: float
) -> Replica | None:
    """Return a replica that declined earlier, where only such replicas are left."""
    parts = parts_of(state)
    service = task.shard.service
    assert query.snapshot is not None
    if not parts.snapshots.may_recheck(query.snapshot.name, service, now):
        return None
    return parts.routing.pick(service, task.tried, state.objects_, now, state.rng)


def declining(
    state: HostState, query: Query, task: ShardTask, now: float
) -> tuple[str, ...]:
    """Return the replicas that are known to decline the query's snapshot."""
    assert query.snapshot is not None
    table = parts_of(state).snapshots
    return table.declining(query.snapshot.name, task.shard.service, now)


def _has_room(parts: Parts, query: Query, replica: str, now: float) -> bool:
    """Tell whether one more sub-request may be in flight on a replica."""
    in_flight = parts.routing.state_of(replica).in_flight
    return parts.limits.has_capacity(
        replica, in_flight, query.n_slots
    ) and in_flight < parts.shares.share(replica, now)
