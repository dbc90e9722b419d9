"""Relaying of news between hosts, and the change between sources."""

from jackdawsill.core import (
    CloseLink,
    Effect,
    EmitEvent,
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
    PEER,
    DelegateTable,
    FleetSize,
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
    BEAT_S,
    MEET_S,
    OPEN_LIMIT_S,
    STALE_S,
    UpdateFeed,
    UpstreamState,
)
from jackdawsill.relaying._helpers import (
    on_offer,
    own_offer,
    tell_helpers,
    tell_subscriber,
)
from jackdawsill.relaying._messages import (
    CrashNotice,
    NewsBeat,
    NewsChange,
    NewsHelpers,
    NewsSnapshot,
    NewsWanted,
)


@handles(StoreConfirmed, needs=UpdateFeed)
def on_confirmed(state: HostState, event: StoreConfirmed, now: float) -> list[Effect]:
    """Note that the store has just told all there is."""
    state.component(UpdateFeed).confirm(now)
    return []


@handles(RoutesRead, needs=UpdateFeed)
def on_routes(state: HostState, event: RoutesRead, now: float) -> list[Effect]:
    """Relay a configuration that has come into force."""
    if state.component(RouteCatalog).routes_ is not event.routes:
        return []
    return _broadcast(state, NewsChange(event.routes, (), (), 0, 0, 0.0, False), now)


@handles(ReplicasChanged, needs=UpdateFeed)
def on_changed(state: HostState, event: ReplicasChanged, now: float) -> list[Effect]:
    """Relay changes of replicas."""
    change = NewsChange(
        None,
        event.written,
        event.removed,
        event.base,
        event.revision,
        0.0,
        state.component(ReplicaRegistry).may_lapse_,
    )
    return _broadcast(state, change, now)


@handles(ReplicasExpired, needs=UpdateFeed)
def on_expired(state: HostState, event: ReplicasExpired, now: float) -> list[Effect]:
    """Relay that replicas did not come back."""
    revision = state.component(ReplicaRegistry).revision_ or 0
    change = NewsChange(None, (), event.names, revision, revision, 0.0, False)
    return _broadcast(state, change, now)


@handles(ReplicasListed, needs=UpdateFeed)
def on_listed(state: HostState, event: ReplicasListed, now: float) -> list[Effect]:
    """Relay a complete list, which may hide any change."""
    feed = state.component(UpdateFeed)
    message = _snapshot(state, now)
    return [SendPeer(link_id, message) for link_id in feed.subscribers_]


