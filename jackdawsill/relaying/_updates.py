"""Updates: their construction, and their application on the receiving host."""

import msgspec

from jackdawsill.core import (
    CloseLink,
    Effect,
    EmitEvent,
    HostState,
    LogEvent,
    SendPeer,
)
from jackdawsill.forwarding import (
    PEER,
    STORE_START,
    FleetSize,
    ReplicaEntry,
    ReplicaRegistry,
    ReplicasChanged,
    ReplicasListed,
    RouteCatalog,
    RoutesRead,
    StorePosition,
    usable_entries,
)
from jackdawsill.relaying import _log_events as log_events
from jackdawsill.relaying._feed import STALE_S, UpdateFeed, UpstreamState
from jackdawsill.relaying._helpers import own_delegate
from jackdawsill.relaying._messages import (
    NewsBeat,
    NewsChange,
    NewsSnapshot,
    NewsWanted,
)
from jackdawsill.relaying._route_codec import (
    PackedRoutes,
    RoutesInvalid,
    unpack_routes,
)

# Stands for an unknown age of the state, which is infinite.
UNKNOWN_AGE_S = 1e6


def record_fleet_size(state: HostState, n_hosts: int, now: float) -> None:
    """Record the number of hosts, by which fleet-wide limits are divided."""
    if n_hosts:
        state.component(FleetSize).record_count(n_hosts, now)


def apply_update(
    state: HostState, link_id: int, message: object, now: float
) -> list[Effect]:
    """Apply an update received on a link.

    Requests a snapshot if the update follows a change that was missed.
    """
    feed = state.component(UpdateFeed)
    if isinstance(message, NewsSnapshot):
        effects = _apply_snapshot(state, link_id, message, now)
    elif isinstance(message, NewsChange):
        known = state.component(ReplicaRegistry).position_
        is_behind = known is not None and message.base_position > known
        if is_behind or _lacks_base(state, message.routes):
            effects = _read_routes(state, link_id, message.routes)
            return [*effects, _request_snapshot(state, link_id)]
        effects = _apply_change(state, link_id, message)
    elif isinstance(message, NewsBeat):
        if _is_lacking(state, message):
            feed.snapshot_requested_at_ = message.position
            return [_request_snapshot(state, link_id)]
        _advance_position(state, link_id, message)
        effects = []
    else:
        return []
    known = state.component(ReplicaRegistry).position_
    is_from_ended_era = known is not None and message.position.era < known.era
    if message.age_s <= STALE_S and not is_from_ended_era:
        if link_id == feed.relay_link_id_:
            feed.relay_state_ = UpstreamState.SYNCED
        feed.confirm(now - message.age_s)
    return effects


def _apply_snapshot(
    state: HostState, link_id: int, message: NewsSnapshot, now: float
) -> list[Effect]:
    """Apply a snapshot, or set it aside if it is old and this host has just started."""
    feed = state.component(UpdateFeed)
    known = state.component(ReplicaRegistry).position_
    was_requested = link_id == feed.relay_link_id_ and feed.awaits_snapshot_
    if link_id == feed.relay_link_id_:
        feed.awaits_snapshot_ = False
    is_old = known is None and message.age_s > STALE_S
    if is_old and feed.waits_for_current_state(now):
        # After a restart, old state may name what has been withdrawn since.
        if message.revision:
            feed.keep_stale(message)
        if link_id != feed.relay_link_id_:
            return []
        return list(map(CloseLink, feed.disconnect_relay(now, feed.relay_address_)))
    effects = _read_routes(state, link_id, message.routes)
    # Revision 0 means that the sender has no replicas from the store yet.
    position = message.position
    is_newer = message.revision > 0 and (known is None or position > known)
    if is_newer or (was_requested and position == known):
        entries = _check_entries(link_id, message.entries, effects)
        listed = ReplicasListed(entries, position, PEER, message.lapsed)
        effects.append(EmitEvent(listed))
    elif known is not None and position < known:
        effects.append(_log_dropped(link_id, position, known))
    return effects


def _check_entries(
    link_id: int, entries: tuple[ReplicaEntry, ...], effects: list[Effect]
) -> tuple[ReplicaEntry, ...]:
    """Return the entries within bounds; log the others."""
    usable, reasons = usable_entries(entries)
    if reasons:
        fields = {"link_id": link_id, "n": len(reasons), "reasons": reasons[:5]}
        effects.append(LogEvent(log_events.ENTRIES_INVALID, fields))
    return usable


def _log_dropped(link_id: int, position: StorePosition, known: StorePosition):
    """Return the log line of an update that is older than what this host knows."""
    fields = {
        "link_id": link_id,
        "era": position.era,
        "revision": position.revision,
        "known_era": known.era,
        "known": known.revision,
    }
    return LogEvent(log_events.UPDATE_DROPPED, fields)


def use_stale_snapshot(state: HostState, now: float) -> list[Effect]:
    """Use old state once a started host has waited for current state in vain."""
    feed = state.component(UpdateFeed)
    snapshot = feed.stale_snapshot_
    if snapshot is None:
        return []
    if state.component(ReplicaRegistry).position_ is not None:
        feed.stale_snapshot_ = None
        return []
    if feed.waits_for_current_state(now):
        return []
    feed.stale_snapshot_ = None
    return _apply_snapshot(state, 0, snapshot, now)


