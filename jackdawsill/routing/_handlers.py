"""Reducer handlers that keep the replica table up to date."""

from jackdawsill.core import (
    Effect,
    HostState,
    LogEvent,
    PeerMessageRead,
    SendPeer,
    SetAccepted,
    handles,
)
from jackdawsill.membership import MemberTable, PeerUp
from jackdawsill.routing._log_events import REPLICA_LEAVING
from jackdawsill.routing._messages import LeavingNotice
from jackdawsill.routing._replica import LEAVING_TTL_S
from jackdawsill.routing._table import ReplicaTable


def broadcast_leaving(
    state: HostState, replica: str, evidence: str, now: float
) -> list[Effect]:
    """Mark a replica as leaving; on the first evidence also notify the peers.

    `evidence` is text for the log event.
    """
    table = state.components_.get(ReplicaTable)
    if table is None or not table.mark_leaving(replica, now):
        return []
    start_id = f"{state.name}:{state.rng.getrandbits(64):016x}"
    table.record_start_id(start_id, now)
    table.state_of(replica).leaving_start_id = start_id
    notice = LeavingNotice(replica, start_id, LEAVING_TTL_S)
    return [
        LogEvent(REPLICA_LEAVING, {"replica": replica, "source": evidence}),
        *state.component(MemberTable).broadcast(notice),
    ]


@handles(PeerMessageRead, needs=ReplicaTable)
def on_leaving_notice(
    state: HostState, event: PeerMessageRead, now: float
) -> list[Effect]:
    """Mark a replica that a peer reports as leaving.

    Only the first evidence is broadcast, so a stop that every host observes at once
    costs each link one message in each direction.
    """
    notice = event.message
    if not isinstance(notice, LeavingNotice):
        return []
    # A joining host has no object set yet and records every notice.
    if state.objects_ and notice.replica not in state.objects_.replicas:
        return []
    table = state.component(ReplicaTable)
    if not table.on_notice(notice.replica, notice.start_id, notice.ttl_s, now):
        return []
    return [
        LogEvent(REPLICA_LEAVING, {"replica": notice.replica, "source": "peer"}),
        *state.component(MemberTable).broadcast(notice),
    ]


@handles(PeerUp, needs=ReplicaTable)
def on_peer_up(state: HostState, event: PeerUp, now: float) -> list[Effect]:
    """Send the leaving replicas to a new peer, which may have just started."""
    if event.brief:
        return []
    return [
        SendPeer(event.link_id, LeavingNotice(mark.replica, mark.start_id, mark.ttl_s))
        for mark in state.component(ReplicaTable).leaving_marks(now)
    ]


@handles(SetAccepted, needs=ReplicaTable)
def on_set_accepted(state: HostState, event: SetAccepted, now: float) -> list[Effect]:
    """Drop replicas that the new object set does not contain."""
    if state.objects_ is not None:
        state.component(ReplicaTable).prune(state.objects_.replicas)
    return []
