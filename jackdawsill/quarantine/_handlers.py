"""Reducer handlers of the quarantine."""

from jackdawsill.core import (
    Effect,
    EmitEvent,
    FailureKind,
    HostState,
    PeerMessageRead,
    SendPeer,
    SetAccepted,
    SubFailed,
    Tick,
    handles,
)
from jackdawsill.membership import MemberTable, PeerUp
from jackdawsill.quarantine._events import CrashRecorded
from jackdawsill.quarantine._messages import QuarantineNotice, SuspicionNotice
from jackdawsill.quarantine._notices import MAX_PER_MESSAGE
from jackdawsill.quarantine._quarantine import Quarantine


@handles(Tick, needs=Quarantine)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Drop what has expired and send the notices that are due."""
    quarantine = state.components_.get(Quarantine)
    if quarantine is None:
        return []
    quarantine.expire(now)
    effects, quarantine.pending_effects_ = quarantine.pending_effects_, []
    return effects + _send_due_notices(state, quarantine, now)


def _send_due_notices(
    state: HostState, quarantine: Quarantine, now: float
) -> list[Effect]:
    """Return the effects that send queued notices, within the rate limit."""
    effects: list[Effect] = []
    table = state.components_.get(MemberTable)
    if table is None or not table.links_:
        return effects
    condemned = quarantine.dequeue_condemned(now)
    if condemned:
        effects += table.broadcast(QuarantineNotice(tuple(condemned)))
    crashes = quarantine.dequeue_crashes(now)
    if crashes:
        effects += table.broadcast(SuspicionNotice(tuple(crashes)))
    return effects


@handles(SubFailed, needs=Quarantine)
def on_sub_failed(state: HostState, event: SubFailed, now: float) -> list[Effect]:
    """Send the notices of a crash after all handlers of the failure have run.

    One of them, which sent the sub-request, records the crash.
    """
    if event.kind is not FailureKind.CRASH:
        return []
    return [EmitEvent(CrashRecorded())]


@handles(CrashRecorded, needs=Quarantine)
def on_crash_recorded(
    state: HostState, event: CrashRecorded, now: float
) -> list[Effect]:
    """Send the notices of a crash at once, without waiting for the next tick.

    Until then, the caller could send the request again through two other hosts, where
    it would be fanned out and crash all three replicas of each shard.
    """
    return _send_due_notices(state, state.component(Quarantine), now)


@handles(SetAccepted, needs=Quarantine)
def on_set_accepted(state: HostState, event: SetAccepted, now: float) -> list[Effect]:
    """Update the failure domains of the replicas from the new object set."""
    quarantine = state.components_.get(Quarantine)
    if quarantine is not None and state.objects_ is not None:
        replicas = state.objects_.replicas.values()
        quarantine.failure_domains_ = {r.name: r.failure_domain for r in replicas}
    return []


@handles(PeerUp, needs=Quarantine)
def on_peer_up(state: HostState, event: PeerUp, now: float) -> list[Effect]:
    """Send the condemned fingerprints to a new peer, which may have just started."""
    quarantine = state.components_.get(Quarantine)
    if quarantine is None or event.brief:
        return []
    items = quarantine.condemned_items(now)
    return [
        SendPeer(event.link_id, QuarantineNotice(tuple(items[i : i + MAX_PER_MESSAGE])))
        for i in range(0, len(items), MAX_PER_MESSAGE)
    ]


@handles(PeerMessageRead, needs=Quarantine)
def on_peer_message(
    state: HostState, event: PeerMessageRead, now: float
) -> list[Effect]:
    """Record the notices of a peer; new evidence is forwarded at once."""
    quarantine = state.components_.get(Quarantine)
    if quarantine is None:
        return []
    if isinstance(event.message, SuspicionNotice):
        for crash in event.message.items:
            quarantine.on_peer_crash(crash, now)
    elif isinstance(event.message, QuarantineNotice):
        for condemned in event.message.items:
            quarantine.on_peer_condemned(condemned, now)
    else:
        return []
    return _send_due_notices(state, quarantine, now)
