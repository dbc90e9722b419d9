"""Broadcast of the limits that replicas state, so that all hosts know them at once.

A host forwards a statement only if it changes what the host knows, so it ends.
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
from jackdawsill.forwarding import LimitRecorded, LimitReported, ReplicaRegistry
from jackdawsill.relaying._feed import UpdateFeed
from jackdawsill.relaying._messages import ReplicaLimit

# Limits stated over a link that opens.
MAX_STATED_AT_ONCE = 256


@handles(LimitRecorded, needs=UpdateFeed)
def on_recorded(state: HostState, event: LimitRecorded, now: float) -> list[Effect]:
    """State a changed limit to all linked hosts."""
    message = ReplicaLimit(
        event.replica, event.incarnation, event.limit_per_s, event.age_s
    )
    links = state.component(UpdateFeed).links()
    return [SendPeer(link_id, message) for link_id in links]


@handles(PeerMessageRead, needs=UpdateFeed)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Emit the limit that a peer states."""
    message = event.message
    if not isinstance(message, ReplicaLimit):
        return []
    reported = LimitReported(
        message.replica, message.incarnation, message.limit_per_s, message.age_s
    )
    return [EmitEvent(reported)]


@handles(LinkOpened, needs=UpdateFeed)
def on_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """State the known limits to a host that may have restarted."""
    replicas = state.component(ReplicaRegistry).replicas_.values()
    limited = [r for r in replicas if r.rate_share is not None]
    return [
        SendPeer(
            event.link_id,
            ReplicaLimit(
                replica.entry.name,
                replica.entry.incarnation,
                replica.rate_share.limit_per_s,
                max(0.0, now - replica.limit_known_at),
            ),
        )
        for replica in limited[:MAX_STATED_AT_ONCE]
    ]
