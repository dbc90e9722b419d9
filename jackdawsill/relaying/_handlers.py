"""Reducer handlers that relay updates and switch between relays and the store."""

from jackdawsill.core import (
    CloseLink,
    Effect,
    HostState,
    LinkClosed,
    LinkOpened,
    LogEvent,
    OpenLink,
    PeerMessageRead,
    SendPeer,
    Tick,
    handles,
)
from jackdawsill.forwarding import (
    DelegateTable,
    ReplicaRegistry,
    ReplicasChanged,
    ReplicasExpired,
    ReplicasListed,
    RouteCatalog,
    RoutesRead,
    StoreConfirmed,
)
from jackdawsill.relaying import _log_events as log_events
from jackdawsill.relaying._crashes import on_notice
from jackdawsill.relaying._effects import FollowStore
from jackdawsill.relaying._feed import (
    HEARTBEAT_INTERVAL_S,
    OPEN_TIMEOUT_S,
    RELAY_CONNECT_INTERVAL_S,
    STALE_S,
    UpdateFeed,
    UpstreamState,
)
from jackdawsill.relaying._helpers import (
    broadcast_delegates,
    choose_narrow,
    delegates_message,
    on_reported,
    own_delegate,
)
from jackdawsill.relaying._messages import (
    CrashNotice,
    NewsBeat,
    NewsChange,
    NewsHelpers,
    NewsSnapshot,
    NewsWanted,
    PositionedMessage,
)
from jackdawsill.relaying._older_builds import (
    apply_undated_update,
    close_older_subscribers,
    is_refused,
)
from jackdawsill.relaying._route_codec import pack_routes
from jackdawsill.relaying._silence import check_peer_links, on_peer_heard
from jackdawsill.relaying._updates import (
    apply_update,
    broadcast_change,
    make_heartbeat,
    make_request,
    make_snapshot,
    record_fleet_size,
    use_stale_snapshot,
)


@handles(StoreConfirmed, needs=UpdateFeed)
def on_confirmed(state: HostState, event: StoreConfirmed, now: float) -> list[Effect]:
    """Record that the known state agrees with the store now."""
    state.component(UpdateFeed).confirm(now)
    return []


@handles(RoutesRead, needs=UpdateFeed)
def on_routes(state: HostState, event: RoutesRead, now: float) -> list[Effect]:
    """Relay what an accepted configuration changes."""
    if state.component(RouteCatalog).routes_ is not event.routes:
        return []
    feed = state.component(UpdateFeed)
    before, feed.routes_ = feed.routes_, event.routes
    if not feed.subscribers_:
        return []
    packed = pack_routes(before, event.routes)
    fields = {
        "version": packed.version,
        "base": packed.base,
        "n_bytes": len(packed.data),
        "n_subscribers": len(feed.subscribers_),
    }
    change = NewsChange(packed, (), (), 0, 0, 0.0, False)
    return [
        LogEvent(log_events.ROUTES_RELAYED, fields),
        *broadcast_change(state, change, now),
    ]


@handles(ReplicasChanged, needs=UpdateFeed)
def on_changed(state: HostState, event: ReplicasChanged, now: float) -> list[Effect]:
    """Relay changes of registered replicas."""
    change = NewsChange(
        None,
        event.written,
        event.removed,
        event.base.revision,
        event.position.revision,
        0.0,
        state.component(ReplicaRegistry).may_lapse_,
    )
    return broadcast_change(state, change, now)


@handles(ReplicasExpired, needs=UpdateFeed)
def on_expired(state: HostState, event: ReplicasExpired, now: float) -> list[Effect]:
    """Relay the removal of replicas whose entries expired."""
    revision = state.component(ReplicaRegistry).known_position.revision
    change = NewsChange(None, (), event.names, revision, revision, 0.0, False)
    return broadcast_change(state, change, now)


@handles(ReplicasListed, needs=UpdateFeed)
def on_listed(state: HostState, event: ReplicasListed, now: float) -> list[Effect]:
    """Relay a snapshot, since a complete list does not show what changed."""
    feed = state.component(UpdateFeed)
    closed = close_older_subscribers(state)
    message = make_snapshot(state, now)
    return [*closed, *(SendPeer(link_id, message) for link_id in feed.subscribers_)]


