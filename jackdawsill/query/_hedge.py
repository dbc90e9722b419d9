"""Step 6: send stragglers to a second replica."""

from jackdawsill.core import Count, Effect, HostState
from jackdawsill.hedging import HEDGE_RESERVE_TOKENS, ExtraLoadBudget, HedgePolicy
from jackdawsill.limits import ShedWatch
from jackdawsill.quarantine import Verdict
from jackdawsill.query._canary import move_canary
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.query._pick import pick
from jackdawsill.query._send import TIMER_STEP_S, arm, send_to, verdict
from jackdawsill.query._shed import send_due
from jackdawsill.query._table import QueryTable

# Sub-requests in flight for one shard.
N_IN_FLIGHT_LATENCY = 2
N_IN_FLIGHT_COVERAGE = 3


def hedge(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Hedge all shards that are due, and set the timer for the next one."""
    query.hedge_timer_at = float("inf")
    if now >= query.cutoff_at:
        return
    due = [
        task
        for task in query.open.values()
        if task.hedge_at <= now + TIMER_STEP_S and _has_timer(state, query, task)
    ]
    if due:
        found = verdict(state, query, now)
        if found is Verdict.CONDEMNED:
            return
        for task in due:
            if task.parked_in is not None:
                send_due(state, query, task, now, out)
            else:
                _hedge_shard(state, query, task, found, now, out)
    next_at = min(
        (
            task.hedge_at
            for task in query.open.values()
            if task.hedge_at > now and _has_timer(state, query, task)
        ),
        default=query.cutoff_at,
    )
    if next_at < query.cutoff_at:
        arm(query, next_at, out)


def _has_timer(state: HostState, query: Query, task: ShardTask) -> bool:
    """Tell whether a shard is in flight, or its canary or a shed one waits."""
    if task.subs or task is query.canary:
        return True
    return task.parked_in is not None and (
        task.parked_in is state.part(QueryTable).shed_
    )


def _hedge_shard(
    state: HostState,
    query: Query,
    task: ShardTask,
    found: Verdict,
    now: float,
    out: list[Effect],
) -> None:
    delay_s = state.part(HedgePolicy).delay_s(task.shard.service, now)
    task.hedge_at = now + delay_s
    if task is query.canary:
        move_canary(state, query, now, out)
        return
    service = task.shard.service
    if found is not Verdict.CLEAR or state.part(ShedWatch).is_shedding(service, now):
        return
    coverage = query.is_coverage_first
    n_max = N_IN_FLIGHT_COVERAGE if coverage else N_IN_FLIGHT_LATENCY
    if len(task.subs) >= n_max:
        task.hedge_at = float("inf")
        return
    if not coverage and now + delay_s / 2 > query.cutoff_at:
        return  # it would hardly answer in time
    replica, _ = pick(state, query, task, now)
    if replica is None or any(sub.replica == replica.name for sub in task.subs):
        return
    budget = state.part(ExtraLoadBudget)
    reserve = HEDGE_RESERVE_TOKENS
    if not budget.try_spend(query.caller, now, for_missing=coverage, reserve=reserve):
        return
    send_to(state, query, task, replica, now, out)
    out.append(Count("hedges_sent"))
