"""Canaries: single sub-requests that test a suspected request.

A request is suspected after a backend server crashed with it in flight. One of its
sub-requests, the canary, runs on a replica that takes no other work; the other shards
wait for its outcome. An answer clears the request; a crash is evidence to condemn it.
"""

from jackdawsill.core import Effect, FailureKind, HostState, LogEvent
from jackdawsill.hedging import ExtraLoadBudget, HedgePolicy
from jackdawsill.objects import Replica
from jackdawsill.quarantine import Quarantine, Verdict
from jackdawsill.query._cancel import cancel_sub, end_canary
from jackdawsill.query._log_events import REPLICA_CRASHED, REQUEST_CONDEMNED
from jackdawsill.query._model import Query, ShardTask, SubRequest
from jackdawsill.query._pick import declining
from jackdawsill.query._send import check_verdict, send_shard, send_to, set_due_timer
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable

# Number of waiting shards that are searched for an idle replica. It bounds the work
# after each crash; a few services nearly always have an idle replica.
N_CANARY_CANDIDATES = 8
# A canary without an answer after this number of hedge delays is replaced, so that a
# straggler does not delay the shards that wait for its outcome.
N_DELAYS_CANARY = 3.0
# After this many crashed canaries a query gives up the waiting shards, even if the
# quarantine has not condemned it.
N_CANARY_CRASHES_MAX = 2


def start_canary(
    state: HostState, query: Query, now: float, effects: list[Effect]
) -> None:
    """Send a canary, or reserve a replica for it and wait until the replica is idle.

    Nothing is done while another query with the same fingerprint has a canary.
    """
    table = state.component(QueryTable)
    fingerprint = query.fingerprint
    if (
        fingerprint in table.canaries_
        or not query.awaiting_canary
        or now >= query.cutoff_at
    ):
        return
    choice = _choose_canary(state, query, now)
    if choice is None:
        table.canaries_without_replica_[fingerprint] = None
        return
    task, replica = choice
    table.canaries_without_replica_.pop(fingerprint, None)
    table.canaries_[fingerprint] = query
    query.awaiting_canary.remove(task)
    query.canary = task
    query.canary_replica = replica.name
    routing = state.component(ReplicaTable)
    routing.reserve(replica.name)
    if routing.state_of(replica.name).in_flight:
        table.canaries_awaiting_idle_[replica.name] = query
        delay_s = state.component(HedgePolicy).delay_s(task.shard.service, now)
        task.due_at = now + N_DELAYS_CANARY * delay_s
        set_due_timer(query, task.due_at, effects)
        return
    _send_canary(state, query, replica, now, effects)


def on_replica_idle(
    state: HostState, replica: str, now: float, effects: list[Effect]
) -> None:
    """Send the canary that waits for this replica to have nothing in flight."""
    table = state.component(QueryTable)
    query = table.canaries_awaiting_idle_.pop(replica, None)
    if query is None or query.canary is None:
        return
    replica_object = state.objects_.replicas.get(replica)
    verdict = check_verdict(state, query, now)
    if verdict is Verdict.CONDEMNED:
        return
    if replica_object is None or now >= query.cutoff_at:
        restart_canary(state, query, now, effects)
        return
    _send_canary(state, query, replica_object, now, effects)


def restart_canary(
    state: HostState, query: Query, now: float, effects: list[Effect]
) -> None:
    """Cancel the canary of a query and start another one for its fingerprint."""
    task = query.canary
    assert task is not None
    for sub in tuple(task.subs):
        cancel_sub(state, sub, now, effects)
    end_canary(state, query)
    query.awaiting_canary.append(task)
    start_canary_of_fingerprint(state, query.fingerprint, now, effects)


def start_canary_of_fingerprint(
    state: HostState, fingerprint: str, now: float, effects: list[Effect]
) -> None:
    """Start a canary for one of the queries with a fingerprint."""
    table = state.component(QueryTable)
    for query in tuple(table.by_fingerprint_.get(fingerprint, {}).values()):
        if query.awaiting_canary:
            start_canary(state, query, now, effects)
            if fingerprint in table.canaries_:
                return


def on_canary_answered(
    state: HostState, query: Query, now: float, effects: list[Effect]
) -> None:
    """Clear the fingerprint and send the shards that waited for the canary.

    If other evidence keeps the fingerprint suspected, another canary is started.
    """
    fingerprint = query.fingerprint
    end_canary(state, query)
    quarantine = state.component(Quarantine)
    quarantine.on_success(fingerprint, now)
    if quarantine.check(fingerprint, now) is not Verdict.CLEAR:
        start_canary_of_fingerprint(state, fingerprint, now, effects)
        return
    budget = state.component(ExtraLoadBudget)
    same = state.component(QueryTable).by_fingerprint_.get(fingerprint, {})
    for other in tuple(same.values()):
        tasks, other.awaiting_canary = other.awaiting_canary, []
        for task in tasks:
            if task.n_attempts:
                # After the loss of a failure domain each query retries many shards
                # once. They are sent even without a token, because they have waited
                # for the canary; the debt blocks hedges until it is earned back.
                budget.try_spend(
                    other.caller, now, debt=len(other.tasks), for_missing=True
                )
            send_shard(state, other, task, now, effects)


