"""Step 8: reply to the caller and forget the query."""

from jackdawsill.core import (
    ClearTimer,
    Count,
    Effect,
    EmitEvent,
    HostState,
    Observe,
    QueryFinished,
    SendAnswer,
    SendRefusal,
)
from jackdawsill.exceptions import JackdawsillError, Outcome
from jackdawsill.limits import AdmissionQueue
from jackdawsill.query._admit import overloaded
from jackdawsill.query._canary import start_same
from jackdawsill.query._cancel import cancel_all
from jackdawsill.query._errors import (
    Condemned,
    DeadlinePassed,
    EntitlementLost,
    NoSnapshot,
    NothingCovered,
)
from jackdawsill.query._merge import merge
from jackdawsill.query._model import Query
from jackdawsill.query._room import leave_window, use_room, waits_for_few
from jackdawsill.query._table import QueryTable
from jackdawsill.snapshots import SnapshotTable, announce_servable


def finish(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Give a query its one reply."""
    if state.component(QueryTable).queries_.get(query.query_id) is not query:
        return
    reply = _reply(state, query, now)
    out.append(reply)
    labels = (("route", query.route.name),)
    out.append(EmitEvent(_finished(query, reply, now)))
    if isinstance(reply, SendAnswer):
        out.append(Observe("query_seconds", now - query.arrived_at, labels))
        if not reply.answer.complete:
            out.append(Count("queries_partial", 1.0, labels))
    else:
        error = type(reply.error).__name__
        out.append(Count("queries_refused", 1.0, (("error", error),)))
    forget(state, query, now, out)


def _finished(query: Query, reply: Effect, now: float) -> QueryFinished:
    """Return the event that feeds the error budgets."""
    answered = isinstance(reply, SendAnswer)
    return QueryFinished(
        caller=query.caller.name,
        route=query.route.name,
        latency_s=now - query.arrived_at if answered else None,
        n_shards=len(query.tasks),
        n_covered=len(reply.answer.covered) if answered else 0,
        n_needed=query.n_needed,
        n_sent=query.n_sent,
    )


def forget(
    state: HostState,
    query: Query,
    now: float,
    out: list[Effect],
    is_abandoned: bool = False,
) -> None:
    """Cancel what a query still has in flight and remove all of its state."""
    table = state.component(QueryTable)
    ended = [sub for task in query.open.values() for sub in task.subs]
    # Neither the time nor the lateness of such a query tells about the group.
    is_typical = not waits_for_few(state, query, now)
    cancel_all(state, query, now, out)
    table.remove(query)
    out.append(ClearTimer(query.end_timer()))
    if query.n_sent:
        out.append(ClearTimer(query.hedge_timer()))
        labels = (("route", query.route.name),)
        out.append(Count("sub_requests_sent", query.n_sent, labels))
        out.append(Count("sub_requests_needed", query.n_needed, labels))
    if query.snapshot is not None:
        snapshots = state.component(SnapshotTable)
        snapshots.on_query_ended(query.snapshot, answered=not is_abandoned)
        out.extend(announce_servable(state, query.route.group, now))
    queue = state.component(AdmissionQueue)
    if not query.is_admitted:
        queue.abandon(query.query_id)
    else:
        leave_window(state, query, now, out, is_abandoned)
        if is_typical and not is_abandoned and query.started_at is not None:
            is_late = now >= query.cutoff_at
            total_s = now - query.started_at
            queue.on_ended(query.route.group, total_s, is_late, now)
    if query.fingerprint in table.by_fingerprint_:
        start_same(state, query.fingerprint, now, out)
    use_room(state, ended, now, out)


def _reply(state: HostState, query: Query, now: float) -> SendAnswer | SendRefusal:
    objects = state.objects_
    caller = objects.callers.get(query.caller.name)
    route = objects.routes.get(query.route.name)
    if caller is None or route is None or not objects.may_query(caller, route):
        lost = EntitlementLost(f"the caller no longer has route {query.route.name}")
        return _refusal(query, lost)
    if query.is_condemned:
        return _refusal(query, Condemned("the request crashed backend servers"))
    if query.started_at is None:
        return _refusal(query, overloaded(0.0))
    if query.snapshot is not None:
        answer = merge(query, caller, route, objects)
        if answer.covered or answer.complete:
            return SendAnswer(query.query_id, answer)
    if now >= query.cutoff_at:
        return _refusal(query, DeadlinePassed("no shard answered in time"))
    if query.snapshot is None:
        group = query.route.group
        return _refusal(query, NoSnapshot(f"group {group} has no snapshot"))
    reasons = sorted({shard.reason for shard in answer.missing})
    text = f"no shard could be covered: {', '.join(reasons)}"
    return _refusal(query, NothingCovered(text, retry_after_ms=100))


def _refusal(query: Query, error: JackdawsillError) -> SendRefusal:
    """Return a refusal that says truly whether a part of the query may have run."""
    error.outcome = Outcome.PARTLY_RUN if query.may_have_run else Outcome.NOT_RUN
    return SendRefusal(query.query_id, error)
