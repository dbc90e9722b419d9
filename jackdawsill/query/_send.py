"""Send the sub-requests of a query."""

from jackdawsill.core import Effect, HostState, SendSub, SetTimer
from jackdawsill.hedging import ExtraLoadBudget
from jackdawsill.objects import Replica
from jackdawsill.quarantine import Quarantine, Verdict
from jackdawsill.query._components import components_of
from jackdawsill.query._model import MissingReason, Query, ShardTask, SubRequest
from jackdawsill.query._pick import pick
from jackdawsill.query._table import QueryTable

# The timer of a query is replaced only by one that is due at least this much earlier.
TIMER_STEP_S = 0.002


def fan_out(state: HostState, query: Query, now: float, effects: list[Effect]) -> None:
    """Send one sub-request for each shard."""
    state.component(ExtraLoadBudget).earn(query.caller, len(query.tasks))
    for task in query.tasks:
        send_shard(state, query, task, now, effects)


def send_shard(
    state: HostState, query: Query, task: ShardTask, now: float, effects: list[Effect]
) -> bool:
    """Send a sub-request for a shard; return whether it was sent.

    The shard waits if all usable replicas are at capacity, or if there is none and the
    caller is coverage-first; otherwise it is given up as missing.
    """
    if now >= query.cutoff_at:
        # The timer that ends the query is due.
        return False
    replica, lacks_capacity = pick(state, query, task, now)
    if replica is not None:
        send_to(state, query, task, replica, now, effects)
        return True
    table = state.component(QueryTable)
    if lacks_capacity or query.is_coverage_first:
        if not task.n_attempts:
            task.reason = (
                MissingReason.NO_CAPACITY
                if lacks_capacity
                else MissingReason.NO_REPLICA
            )
        table.add_waiting(table.waiting_for_capacity_, query, task)
    else:
        reason = "" if task.n_attempts else MissingReason.NO_REPLICA
        table.finish_shard(query, task, reason)
    return False


def send_to(
    state: HostState,
    query: Query,
    task: ShardTask,
    replica: Replica,
    now: float,
    effects: list[Effect],
    is_canary: bool = False,
) -> None:
    """Send a sub-request for a shard to a replica and set when a hedge is due."""
    components = components_of(state)
    name = replica.name
    sub_id = state.next_id()
    server_request_id = _server_request_id(state, components.table, query, sub_id)
    components.table.add_sub(
        SubRequest(sub_id, query, task, name, now, is_canary, server_request_id)
    )
    components.routing.on_sent(name, now)
    task.n_attempts += 1
    task.tried_replicas += (name,)
    query.n_sent += 1
    due_at = task.due_at = now + components.hedge_policy.delay_s(
        task.shard.service, now
    )
    if due_at < query.due_timer_at - TIMER_STEP_S:
        set_due_timer(query, due_at, effects)
    effects.append(
        SendSub(
            sub_id,
            server_request_id,
            name,
            f"{replica.address}:{replica.port}",
            task.shard.name,
            query.snapshot.name,
            query.request.body,
            query.cutoff_at - now,
            True,
            components.shares.share(name, now),
        )
    )


def set_due_timer(query: Query, at: float, effects: list[Effect]) -> None:
    """Set the timer of a query unless it is due earlier or at about that time."""
    if at < query.due_timer_at - TIMER_STEP_S:
        query.due_timer_at = at
        effects.append(SetTimer(query.due_timer_id(), at))


def _server_request_id(
    state: HostState, table: QueryTable, query: Query, sub_id: int
) -> str:
    """Return a request id for a sub-request that is unique over hosts and restarts.

    A cancel request contains only this id, so two hosts that serve the same request
    id of a caller must not send the same one.
    """
    if not table.process_tag_:
        table.process_tag_ = f"{state.rng.getrandbits(32):08x}"
    return f"{query.request.request_id}.{table.process_tag_}.{sub_id}"


def check_verdict(state: HostState, query: Query, now: float) -> Verdict:
    """Return the verdict on a query; SUSPECT as long as it has or needs a canary.

    A condemned query is added to `ready_to_finish_`, so that it is refused.
    """
    verdict = state.component(Quarantine).check(query.fingerprint, now)
    if verdict is Verdict.CONDEMNED:
        query.is_condemned = True
        state.component(QueryTable).ready_to_finish_.append(query)
    elif query.awaiting_canary or query.canary is not None:
        return Verdict.SUSPECT
    return verdict


def send_waiting(
    state: HostState, service: str, now: float, effects: list[Effect]
) -> None:
    """Send the shards that wait for capacity on a replica of a service."""
    table = state.component(QueryTable)
    while service in table.waiting_for_capacity_:
        task, query = next(iter(table.waiting_for_capacity_[service].items()))
        table.remove_waiting(task)
        if now >= query.cutoff_at:
            continue
        verdict = check_verdict(state, query, now)
        if verdict is Verdict.CONDEMNED:
            continue
        if verdict is Verdict.SUSPECT:
            query.awaiting_canary.append(task)
            table.canaries_without_replica_[query.fingerprint] = None
            continue
        if not send_shard(state, query, task, now, effects):
            return
