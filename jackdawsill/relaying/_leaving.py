"""Broadcast of replicas that have said that they leave.

It is news of a process, not of the store, so it has no position there.
"""

from jackdawsill.core import (
    Effect,
    EmitEvent,
    HostState,
    LinkOpened,
    PeerMessageRead,
    SendPeer,
    handles,
)
from jackdawsill.forwarding import LeavingRecorded, LeavingReported, ReplicaRegistry
from jackdawsill.relaying._feed import UpdateFeed
from jackdawsill.relaying._messages import ReplicaLeaving

# Replicas reported over a link that opens, the latest ones.
MAX_REPORTED_AT_ONCE = 256


@handles(LeavingRecorded, needs=UpdateFeed)
def on_recorded(state: HostState, event: LeavingRecorded, now: float) -> list[Effect]:
    """Report a replica to all linked hosts; each of them forwards it once."""
    message = ReplicaLeaving(event.replica, event.incarnation)
    links = state.component(UpdateFeed).links()
    return [SendPeer(link_id, message) for link_id in links]


@handles(PeerMessageRead, needs=UpdateFeed)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Emit what a peer reports."""
    message = event.message
    if not isinstance(message, ReplicaLeaving):
        return []
    return [EmitEvent(LeavingReported(message.replica, message.incarnation))]


@handles(LinkOpened, needs=UpdateFeed)
def on_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """Report the known ones to a host that may have restarted."""
    known = state.component(ReplicaRegistry).leaving.known()
    return [
        SendPeer(event.link_id, ReplicaLeaving(name, incarnation))
        for name, incarnation in known[-MAX_REPORTED_AT_ONCE:]
    ]
