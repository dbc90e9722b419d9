"""Relaying of the delegates: hosts that run calls for other hosts.

Names of messages call the delegates "helpers", and a host's own entry its "offer".
"""

from jackdawsill.core import Effect, HostState, SendPeer
from jackdawsill.forwarding import DelegateHost, DelegateTable
from jackdawsill.relaying._feed import UpdateFeed
from jackdawsill.relaying._messages import NewsHelpers

# Subscribers with narrow links that a relay passes on as delegates. They serve hosts
# that are cut off from replicas. Each change goes to all hosts, so they are chosen only
# once in this interval; one that has left meanwhile costs a failed connection.
N_NARROW_MAX = 8
NARROW_INTERVAL_S = 10.0


def own_delegate(state: HostState) -> DelegateHost | None:
    """Return this host's entry as a delegate, or None if it is none or not ready."""
    return state.component(DelegateTable).offer if state.ready_ else None


def on_reported(
    state: HostState, link_id: int, delegates: tuple[DelegateHost, ...], now: float
) -> list[Effect]:
    """Record the delegates reported on a link; broadcast them if they changed."""
    feed = state.component(UpdateFeed)
    if feed.reported_delegates_.get(link_id, ()) == delegates:
        return []
    if delegates:
        feed.reported_delegates_[link_id] = delegates
    else:
        feed.reported_delegates_.pop(link_id, None)
    return broadcast_delegates(state, now)


def broadcast_delegates(state: HostState, now: float) -> list[Effect]:
    """Update the delegate table, and send changed delegates to all subscribers."""
    feed = state.component(UpdateFeed)
    local, known = _known_delegates(state)
    before = feed.delegates_sent_
    feed.delegates_sent_ = local, known
    if feed.delegates_sent_ == before:
        return []
    state.component(DelegateTable).set_delegates(_sorted(known), now)
    return [delegates_message(state, link_id) for link_id in sorted(feed.subscribers_)]


def choose_narrow(state: HostState, now: float) -> list[Effect]:
    """Choose the subscribers with narrow links anew if it is due; keep those left."""
    feed = state.component(UpdateFeed)
    if now - feed.narrow_chosen_at_ < NARROW_INTERVAL_S:
        return []
    feed.narrow_chosen_at_ = now
    reported = {
        delegate
        for link_id, delegates in feed.reported_delegates_.items()
        if link_id not in feed.peer_relays_
        for delegate in delegates
        if not delegate.is_wide
    }
    kept = feed.narrow_ & reported
    others = _sorted(reported - kept)
    feed.narrow_ = kept.union(others[: N_NARROW_MAX - len(kept)])
    return broadcast_delegates(state, now)


def delegates_message(state: HostState, link_id: int) -> SendPeer:
    """Return the effect that sends the known delegates to one subscriber."""
    local, known = _known_delegates(state)
    # Another relay gets only the delegates of this host and its own subscribers.
    # Otherwise relays would return delegates to each other forever.
    is_relay = link_id in state.component(UpdateFeed).relay_subscribers_
    return SendPeer(link_id, NewsHelpers(_sorted(local if is_relay else known)))


def _known_delegates(state: HostState) -> tuple[set[DelegateHost], set[DelegateHost]]:
    """Return the delegates among this host and its subscribers, and all known ones."""
    feed = state.component(UpdateFeed)
    own = own_delegate(state)
    local = {own} if own is not None else set()
    for link_id, delegates in feed.reported_delegates_.items():
        if link_id not in feed.peer_relays_:
            local.update(delegate for delegate in delegates if delegate.is_wide)
    local |= feed.narrow_
    from_relays = (
        feed.reported_delegates_.get(link_id, ()) for link_id in feed.peer_relays_
    )
    return local, local.union(*from_relays)


def _sorted(delegates: set[DelegateHost]) -> tuple[DelegateHost, ...]:
    return tuple(sorted(delegates, key=lambda delegate: delegate.name))
