"""Cancellation of sub-requests, of waits and of canaries."""

from jackdawsill.core import CancelSub, Effect, FailureKind, HostState
from jackdawsill.query._model import Query, SubRequest
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable


def cancel_sub(
    state: HostState, sub: SubRequest, now: float, out: list[Effect]
) -> None:
    """Cancel a sub-request by message; a late answer to it is discarded."""
    table = state.component(QueryTable)
    table.remove_sub(sub)
    table.linger(sub.replica, sub.query.fingerprint, now)
    routing = state.component(ReplicaTable)
    routing.on_ended(sub.replica)
    elapsed_s = now - sub.sent_at
    query = sub.query
    if now >= query.cutoff_at and 2 * elapsed_s >= now - query.arrived_at:
        # The query ran out of time mostly because of this sub-request.
        routing.on_failure(sub.replica, FailureKind.TIMEOUT, now)
    else:
        routing.on_cancelled(sub.replica, elapsed_s, now)
    out.append(CancelSub(sub.sub_id))


def cancel_all(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Cancel all sub-requests of a query and end its canary and its waits."""
    table = state.component(QueryTable)
    for task in query.open.values():
        table.unpark(task)
        for sub in tuple(task.subs):
            cancel_sub(state, sub, now, out)
    query.open = {}
    query.held = []
    end_canary(state, query)


def end_canary(state: HostState, query: Query) -> None:
    """Free what the canary of a query holds."""
    if query.canary is None:
        return
    table = state.component(QueryTable)
    query.canary = None
    if table.canaries_.get(query.fingerprint) is query:
        del table.canaries_[query.fingerprint]
    replica = query.canary_replica
    query.canary_replica = ""
    table.reserved_.pop(replica, None)
    state.component(ReplicaTable).release(replica)
