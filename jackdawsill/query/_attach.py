"""Attachment of the components that queries use to a host's state."""

from jackdawsill.core import HostState
from jackdawsill.hedging import ExtraLoadBudget, HedgePolicy
from jackdawsill.limits import (
    AdmissionQueue,
    ConcurrencyLimits,
    ConnectionShares,
    ShedWatch,
)
from jackdawsill.query._table import QueryTable
from jackdawsill.routing import ReplicaTable
from jackdawsill.snapshots import SnapshotTable


def attach_query_components(state: HostState, incarnation: str = "") -> None:
    """Attach the components of the query path to a host's state.

    `MemberTable`, `Quarantine`, `HostLifecycle` and `TicketManager` are attached by
    their owner; `incarnation` is that of this process in the member table.
    """
    state.attach(ReplicaTable(state.failure_domain))
    state.attach(SnapshotTable())
    state.attach(HedgePolicy())
    state.attach(ExtraLoadBudget())
    state.attach(ConnectionShares(incarnation))
    state.attach(ConcurrencyLimits())
    state.attach(ShedWatch())
    state.attach(AdmissionQueue())
    state.attach(QueryTable())
