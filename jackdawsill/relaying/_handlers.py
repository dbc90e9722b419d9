"""Relaying of news between hosts, and the change between sources."""

from jackdawsill.core import (
    CloseLink,
    Effect,
    HostState,
    LinkClosed,
    LinkOpened,
    LogEvent,
    OpenLink,
    PeerMessageRead,
    Raise,
    SendPeer,
    Tick,
    handles,
)
from jackdawsill.forwarding import (
    PEER,
    ReplicaRegistry,
    ReplicasChanged,
    ReplicasExpired,
    ReplicasListed,
    RouteCatalog,
    RoutesRead,
    StoreConfirmed,
)
from jackdawsill.relaying import _log_events as log_events
from jackdawsill.relaying._effects import FollowStore
from jackdawsill.relaying._feed import (
    BEAT_S,
    OPEN_LIMIT_S,
    STALE_S,
    NewsFeed,
    Upstream,
)
from jackdawsill.relaying._messages import (
    NewsBeat,
    NewsChange,
    NewsSnapshot,
    NewsWanted,
)


@handles(StoreConfirmed, needs=NewsFeed)
def on_confirmed(state: HostState, event: StoreConfirmed, now: float) -> list[Effect]:
    """Note that the store has just told all there is."""
    state.part(NewsFeed).confirm(now)
    return []


@handles(RoutesRead, needs=NewsFeed)
def on_routes(state: HostState, event: RoutesRead, now: float) -> list[Effect]:
    """Relay a configuration that has come into force."""
    if state.part(RouteCatalog).routes_ is not event.routes:
        return []
    return _broadcast(state, NewsChange(event.routes, (), (), 0, 0, 0.0, False), now)


@handles(ReplicasChanged, needs=NewsFeed)
def on_changed(state: HostState, event: ReplicasChanged, now: float) -> list[Effect]:
    """Relay changes of replicas."""
    change = NewsChange(
        None,
        event.written,
        event.removed,
        event.base,
        event.revision,
        0.0,
        state.part(ReplicaRegistry).may_lapse_,
    )
    return _broadcast(state, change, now)


@handles(ReplicasExpired, needs=NewsFeed)
def on_expired(state: HostState, event: ReplicasExpired, now: float) -> list[Effect]:
    """Relay that replicas did not come back."""
    revision = state.part(ReplicaRegistry).revision_ or 0
    change = NewsChange(None, (), event.names, revision, revision, 0.0, False)
    return _broadcast(state, change, now)


@handles(ReplicasListed, needs=NewsFeed)
def on_listed(state: HostState, event: ReplicasListed, now: float) -> list[Effect]:
    """Relay a complete list, which may hide any change."""
    feed = state.part(NewsFeed)
    message = _snapshot(state, now)
    return [SendPeer(link_id, message) for link_id in feed.subscribers_]