@handles(PeerMessageRead, needs=UpdateFeed)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Serve a subscriber, or learn from a relay."""
    feed = state.component(UpdateFeed)
    message = event.message
    if isinstance(message, NewsWanted):
        feed.subscribers_.add(event.link_id)
        if message.is_relay:
            feed.relay_subscribers_.add(event.link_id)
        # Relays tell each other of their helpers, their own offers included.
        is_direct = message.offer is not None and not message.is_relay
        offered = (message.offer,) if is_direct else ()
        effects = on_offer(state, event.link_id, offered, now)
        known = state.component(ReplicaRegistry).revision_
        version = state.component(RouteCatalog).version
        if known == message.revision and version == message.version:
            return [*effects, SendPeer(event.link_id, _beat(state, known, now))]
        effects.append(SendPeer(event.link_id, _snapshot(state, now)))
        return [*effects, tell_subscriber(state, event.link_id)]
    if isinstance(message, CrashNotice):
        return on_notice(state, message)
    if isinstance(message, NewsHelpers):
        if event.link_id in feed.partners_:
            return on_offer(state, event.link_id, message.helpers, now)
        if event.link_id == feed.link_id_:
            state.component(DelegateTable).set_delegates(message.helpers, now)
        return []
    if event.link_id in feed.partners_:
        if isinstance(message, NewsBeat):
            feed.counts_[feed.partners_[event.link_id]] = message.n_subscribers
            _note_fleet_size(state, feed.n_hosts(), now)
        return _learn(state, event.link_id, message, now)
    if event.link_id != feed.link_id_:
        # A subscriber that reaches the store offers what this host lacks.
        is_offer = isinstance(message, NewsSnapshot)
        return _learn(state, event.link_id, message, now) if is_offer else []
    if isinstance(message, NewsBeat):
        _note_fleet_size(state, message.n_hosts, now)
    effects = _learn(state, event.link_id, message, now)
    age_s = getattr(message, "age_s", 0.0)
    if age_s > STALE_S and feed.is_direct_ and feed.age_s(now) <= STALE_S:
        # The relay does not reach the store, but this host does.
        effects.append(SendPeer(event.link_id, _snapshot(state, now)))
    return effects


def _note_fleet_size(state: HostState, n_hosts: int, now: float) -> None:
    """Tell the parts that share a bound with the whole fleet."""
    if n_hosts:
        state.component(FleetSize).record_count(n_hosts, now)


def _learn(state: HostState, link_id: int, message: object, now: float) -> list[Effect]:
    """Apply the news of a relay."""
    feed = state.component(UpdateFeed)
    registry = state.component(ReplicaRegistry)
    known = registry.revision_
    effects: list[Effect] = []
    if isinstance(message, NewsSnapshot):
        if link_id == feed.link_id_:
            feed.awaits_snapshot_ = False
        if message.routes is not None:
            effects.append(EmitEvent(RoutesRead(message.routes, PEER)))
        # A sender that has read nothing yet has revision 0.
        if message.revision > (known or 0):
            entries = message.entries
            effects.append(EmitEvent(ReplicasListed(entries, message.revision, PEER)))
    elif isinstance(message, NewsChange):
        if message.routes is not None:
            effects.append(EmitEvent(RoutesRead(message.routes, PEER)))
        if known is not None and message.base > known:
            # A change was missed; the answer is a snapshot.
            if link_id == feed.link_id_:
                feed.awaits_snapshot_ = True
            version = state.component(RouteCatalog).version
            wanted = NewsWanted(version, known, feed.is_relay, own_offer(state))
            return [SendPeer(link_id, wanted)]
        is_new = known is not None and message.revision > known
        # An expired entry is removed without a new revision. One that may have lapsed
        # is kept for a while, so it must not be passed on again and again.
        is_expired = not message.may_lapse and any(
            name in registry.replicas_ for name in message.removed
        )
        if is_new or is_expired:
            change = ReplicasChanged(
                message.written,
                message.removed,
                max(message.revision, known or 0),
                PEER,
                known or 0,
                message.may_lapse,
            )
            effects.append(EmitEvent(change))
    elif isinstance(message, NewsBeat):
        # All changes before it came on the same link, unless one was missed.
        is_synced = feed.upstream_ is UpstreamState.SYNCED and link_id == feed.link_id_
        if known is not None and is_synced and not feed.awaits_snapshot_:
            registry.revision_ = max(known, message.revision)
    else:
        return []
    if message.age_s <= STALE_S:
        if link_id == feed.link_id_:
            feed.upstream_ = UpstreamState.SYNCED
        feed.confirm(now - message.age_s)
    return effects


@handles(LinkOpened, needs=UpdateFeed)
def on_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """Ask the relay whose link opens first, which is the nearest, for its news."""
    feed = state.component(UpdateFeed)
    if not event.outgoing:
        return []
    version = state.component(RouteCatalog).version
    revision = state.component(ReplicaRegistry).revision_ or 0
    wanted = NewsWanted(version, revision, feed.is_relay, own_offer(state))
    if event.link_id in feed.partners_:
        return [SendPeer(event.link_id, wanted)]
    address = feed.opening_.pop(event.link_id, None)
    if address is None:
        # The race was over before this link was open.
        return [CloseLink(event.link_id)]
    others = feed.leave(now)
    feed.link_id_ = event.link_id
    feed.relay_ = address
    feed.upstream_ = UpstreamState.ASKED
    return [SendPeer(event.link_id, wanted), *map(CloseLink, others)]


@handles(LinkClosed, needs=UpdateFeed)
def on_closed(state: HostState, event: LinkClosed, now: float) -> list[Effect]:
    """Forget a subscriber, or try another relay at the next tick."""
    feed = state.component(UpdateFeed)
    feed.subscribers_.discard(event.link_id)
    feed.relay_subscribers_.discard(event.link_id)
    feed.partners_.pop(event.link_id, None)
    lost = on_offer(state, event.link_id, (), now)
    if feed.opening_.pop(event.link_id, None) is not None:
        if not feed.opening_ and feed.upstream_ is UpstreamState.OPENING:
            feed.upstream_ = UpstreamState.NONE
        return lost
    if event.link_id != feed.link_id_:
        return lost
    feed.leave(now, feed.relay_)
    fields = {"address": event.address, "detail": event.detail}
    return [*lost, LogEvent(log_events.RELAY_LOST, fields)]


@handles(Tick, needs=UpdateFeed)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Send signs of life, and change the source when the news grows old."""
    feed = state.component(UpdateFeed)
    if feed.started_at_ is None:
        feed.started_at_ = now
    effects = _beats(state, now)
    effects += _upkeep(state, now)
    effects += _offer(state, now)
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


