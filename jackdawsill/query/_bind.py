"""Step 2: bind a query to one snapshot, and to another one after declines."""

from jackdawsill.core import Count, Effect, FailureKind, HostState, LogEvent
from jackdawsill.hedging import ExtraLoadBudget
from jackdawsill.objects import Snapshot
from jackdawsill.query._cancel import cancel_all
from jackdawsill.query._log_events import QUERY_RESTARTED
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.snapshots import SnapshotTable

# Fraction of declined shards above which a query restarts on another snapshot.
RESTART_DECLINED_FRACTION = 0.2


def bind(state: HostState, query: Query, now: float) -> bool:
    """Bind a query to a snapshot and its shard map; return False without one."""
    table = state.component(SnapshotTable)
    snapshot = table.bind(query.route.group, state.objects_, now)
    if snapshot is None:
        return False
    _use(query, snapshot)
    return True


def may_restart(query: Query, kind: FailureKind, now: float) -> bool:
    """Tell whether so many shards declined that the query should restart."""
    return (
        kind is FailureKind.DECLINED
        and not query.is_restarted
        and query.n_declined > RESTART_DECLINED_FRACTION * len(query.tasks)
        and now < query.cutoff_at
    )


def rebind(state: HostState, query: Query, now: float, out: list[Effect]) -> bool:
    """Move a query to another snapshot, once; return False if it must stay.

    The answers for the old snapshot are extra load. They may be paid in advance,
    because an index change meets every running query at the same time; what is
    still in flight is mostly declined as well.
    """
    old = query.snapshot
    assert old is not None
    snapshots = state.component(SnapshotTable)
    if snapshots.newest_servable(query.route.group, state.objects_, now) is old:
        # Some replicas have moved on, but enough still serve it. A restart would
        # send all queries of the next second to the few that have moved.
        return False
    query.is_restarted = True
    new = snapshots.bind(query.route.group, state.objects_, now, (old.name,))
    if new is None:
        return False
    n_lost = sum(task.items is not None for task in query.tasks)
    budget = state.component(ExtraLoadBudget)
    if not budget.try_spend(query.caller, now, n_lost, debt=len(query.tasks)):
        return False
    fields = {
        "request_id": query.request.request_id,
        "old": old.name,
        "new": new.name,
        "n_declined": query.n_declined,
    }
    cancel_all(state, query, now, out)
    snapshots.on_rejected(old, now)
    _use(query, new)
    out.append(LogEvent(QUERY_RESTARTED, fields))
    out.append(Count("queries_restarted"))
    return True


def _use(query: Query, snapshot: Snapshot) -> None:
    query.snapshot = snapshot
    query.tasks = tuple([ShardTask(shard) for shard in snapshot.shards])
    query.open = {task.shard.name: task for task in query.tasks}
    query.n_needed = len(query.tasks)
    query.n_declined = 0
