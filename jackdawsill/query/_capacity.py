"""Use of capacity that queries leave at this host and sub-requests at replicas."""

from collections.abc import Iterable

from jackdawsill.core import Effect, HostState
from jackdawsill.limits import AdmissionQueue, ShedWatch
from jackdawsill.query._admit import apply_released
from jackdawsill.query._canary import on_replica_idle
from jackdawsill.query._model import Query, SubRequest
from jackdawsill.query._send import send_waiting
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable

# A query is released from the admission window of its group when at most this fraction
# of its shards is unfinished. The last shards use little of the backend servers but
# much of the time, so a window of whole queries would measure stragglers instead of
# capacity.
TAIL_FRACTION = 0.1
# Sheds of a query do not decrease the admission window if at most this fraction of its
# shards belongs to shedding services. Fewer queries would leave the other services
# idle, and the shedding ones already get no more retries than they give answers.
FEW_SHEDDING_FRACTION = 0.25


def waits_only_for_shed(state: HostState, query: Query, now: float) -> bool:
    """Return whether a query waits only for shards that few services have shed."""
    shed = state.component(QueryTable).waiting_after_shed_
    if not shed or not query.unfinished:
        return False
    if any(task.wait_queues is not shed for task in query.unfinished.values()):
        return False
    return _few_services_shed(state, query, now)


def _few_services_shed(state: HostState, query: Query, now: float) -> bool:
    watch = state.component(ShedWatch)
    n_shedding = sum(watch.is_shedding(t.shard.service, now) for t in query.tasks)
    return n_shedding <= FEW_SHEDDING_FRACTION * len(query.tasks)


def _shed_fraction(state: HostState, query: Query, now: float) -> float:
    """Return the fraction of shed sub-requests that a smaller window would prevent."""
    n_shed = query.n_shed
    if query.n_shed_while_shedding and _few_services_shed(state, query, now):
        n_shed -= query.n_shed_while_shedding
    return n_shed / max(1, query.n_needed)


def release_admission(
    state: HostState,
    query: Query,
    now: float,
    effects: list[Effect],
    is_abandoned: bool = False,
) -> None:
    """Stop counting a query as running, once, so that queued queries may start.

    `is_abandoned` means that the caller disconnected; the service time is not recorded.
    """
    if query.is_released:
        return
    query.is_released = True
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
    apply_released(state, released, group, effects)


def use_freed_capacity(
    state: HostState, ended: Iterable[SubRequest], now: float, effects: list[Effect]
) -> None:
    """Send canaries and shards that waited for the capacity of these sub-requests."""
    table = state.component(QueryTable)
    if not table.canaries_awaiting_idle_ and not table.waiting_for_capacity_:
        return
    for sub in ended:
        if (
            sub.replica in table.canaries_awaiting_idle_
            and not state.component(ReplicaTable).state_of(sub.replica).in_flight
        ):
            on_replica_idle(state, sub.replica, now, effects)
        if table.waiting_for_capacity_:
            send_waiting(state, sub.task.shard.service, now, effects)
