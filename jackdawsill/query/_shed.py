"""Shards that were shed: they wait at this host and are sent again later.

A shed sub-request was not run, so another attempt costs little, but attempts in
quick succession are what keeps an overloaded service shedding.
"""

from jackdawsill.core import Effect, HostState
from jackdawsill.hedging import ExtraLoadBudget
from jackdawsill.limits import ShedWatch
from jackdawsill.quarantine import Verdict
from jackdawsill.query._canary import start_canary
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.query._send import arm, send_shard, verdict
from jackdawsill.query._table import QueryTable

# Mean wait before the second attempt, about one service time, doubled by each
# further one. It is spread by half, so that shards shed together do not return
# together.
BACKOFF_S = 0.01
N_DOUBLINGS_MAX = 3


def defer(
    state: HostState, query: Query, task: ShardTask, now: float, out: list[Effect]
) -> None:
    """Let a shed shard wait."""
    table = state.component(QueryTable)
    table.park(table.shed_, query, task)
    n_doublings = min(max(task.n_shed - 1, 0), N_DOUBLINGS_MAX)
    backoff_s = BACKOFF_S * 2**n_doublings
    task.hedge_at = now + backoff_s * (0.5 + state.rng.random())
    arm(query, task.hedge_at, out)


def send_due(
    state: HostState, query: Query, task: ShardTask, now: float, out: list[Effect]
) -> None:
    """Send a shard whose wait is over, unless its service still sheds."""
    state.component(QueryTable).unpark(task)
    if state.component(ShedWatch).is_shedding(task.shard.service, now):
        defer(state, query, task, now, out)
        return
    _send(state, query, task, now, out)


def send_next(state: HostState, service: str, now: float, out: list[Effect]) -> None:
    """Send the shard that has waited longest in the place of an answered one.

    One sub-request for each answer adds no load, so this is done on a shedding
    service as well; otherwise new queries would take all the room.
    """
    table = state.component(QueryTable)
    if service in table.shed_:
        task, query = next(iter(table.shed_[service].items()))
        table.unpark(task)
        _send(state, query, task, now, out)


def _send(
    state: HostState, query: Query, task: ShardTask, now: float, out: list[Effect]
) -> None:
    found = verdict(state, query, now)
    if found is Verdict.CONDEMNED or now >= query.cutoff_at:
        return
    if found is Verdict.SUSPECT:
        query.held.append(task)
        start_canary(state, query, now, out)
        return
    budget = state.component(ExtraLoadBudget)
    debt = float(len(query.tasks))
    for_missing = query.is_coverage_first
    if not budget.try_spend(query.caller, now, for_missing=for_missing, debt=debt):
        defer(state, query, task, now, out)
        return
    send_shard(state, query, task, now, out)
