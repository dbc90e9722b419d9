"""Handlers that update the limits when the fleet or the object set changes."""

from jackdawsill.core import Effect, HostState, SetAccepted, Tick, handles
from jackdawsill.limits._admission import AdmissionQueue
from jackdawsill.limits._concurrency import ConcurrencyLimits
from jackdawsill.limits._shares import ConnectionShares
from jackdawsill.limits._shed_rates import ShedWatch
from jackdawsill.membership import MemberTable


@handles(Tick, needs=ConnectionShares)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Update the shares when the live hosts change; a tick compares them in us."""
    shares = state.component(ConnectionShares)
    members = state.component(MemberTable).live_members()
    if len(members) != len(shares.hosts_) or any(
        m.incarnation != known for m, known in zip(members, shares.hosts_, strict=True)
    ):
        shares.set_hosts([m.incarnation for m in members])
        state.component(AdmissionQueue).n_hosts = max(1, len(members))
    return []


@handles(SetAccepted, needs=ConnectionShares)
def on_set_accepted(state: HostState, event: SetAccepted, now: float) -> list[Effect]:
    """Use the capacities of the accepted object set."""
    if state.objects_ is not None:
        state.component(ConnectionShares).set_objects(state.objects_)
        state.component(ConcurrencyLimits).prune(state.objects_.replicas)
        state.component(ShedWatch).prune(state.objects_.services)
        state.component(AdmissionQueue).set_objects(state.objects_)
    return []
