"""Step 4: send the sub-requests of a query."""

from jackdawsill.core import Effect, HostState, SendSub, SetTimer
from jackdawsill.hedging import ExtraLoadBudget
from jackdawsill.objects import Replica
from jackdawsill.quarantine import Quarantine, Verdict
from jackdawsill.query._model import MissingReason, Query, ShardTask, SubRequest
from jackdawsill.query._parts import parts_of
from jackdawsill.query._pick import pick
from jackdawsill.query._table import QueryTable

# A hedge timer that is due this much earlier than the one set replaces it.
TIMER_STEP_S = 0.002


def fan_out(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Send one sub-request for each open shard."""
    state.component(ExtraLoadBudget).earn(query.caller, len(query.tasks))
    for task in query.tasks:
        send_shard(state, query, task, now, out)


def send_shard(
    state: HostState, query: Query, task: ShardTask, now: float, out: list[Effect]
) -> bool:
    """Send a sub-request for a shard, or let it wait, or give the shard up."""
    if now >= query.cutoff_at:
        # The timer that ends the query is due; nothing more is sent.
        return False
    replica, is_full = pick(state, query, task, now)
    if replica is not None:
        send_to(state, query, task, replica, now, out)
        return True
    table = state.component(QueryTable)
    if is_full or query.is_coverage_first:
        if not task.n_attempts:
            task.reason = MissingReason.NO_ROOM if is_full else MissingReason.NO_REPLICA
        table.park(table.waiting_, query, task)
    else:
        reason = "" if task.n_attempts else MissingReason.NO_REPLICA
        table.close(query, task, reason)
    return False


def send_to(
    state: HostState,
    query: Query,
    task: ShardTask,
    replica: Replica,
    now: float,
    out: list[Effect],
    is_canary: bool = False,
) -> None:
    """Send a sub-request to a replica."""
    parts = parts_of(state)
    name = replica.name
    sub_id = state.next_id()
    wire_id = _wire_id(state, parts.table, query, sub_id)
    parts.table.add_sub(SubRequest(sub_id, query, task, name, now, is_canary, wire_id))
    parts.routing.on_sent(name, now)
    task.n_attempts += 1
    task.tried += (name,)
    query.n_sent += 1
    hedge_at = task.hedge_at = now + parts.policy.delay_s(task.shard.service, now)
    if hedge_at < query.hedge_timer_at - TIMER_STEP_S:
        arm(query, hedge_at, out)
    out.append(
        SendSub(
            sub_id,
            wire_id,
            name,
            f"{replica.address}:{replica.port}",
            task.shard.name,
            query.snapshot.name,
            query.request.body,
            query.cutoff_at - now,
            True,
            parts.shares.share(name, now),
        )
    )


def arm(query: Query, at: float, out: list[Effect]) -> None:
    """Set the hedge timer of a query if it is not set for about that time."""
    if at < query.hedge_timer_at - TIMER_STEP_S:
        query.hedge_timer_at = at
        out.append(SetTimer(query.hedge_timer(), at))


def _wire_id(state: HostState, table: QueryTable, query: Query, sub_id: int) -> str:
    """Return the request id of a sub-request, unique over hosts and restarts.

    A cancel request names only this id, so two hosts that serve the same
    caller's request id must not share it.
    """
    if not table.prefix_:
        table.prefix_ = f"{state.rng.getrandbits(32):08x}"
    return f"{query.request.request_id}.{table.prefix_}.{sub_id}"


def verdict(state: HostState, query: Query, now: float) -> Verdict:
    """Return how further sub-requests of a query may be sent."""
    found = state.component(Quarantine).check(query.fingerprint, now)
    if found is Verdict.CONDEMNED:
        query.is_condemned = True
        state.component(QueryTable).done_.append(query)
    elif query.held or query.canary is not None:
        return Verdict.SUSPECT
    return found


def release_waiting(
    state: HostState, service: str, now: float, out: list[Effect]
) -> None:
    """Send shards that waited for room on a replica of a service."""
    table = state.component(QueryTable)
    while service in table.waiting_:
        task, query = next(iter(table.waiting_[service].items()))
        table.unpark(task)
        if now >= query.cutoff_at:
            continue
        found = verdict(state, query, now)
        if found is Verdict.CONDEMNED:
            continue
        if found is Verdict.SUSPECT:
            query.held.append(task)
            table.stalled_[query.fingerprint] = None
            continue
        if not send_shard(state, query, task, now, out):
            return
