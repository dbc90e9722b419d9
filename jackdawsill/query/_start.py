"""Start of a query, when the admission queue lets it run."""

from jackdawsill.core import Effect, HostState
from jackdawsill.limits import ConnectionShares
from jackdawsill.quarantine import Verdict
from jackdawsill.query._bind import bind
from jackdawsill.query._canary import start_canary
from jackdawsill.query._model import Query
from jackdawsill.query._send import fan_out, verdict
from jackdawsill.query._table import QueryTable


def start(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Bind a query and send its sub-requests."""
    query.started_at = now
    group = state.objects_.groups.get(query.route.group)
    query.n_slots = 1 if group is None else group.n_slots
    shares = state.component(ConnectionShares)
    if shares.objects_ is not state.objects_:
        shares.set_objects(state.objects_)
    if now >= query.cutoff_at or not bind(state, query, now):
        state.component(QueryTable).done_.append(query)
        return
    begin(state, query, now, out)


def begin(state: HostState, query: Query, now: float, out: list[Effect]) -> None:
    """Send the sub-requests of a query that was just bound."""
    found = verdict(state, query, now)
    if found is Verdict.CONDEMNED:
        return
    if found is Verdict.SUSPECT:
        query.held = list(query.tasks)
        start_canary(state, query, now, out)
    else:
        fan_out(state, query, now, out)
    if not query.tasks:
        state.component(QueryTable).done_.append(query)
