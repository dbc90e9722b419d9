"""Process the answers and failures of sub-requests."""

from jackdawsill.core import (
    NOT_RUN_KINDS,
    Count,
    Effect,
    FailureKind,
    HostState,
    LogEvent,
    SubAnswered,
    SubFailed,
)
from jackdawsill.hedging import ExtraLoadBudget, HedgePolicy
from jackdawsill.limits import ConcurrencyLimits, ConnectionShares, ShedWatch
from jackdawsill.quarantine import Verdict
from jackdawsill.query._bind import restart_on_other_snapshot, should_restart
from jackdawsill.query._canary import (
    on_canary_answered,
    on_crash,
    restart_canary,
    start_canary,
    start_canary_of_fingerprint,
)
from jackdawsill.query._cancel import cancel_sub, end_canary
from jackdawsill.query._capacity import (
    TAIL_FRACTION,
    release_admission,
    use_freed_capacity,
    waits_only_for_shed,
)
from jackdawsill.query._components import components_of
from jackdawsill.query._hedge import schedule_last_hedges
from jackdawsill.query._log_events import BAD_ANSWER
from jackdawsill.query._model import Query, ShardTask, SubRequest
from jackdawsill.query._send import (
    check_verdict,
    send_shard,
    set_due_timer,
)
from jackdawsill.query._shed_backoff import send_longest_waiting, wait_after_shed
from jackdawsill.query._start import send_sub_requests
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import REPLICA_EJECTED, ReplicaTable, broadcast_leaving
from jackdawsill.snapshots import SnapshotTable

# Maximum number of sub-requests for one shard; sheds do not count.
N_ATTEMPTS_LATENCY = 3
N_ATTEMPTS_COVERAGE = 6


def on_answered(
    state: HostState, event: SubAnswered, now: float, effects: list[Effect]
) -> None:
    """Record the answer of a shard, or discard an answer that does not match.

    Answers to unknown sub-requests are counted only if this process sent them.
    """
    table = state.component(QueryTable)
    sub = table.subs_.get(event.sub_id)
    if sub is None:
        if table.process_tag_ and f".{table.process_tag_}." in event.request_id:
            effects.append(_discarded("finished"))
        return
    query, task = sub.query, sub.task
    field = _mismatched_field(sub, event)
    if field:
        effects.append(_discarded(field))
        effects.append(LogEvent(BAD_ANSWER, {"replica": sub.replica, "field": field}))
        failure = SubFailed(sub.sub_id, FailureKind.BAD_ANSWER, detail=field)
        on_failed(state, failure, now, effects)
        return
    _record_answer(state, sub, event, now)
    table.remove_sub(sub)
    if event.draining:
        effects.extend(broadcast_leaving(state, sub.replica, "draining header", now))
    task.items = event.items
    query.n_answered += 1
    # Measured from the start of the query, so that the time for which a shard waited
    # for capacity counts as queueing in the admission window.
    query.latency_sum_s += now - query.started_at
    if task.subs:
        _cancel_remaining(state, task, now, effects)
    table.finish_shard(query, task)
    schedule_last_hedges(query, now, effects)
    if len(query.unfinished) <= TAIL_FRACTION * len(query.tasks) or waits_only_for_shed(
        state, query, now
    ):
        release_admission(state, query, now, effects)
    if sub.is_canary:
        on_canary_answered(state, query, now, effects)
    if table.waiting_after_shed_:
        send_longest_waiting(state, task.shard.service, now, effects)
    use_freed_capacity(state, (sub,), now, effects)


def on_failed(
    state: HostState, event: SubFailed, now: float, effects: list[Effect]
) -> None:
    """Record a failure, and retry the shard if that is allowed."""
    table = state.component(QueryTable)
    sub = table.subs_.get(event.sub_id)
    if sub is None:
        return
    query, task, kind = sub.query, sub.task, event.kind
    table.remove_sub(sub)
    if kind in NOT_RUN_KINDS:
        query.n_not_run += 1
    task.reason = kind
    if kind in (FailureKind.TIMEOUT, FailureKind.CRASH):
        table.record_possibly_running(sub.replica, query.fingerprint, now)
    effects.append(Count("sub_requests_failed", 1.0, (("kind", kind.value),)))
    _record_failure(state, sub, event, now, effects)
    if kind is FailureKind.CRASH:
        on_crash(state, sub, now, effects)
    elif should_restart(query, kind, now) and _restart(state, query, now, effects):
        pass
    elif sub.is_canary:
        _retry_canary(state, query, task, now, effects)
    elif task.subs:
        # Another sub-request for the shard is in flight, so a hedge may replace this
        # one at once.
        task.due_at = now
        set_due_timer(query, now, effects)
    else:
        _retry(state, query, task, kind, now, effects)
    use_freed_capacity(state, (sub,), now, effects)


def _mismatched_field(sub: SubRequest, event: SubAnswered) -> str:
    """Return the field in which an answer differs from its sub-request, or ""."""
    if event.request_id != sub.server_request_id:
        return "request"
    if event.shard != sub.task.shard.name:
        return "shard"
    if event.snapshot != sub.query.snapshot.name:
        return "snapshot"
    return ""


def _discarded(reason: str) -> Count:
    return Count("answers_discarded", 1.0, (("reason", reason),))


