"""Handlers of the events of queries."""

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
from jackdawsill.query._canary import on_replica_idle, start_same
from jackdawsill.query._deliver import finish, forget
from jackdawsill.query._events import QueryExpired, QueryStarted
from jackdawsill.query._hedge import hedge
from jackdawsill.query._send import release_waiting
from jackdawsill.query._start import start
from jackdawsill.query._table import QueryTable
from jackdawsill.query._wait import on_answered, on_failed
from jackdawsill.routing import ReplicaTable
from jackdawsill.stopping import PendingWork, register_pending_work

TIMER_PREFIX = "query:"


@register_pending_work("query")
def pending_queries(state: HostState) -> PendingWork:
    """Report the queries without a reply."""
    table = state.components_.get(QueryTable)
    if table is None:
        return PendingWork(0)
    deadlines = (query.deadline_at for query in table.queries_.values())
    return PendingWork(len(table.queries_), max(deadlines, default=None))


@handles(QueryArrived, needs=QueryTable)
def on_query_arrived(state: HostState, event: QueryArrived, now: float) -> list[Effect]:
    """Check a request, then start, queue or refuse it."""
    out: list[Effect] = []
    admit(state, event, now, out)
    return out


@handles(QueryStarted, needs=QueryTable)
def on_query_started(state: HostState, event: QueryStarted, now: float) -> list[Effect]:
    """Bind a query and send its sub-requests."""
    out: list[Effect] = []
    query = state.component(QueryTable).queries_.get(event.query_id)
    if query is not None and query.started_at is None:
        start(state, query, now, out)
    return _finish_done(state, now, out)


@handles(QueryExpired, needs=QueryTable)
def on_query_expired(state: HostState, event: QueryExpired, now: float) -> list[Effect]:
    """Refuse a query that can no longer finish; nothing of it was sent."""
    out: list[Effect] = []
    query = state.component(QueryTable).queries_.get(event.query_id)
    if query is not None:
        finish(state, query, now, out)
    return _finish_done(state, now, out)


@handles(SubAnswered, needs=QueryTable)
def on_sub_answered(state: HostState, event: SubAnswered, now: float) -> list[Effect]:
    """Take an answer of a backend server."""
    out: list[Effect] = []
    on_answered(state, event, now, out)
    return _finish_done(state, now, out)


@handles(SubFailed, needs=QueryTable)
def on_sub_failed(state: HostState, event: SubFailed, now: float) -> list[Effect]:
    """Take a failure of a sub-request."""
    out: list[Effect] = []
    on_failed(state, event, now, out)
    return _finish_done(state, now, out)


@handles(CallerDisconnected, needs=QueryTable)
def on_caller_left(
    state: HostState, event: CallerDisconnected, now: float
) -> list[Effect]:
    """Cancel everything of a query whose caller is gone."""
    out: list[Effect] = []
    table = state.components_.get(QueryTable)
    query = table.queries_.get(event.query_id)
    if query is not None:
        forget(state, query, now, out, is_abandoned=True)
    return _finish_done(state, now, out)


@handles(TimerFired, needs=QueryTable)
def on_timer_fired(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """End a query, send hedges or start a queued query."""
    if not event.timer_id.startswith(TIMER_PREFIX):
        return []
    out: list[Effect] = []
    _, kind, name = event.timer_id.split(":", 2)
    if kind == "admit":
        released = state.component(AdmissionQueue).start_next(name, now)
        apply_released(state, released, name, out)
        return out
    query = state.component(QueryTable).queries_.get(int(name))
    if query is not None:
        if kind == "hedge":
            hedge(state, query, now, out)
        else:
            finish(state, query, now, out)
    return _finish_done(state, now, out)


@handles(Tick, needs=QueryTable)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Look again at shards that wait; costs nothing when none does."""
    table = state.component(QueryTable)
    out: list[Effect] = []
    if table.lingering_:
        table.expire(now)
    for service in tuple(table.waiting_):
        release_waiting(state, service, now, out)
    for replica in tuple(table.reserved_):
        # A ticketed request may have been the last one in flight there.
        if not state.component(ReplicaTable).state_of(replica).in_flight:
            on_replica_idle(state, replica, now, out)
    for mark in tuple(table.stalled_):
        del table.stalled_[mark]
        start_same(state, mark, now, out)
    return _finish_done(state, now, out)


@handles(PauseDetected, needs=QueryTable)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Drop work that is past its deadline before anything else is sent."""
    table = state.component(QueryTable)
    out: list[Effect] = []
    table.resumed_at_ = now
    late = [q for q in table.queries_.values() if now >= q.cutoff_at]
    # Queued queries are refused first, so that none of them is started by the
    # end of a running one.
    for query in sorted(late, key=lambda q: q.is_admitted):
        finish(state, query, now, out)
    return _finish_done(state, now, out)


def _finish_done(state: HostState, now: float, out: list[Effect]) -> list[Effect]:
    """Reply to the queries whose last shard was decided by this event."""
    done = state.component(QueryTable).done_
    while done:
        finish(state, done.pop(), now, out)
    return out
