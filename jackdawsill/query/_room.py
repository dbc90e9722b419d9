"""Use of the room that ended sub-requests leave on their replicas."""

from collections.abc import Iterable

from jackdawsill.core import Effect, HostState
from jackdawsill.limits import AdmissionQueue, ShedWatch
from jackdawsill.query._admit import apply_released
from jackdawsill.query._canary import on_replica_idle
from jackdawsill.query._model import Query, SubRequest
from jackdawsill.query._send import release_waiting
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable

# A query leaves its group's window when at most this fraction of its shards is
# open. The last shards use little of the backend servers but much of the time, so
# a window of whole queries would follow the stragglers instead of the capacity.
TAIL_FRACTION = 0.1
# If at most this part of a query's shards is held by services that shed, fewer
# queries would idle the other services and help little: what goes to the shedding
# ones is bounded by the answers they give.
LOCAL_FRACTION = 0.25


def waits_for_few(state: HostState, query: Query, now: float) -> bool:
    """Tell whether a query waits only for shards that a few services shed."""
    shed = state.component(QueryTable).shed_
    if not shed or not query.open:
        return False
    if any(task.parked_in is not shed for task in query.open.values()):
        return False
    return _is_local(state, query, now)


def _is_local(state: HostState, query: Query, now: float) -> bool:
    watch = state.component(ShedWatch)
    n_shedding = sum(watch.is_shedding(t.shard.service, now) for t in query.tasks)
    return n_shedding <= LOCAL_FRACTION * len(query.tasks)


def _shed_fraction(state: HostState, query: Query, now: float) -> float:
    """Return the part of a query's work whose shedding fewer queries would cure."""
    n_shed = query.n_shed
    if query.n_shed_locally and _is_local(state, query, now):
        n_shed -= query.n_shed_locally
    return n_shed / max(1, query.n_needed)


def leave_window(
    state: HostState,
    query: Query,
    now: float,
    out: list[Effect],
    is_abandoned: bool = False,
) -> None:
    """Let other queries start in the place of one whose work is nearly done."""
    if query.has_left_window:
        return
    query.has_left_window = True
    service_s = None
    if query.started_at is not None and not is_abandoned:
        service_s = now - query.started_at
    group = query.route.group
    released = state.component(AdmissionQueue).release(
        group,
        now,
        service_s=service_s,
        mean_latency_s=query.latency_sum_s / max(1, query.n_answered),
        shed_fraction=_shed_fraction(state, query, now),
    )
    apply_released(state, released, group, out)


def use_room(
    state: HostState, ended: Iterable[SubRequest], now: float, out: list[Effect]
) -> None:
    """Send what waited for the replicas of ended sub-requests."""
    table = state.component(QueryTable)
    if not table.reserved_ and not table.waiting_:
        return
    for sub in ended:
        if (
            sub.replica in table.reserved_
            and not state.component(ReplicaTable).state_of(sub.replica).in_flight
        ):
            on_replica_idle(state, sub.replica, now, out)
        if table.waiting_:
            release_waiting(state, sub.task.shard.service, now, out)
