"""Start of a query once the admission queue has let it run."""

from jackdawsill.core import Effect, HostState
from jackdawsill.limits import ConnectionShares
from jackdawsill.quarantine import Verdict
from jackdawsill.query._bind import bind_snapshot
from jackdawsill.query._canary import start_canary
from jackdawsill.query._model import Query
from jackdawsill.query._send import check_verdict, fan_out
from jackdawsill.query._table import QueryTable


def start(state: HostState, query: Query, now: float, effects: list[Effect]) -> None:
    """Bind a query to a snapshot and send its sub-requests.

    A query that is too late or has no snapshot is scheduled for its refusal.
    """
    query.started_at = now
    group = state.objects_.groups.get(query.route.group)
    query.n_slots = 1 if group is None else group.n_slots
    shares = state.component(ConnectionShares)
    if shares.objects_ is not state.objects_:
        shares.set_objects(state.objects_)
    if now >= query.cutoff_at or not bind_snapshot(state, query, now):
        state.component(QueryTable).ready_to_finish_.append(query)
        return
    send_sub_requests(state, query, now, effects)


def send_sub_requests(
    state: HostState, query: Query, now: float, effects: list[Effect]
) -> None:
    """Send the sub-requests of a newly bound query, or a canary if it is suspected."""
    verdict = check_verdict(state, query, now)
    if verdict is Verdict.CONDEMNED:
        return
    if verdict is Verdict.SUSPECT:
        query.awaiting_canary = list(query.tasks)
        start_canary(state, query, now, effects)
    else:
        fan_out(state, query, now, effects)
    if not query.tasks:
        state.component(QueryTable).ready_to_finish_.append(query)
