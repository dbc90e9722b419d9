"""Use of the room that ended sub-requests leave on their replicas."""

from collections.abc import Iterable

from jackdawsill.core import Effect, HostState
from jackdawsill.query._canary import on_replica_idle
from jackdawsill.query._model import SubRequest
from jackdawsill.query._send import release_waiting
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable


def use_room(
    state: HostState, ended: Iterable[SubRequest], now: float, out: list[Effect]
) -> None:
    """Send what waited for the replicas of ended sub-requests."""
    table = state.part(QueryTable)
    if not table.reserved_ and not table.waiting_:
        return
    for sub in ended:
        if (
            sub.replica in table.reserved_
            and not state.part(ReplicaTable).state_of(sub.replica).in_flight
        ):
            on_replica_idle(state, sub.replica, now, out)
        if table.waiting_:
            release_waiting(state, sub.task.shard.service, now, out)
