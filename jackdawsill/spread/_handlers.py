"""Reducer handlers of the configuration distribution."""

from collections.abc import Callable

from jackdawsill.core import (
    ConfigRead,
    ConfigReadFailed,
    Effect,
    HostListRead,
    HostState,
    PauseDetected,
    PeerMessageRead,
    SendPeer,
    Tick,
    handles,
)
from jackdawsill.membership import (
    AdvertisedGeneration,
    DigestOffer,
    DigestReply,
    Member,
    MemberTable,
    PeerDown,
    rendezvous_score,
)
from jackdawsill.peers import PeerMessage
from jackdawsill.spread._config_sync import ConfigSync
from jackdawsill.spread._manifest import MANIFEST_KEY
from jackdawsill.spread._messages import (
    GenerationNotice,
    ManifestReply,
    ManifestRequest,
    ValueChunk,
    ValueRequest,
)
from jackdawsill.spread._serving import (
    manifest_chunk,
    notice_if_peer_outdated,
    value_chunk,
)

N_WATCHERS = 3  # in each failure domain

MessageHandler = Callable[
    [HostState, ConfigSync, int, PeerMessage, float], list[Effect]
]


def _active_sync(state: HostState) -> ConfigSync | None:
    """Return the attached component, or None if it has no `load_bundle`."""
    config_sync = state.components_.get(ConfigSync)
    return (
        config_sync
        if config_sync is not None and config_sync.load_bundle is not None
        else None
    )


def watchers(members: tuple[Member, ...], failure_domain: str) -> list[Member]:
    """Return the hosts of a failure domain that watch the manifest.

    The choice is by rendezvous hashing, so all hosts agree on it.
    """
    candidates = [m for m in members if m.failure_domain == failure_domain]
    candidates.sort(key=lambda m: rendezvous_score("watch", m.incarnation))
    return candidates[:N_WATCHERS]


def _is_watcher(config_sync: ConfigSync, table: MemberTable) -> bool:
    reader = config_sync.service_
    if reader.watcher_table_version_ != table.version_:
        own = table.self_member
        reader.watcher_table_version_ = table.version_
        reader.is_watcher_ = own in watchers(table.live_members(), own.failure_domain)
    return reader.is_watcher_


def _publish_state(
    state: HostState, config_sync: ConfigSync, effects: list[Effect]
) -> list[Effect]:
    """Update the advertised generation of the host.

    If a set was accepted, it becomes the object set of the host, and notices to all
    peers are put before `effects`.
    """
    table = state.components_.get(MemberTable)
    accepted = (
        config_sync.accepted_set_ is not None
        and state.objects_ is not config_sync.accepted_set_
    )
    if accepted:
        state.objects_ = config_sync.accepted_set_
    if table is not None:
        table.advertised_ = AdvertisedGeneration(
            config_sync.generation_, config_sync.digest_, config_sync.confirmed_
        )
        if accepted:
            notice = GenerationNotice(config_sync.generation_, config_sync.digest_)
            effects = [*table.broadcast(notice), *effects]
    return effects


@handles(Tick, needs=ConfigSync)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Read the service, continue the pull and check whether the host has joined."""
    config_sync = _active_sync(state)
    if config_sync is None:
        return []
    table = state.components_.get(MemberTable)
    n_hosts, watcher = 1, True
    if table is not None:
        n_hosts = len(table.live_members())
        watcher = _is_watcher(config_sync, table)
    urgent = not config_sync.confirmed_
    effects = config_sync.service_.due_reads(watcher, urgent, n_hosts, state.rng, now)
    effects += config_sync.advance_pull(state.rng, now)
    effects += config_sync.join_if_ready(now)
    return _publish_state(state, config_sync, effects)


@handles(PauseDetected, needs=ConfigSync)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Mark the generation unconfirmed after a process pause."""
    config_sync = _active_sync(state)
    if config_sync is not None:
        config_sync.on_pause(now)
    return []


@handles(HostListRead, needs=ConfigSync)
def on_host_list(state: HostState, event: HostListRead, now: float) -> list[Effect]:
    """Record the failure domains of the other hosts that are not leaving."""
    config_sync, table = _active_sync(state), state.components_.get(MemberTable)
    if config_sync is not None and table is not None:
        own = table.self_member.address
        others = [e for e in event.entries if not e.leaving and e.address != own]
        config_sync.join_state_.set_listed_domains({e.failure_domain for e in others})
    return []


