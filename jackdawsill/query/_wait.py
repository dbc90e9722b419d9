"""Step 5: take answers and failures of sub-requests."""

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
from jackdawsill.query._bind import may_restart, rebind
from jackdawsill.query._canary import (
    move_canary,
    on_canary_answered,
    on_crash,
    start_canary,
    start_same,
)
from jackdawsill.query._cancel import cancel_sub, end_canary
from jackdawsill.query._hedge import hedge_last
from jackdawsill.query._log_events import BAD_ANSWER
from jackdawsill.query._model import Query, ShardTask, SubRequest
from jackdawsill.query._parts import parts_of
from jackdawsill.query._room import (
    TAIL_FRACTION,
    leave_window,
    use_room,
    waits_for_few,
)
from jackdawsill.query._send import (
    arm,
    send_shard,
    verdict,
)
from jackdawsill.query._shed import defer, send_next
from jackdawsill.query._start import begin
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import REPLICA_EJECTED, ReplicaTable, broadcast_leaving
from jackdawsill.snapshots import SnapshotTable

# Sub-requests for one shard before it is given up.
N_ATTEMPTS_LATENCY = 3
N_ATTEMPTS_COVERAGE = 6


def on_answered(
    state: HostState, event: SubAnswered, now: float, out: list[Effect]
) -> None:
    """Take an answer if it is for the sub-request, or count it as discarded."""
    table = state.component(QueryTable)
    sub = table.subs_.get(event.sub_id)
    if sub is None:
        if table.prefix_ and f".{table.prefix_}." in event.request_id:
            out.append(_discarded("finished"))
        return
    query, task = sub.query, sub.task
    wrong = _wrong_field(sub, event)
    if wrong:
        out.append(_discarded(wrong))
        out.append(LogEvent(BAD_ANSWER, {"replica": sub.replica, "field": wrong}))
        failure = SubFailed(sub.sub_id, FailureKind.BAD_ANSWER, detail=wrong)
        on_failed(state, failure, now, out)
        return
    _learn(state, sub, event, now)
    table.remove_sub(sub)
    if event.draining:
        out.extend(broadcast_leaving(state, sub.replica, "draining header", now))
    task.items = event.items
    query.n_answered += 1
    # Counted from the start of the query, so that the wait for room at this host
    # shows in the group's window as the queueing that it is.
    query.latency_sum_s += now - query.started_at
    if task.subs:
        _cancel_losers(state, task, now, out)
    table.close(query, task)
    hedge_last(query, now, out)
    if len(query.open) <= TAIL_FRACTION * len(query.tasks) or waits_for_few(
        state, query, now
    ):
        leave_window(state, query, now, out)
    if sub.is_canary:
        on_canary_answered(state, query, now, out)
    if table.shed_:
        send_next(state, task.shard.service, now, out)
    use_room(state, (sub,), now, out)


def on_failed(
    state: HostState, event: SubFailed, now: float, out: list[Effect]
) -> None:
    """Learn from a failure, and retry the shard if that is allowed."""
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
        table.linger(sub.replica, query.fingerprint, now)
    out.append(Count("sub_requests_failed", 1.0, (("kind", kind.value),)))
    _learn_failure(state, sub, event, now, out)
    if kind is FailureKind.CRASH:
        on_crash(state, sub, now, out)
    elif may_restart(query, kind, now) and _restart(state, query, now, out):
        pass
    elif sub.is_canary:
        _retry_canary(state, query, task, now, out)
    elif task.subs:
        # A hedge is still in flight; another one may follow at once.
        task.hedge_at = now
        arm(query, now, out)
    else:
        _retry(state, query, task, kind, now, out)
    use_room(state, (sub,), now, out)


def _wrong_field(sub: SubRequest, event: SubAnswered) -> str:
    """Return the field in which an answer differs from its sub-request."""
    if event.request_id != sub.wire_id:
        return "request"
    if event.shard != sub.task.shard.name:
        return "shard"
    if event.snapshot != sub.query.snapshot.name:
        return "snapshot"
    return ""


def _discarded(reason: str) -> Count:
    return Count("answers_discarded", 1.0, (("reason", reason),))


def _learn(state: HostState, sub: SubRequest, event: SubAnswered, now: float) -> None:
    """Pass an answer to the components that learn from it."""
    parts = parts_of(state)
    replica = sub.replica
    service = sub.task.shard.service
    load = event.load
    seen = parts.routing.state_of(replica)
    n_slots = sub.query.n_slots
    parts.limits.on_answer(replica, seen.in_flight, n_slots, load, now)
    seen.on_ended()
    # A latency that includes a pause of this process says nothing about the
    # backend server.
    if sub.sent_at >= parts.table.resumed_at_:
        latency_s = now - sub.sent_at
        parts.policy.on_answer(service, latency_s, now)
    else:
        latency_s = seen.latency_s
    seen.on_answer(latency_s, load, now)
    parts.sheds.on_answer(service, now)
    parts.snapshots.on_answered(sub.query.snapshot.name, service, replica)


