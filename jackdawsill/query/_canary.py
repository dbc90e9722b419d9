"""Canaries: one sub-request of a suspected request, alone on its replica."""

from jackdawsill.core import Effect, FailureKind, HostState, LogEvent
from jackdawsill.hedging import ExtraLoadBudget, HedgePolicy
from jackdawsill.objects import Replica
from jackdawsill.quarantine import Quarantine, Verdict
from jackdawsill.query._cancel import cancel_sub, end_canary
from jackdawsill.query._log_events import REPLICA_CRASHED, REQUEST_CONDEMNED
from jackdawsill.query._model import Query, ShardTask, SubRequest
from jackdawsill.query._pick import declining
from jackdawsill.query._send import arm, send_shard, send_to, verdict
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable

# Held shards looked at for an idle replica; more would cost time with each
# crash, and a few services nearly always have one.
N_CANDIDATES = 8
# A canary that takes longer than this many hedge delays is replaced, so that a
# straggler does not hold up the shards that wait for it.
PATIENCE = 3.0
# Canaries of one query that may crash if the quarantine does not condemn it.
N_CANARY_CRASHES_MAX = 2


def start_canary(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Send a canary, or reserve its replica until it is idle."""
    table = state.component(QueryTable)
    mark = query.fingerprint
    if mark in table.canaries_ or not query.held or now >= query.cutoff_at:
        return
    found = _choose(state, query, now)
    if found is None:
        table.stalled_[mark] = None
        return
    task, replica = found
    table.stalled_.pop(mark, None)
    table.canaries_[mark] = query
    query.held.remove(task)
    query.canary = task
    query.canary_replica = replica.name
    routing = state.component(ReplicaTable)
    routing.reserve(replica.name)
    if routing.state_of(replica.name).in_flight:
        table.reserved_[replica.name] = query
        delay_s = state.component(HedgePolicy).delay_s(task.shard.service, now)
        task.hedge_at = now + PATIENCE * delay_s
        arm(query, task.hedge_at, out)
        return
    _send_canary(state, query, replica, now, out)


def on_replica_idle(
    state: HostState, replica: str, now: float, out: list[Effect]
) -> None:
    """Send the canary that waited until a replica had nothing in flight."""
    table = state.component(QueryTable)
    query = table.reserved_.pop(replica, None)
    if query is None or query.canary is None:
        return
    known = state.objects_.replicas.get(replica)
    found = verdict(state, query, now)
    if found is Verdict.CONDEMNED:
        return
    if known is None or now >= query.cutoff_at:
        move_canary(state, query, now, out)
        return
    _send_canary(state, query, known, now, out)


def move_canary(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Give a canary up and start another one."""
    task = query.canary
    assert task is not None
    for sub in tuple(task.subs):
        cancel_sub(state, sub, now, out)
    end_canary(state, query)
    query.held.append(task)
    start_same(state, query.fingerprint, now, out)


def start_same(state: HostState, mark: str, now: float, out: list[Effect]) -> None:
    """Start a canary for one of the queries with a fingerprint."""
    table = state.component(QueryTable)
    for query in tuple(table.by_fingerprint_.get(mark, {}).values()):
        if query.held:
            start_canary(state, query, now, out)
            if mark in table.canaries_:
                return


def on_canary_answered(
    state: HostState, query: Query, now: float, out: list[Effect]
) -> None:
    """Release the held shards of all queries with the cleared fingerprint."""
    mark = query.fingerprint
    end_canary(state, query)
    quarantine = state.component(Quarantine)
    quarantine.on_success(mark, now)
    if quarantine.check(mark, now) is not Verdict.CLEAR:
        start_same(state, mark, now, out)
        return
    budget = state.component(ExtraLoadBudget)
    same = state.component(QueryTable).by_fingerprint_.get(mark, {})
    for other in tuple(same.values()):
        tasks, other.held = other.held, []
        for task in tasks:
            if task.n_attempts:
                # The loss of a failure domain costs each query one retry of many
                # shards; the debt keeps hedges back until it is earned.
                budget.try_spend(
                    other.caller, now, debt=len(other.tasks), for_missing=True
                )
            send_shard(state, other, task, now, out)


def on_crash(state: HostState, sub: SubRequest, now: float, out: list[Effect]) -> None:
    """Report a crash, and retry the lost shard as a canary."""
    query = sub.query
    table = state.component(QueryTable)
    quarantine = state.component(Quarantine)
    marks = table.suspects(sub.replica, now)
    for found in marks:
        # The next report of the same crash must not name fewer requests, because
        # a request that was alone on a crashed replica is suspected more.
        table.linger(sub.replica, found, now)
    fields = {"replica": sub.replica, "n_requests": len(marks)}
    out.append(LogEvent(REPLICA_CRASHED, fields))
    condemned = quarantine.on_crash(
        sub.replica, tuple(sorted(marks)), now, canary=sub.is_canary
    )
    for found in condemned:
        out.append(
            LogEvent(REQUEST_CONDEMNED, {"fingerprint": found, "replica": sub.replica})
        )
        _condemn(state, found)
    if query.is_condemned:
        return
    known = state.objects_.replicas.get(sub.replica)
    if known is not None:
        query.crash_domains |= {known.failure_domain}
    if sub.is_canary:
        _on_canary_crashed(state, query, sub.task, now, out)
    elif not sub.task.subs and sub.task not in query.held:
        sub.task.reason = FailureKind.CRASH
        query.held.append(sub.task)
        start_canary(state, query, now, out)


def _on_canary_crashed(
    state: HostState, query: Query, task: ShardTask, now: float, out: list[Effect]
) -> None:
    query.n_canary_crashes += 1
    end_canary(state, query)
    task.reason = FailureKind.CRASH
    query.held.append(task)
    if query.n_canary_crashes >= N_CANARY_CRASHES_MAX:
        table = state.component(QueryTable)
        tasks, query.held = query.held, []
        for held in tasks:
            table.close(query, held, FailureKind.CRASH)
    start_same(state, query.fingerprint, now, out)


def _condemn(state: HostState, mark: str) -> None:
    table = state.component(QueryTable)
    for query in table.by_fingerprint_.get(mark, {}).values():
        query.is_condemned = True
        table.done_.append(query)


def _choose(
    state: HostState, query: Query, now: float
) -> tuple[ShardTask, Replica] | None:
    """Return a held shard and a replica, the least busy outside lost domains."""
    routing = state.component(ReplicaTable)
    table = state.component(QueryTable)
    best = None
    best_key = None
    for task in query.held[:N_CANDIDATES]:
        exclude = declining(state, query, task, now)
        service = task.shard.service
        usable = routing.usable(service, task.tried + exclude, state.objects_, now)
        if not usable and task.tried:
            usable = routing.usable(service, exclude, state.objects_, now)
        for replica in usable:
            in_flight = routing.state_of(replica.name).in_flight
            # A crash shows little while something else may still run there.
            others = table.suspects(replica.name, now) - {query.fingerprint}
            in_lost_domain = replica.failure_domain in query.crash_domains
            key = (in_lost_domain, in_flight + len(others))
            if best_key is None or key < best_key:
                best, best_key = (task, replica), key
        if best_key == (False, 0):
            break
    return best


def _send_canary(
    state: HostState, query: Query, replica: Replica, now: float, out: list[Effect]
) -> None:
    task = query.canary
    assert task is not None
    send_to(state, query, task, replica, now, out, is_canary=True)
    task.hedge_at = now + PATIENCE * (task.hedge_at - now)