def _offer(state: HostState, now: float) -> list[Effect]:
    """Offer to run fan-outs while the host is ready, and take the offer back."""
    feed = state.component(UpdateFeed)
    offers = own_offer(state) is not None
    if offers == feed.has_offered_:
        return []
    if feed.is_relay:
        feed.has_offered_ = offers
        return tell_helpers(state, now)
    if feed.upstream_ is not UpstreamState.SYNCED:
        return []
    feed.has_offered_ = offers
    version = state.component(RouteCatalog).version
    revision = state.component(ReplicaRegistry).revision_ or 0
    wanted = NewsWanted(version, revision, False, own_offer(state))
    return [SendPeer(feed.link_id_, wanted)]


def _beats(state: HostState, now: float) -> list[Effect]:
    feed = state.component(UpdateFeed)
    revision = state.component(ReplicaRegistry).revision_
    if not feed.subscribers_ or revision is None or now - feed.sent_beat_at_ < BEAT_S:
        return []
    feed.sent_beat_at_ = now
    age_s = feed.age_s(now)
    if age_s > STALE_S:
        # Silence tells the subscribers to learn elsewhere.
        return []
    beat = _beat(state, revision, now)
    return [SendPeer(link_id, beat) for link_id in feed.subscribers_]


def _beat(state: HostState, revision: int, now: float) -> NewsBeat:
    feed = state.component(UpdateFeed)
    return NewsBeat(revision, feed.age_s(now), feed.n_own, feed.n_hosts())


def _meet_partners(state: HostState) -> list[Effect]:
    """Open the links of a relay to the other relays, one attempt at a time."""
    feed = state.component(UpdateFeed)
    met = set(feed.partners_.values())
    effects: list[Effect] = []
    for address in feed.seeds:
        if address != feed.address and address not in met:
            link_id = state.next_id()
            feed.partners_[link_id] = address
            effects.append(OpenLink(link_id, address))
    return effects


def _upkeep(state: HostState, now: float) -> list[Effect]:
    """Open a link to a relay, or leave one whose news is old."""
    feed = state.component(UpdateFeed)
    if feed.is_relay and now - feed.met_at_ >= MEET_S:
        feed.met_at_ = now
        return _meet_partners(state)
    if feed.upstream_ is UpstreamState.NONE:
        if not feed.wants_upstream():
            return []
        feed.opened_at_ = now
        for address in feed.candidates(now):
            feed.opening_[state.next_id()] = address
        if feed.opening_:
            feed.upstream_ = UpstreamState.OPENING
        return [OpenLink(link_id, to) for link_id, to in feed.opening_.items()]
    if feed.upstream_ is UpstreamState.SYNCED:
        is_useless = feed.age_s(now) > STALE_S or feed.is_relay
    else:
        is_useless = now - feed.opened_at_ > OPEN_LIMIT_S
    if not is_useless:
        return []
    fields = {
        "address": feed.relay_,
        "state": str(feed.upstream_),
        "age_s": round(now - feed.opened_at_, 2),
    }
    avoided = None if feed.upstream_ is UpstreamState.OPENING else feed.relay_
    links = feed.leave(now, avoided)
    return [*map(CloseLink, links), LogEvent(log_events.RELAY_LEFT, fields)]


def _broadcast(state: HostState, change: NewsChange, now: float) -> list[Effect]:
    feed = state.component(UpdateFeed)
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
    registry = state.component(ReplicaRegistry)
    entries = tuple(replica.entry for replica in registry.replicas_.values())
    age_s = min(state.component(UpdateFeed).age_s(now), 1e6)
    return NewsSnapshot(
        state.component(RouteCatalog).routes_, entries, registry.revision_ or 0, age_s
    )