@handles(ConfigRead, needs=ConfigSync)
def on_config_read(state: HostState, event: ConfigRead, now: float) -> list[Effect]:
    """Process a manifest or value read from the configuration service."""
    config_sync = _active_sync(state)
    if config_sync is None:
        return []
    if event.key == MANIFEST_KEY:
        effects = config_sync.on_service_manifest(
            event.value, event.version, state.rng, now
        )
    else:
        effects = config_sync.on_service_value(event.key, event.value, state.rng, now)
    return _publish_state(state, config_sync, effects)


@handles(ConfigReadFailed, needs=ConfigSync)
def on_config_failed(
    state: HostState, event: ConfigReadFailed, now: float
) -> list[Effect]:
    """Process a failed read of the configuration service."""
    config_sync = _active_sync(state)
    if config_sync is None:
        return []
    if event.key == MANIFEST_KEY:
        return config_sync.service_.on_failed(event.detail, state.rng, now)
    return config_sync.on_service_failed(event.key, event.detail, now)


@handles(PeerDown, needs=ConfigSync)
def on_peer_down(state: HostState, event: PeerDown, now: float) -> list[Effect]:
    """Remove the offer of a closed link."""
    config_sync = _active_sync(state)
    if config_sync is None:
        return []
    return _publish_state(
        state, config_sync, config_sync.remove_source(event.link_id, state.rng, now)
    )


@handles(PeerMessageRead, needs=ConfigSync)
def on_peer_message(
    state: HostState, event: PeerMessageRead, now: float
) -> list[Effect]:
    """Dispatch messages that carry generations, manifests and values."""
    config_sync = _active_sync(state)
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if config_sync is None or handler is None:
        return []
    effects = handler(state, config_sync, event.link_id, event.message, now)
    return _publish_state(state, config_sync, effects)


def _on_notice(
    state: HostState,
    config_sync: ConfigSync,
    link_id: int,
    message: GenerationNotice,
    now: float,
) -> list[Effect]:
    effects = config_sync.on_offer(
        link_id, message.generation, message.digest, state.rng, now
    )
    return notice_if_peer_outdated(config_sync, link_id, message.generation) + effects


def _on_digest_offer(
    state: HostState,
    config_sync: ConfigSync,
    link_id: int,
    message: DigestOffer,
    now: float,
) -> list[Effect]:
    # No notice is needed: the digest reply of membership carries this host's
    # generation to a peer with a lower one.
    return config_sync.on_offer(
        link_id, message.generation, message.set_digest, state.rng, now
    )


def _on_digest_reply(
    state: HostState,
    config_sync: ConfigSync,
    link_id: int,
    message: DigestReply,
    now: float,
) -> list[Effect]:
    table = state.component(MemberTable)
    link = table.link_table_.links_.get(link_id)
    member = None if link is None else table.members_.get(link.peer)
    if member is not None:
        config_sync.join_state_.answered_domains_.add(member.failure_domain)
    effects = config_sync.on_offer(
        link_id, message.generation, message.set_digest, state.rng, now
    )
    if message.n_pauses == table.n_pauses_:
        effects += config_sync.on_fresh_digest_reply(
            link_id, message.generation, message.confirmed, len(table.links_), now
        )
    return effects


MESSAGE_HANDLERS: dict[type[PeerMessage], MessageHandler] = {
    GenerationNotice: _on_notice,
    DigestOffer: _on_digest_offer,
    DigestReply: _on_digest_reply,
    ManifestRequest: lambda state, config_sync, link_id, message, now: [
        SendPeer(link_id, manifest_chunk(config_sync, message))
    ],
    ValueRequest: lambda state, config_sync, link_id, message, now: [
        SendPeer(link_id, value_chunk(config_sync, message))
    ],
    ManifestReply: lambda state, config_sync, link_id, message, now: (
        config_sync.on_manifest_chunk(link_id, message, state.rng, now)
    ),
    ValueChunk: lambda state, config_sync, link_id, message, now: (
        config_sync.on_value_chunk(link_id, message, state.rng, now)
    ),
}
