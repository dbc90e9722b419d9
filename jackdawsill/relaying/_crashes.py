"""Relaying of crashes, so that a harmful request is refused by every host."""

from jackdawsill.core import Effect, EmitEvent, HostState, SendPeer, handles
from jackdawsill.forwarding import CrashConfirmed, CrashEvidence
from jackdawsill.relaying._feed import UpdateFeed
from jackdawsill.relaying._messages import CrashNotice


@handles(CrashConfirmed, needs=UpdateFeed)
def on_crash(state: HostState, event: CrashConfirmed, now: float) -> list[Effect]:
    """Tell all linked hosts of a crash; each of them passes it on once."""
    feed = state.component(UpdateFeed)
    links = {*feed.subscribers_, *feed.partners_}
    if feed.link_id_:
        links.add(feed.link_id_)
    notice = CrashNotice(event.fingerprint, event.request_id, event.replica)
    return [SendPeer(link_id, notice) for link_id in sorted(links)]


def on_notice(state: HostState, notice: CrashNotice) -> list[Effect]:
    """Record a crash that a peer told of, unless it is known."""
    evidence = state.component(CrashEvidence).evidence_.get(notice.fingerprint)
    known = evidence is not None and (
        (notice.request_id, notice.replica) in evidence.crashes
    )
    if known:
        return []
    return [
        EmitEvent(CrashConfirmed(notice.fingerprint, notice.request_id, notice.replica))
    ]
