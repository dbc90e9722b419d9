"""Step 6: send stragglers to a second replica."""

from jackdawsill.core import Count, Effect, HostState
from jackdawsill.hedging import RETRY_RESERVE_TOKENS, ExtraLoadBudget, HedgePolicy
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
# While more shards than these are open, a late shard is mostly the effect of a busy
# host or group, and a hedge would make that worse and leave no token for stragglers.
LAST_FRACTION = 0.1
N_LAST_MIN = 2
# A shard that has waited this many delays is hedged whatever else is open, since
# the replicas of a whole failure domain may hang.
PATIENCE = 3.0


def n_last(query: Query) -> int:
    """Return how many open shards count as the last ones of a query."""
    return max(N_LAST_MIN, int(LAST_FRACTION * len(query.tasks)))


def hedge_last(query: Query, now: float, out: list[Effect]) -> None:
    """Look for due hedges at once when an answer leaves only the last shards."""
    if len(query.open) == n_last(query):
        arm(query, now, out)


def hedge(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Hedge all shards that are due, and set the timer for the next one."""
    query.hedge_timer_at = float("inf")
    if now >= query.cutoff_at:
        return
    policy = state.component(HedgePolicy)
    is_last = len(query.open) <= n_last(query)
    due: list[ShardTask] = []
    next_at = query.cutoff_at
    for task in query.open.values():
        if not _has_timer(state, query, task):
            continue
        due_at = task.hedge_at
        if not is_last and task.subs and not task.is_hedge_checked:
            due_at += (PATIENCE - 1) * policy.delay_s(task.shard.service, now)
        if due_at <= now + TIMER_STEP_S:
            due.append(task)
        else:
            next_at = min(next_at, due_at)
    if due:
        found = verdict(state, query, now)
        if found is Verdict.CONDEMNED:
            return
        for task in due:
            if task.parked_in is not None:
                send_due(state, query, task, now, out)
            else:
                _hedge_shard(state, query, task, found, now, out)
            if task.hedge_at > now:
                next_at = min(next_at, task.hedge_at)
    if next_at < query.cutoff_at:
        arm(query, next_at, out)


def _has_timer(state: HostState, query: Query, task: ShardTask) -> bool:
    """Tell whether a shard is in flight, or its canary or a shed one waits."""
    if task.subs or task is query.canary:
        return True
    return task.parked_in is not None and (
        task.parked_in is state.component(QueryTable).shed_
    )


def _hedge_shard(
    state: HostState,
    query: Query,
    task: ShardTask,
    found: Verdict,
    now: float,
    out: list[Effect],
) -> None:
    delay_s = state.component(HedgePolicy).delay_s(task.shard.service, now)
    task.hedge_at = now + delay_s
    task.is_hedge_checked = True
    if task is query.canary:
        move_canary(state, query, now, out)
        return
    service = task.shard.service
    if found is not Verdict.CLEAR or state.component(ShedWatch).is_shedding(
        service, now
    ):
        return
    coverage = query.is_coverage_first
    n_max = N_IN_FLIGHT_COVERAGE if coverage else N_IN_FLIGHT_LATENCY
    if len(task.subs) >= n_max:
        task.hedge_at = float("inf")
        return
    if not coverage and now + delay_s / 2 > query.cutoff_at:
        return  # it would hardly answer in time
    replica, _ = pick(state, query, task, now, is_hedge=True)
    if replica is None or any(sub.replica == replica.name for sub in task.subs):
        return
    budget = state.component(ExtraLoadBudget)
    reserve = RETRY_RESERVE_TOKENS
    if not budget.try_spend(query.caller, now, for_missing=coverage, reserve=reserve):
        return
    send_to(state, query, task, replica, now, out)
    out.append(Count("hedges_sent"))