def _read_routes(
    state: HostState, link_id: int, packed: PackedRoutes | None
) -> list[Effect]:
    """Read newer routes, unless they change a version that is not known here."""
    catalog = state.component(RouteCatalog)
    if packed is None or packed.version <= catalog.version:
        return []
    try:
        routes = unpack_routes(packed, catalog.routes_)
    except RoutesInvalid as exc:
        fields = {"link_id": link_id, "version": packed.version, "detail": str(exc)}
        return [LogEvent(log_events.ROUTES_INVALID, fields), CloseLink(link_id)]
    return [] if routes is None else [EmitEvent(RoutesRead(routes, PEER))]


def _lacks_base(state: HostState, packed: PackedRoutes | None) -> bool:
    """Return whether newer routes change a version that is not known here."""
    version = state.component(RouteCatalog).version
    return (
        packed is not None
        and packed.version > version
        and packed.base not in (0, version)
    )


def _apply_change(state: HostState, link_id: int, message: NewsChange) -> list[Effect]:
    """Apply a change that follows what this host knows."""
    registry = state.component(ReplicaRegistry)
    known = registry.position_
    effects = _read_routes(state, link_id, message.routes)
    if known is None:
        return effects
    position = message.position
    # Removals of expired entries have no new revision; they are new if an entry is
    # still present or held back. Entries that may have lapsed stay present for a
    # while, so relays would send their removal to each other without end. A sender that
    # is behind may have missed that they were written again.
    is_expired = (
        not message.may_lapse
        and position == known
        and any(
            name in registry.replicas_ or name in registry.retired.held_back_
            for name in message.removed
        )
    )
    # Entries that a host has held back have no new revision either when it uses them.
    is_released = position == known and not all(
        registry.is_listed(entry.name) for entry in message.written
    )
    if position > known or is_expired or is_released:
        change = ReplicasChanged(
            _check_entries(link_id, message.written, effects),
            message.removed,
            max(position, known),
            PEER,
            known,
            message.may_lapse,
        )
        effects.append(EmitEvent(change))
    elif (message.written or message.removed) and position < known:
        effects.append(_log_dropped(link_id, position, known))
    return effects


def _is_lacking(state: HostState, message: NewsBeat) -> bool:
    """Return whether the sender of a heartbeat has updates that this host lacks."""
    if message.version > state.component(RouteCatalog).version:
        return True
    registry = state.component(ReplicaRegistry)
    known = registry.position_
    if message.digest is None or known is None or message.position < known:
        return False
    # Asked once for each position; hosts may differ for good in what they keep.
    feed = state.component(UpdateFeed)
    is_known = feed.snapshot_requested_at_ == message.position
    return message.digest != registry.digest and not is_known


def _advance_position(state: HostState, link_id: int, message: NewsBeat) -> None:
    """Take over the position of a heartbeat of the relay in use."""
    feed = state.component(UpdateFeed)
    registry = state.component(ReplicaRegistry)
    # All earlier changes came on the same link, unless one was missed.
    is_in_sequence = (
        feed.relay_state_ is UpstreamState.SYNCED and link_id == feed.relay_link_id_
    )
    if is_in_sequence and not feed.awaits_snapshot_:
        registry.advance(message.position)


def _request_snapshot(state: HostState, link_id: int) -> SendPeer:
    """Return the request for a snapshot; a stated revision of 0 differs from any."""
    feed = state.component(UpdateFeed)
    if link_id == feed.relay_link_id_:
        feed.awaits_snapshot_ = True
    return SendPeer(link_id, make_request(state, STORE_START))


def make_request(state: HostState, position: StorePosition | None = None) -> NewsWanted:
    """Return a subscription that states what this host has, or another position."""
    position = position or state.component(ReplicaRegistry).known_position
    return NewsWanted(
        state.component(RouteCatalog).version,
        position.revision,
        state.component(UpdateFeed).is_relay,
        own_delegate(state),
        era=position.era,
    )


def make_heartbeat(state: HostState, now: float) -> NewsBeat:
    """Return a heartbeat that states what this host has."""
    feed = state.component(UpdateFeed)
    position = state.component(ReplicaRegistry).known_position
    return NewsBeat(
        position.revision,
        feed.age_s(now),
        feed.n_subscribers,
        feed.fleet_size(now),
        state.component(RouteCatalog).version,
        state.component(ReplicaRegistry).digest,
        era=position.era,
    )


def broadcast_change(state: HostState, change: NewsChange, now: float) -> list[Effect]:
    """Send a change to all subscribers with this host's era and age."""
    feed = state.component(UpdateFeed)
    if not feed.subscribers_:
        return []
    message = msgspec.structs.replace(
        change,
        era=state.component(ReplicaRegistry).known_position.era,
        age_s=min(feed.age_s(now), UNKNOWN_AGE_S),
    )
    return [SendPeer(link_id, message) for link_id in feed.subscribers_]


def make_snapshot(state: HostState, now: float) -> NewsSnapshot:
    """Return all routes and replicas of this host."""
    registry = state.component(ReplicaRegistry)
    entries = tuple(replica.entry for replica in registry.replicas_.values())
    feed = state.component(UpdateFeed)
    age_s = min(feed.age_s(now), UNKNOWN_AGE_S)
    routes = feed.pack_all(state.component(RouteCatalog).routes_)
    position = registry.known_position
    return NewsSnapshot(
        routes,
        entries,
        position.revision,
        age_s,
        registry.lapsed_names,
        era=position.era,
    )
