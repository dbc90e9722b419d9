"""Step 3: choose a replica that serves the snapshot and has room."""

from jackdawsill.core import HostState
from jackdawsill.limits import ConcurrencyLimits, ConnectionShares
from jackdawsill.objects import Replica
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.routing import ReplicaTable
from jackdawsill.snapshots import SnapshotTable


def pick(
    state: HostState, query: Query, task: ShardTask, now: float
) -> tuple[Replica | None, bool]:
    """Return a replica for a shard, or None and whether replicas only lack room."""
    service = task.shard.service
    routing = state.part(ReplicaTable)
    objects = state.objects_
    exclude = task.tried + declining(state, query, task, now)
    replica = routing.pick(service, exclude, objects, now, state.rng)
    if replica is None and task.tried:
        # Every replica was tried; a failed one may be tried again.
        in_flight = tuple([sub.replica for sub in task.subs])
        exclude = in_flight + declining(state, query, task, now)
        replica = routing.pick(service, exclude, objects, now, state.rng)
    if replica is None:
        return None, False
    if has_room(state, query, replica.name, now):
        return replica, False
    others = [
        other
        for other in routing.usable(service, exclude, objects, now)
        if has_room(state, query, other.name, now)
    ]
    if not others:
        return None, True
    return min(others, key=lambda r: routing.state_of(r.name).cost(now)), False


def declining(
    state: HostState, query: Query, task: ShardTask, now: float
) -> tuple[str, ...]:
    """Return the replicas that are known to decline the query's snapshot."""
    assert query.snapshot is not None
    table = state.part(SnapshotTable)
    return table.declining(query.snapshot.name, task.shard.service, now)


def has_room(state: HostState, query: Query, replica: str, now: float) -> bool:
    """Tell whether one more sub-request may be in flight on a replica."""
    in_flight = state.part(ReplicaTable).state_of(replica).in_flight
    if in_flight >= state.part(ConnectionShares).share(replica, now):
        return False
    limits = state.part(ConcurrencyLimits)
    return limits.has_room(replica, in_flight, n_slots(state, query))


def n_slots(state: HostState, query: Query) -> int:
    """Return the number of slots of each replica of the query's group."""
    group = state.objects_.groups.get(query.route.group)
    return 1 if group is None else group.n_slots
