"""Retry of shards whose sub-request was shed, after a backoff.

A shed sub-request was not run, so a retry costs little, but retries in quick succession
keep an overloaded service shedding.
"""

from jackdawsill.core import Effect, HostState
from jackdawsill.hedging import ExtraLoadBudget
from jackdawsill.limits import ShedWatch
from jackdawsill.quarantine import Verdict
from jackdawsill.query._canary import start_canary
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.query._send import (
    check_verdict,
    send_shard,
    set_due_timer,
)
from jackdawsill.query._table import QueryTable

# Mean backoff before the first retry, about one service time, doubled by each further
# retry. Each backoff is randomised by half of it either way, so that shards that were
# shed together are not retried together.
BACKOFF_S = 0.01
N_DOUBLINGS_MAX = 3


def wait_after_shed(
    state: HostState, query: Query, task: ShardTask, now: float, effects: list[Effect]
) -> None:
    """Queue a shed shard and set the hedge timer to the end of its backoff."""
    table = state.component(QueryTable)
    table.add_waiting(table.waiting_after_shed_, query, task)
    n_doublings = min(max(task.n_shed - 1, 0), N_DOUBLINGS_MAX)
    backoff_s = BACKOFF_S * 2**n_doublings
    task.due_at = now + backoff_s * (0.5 + state.rng.random())
    set_due_timer(query, task.due_at, effects)


def retry_after_shed(
    state: HostState, query: Query, task: ShardTask, now: float, effects: list[Effect]
) -> None:
    """Send a shard whose backoff is over, unless its service still sheds."""
    state.component(QueryTable).remove_waiting(task)
    if state.component(ShedWatch).is_shedding(task.shard.service, now):
        wait_after_shed(state, query, task, now, effects)
        return
    _send_if_allowed(state, query, task, now, effects)


def send_longest_waiting(
    state: HostState, service: str, now: float, effects: list[Effect]
) -> None:
    """Send the longest waiting shed shard of a service that has just answered.

    One sub-request for each answer adds no load, so this is done even while the service
    sheds; otherwise new queries would use all of its capacity.
    """
    table = state.component(QueryTable)
    if service in table.waiting_after_shed_:
        task, query = next(iter(table.waiting_after_shed_[service].items()))
        table.remove_waiting(task)
        _send_if_allowed(state, query, task, now, effects)


def _send_if_allowed(
    state: HostState, query: Query, task: ShardTask, now: float, effects: list[Effect]
) -> None:
    verdict = check_verdict(state, query, now)
    if verdict is Verdict.CONDEMNED or now >= query.cutoff_at:
        return
    if verdict is Verdict.SUSPECT:
        query.awaiting_canary.append(task)
        start_canary(state, query, now, effects)
        return
    budget = state.component(ExtraLoadBudget)
    debt = float(len(query.tasks))
    for_missing = query.is_coverage_first
    if not budget.try_spend(query.caller, now, for_missing=for_missing, debt=debt):
        wait_after_shed(state, query, task, now, effects)
        return
    send_shard(state, query, task, now, effects)