def on_crash(
    state: HostState, sub: SubRequest, now: float, effects: list[Effect]
) -> None:
    """Report a crash to the quarantine, and retry the failed shard as a canary.

    All queries whose fingerprint the crash condemns are refused.
    """
    query = sub.query
    table = state.component(QueryTable)
    quarantine = state.component(Quarantine)
    fingerprints = table.crash_suspects(sub.replica, now)
    for fingerprint in fingerprints:
        # A crash is reported once for each sub-request in flight. Every report must
        # name the same requests, because a request that was alone on a crashed
        # replica is stronger evidence.
        table.record_possibly_running(sub.replica, fingerprint, now)
    fields = {"replica": sub.replica, "n_requests": len(fingerprints)}
    effects.append(LogEvent(REPLICA_CRASHED, fields))
    condemned = quarantine.on_crash(
        sub.replica, tuple(sorted(fingerprints)), now, canary=sub.is_canary
    )
    for fingerprint in condemned:
        effects.append(
            LogEvent(
                REQUEST_CONDEMNED, {"fingerprint": fingerprint, "replica": sub.replica}
            )
        )
        _condemn_queries(state, fingerprint)
    if query.is_condemned:
        return
    replica_object = state.objects_.replicas.get(sub.replica)
    if replica_object is not None:
        query.crash_domains |= {replica_object.failure_domain}
    if sub.is_canary:
        _on_canary_crashed(state, query, sub.task, now, effects)
    elif not sub.task.subs and sub.task not in query.awaiting_canary:
        sub.task.reason = FailureKind.CRASH
        query.awaiting_canary.append(sub.task)
        start_canary(state, query, now, effects)


def _on_canary_crashed(
    state: HostState, query: Query, task: ShardTask, now: float, effects: list[Effect]
) -> None:
    query.n_canary_crashes += 1
    end_canary(state, query)
    task.reason = FailureKind.CRASH
    query.awaiting_canary.append(task)
    if query.n_canary_crashes >= N_CANARY_CRASHES_MAX:
        table = state.component(QueryTable)
        tasks, query.awaiting_canary = query.awaiting_canary, []
        for waiting_task in tasks:
            table.finish_shard(query, waiting_task, FailureKind.CRASH)
    start_canary_of_fingerprint(state, query.fingerprint, now, effects)


def _condemn_queries(state: HostState, fingerprint: str) -> None:
    table = state.component(QueryTable)
    for query in table.by_fingerprint_.get(fingerprint, {}).values():
        query.is_condemned = True
        table.ready_to_finish_.append(query)


def _choose_canary(
    state: HostState, query: Query, now: float
) -> tuple[ShardTask, Replica] | None:
    """Return a waiting shard and a replica for the canary, or None if there is none.

    Replicas outside the failure domains of earlier crashes come first, then those
    with the fewest other requests that run or may still run.
    """
    routing = state.component(ReplicaTable)
    table = state.component(QueryTable)
    best = None
    best_key = None
    for task in query.awaiting_canary[:N_CANARY_CANDIDATES]:
        exclude = declining(state, query, task, now)
        service = task.shard.service
        usable = routing.usable_replicas(
            service, task.tried_replicas + exclude, state.objects_, now
        )
        if not usable and task.tried_replicas:
            usable = routing.usable_replicas(service, exclude, state.objects_, now)
        for replica in usable:
            in_flight = routing.state_of(replica.name).in_flight
            # A crash is weak evidence while another request may still run there.
            others = table.crash_suspects(replica.name, now) - {query.fingerprint}
            in_lost_domain = replica.failure_domain in query.crash_domains
            key = (in_lost_domain, in_flight + len(others))
            if best_key is None or key < best_key:
                best, best_key = (task, replica), key
        if best_key == (False, 0):
            break
    return best


def _send_canary(
    state: HostState, query: Query, replica: Replica, now: float, effects: list[Effect]
) -> None:
    task = query.canary
    assert task is not None
    send_to(state, query, task, replica, now, effects, is_canary=True)
    # `send_to` has made the shard due after one hedge delay; a canary gets more.
    task.due_at = now + N_DELAYS_CANARY * (task.due_at - now)
