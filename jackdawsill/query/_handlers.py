"""Reducer handlers of queries."""

from jackdawsill.core import (
    CallerDisconnected,
    Effect,
    HostState,
    PauseDetected,
    QueryArrived,
    SubAnswered,
    SubFailed,
    Tick,
    TimerFired,
    handles,
)
from jackdawsill.limits import AdmissionQueue
from jackdawsill.query._admit import admit, apply_released
from jackdawsill.query._canary import on_replica_idle, start_canary_of_fingerprint
from jackdawsill.query._events import QueryExpired, QueryStarted
from jackdawsill.query._finish import finish, remove_query
from jackdawsill.query._hedge import hedge
from jackdawsill.query._results import on_answered, on_failed
from jackdawsill.query._send import send_waiting
from jackdawsill.query._start import start
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable
from jackdawsill.stopping import PendingWork, register_pending_work

TIMER_PREFIX = "query:"


@register_pending_work("query")
def pending_queries(state: HostState) -> PendingWork:
    """Return the number of queries without a reply and their latest deadline."""
    table = state.components_.get(QueryTable)
    if table is None:
        return PendingWork(0)
    deadlines = (query.deadline_at for query in table.queries_.values())
    return PendingWork(len(table.queries_), max(deadlines, default=None))


@handles(QueryArrived, needs=QueryTable)
def on_query_arrived(state: HostState, event: QueryArrived, now: float) -> list[Effect]:
    """Check a request, then start, queue or refuse it."""
    effects: list[Effect] = []
    admit(state, event, now, effects)
    return effects


@handles(QueryStarted, needs=QueryTable)
def on_query_started(state: HostState, event: QueryStarted, now: float) -> list[Effect]:
    """Bind a query and send its sub-requests."""
    effects: list[Effect] = []
    query = state.component(QueryTable).queries_.get(event.query_id)
    if query is not None and query.started_at is None:
        start(state, query, now, effects)
    return _finish_ready(state, now, effects)


@handles(QueryExpired, needs=QueryTable)
def on_query_expired(state: HostState, event: QueryExpired, now: float) -> list[Effect]:
    """Refuse a query that can no longer finish; nothing of it was sent."""
    effects: list[Effect] = []
    query = state.component(QueryTable).queries_.get(event.query_id)
    if query is not None:
        finish(state, query, now, effects)
    return _finish_ready(state, now, effects)


@handles(SubAnswered, needs=QueryTable)
def on_sub_answered(state: HostState, event: SubAnswered, now: float) -> list[Effect]:
    """Process an answer of a backend server."""
    effects: list[Effect] = []
    on_answered(state, event, now, effects)
    return _finish_ready(state, now, effects)


@handles(SubFailed, needs=QueryTable)
def on_sub_failed(state: HostState, event: SubFailed, now: float) -> list[Effect]:
    """Process a failure of a sub-request."""
    effects: list[Effect] = []
    on_failed(state, event, now, effects)
    return _finish_ready(state, now, effects)


@handles(CallerDisconnected, needs=QueryTable)
def on_caller_disconnected(
    state: HostState, event: CallerDisconnected, now: float
) -> list[Effect]:
    """Cancel a query whose caller has disconnected."""
    effects: list[Effect] = []
    table = state.components_.get(QueryTable)
    query = table.queries_.get(event.query_id)
    if query is not None:
        remove_query(state, query, now, effects, is_abandoned=True)
    return _finish_ready(state, now, effects)


@handles(TimerFired, needs=QueryTable)
def on_timer_fired(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """Start queued queries, send the hedges of a query or end it at its cutoff."""
    if not event.timer_id.startswith(TIMER_PREFIX):
        return []
    effects: list[Effect] = []
    _, kind, name = event.timer_id.split(":", 2)
    if kind == "admit":
        released = state.component(AdmissionQueue).start_next(name, now)
        apply_released(state, released, name, effects)
        return effects
    query = state.component(QueryTable).queries_.get(int(name))
    if query is not None:
        if kind == "hedge":
            hedge(state, query, now, effects)
        else:
            finish(state, query, now, effects)
    return _finish_ready(state, now, effects)


@handles(Tick, needs=QueryTable)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Retry shards and canaries that wait for a replica."""
    table = state.component(QueryTable)
    effects: list[Effect] = []
    if table.possibly_running_:
        table.expire(now)
    for service in tuple(table.waiting_for_capacity_):
        send_waiting(state, service, now, effects)
    for replica in tuple(table.canaries_awaiting_idle_):
        # If a ticketed request was the last one in flight there, no other event has
        # reported the replica as idle.
        if not state.component(ReplicaTable).state_of(replica).in_flight:
            on_replica_idle(state, replica, now, effects)
    for fingerprint in tuple(table.canaries_without_replica_):
        del table.canaries_without_replica_[fingerprint]
        start_canary_of_fingerprint(state, fingerprint, now, effects)
    return _finish_ready(state, now, effects)


@handles(PauseDetected, needs=QueryTable)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """End queries whose cutoff passed in the pause, before anything else is sent."""
    table = state.component(QueryTable)
    effects: list[Effect] = []
    table.resumed_at_ = now
    late = [q for q in table.queries_.values() if now >= q.cutoff_at]
    # Queued queries are refused first; otherwise the end of a running one would start
    # them.
    for query in sorted(late, key=lambda q: q.is_admitted):
        finish(state, query, now, effects)
    return _finish_ready(state, now, effects)


def _finish_ready(state: HostState, now: float, effects: list[Effect]) -> list[Effect]:
    """Reply to the queries that this event finished."""
    ready = state.component(QueryTable).ready_to_finish_
    while ready:
        finish(state, ready.pop(), now, effects)
    return effects