@handles(PeerMessageRead, needs=UpdateFeed)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Handle subscriptions, delegates, crashes and updates of linked hosts."""
    feed = state.component(UpdateFeed)
    on_peer_heard(feed, event.link_id, now)
    message = event.message
    if isinstance(message, NewsWanted):
        if is_refused(state, message):
            return [CloseLink(event.link_id)]
        feed.subscribers_.add(event.link_id)
        if message.era is None:
            feed.older_subscribers_.add(event.link_id)
        if message.is_relay:
            feed.relay_subscribers_.add(event.link_id)
        # A relay reports its delegates, itself included, in `NewsHelpers` instead.
        has_delegate = message.offer is not None and not message.is_relay
        delegates = (message.offer,) if has_delegate else ()
        effects = on_reported(state, event.link_id, delegates, now)
        position = state.component(ReplicaRegistry).position_
        version = state.component(RouteCatalog).version
        if position == message.position and version == message.version:
            return [*effects, SendPeer(event.link_id, make_heartbeat(state, now))]
        effects.append(SendPeer(event.link_id, make_snapshot(state, now)))
        return [*effects, delegates_message(state, event.link_id)]
    if isinstance(message, CrashNotice):
        return on_notice(state, message)
    if isinstance(message, NewsHelpers):
        if event.link_id in feed.peer_relays_:
            return on_reported(state, event.link_id, message.helpers, now)
        if event.link_id == feed.relay_link_id_:
            state.component(DelegateTable).set_delegates(message.helpers, now)
        return []
    if event.link_id in feed.peer_relays_:
        if isinstance(message, NewsBeat):
            feed.subscriber_counts_[feed.peer_relays_[event.link_id]] = (
                message.n_subscribers
            )
            record_fleet_size(state, feed.fleet_size(now), now)
        return _apply(state, event.link_id, message, now)
    if event.link_id != feed.relay_link_id_:
        # A subscriber that reaches the store sends the updates that this host lacks.
        is_snapshot = isinstance(message, NewsSnapshot)
        return _apply(state, event.link_id, message, now) if is_snapshot else []
    if isinstance(message, NewsBeat):
        record_fleet_size(state, message.n_hosts, now)
    effects = _apply(state, event.link_id, message, now)
    age_s = getattr(message, "age_s", 0.0)
    if age_s > STALE_S and feed.follows_store_ and feed.age_s(now) <= STALE_S:
        # The relay does not reach the store but this host does, so it sends its state.
        effects.append(SendPeer(event.link_id, make_snapshot(state, now)))
    return effects


def _apply(state: HostState, link_id: int, message: object, now: float) -> list[Effect]:
    if isinstance(message, PositionedMessage) and message.era is None:
        return apply_undated_update(state, link_id, message, now)
    return apply_update(state, link_id, message, now)


@handles(LinkOpened, needs=UpdateFeed)
def on_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """Subscribe to the relay whose link opens first, which is the nearest."""
    feed = state.component(UpdateFeed)
    if not event.outgoing:
        return []
    request = make_request(state)
    if event.link_id in feed.peer_relays_:
        on_peer_heard(feed, event.link_id, now)
        return [SendPeer(event.link_id, request)]
    address = feed.opening_.pop(event.link_id, None)
    if address is None:
        # Another link opened first.
        return [CloseLink(event.link_id)]
    others = feed.disconnect_relay(now)
    feed.relay_link_id_ = event.link_id
    feed.relay_address_ = address
    feed.relay_state_ = UpstreamState.ASKED
    return [SendPeer(event.link_id, request), *map(CloseLink, others)]


@handles(LinkClosed, needs=UpdateFeed)
def on_closed(state: HostState, event: LinkClosed, now: float) -> list[Effect]:
    """Remove a subscriber, or drop the relay; the next tick connects to another."""
    feed = state.component(UpdateFeed)
    feed.subscribers_.discard(event.link_id)
    feed.relay_subscribers_.discard(event.link_id)
    feed.older_subscribers_.discard(event.link_id)
    feed.forget_peer(event.link_id)
    effects = on_reported(state, event.link_id, (), now)
    if feed.opening_.pop(event.link_id, None) is not None:
        if not feed.opening_ and feed.relay_state_ is UpstreamState.OPENING:
            feed.relay_state_ = UpstreamState.NONE
        return effects
    if event.link_id != feed.relay_link_id_:
        return effects
    feed.disconnect_relay(now, feed.relay_address_)
    fields = {"address": event.address, "detail": event.detail}
    return [*effects, LogEvent(log_events.RELAY_LOST, fields)]


@handles(Tick, needs=UpdateFeed)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Send heartbeats, maintain links, and start or stop following the store."""
    feed = state.component(UpdateFeed)
    if feed.started_at_ is None:
        feed.started_at_ = now
    effects = use_stale_snapshot(state, now)
    effects += _heartbeats(state, now)
    effects += check_peer_links(state, now)
    effects += _maintain_links(state, now)
    effects += _report_delegate(state, now)
    if feed.is_relay:
        effects += choose_narrow(state, now)
    should_follow = feed.must_follow_store(now)
    if should_follow != feed.follows_store_:
        feed.follows_store_ = should_follow
        feed.follow_changed_at_ = now
        age_s = feed.age_s(now)
        fields = {
            "source": "store" if should_follow else "relay",
            "age_s": None if age_s == float("inf") else round(age_s, 2),
        }
        effects.append(LogEvent(log_events.SOURCE_CHANGED, fields))
        effects.append(FollowStore(should_follow, feed.is_relay))
    return effects