@handles(PeerMessageRead, needs=NewsFeed)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Serve a subscriber, or learn from a relay."""
    feed = state.part(NewsFeed)
    message = event.message
    if isinstance(message, NewsWanted):
        feed.subscribers_.add(event.link_id)
        known = state.part(ReplicaRegistry).revision_
        version = state.part(RouteCatalog).version
        if known == message.revision and version == message.version:
            return [SendPeer(event.link_id, NewsBeat(known, feed.age_s(now)))]
        return [SendPeer(event.link_id, _snapshot(state, now))]
    if event.link_id != feed.link_id_:
        return []
    return _learn(state, message, now)


def _learn(state: HostState, message: object, now: float) -> list[Effect]:
    """Apply the news of a relay."""
    feed = state.part(NewsFeed)
    registry = state.part(ReplicaRegistry)
    known = registry.revision_
    effects: list[Effect] = []
    if isinstance(message, NewsSnapshot):
        if message.routes is not None:
            effects.append(Raise(RoutesRead(message.routes, PEER)))
        if known is None or message.revision > known:
            entries = message.entries
            effects.append(Raise(ReplicasListed(entries, message.revision, PEER)))
    elif isinstance(message, NewsChange):
        if message.routes is not None:
            effects.append(Raise(RoutesRead(message.routes, PEER)))
        if known is not None and message.base > known:
            # A change was missed; the answer is a snapshot.
            version = state.part(RouteCatalog).version
            return [SendPeer(feed.link_id_, NewsWanted(version, known))]
        if message.written or message.removed:
            change = ReplicasChanged(
                message.written,
                message.removed,
                max(message.revision, known or 0),
                PEER,
                known or 0,
                message.may_lapse,
            )
            effects.append(Raise(change))
    elif isinstance(message, NewsBeat):
        # All changes before it came on the same link.
        if known is not None and feed.upstream_ is Upstream.SYNCED:
            registry.revision_ = max(known, message.revision)
    else:
        return []
    if message.age_s <= STALE_S:
        feed.upstream_ = Upstream.SYNCED
        feed.confirm(now - message.age_s)
    return effects


@handles(LinkOpened, needs=NewsFeed)
def on_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """Ask a relay for its news."""
    feed = state.part(NewsFeed)
    if not event.outgoing or event.link_id != feed.link_id_:
        return []
    feed.upstream_ = Upstream.ASKED
    version = state.part(RouteCatalog).version
    revision = state.part(ReplicaRegistry).revision_
    return [SendPeer(event.link_id, NewsWanted(version, revision or 0))]


@handles(LinkClosed, needs=NewsFeed)
def on_closed(state: HostState, event: LinkClosed, now: float) -> list[Effect]:
    """Forget a subscriber, or try another relay at the next tick."""
    feed = state.part(NewsFeed)
    feed.subscribers_.discard(event.link_id)
    if event.link_id != feed.link_id_:
        return []
    was_synced = feed.upstream_ is Upstream.SYNCED
    feed.upstream_ = Upstream.NONE
    feed.link_id_ = 0
    if not was_synced:
        return []
    fields = {"address": event.address, "detail": event.detail}
    return [LogEvent(log_events.RELAY_LOST, fields)]


@handles(Tick, needs=NewsFeed)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Send signs of life, and change the source when the news grows old."""
    feed = state.part(NewsFeed)
    if feed.started_at_ is None:
        feed.started_at_ = now
    effects = _beats(state, now)
    effects += _upkeep(state, now)
    must = feed.must_follow_store(now)
    if must != feed.is_direct_:
        feed.is_direct_ = must
        feed.direct_since_ = now
        age_s = feed.age_s(now)
        fields = {
            "source": "store" if must else "relay",
            "age_s": None if age_s == float("inf") else round(age_s, 2),
        }
        effects.append(LogEvent(log_events.SOURCE_CHANGED, fields))
        effects.append(FollowStore(must, feed.is_relay))
    return effects


def _beats(state: HostState, now: float) -> list[Effect]:
    feed = state.part(NewsFeed)
    revision = state.part(ReplicaRegistry).revision_
    if not feed.subscribers_ or revision is None or now - feed.sent_beat_at_ < BEAT_S:
        return []
    feed.sent_beat_at_ = now
    age_s = feed.age_s(now)
    if age_s > STALE_S:
        # Silence tells the subscribers to learn elsewhere.
        return []
    beat = NewsBeat(revision, age_s)
    return [SendPeer(link_id, beat) for link_id in feed.subscribers_]


def _upkeep(state: HostState, now: float) -> list[Effect]:
    """Open a link to a relay, or leave one whose news is old."""
    feed = state.part(NewsFeed)
    if feed.upstream_ is Upstream.NONE:
        if not feed.wants_upstream(now):
            return []
        seed = feed.next_seed()
        if seed is None:
            return []
        feed.link_id_ = state.next_id()
        feed.upstream_ = Upstream.OPENING
        feed.opened_at_ = now
        return [OpenLink(feed.link_id_, seed)]
    if feed.upstream_ is Upstream.SYNCED:
        is_useless = feed.age_s(now) > STALE_S or feed.is_relay
    else:
        is_useless = now - feed.opened_at_ > OPEN_LIMIT_S
    if not is_useless:
        return []
    link_id = feed.link_id_
    fields = {"state": str(feed.upstream_), "age_s": round(now - feed.opened_at_, 2)}
    feed.upstream_ = Upstream.NONE
    feed.link_id_ = 0
    return [CloseLink(link_id), LogEvent(log_events.RELAY_LEFT, fields)]


def _broadcast(state: HostState, change: NewsChange, now: float) -> list[Effect]:
    feed = state.part(NewsFeed)
    if not feed.subscribers_:
        return []
    age_s = min(feed.age_s(now), STALE_S)
    message = NewsChange(
        change.routes,
        change.written,
        change.removed,
        change.base,
        change.revision,
        age_s,
        change.may_lapse,
    )
    return [SendPeer(link_id, message) for link_id in feed.subscribers_]


def _snapshot(state: HostState, now: float) -> NewsSnapshot:
    registry = state.part(ReplicaRegistry)
    entries = tuple(replica.entry for replica in registry.replicas_.values())
    age_s = min(state.part(NewsFeed).age_s(now), 1e6)
    return NewsSnapshot(
        state.part(RouteCatalog).routes_, entries, registry.revision_ or 0, age_s
    )
