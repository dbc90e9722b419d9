"""Broadcast of replica crashes, so that every host refuses a poison request."""

from jackdawsill.core import (
    Effect,
    EmitEvent,
    HostState,
    LinkOpened,
    SendPeer,
    handles,
)
from jackdawsill.forwarding import (
    PEER,
    Crash,
    CrashConfirmed,
    CrashEvidence,
    CrashRecorded,
    ReplicaRegistry,
)
from jackdawsill.relaying._feed import UpdateFeed
from jackdawsill.relaying._messages import CrashNotice

# Crashes sent over a link that opens, about 100 bytes each, to bound what a restart of
# many hosts costs a relay.
MAX_NOTICES_AT_ONCE = 256


@handles(CrashRecorded, needs=UpdateFeed)
def on_crash(state: HostState, event: CrashRecorded, now: float) -> list[Effect]:
    """Send a crash to all linked hosts; each of them forwards it once."""
    notice = _make_notice(event.fingerprint, event.crash, 0.0)
    links = state.component(UpdateFeed).links()
    return [SendPeer(link_id, notice) for link_id in links]


@handles(LinkOpened, needs=CrashEvidence)
def on_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """Send the known crashes to a host that may have restarted."""
    crashes = state.component(CrashEvidence).suspicious_crashes(now)
    return [
        SendPeer(event.link_id, _make_notice(fingerprint, crash, age_s))
        for fingerprint, crash, age_s in crashes[-MAX_NOTICES_AT_ONCE:]
    ]


def _make_notice(fingerprint: int, crash: Crash, age_s: float) -> CrashNotice:
    return CrashNotice(
        fingerprint,
        crash.request_id,
        crash.replica,
        crash.incarnation,
        crash.is_repeat,
        round(age_s, 1),
    )


def on_notice(state: HostState, notice: CrashNotice) -> list[Effect]:
    """Emit the crash that a peer reported."""
    incarnation = notice.incarnation
    if incarnation is None:
        known = state.component(ReplicaRegistry).replicas_.get(notice.replica)
        incarnation = "" if known is None else known.entry.incarnation
    crash = Crash(
        notice.request_id, notice.replica, incarnation, is_repeat=notice.is_repeat
    )
    return [EmitEvent(CrashConfirmed(notice.fingerprint, crash, PEER, notice.age_s))]
