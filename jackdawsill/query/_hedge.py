"""Send a second sub-request for a shard whose first one is slow."""

from jackdawsill.core import Count, Effect, HostState
from jackdawsill.hedging import RETRY_RESERVE_TOKENS, ExtraLoadBudget, HedgePolicy
from jackdawsill.limits import ShedWatch
from jackdawsill.quarantine import Verdict
from jackdawsill.query._canary import restart_canary
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.query._pick import pick
from jackdawsill.query._send import (
    TIMER_STEP_S,
    check_verdict,
    send_to,
    set_due_timer,
)
from jackdawsill.query._shed_backoff import retry_after_shed
from jackdawsill.query._table import QueryTable

# Maximum number of sub-requests in flight for one shard.
N_IN_FLIGHT_LATENCY = 2
N_IN_FLIGHT_COVERAGE = 3
# A shard is hedged when it is among the last unfinished ones. While more are
# unfinished, a late shard is mostly the effect of a busy host or group; a hedge would
# add to that load and spend the tokens that are needed for stragglers.
LAST_SHARDS_FRACTION = 0.1
N_LAST_SHARDS_MIN = 2
# A shard that has been in flight for this number of hedge delays is hedged however
# many are unfinished, because the replicas of a whole failure domain may hang.
N_DELAYS_OVERDUE = 3.0


def n_last_shards(query: Query) -> int:
    """Return how many unfinished shards count as the last ones of a query."""
    return max(N_LAST_SHARDS_MIN, int(LAST_SHARDS_FRACTION * len(query.tasks)))


def schedule_last_hedges(query: Query, now: float, effects: list[Effect]) -> None:
    """Make the timer due if an answer has just left only the last shards."""
    if len(query.unfinished) == n_last_shards(query):
        set_due_timer(query, now, effects)


def hedge(state: HostState, query: Query, now: float, effects: list[Effect]) -> None:
    """Act on all shards that are due, and set the timer for the next one.

    A due shard in flight is hedged, a due canary is replaced, and a due shed shard is
    sent again.
    """
    query.due_timer_at = float("inf")
    if now >= query.cutoff_at:
        return
    policy = state.component(HedgePolicy)
    only_last_shards = len(query.unfinished) <= n_last_shards(query)
    due: list[ShardTask] = []
    next_at = query.cutoff_at
    for task in query.unfinished.values():
        if not _uses_due_timer(state, query, task):
            continue
        due_at = task.due_at
        if not only_last_shards and task.subs and not task.is_hedge_checked:
            due_at += (N_DELAYS_OVERDUE - 1) * policy.delay_s(task.shard.service, now)
        if due_at <= now + TIMER_STEP_S:
            due.append(task)
        else:
            next_at = min(next_at, due_at)
    if due:
        verdict = check_verdict(state, query, now)
        if verdict is Verdict.CONDEMNED:
            return
        for task in due:
            if task.wait_queues is not None:
                retry_after_shed(state, query, task, now, effects)
            else:
                _hedge_shard(state, query, task, verdict, now, effects)
            if task.due_at > now:
                next_at = min(next_at, task.due_at)
    if next_at < query.cutoff_at:
        set_due_timer(query, next_at, effects)


def _uses_due_timer(state: HostState, query: Query, task: ShardTask) -> bool:
    """Return whether a shard is in flight, is the canary, or waits after a shed."""
    if task.subs or task is query.canary:
        return True
    return task.wait_queues is not None and (
        task.wait_queues is state.component(QueryTable).waiting_after_shed_
    )


def _hedge_shard(
    state: HostState,
    query: Query,
    task: ShardTask,
    verdict: Verdict,
    now: float,
    effects: list[Effect],
) -> None:
    delay_s = state.component(HedgePolicy).delay_s(task.shard.service, now)
    task.due_at = now + delay_s
    task.is_hedge_checked = True
    if task is query.canary:
        restart_canary(state, query, now, effects)
        return
    service = task.shard.service
    if verdict is not Verdict.CLEAR or state.component(ShedWatch).is_shedding(
        service, now
    ):
        return
    coverage_first = query.is_coverage_first
    n_max = N_IN_FLIGHT_COVERAGE if coverage_first else N_IN_FLIGHT_LATENCY
    if len(task.subs) >= n_max:
        task.due_at = float("inf")
        return
    if not coverage_first and now + delay_s / 2 > query.cutoff_at:
        return  # an answer before the cutoff is unlikely
    replica, _ = pick(state, query, task, now, is_hedge=True)
    if replica is None or any(sub.replica == replica.name for sub in task.subs):
        return
    budget = state.component(ExtraLoadBudget)
    reserve = RETRY_RESERVE_TOKENS
    if not budget.try_spend(
        query.caller, now, for_missing=coverage_first, reserve=reserve
    ):
        return
    send_to(state, query, task, replica, now, effects)
    effects.append(Count("hedges_sent"))