def _report_delegate(state: HostState, now: float) -> list[Effect]:
    """Announce that this host became a delegate, or that it is one no longer."""
    feed = state.component(UpdateFeed)
    is_delegate = own_delegate(state) is not None
    if is_delegate == feed.has_reported_:
        return []
    if feed.is_relay:
        feed.has_reported_ = is_delegate
        return broadcast_delegates(state, now)
    if feed.relay_state_ is not UpstreamState.SYNCED:
        return []
    feed.has_reported_ = is_delegate
    return [SendPeer(feed.relay_link_id_, make_request(state))]


def _heartbeats(state: HostState, now: float) -> list[Effect]:
    """Return the heartbeats to all subscribers if they are due."""
    feed = state.component(UpdateFeed)
    if (
        not feed.subscribers_
        or state.component(ReplicaRegistry).position_ is None
        or now - feed.heartbeat_sent_at_ < HEARTBEAT_INTERVAL_S
    ):
        return []
    feed.heartbeat_sent_at_ = now
    age_s = feed.age_s(now)
    if age_s > STALE_S:
        # Without heartbeats the subscribers switch to another relay or to the store.
        return []
    heartbeat = make_heartbeat(state, now)
    # Without a reachable peer relay, no heartbeat tells this relay the size.
    record_fleet_size(state, heartbeat.n_hosts, now)
    return [SendPeer(link_id, heartbeat) for link_id in feed.subscribers_]


def _connect_peer_relays(state: HostState) -> list[Effect]:
    """Open links to the other relays that are neither linked nor being connected."""
    feed = state.component(UpdateFeed)
    connected = set(feed.peer_relays_.values())
    effects: list[Effect] = []
    for address in feed.seeds:
        if address != feed.address and address not in connected:
            link_id = state.next_id()
            feed.peer_relays_[link_id] = address
            effects.append(OpenLink(link_id, address))
    return effects


def _maintain_links(state: HostState, now: float) -> list[Effect]:
    """Open links to relays, or drop the relay in use if it is silent or outdated."""
    feed = state.component(UpdateFeed)
    if feed.is_relay and now - feed.relays_checked_at_ >= RELAY_CONNECT_INTERVAL_S:
        feed.relays_checked_at_ = now
        return _connect_peer_relays(state)
    if feed.relay_state_ is UpstreamState.NONE:
        if not feed.needs_relay():
            return []
        feed.connecting_since_ = now
        for address in feed.relay_candidates(now):
            feed.opening_[state.next_id()] = address
        if feed.opening_:
            feed.relay_state_ = UpstreamState.OPENING
        return [
            OpenLink(link_id, address) for link_id, address in feed.opening_.items()
        ]
    if feed.relay_state_ is UpstreamState.SYNCED:
        # New settings may have made this host a relay.
        must_disconnect = feed.age_s(now) > STALE_S or feed.is_relay
    else:
        must_disconnect = now - feed.connecting_since_ > OPEN_TIMEOUT_S
    if not must_disconnect:
        return []
    fields = {
        "address": feed.relay_address_,
        "state": str(feed.relay_state_),
        "age_s": round(now - feed.connecting_since_, 2),
    }
    failed = None if feed.relay_state_ is UpstreamState.OPENING else feed.relay_address_
    links = feed.disconnect_relay(now, failed)
    return [*map(CloseLink, links), LogEvent(log_events.RELAY_LEFT, fields)]
