"""Cancellation of sub-requests, canaries and waiting shards."""

from jackdawsill.core import CancelSub, Effect, FailureKind, HostState
from jackdawsill.query._model import Query, SubRequest
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable


def cancel_sub(
    state: HostState, sub: SubRequest, now: float, effects: list[Effect]
) -> None:
    """Cancel a sub-request at its replica; a late answer to it is discarded."""
    table = state.component(QueryTable)
    table.remove_sub(sub)
    table.record_possibly_running(sub.replica, sub.query.fingerprint, now)
    routing = state.component(ReplicaTable)
    routing.on_ended(sub.replica)
    elapsed_s = now - sub.sent_at
    query = sub.query
    if now >= query.cutoff_at and 2 * elapsed_s >= now - query.arrived_at:
        # This sub-request took at least half of the query's time, so it counts as a
        # timeout of the replica.
        routing.on_failure(sub.replica, FailureKind.TIMEOUT, now)
    else:
        routing.on_cancelled(sub.replica, elapsed_s, now)
    effects.append(CancelSub(sub.sub_id))


def cancel_all(
    state: HostState, query: Query, now: float, effects: list[Effect]
) -> None:
    """Cancel all sub-requests of a query, its canary and its waiting shards."""
    table = state.component(QueryTable)
    for task in query.unfinished.values():
        table.remove_waiting(task)
        for sub in tuple(task.subs):
            cancel_sub(state, sub, now, effects)
    query.unfinished = {}
    query.awaiting_canary = []
    end_canary(state, query)


def end_canary(state: HostState, query: Query) -> None:
    """Release the replica and the fingerprint that the canary of a query reserves."""
    if query.canary is None:
        return
    table = state.component(QueryTable)
    query.canary = None
    if table.canaries_.get(query.fingerprint) is query:
        del table.canaries_[query.fingerprint]
    replica = query.canary_replica
    query.canary_replica = ""
    table.canaries_awaiting_idle_.pop(replica, None)
    state.component(ReplicaTable).release(replica)
