"""Links to other relays that carry nothing any more, although they stay open."""

from jackdawsill.core import (
    CloseLink,
    Count,
    Effect,
    HostState,
    LogEvent,
    PauseDetected,
    PeerBytesRead,
    SendPeer,
    handles,
)
from jackdawsill.relaying import _log_events as log_events
from jackdawsill.relaying._feed import HEARTBEAT_INTERVAL_S, UpdateFeed
from jackdawsill.relaying._updates import make_request

# A link to another relay that has been silent for three heartbeats is asked for an
# answer. A relay without current updates sends no heartbeats, but does answer.
ASK_AFTER_S = 3 * HEARTBEAT_INTERVAL_S
# A link that is silent for as long again is closed, and another one opened.
CLOSE_AFTER_S = 2 * ASK_AFTER_S


def on_peer_heard(feed: UpdateFeed, link_id: int, now: float) -> None:
    """Record that something arrived on a link to another relay."""
    if link_id in feed.peer_relays_:
        feed.peer_heard_at_[link_id] = now
        feed.asked_peers_.discard(link_id)


@handles(PeerBytesRead, needs=UpdateFeed)
def on_bytes(state: HostState, event: PeerBytesRead, now: float) -> list[Effect]:
    """Keep a link on which a large message arrives slowly."""
    on_peer_heard(state.component(UpdateFeed), event.link_id, now)
    return []


@handles(PauseDetected, needs=UpdateFeed)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Measure silence anew, since nothing was read while the process was paused."""
    feed = state.component(UpdateFeed)
    feed.peer_heard_at_ = dict.fromkeys(feed.peer_heard_at_, now)
    feed.asked_peers_.clear()
    return []


def check_peer_links(state: HostState, now: float) -> list[Effect]:
    """Ask on the links to other relays that are silent, or close them."""
    feed = state.component(UpdateFeed)
    effects: list[Effect] = []
    for link_id, heard_at in list(feed.peer_heard_at_.items()):
        silent_s = now - heard_at
        if silent_s > CLOSE_AFTER_S:
            address = feed.forget_peer(link_id)
            # The next check of the relays opens another link.
            feed.relays_checked_at_ = float("-inf")
            fields = {"address": address, "silent_s": round(silent_s, 2)}
            effects += [
                CloseLink(link_id),
                Count("relaying_links_silent"),
                LogEvent(log_events.LINK_SILENT, fields),
            ]
        elif silent_s > ASK_AFTER_S and link_id not in feed.asked_peers_:
            feed.asked_peers_.add(link_id)
            effects.append(SendPeer(link_id, make_request(state)))
    return effects
