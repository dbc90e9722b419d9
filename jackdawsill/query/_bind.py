"""Bind a query to a snapshot, and to another one if many shards are declined."""

from jackdawsill.core import Count, Effect, FailureKind, HostState, LogEvent
from jackdawsill.hedging import ExtraLoadBudget
from jackdawsill.objects import Snapshot
from jackdawsill.query._cancel import cancel_all
from jackdawsill.query._log_events import QUERY_RESTARTED
from jackdawsill.query._model import Query, ShardTask
from jackdawsill.snapshots import SnapshotTable

# A query restarts on another snapshot if replicas declined its snapshot for more than
# this fraction of the shards.
RESTART_DECLINED_FRACTION = 0.2


def bind_snapshot(state: HostState, query: Query, now: float) -> bool:
    """Bind a query to a snapshot and its shards; return False if the group has none."""
    table = state.component(SnapshotTable)
    snapshot = table.choose(query.route.group, state.objects_, now)
    if snapshot is None:
        return False
    _set_snapshot(query, snapshot)
    return True


def should_restart(query: Query, kind: FailureKind, now: float) -> bool:
    """Return whether replicas declined so many shards that the query should restart."""
    return (
        kind is FailureKind.DECLINED
        and not query.is_restarted
        and query.n_declined > RESTART_DECLINED_FRACTION * len(query.tasks)
        and now < query.cutoff_at
    )


def restart_on_other_snapshot(
    state: HostState, query: Query, now: float, effects: list[Effect]
) -> bool:
    """Restart a query on another snapshot, at most once.

    Return False if it stays on its snapshot. The answers received for the old snapshot
    are lost and count as extra load. The budget may go into debt for them, because a
    change of the snapshot on the replicas affects every running query at the same time.
    Sub-requests in flight are cancelled; most of them would be declined as well.
    """
    old = query.snapshot
    assert old is not None
    snapshots = state.component(SnapshotTable)
    if snapshots.newest_servable(query.route.group, state.objects_, now) is old:
        # Some replicas have loaded another snapshot, but enough still serve this one.
        # A restart would send all queries of the next second to those few replicas.
        return False
    query.is_restarted = True
    new = snapshots.choose(query.route.group, state.objects_, now, (old.name,))
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
    cancel_all(state, query, now, effects)
    snapshots.on_restart(old, now)
    _set_snapshot(query, new)
    effects.append(LogEvent(QUERY_RESTARTED, fields))
    effects.append(Count("queries_restarted"))
    return True


def _set_snapshot(query: Query, snapshot: Snapshot) -> None:
    query.snapshot = snapshot
    query.tasks = tuple([ShardTask(shard) for shard in snapshot.shards])
    query.unfinished = {task.shard.name: task for task in query.tasks}
    query.n_needed = len(query.tasks)
    query.n_declined = 0
