"""Relaying of the hosts that offer to run fan-outs of others."""

from jackdawsill.core import Effect, HostState, SendPeer
from jackdawsill.forwarding import DelegateHost, DelegateTable
from jackdawsill.relaying._feed import UpdateFeed
from jackdawsill.relaying._messages import NewsHelpers


def own_offer(state: HostState) -> DelegateHost | None:
    """Return what this host offers now; a host that is not ready offers nothing."""
    return state.component(DelegateTable).offer if state.ready_ else None


def on_offer(
    state: HostState, link_id: int, helpers: tuple[DelegateHost, ...], now: float
) -> list[Effect]:
    """Record the helpers behind a link, and tell the others if they changed."""
    feed = state.component(UpdateFeed)
    if feed.offers_.get(link_id, ()) == helpers:
        return []
    if helpers:
        feed.offers_[link_id] = helpers
    else:
        feed.offers_.pop(link_id, None)
    return tell_helpers(state, now)


def tell_helpers(state: HostState, now: float) -> list[Effect]:
    """Use the helpers known here, and tell subscribers and other relays of them."""
    _, known = _helpers(state)
    state.component(DelegateTable).set_delegates(_sorted(known), now)
    links = sorted(state.component(UpdateFeed).subscribers_)
    return [tell_subscriber(state, link_id) for link_id in links]


def tell_subscriber(state: HostState, link_id: int) -> SendPeer:
    """Return the message that tells one subscriber of the helpers."""
    near, known = _helpers(state)
    # Another relay hears only of the hosts here, so that none goes round.
    is_relay = link_id in state.component(UpdateFeed).relay_subscribers_
    return SendPeer(link_id, NewsHelpers(_sorted(near if is_relay else known)))


def _helpers(state: HostState) -> tuple[set[DelegateHost], set[DelegateHost]]:
    """Return the helpers that learn from this host, and all that are known."""
    feed = state.component(UpdateFeed)
    own = own_offer(state)
    near = {own} if own is not None else set()
    for link_id, helpers in feed.offers_.items():
        if link_id not in feed.partners_:
            near.update(helpers)
    told = (feed.offers_.get(link_id, ()) for link_id in feed.partners_)
    return near, near.union(*told)


def _sorted(helpers: set[DelegateHost]) -> tuple[DelegateHost, ...]:
    return tuple(sorted(helpers, key=lambda helper: helper.name))