def _learn_failure(
    state: HostState, sub: SubRequest, event: SubFailed, now: float, out: list[Effect]
) -> None:
    """Pass a failure to the components that learn from it."""
    replica, kind, query = sub.replica, event.kind, sub.query
    service = sub.task.shard.service
    routing = state.component(ReplicaTable)
    routing.on_ended(replica)
    backoff_s = routing.on_failure(replica, kind, now)
    if backoff_s:
        fields = {"replica": replica, "kind": kind.value, "backoff_s": backoff_s}
        out.append(LogEvent(REPLICA_EJECTED, fields))
    if kind is FailureKind.CAP:
        state.component(ConnectionShares).on_cap_refused(replica, now)
    elif kind is FailureKind.SHED:
        query.n_shed += 1
        state.component(ConcurrencyLimits).on_shed(replica, query.n_slots, now)
        watch = state.component(ShedWatch)
        watch.on_shed(service, now)
        query.n_shed_locally += watch.is_shedding(service, now)
    elif kind is FailureKind.DECLINED:
        state.component(SnapshotTable).on_declined(
            query.snapshot, service, replica, event.servable, state.objects_, now
        )
        if not sub.task.was_declined:
            sub.task.was_declined = True
            query.n_declined += 1
    if kind is FailureKind.DRAINING or event.draining:
        out.extend(broadcast_leaving(state, replica, "draining refusal", now))


def _cancel_losers(
    state: HostState, task: ShardTask, now: float, out: list[Effect]
) -> None:
    """Cancel the slower sub-requests of an answered shard."""
    policy = state.component(HedgePolicy)
    resumed_at = state.component(QueryTable).resumed_at_
    for loser in tuple(task.subs):
        if loser.sent_at >= resumed_at:
            # Without the losers, the learned quantile would only see winners.
            policy.on_answer(task.shard.service, now - loser.sent_at, now)
        cancel_sub(state, loser, now, out)
        use_room(state, (loser,), now, out)


def _restart(state: HostState, query: Query, now: float, out: list[Effect]) -> bool:
    """Restart on another snapshot; return False if the query must stay."""
    ended = [sub for task in query.open.values() for sub in task.subs]
    if not rebind(state, query, now, out):
        return False
    begin(state, query, now, out)
    start_same(state, query.fingerprint, now, out)
    use_room(state, ended, now, out)
    return True


def _retry_canary(
    state: HostState, query: Query, task: ShardTask, now: float, out: list[Effect]
) -> None:
    """Start another canary after one that neither answered nor crashed."""
    if task.n_attempts >= N_ATTEMPTS_COVERAGE:
        end_canary(state, query)
        state.component(QueryTable).close(query, task)
        start_same(state, query.fingerprint, now, out)
        return
    move_canary(state, query, now, out)


def _retry(
    state: HostState,
    query: Query,
    task: ShardTask,
    kind: FailureKind,
    now: float,
    out: list[Effect],
) -> None:
    """Send a shard again if its verdict, its attempts and the budget allow it."""
    table = state.component(QueryTable)
    found = verdict(state, query, now)
    if found is Verdict.CONDEMNED or now >= query.cutoff_at:
        return
    if found is Verdict.SUSPECT:
        query.held.append(task)
        start_canary(state, query, now, out)
        return
    if kind is FailureKind.SHED:
        task.n_shed += 1
        defer(state, query, task, now, out)
        if waits_for_few(state, query, now):
            leave_window(state, query, now, out)
        return
    coverage = query.is_coverage_first
    n_max = N_ATTEMPTS_COVERAGE if coverage else N_ATTEMPTS_LATENCY
    n_attempts = task.n_attempts - task.n_shed
    if n_attempts >= n_max or not _pay(state, query, task, kind, now):
        table.close(query, task)
        return
    send_shard(state, query, task, now, out)


def _pay(
    state: HostState, query: Query, task: ShardTask, kind: FailureKind, now: float
) -> bool:
    """Spend a token for a retry; the first retry of a shard may go into debt."""
    if kind is FailureKind.CONNECT:
        return True  # nothing was sent
    debt = float(len(query.tasks)) if task.n_attempts <= 1 else 0.0
    return state.component(ExtraLoadBudget).try_spend(
        query.caller, now, for_missing=query.is_coverage_first, debt=debt
    )
