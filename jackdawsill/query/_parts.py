"""Components that the steps of a query use, looked up once for each host."""

from dataclasses import dataclass

from jackdawsill.core import HostState
from jackdawsill.hedging import ExtraLoadBudget, HedgePolicy
from jackdawsill.limits import ConcurrencyLimits, ConnectionShares, ShedWatch
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable
from jackdawsill.snapshots import SnapshotTable


@dataclass(slots=True, frozen=True)
class Parts:
    """Components that every sub-request uses.

    Looking them up for each sub-request took a tenth of its cost.
    """

    table: QueryTable
    routing: ReplicaTable
    snapshots: SnapshotTable
    policy: HedgePolicy
    budget: ExtraLoadBudget
    shares: ConnectionShares
    limits: ConcurrencyLimits
    sheds: ShedWatch


def parts_of(state: HostState) -> Parts:
    """Return the components of a host."""
    parts = state.components_.get(Parts)
    if parts is None:
        parts = Parts(
            state.component(QueryTable),
            state.component(ReplicaTable),
            state.component(SnapshotTable),
            state.component(HedgePolicy),
            state.component(ExtraLoadBudget),
            state.component(ConnectionShares),
            state.component(ConcurrencyLimits),
            state.component(ShedWatch),
        )
        state.attach(parts)
    return parts
