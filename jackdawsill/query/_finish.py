"""Reply to the caller and remove the state of the query."""

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
from jackdawsill.query._canary import start_canary_of_fingerprint
from jackdawsill.query._cancel import cancel_all
from jackdawsill.query._capacity import (
    release_admission,
    use_freed_capacity,
    waits_only_for_shed,
)
from jackdawsill.query._errors import (
    Condemned,
    DeadlinePassed,
    EntitlementLost,
    NoSnapshot,
    NothingCovered,
)
from jackdawsill.query._merge import merge
from jackdawsill.query._model import Query
from jackdawsill.query._table import QueryTable
from jackdawsill.snapshots import SnapshotTable, broadcast_servable


def finish(state: HostState, query: Query, now: float, effects: list[Effect]) -> None:
    """Send the reply of a query and remove it; do nothing if it was removed before."""
    if state.component(QueryTable).queries_.get(query.query_id) is not query:
        return
    reply = _reply(state, query, now)
    effects.append(reply)
    labels = (("route", query.route.name),)
    effects.append(EmitEvent(_finished_event(query, reply, now)))
    if isinstance(reply, SendAnswer):
        effects.append(Observe("query_seconds", now - query.arrived_at, labels))
        if not reply.answer.complete:
            effects.append(Count("queries_partial", 1.0, labels))
    else:
        error = type(reply.error).__name__
        effects.append(Count("queries_refused", 1.0, (("error", error),)))
    remove_query(state, query, now, effects)


def _finished_event(query: Query, reply: Effect, now: float) -> QueryFinished:
    """Return the event from which the error budgets are counted."""
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


def remove_query(
    state: HostState,
    query: Query,
    now: float,
    effects: list[Effect],
    is_abandoned: bool = False,
) -> None:
    """Cancel what a query still has in flight and remove all of its state.

    `is_abandoned` means that the caller disconnected and gets no reply.
    """
    table = state.component(QueryTable)
    ended = [sub for task in query.unfinished.values() for sub in task.subs]
    # The duration of a query that only waits for services that shed says nothing about
    # the capacity of the group.
    shows_capacity = not waits_only_for_shed(state, query, now)
    cancel_all(state, query, now, effects)
    table.remove(query)
    effects.append(ClearTimer(query.end_timer_id()))
    if query.n_sent:
        effects.append(ClearTimer(query.due_timer_id()))
        labels = (("route", query.route.name),)
        effects.append(Count("sub_requests_sent", query.n_sent, labels))
        effects.append(Count("sub_requests_needed", query.n_needed, labels))
    if query.snapshot is not None:
        snapshots = state.component(SnapshotTable)
        snapshots.on_query_ended(query.snapshot, replied=not is_abandoned)
        effects.extend(broadcast_servable(state, query.route.group, now))
    queue = state.component(AdmissionQueue)
    if not query.is_admitted:
        queue.abandon(query.query_id)
    else:
        release_admission(state, query, now, effects, is_abandoned)
        if shows_capacity and not is_abandoned and query.started_at is not None:
            is_late = now >= query.cutoff_at
            total_s = now - query.started_at
            queue.on_ended(query.route.group, total_s, is_late, now)
    if query.fingerprint in table.by_fingerprint_:
        start_canary_of_fingerprint(state, query.fingerprint, now, effects)
    use_freed_capacity(state, ended, now, effects)


def _reply(state: HostState, query: Query, now: float) -> SendAnswer | SendRefusal:
    objects = state.objects_
    caller = objects.callers.get(query.caller.name)
    route = objects.routes.get(query.route.name)
    if caller is None or route is None or not objects.may_query(caller, route):
        error = EntitlementLost(
            f"the caller is no longer entitled to route {query.route.name}"
        )
        return _refusal(query, error)
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
    text = f"no shard was answered: {', '.join(reasons)}"
    return _refusal(query, NothingCovered(text, retry_after_ms=100))


def _refusal(query: Query, error: JackdawsillError) -> SendRefusal:
    """Return a refusal whose outcome says whether any of the query may have run."""
    error.outcome = Outcome.PARTLY_RUN if query.may_have_run else Outcome.NOT_RUN
    return SendRefusal(query.query_id, error)