def _record_answer(
    state: HostState, sub: SubRequest, event: SubAnswered, now: float
) -> None:
    """Record an answer in all components that use it."""
    components = components_of(state)
    replica = sub.replica
    service = sub.task.shard.service
    load = event.load
    replica_state = components.routing.state_of(replica)
    n_slots = sub.query.n_slots
    components.limits.on_answer(replica, replica_state.in_flight, n_slots, load, now)
    replica_state.on_ended()
    # A latency that includes a process pause says nothing about the backend server.
    if sub.sent_at >= components.table.resumed_at_:
        latency_s = now - sub.sent_at
        components.hedge_policy.on_answer(service, latency_s, now)
    else:
        latency_s = replica_state.latency_s
    replica_state.on_answer(latency_s, load, now)
    components.shed_watch.on_answer(service, now)
    components.snapshots.on_answered(sub.query.snapshot.name, service, replica)


def _record_failure(
    state: HostState,
    sub: SubRequest,
    event: SubFailed,
    now: float,
    effects: list[Effect],
) -> None:
    """Record a failure in all components that use it."""
    replica, kind, query = sub.replica, event.kind, sub.query
    service = sub.task.shard.service
    routing = state.component(ReplicaTable)
    routing.on_ended(replica)
    backoff_s = routing.on_failure(replica, kind, now)
    if backoff_s:
        fields = {"replica": replica, "kind": kind.value, "backoff_s": backoff_s}
        effects.append(LogEvent(REPLICA_EJECTED, fields))
    if kind is FailureKind.CAP:
        state.component(ConnectionShares).on_cap_refused(replica, now)
    elif kind is FailureKind.SHED:
        query.n_shed += 1
        state.component(ConcurrencyLimits).on_shed(replica, query.n_slots, now)
        shed_watch = state.component(ShedWatch)
        shed_watch.on_shed(service, now)
        query.n_shed_while_shedding += shed_watch.is_shedding(service, now)
    elif kind is FailureKind.DECLINED:
        state.component(SnapshotTable).on_declined(
            query.snapshot, service, replica, event.servable, state.objects_, now
        )
        if not sub.task.was_declined:
            sub.task.was_declined = True
            query.n_declined += 1
    if kind is FailureKind.DRAINING or event.draining:
        effects.extend(broadcast_leaving(state, replica, "draining refusal", now))


def _cancel_remaining(
    state: HostState, task: ShardTask, now: float, effects: list[Effect]
) -> None:
    """Cancel the remaining sub-requests of an answered shard."""
    policy = state.component(HedgePolicy)
    resumed_at = state.component(QueryTable).resumed_at_
    for sub in tuple(task.subs):
        if sub.sent_at >= resumed_at:
            # The elapsed time is recorded, because a quantile of only the faster
            # sub-requests would be too low.
            policy.on_answer(task.shard.service, now - sub.sent_at, now)
        cancel_sub(state, sub, now, effects)
        use_freed_capacity(state, (sub,), now, effects)


def _restart(state: HostState, query: Query, now: float, effects: list[Effect]) -> bool:
    """Restart a query and send its sub-requests; return False if it must stay."""
    ended = [sub for task in query.unfinished.values() for sub in task.subs]
    if not restart_on_other_snapshot(state, query, now, effects):
        return False
    send_sub_requests(state, query, now, effects)
    start_canary_of_fingerprint(state, query.fingerprint, now, effects)
    use_freed_capacity(state, ended, now, effects)
    return True


def _retry_canary(
    state: HostState, query: Query, task: ShardTask, now: float, effects: list[Effect]
) -> None:
    """Start another canary after one that failed without a crash."""
    if task.n_attempts >= N_ATTEMPTS_COVERAGE:
        end_canary(state, query)
        state.component(QueryTable).finish_shard(query, task)
        start_canary_of_fingerprint(state, query.fingerprint, now, effects)
        return
    restart_canary(state, query, now, effects)


def _retry(
    state: HostState,
    query: Query,
    task: ShardTask,
    kind: FailureKind,
    now: float,
    effects: list[Effect],
) -> None:
    """Retry a shard if the verdict, its attempts and the budget allow it.

    A shed shard waits for its backoff; a shard of a suspected query waits for a canary.
    """
    table = state.component(QueryTable)
    verdict = check_verdict(state, query, now)
    if verdict is Verdict.CONDEMNED or now >= query.cutoff_at:
        return
    if verdict is Verdict.SUSPECT:
        query.awaiting_canary.append(task)
        start_canary(state, query, now, effects)
        return
    if kind is FailureKind.SHED:
        task.n_shed += 1
        wait_after_shed(state, query, task, now, effects)
        if waits_only_for_shed(state, query, now):
            release_admission(state, query, now, effects)
        return
    coverage_first = query.is_coverage_first
    n_max = N_ATTEMPTS_COVERAGE if coverage_first else N_ATTEMPTS_LATENCY
    n_attempts = task.n_attempts - task.n_shed
    if n_attempts >= n_max or not _spend_retry_token(state, query, task, kind, now):
        table.finish_shard(query, task)
        return
    send_shard(state, query, task, now, effects)


def _spend_retry_token(
    state: HostState, query: Query, task: ShardTask, kind: FailureKind, now: float
) -> bool:
    """Spend a token for a retry; return False if the budget does not allow it.

    The first retry of a shard may go into debt, and a failed connection costs nothing.
    """
    if kind is FailureKind.CONNECT:
        return True  # no request was sent
    debt = float(len(query.tasks)) if task.n_attempts <= 1 else 0.0
    return state.component(ExtraLoadBudget).try_spend(
        query.caller, now, for_missing=query.is_coverage_first, debt=debt
    )
