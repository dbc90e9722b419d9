"""Reducer handlers of the configuration spread."""

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
from jackdawsill.spread._manifest import MANIFEST_KEY
from jackdawsill.spread._messages import (
    GenerationNotice,
    ManifestReply,
    ManifestRequest,
    ValueChunk,
    ValueRequest,
)
from jackdawsill.spread._serving import manifest_part, repair, value_part
from jackdawsill.spread._spread import ConfigSync

N_WATCHERS = 3  # in each failure domain

Answer = Callable[[HostState, ConfigSync, int, PeerMessage, float], list[Effect]]


def _active_spread(state: HostState) -> ConfigSync | None:
    """Return the attached spread if it can check sets."""
    spread = state.components_.get(ConfigSync)
    return spread if spread is not None and spread.load_bundle is not None else None


def watchers(members: tuple[Member, ...], failure_domain: str) -> list[Member]:
    """Return the hosts of a failure domain that watch the manifest."""
    near = [m for m in members if m.failure_domain == failure_domain]
    near.sort(key=lambda m: rendezvous_score("watch", m.incarnation))
    return near[:N_WATCHERS]


def _is_watcher(spread: ConfigSync, table: MemberTable) -> bool:
    reader = spread.service_
    if reader.watcher_version_ != table.version_:
        own = table.self_member
        reader.watcher_version_ = table.version_
        reader.watcher_ = own in watchers(table.live_members(), own.failure_domain)
    return reader.watcher_


def _publish(
    state: HostState, spread: ConfigSync, effects: list[Effect]
) -> list[Effect]:
    """Put an accepted set in force and tell all peers of it."""
    table = state.components_.get(MemberTable)
    accepted = spread.accepted_ is not None and state.objects_ is not spread.accepted_
    if accepted:
        state.objects_ = spread.accepted_
    if table is not None:
        table.advertised_ = AdvertisedGeneration(
            spread.generation_, spread.digest_, spread.confirmed_
        )
        if accepted:
            notice = GenerationNotice(spread.generation_, spread.digest_)
            effects = [*table.broadcast(notice), *effects]
    return effects


@handles(Tick, needs=ConfigSync)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Read the service, retry the pull and check whether the host has joined."""
    spread = _active_spread(state)
    if spread is None:
        return []
    table = state.components_.get(MemberTable)
    n_hosts, watcher = 1, True
    if table is not None:
        n_hosts = len(table.live_members())
        watcher = _is_watcher(spread, table)
    urgent = not spread.confirmed_
    effects = spread.service_.run(watcher, urgent, n_hosts, state.rng, now)
    effects += spread.step(state.rng, now)
    effects += spread.update_joined(now)
    return _publish(state, spread, effects)


@handles(PauseDetected, needs=ConfigSync)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Mark the generation unconfirmed."""
    spread = _active_spread(state)
    if spread is not None:
        spread.on_pause(now)
    return []


@handles(HostListRead, needs=ConfigSync)
def on_host_list(state: HostState, event: HostListRead, now: float) -> list[Effect]:
    """Take in the failure domains in which peers can be expected."""
    spread, table = _active_spread(state), state.components_.get(MemberTable)
    if spread is not None and table is not None:
        own = table.self_member.address
        others = [e for e in event.entries if not e.leaving and e.address != own]
        spread.join_state_.on_list({e.failure_domain for e in others})
    return []


@handles(ConfigRead, needs=ConfigSync)
def on_config_read(state: HostState, event: ConfigRead, now: float) -> list[Effect]:
    """Take in the manifest or a value."""
    spread = _active_spread(state)
    if spread is None:
        return []
    if event.key == MANIFEST_KEY:
        effects = spread.on_service_manifest(event.value, event.version, state.rng, now)
    else:
        effects = spread.on_service_value(event.key, event.value, state.rng, now)
    return _publish(state, spread, effects)


@handles(ConfigReadFailed, needs=ConfigSync)
def on_config_failed(
    state: HostState, event: ConfigReadFailed, now: float
) -> list[Effect]:
    """Take in that the service did not answer."""
    spread = _active_spread(state)
    if spread is None:
        return []
    if event.key == MANIFEST_KEY:
        return spread.service_.on_failed(event.detail, state.rng, now)
    return spread.on_service_failed(event.key, event.detail, now)


@handles(PeerDown, needs=ConfigSync)
def on_peer_down(state: HostState, event: PeerDown, now: float) -> list[Effect]:
    """Forget what a closed link offered."""
    spread = _active_spread(state)
    if spread is None:
        return []
    return _publish(state, spread, spread.drop_source(event.link_id, state.rng, now))


@handles(PeerMessageRead, needs=ConfigSync)
def on_peer_message(
    state: HostState, event: PeerMessageRead, now: float
) -> list[Effect]:
    """Answer the messages that carry generations, manifests and values."""
    spread = _active_spread(state)
    answer = ANSWERS.get(type(event.message))
    if spread is None or answer is None:
        return []
    effects = answer(state, spread, event.link_id, event.message, now)
    return _publish(state, spread, effects)


def _on_notice(
    state: HostState,
    spread: ConfigSync,
    link_id: int,
    message: GenerationNotice,
    now: float,
) -> list[Effect]:
    effects = spread.on_offer(
        link_id, message.generation, message.digest, state.rng, now
    )
    return repair(spread, link_id, message.generation) + effects


def _on_digest_offer(
    state: HostState,
    spread: ConfigSync,
    link_id: int,
    message: DigestOffer,
    now: float,
) -> list[Effect]:
    # The reply of membership tells a peer with a lower generation of the higher one.
    return spread.on_offer(
        link_id, message.generation, message.set_digest, state.rng, now
    )


def _on_digest_reply(
    state: HostState,
    spread: ConfigSync,
    link_id: int,
    message: DigestReply,
    now: float,
) -> list[Effect]:
    table = state.component(MemberTable)
    link = table.link_table_.links_.get(link_id)
    member = None if link is None else table.members_.get(link.peer)
    if member is not None:
        spread.join_state_.domains_.add(member.failure_domain)
    effects = spread.on_offer(
        link_id, message.generation, message.set_digest, state.rng, now
    )
    if message.n_pauses == table.n_pauses_:
        effects += spread.on_fresh_answer(
            link_id, message.generation, message.confirmed, len(table.links_), now
        )
    return effects


ANSWERS: dict[type[PeerMessage], Answer] = {
    GenerationNotice: _on_notice,
    DigestOffer: _on_digest_offer,
    DigestReply: _on_digest_reply,
    ManifestRequest: lambda state, spread, link_id, message, now: [
        SendPeer(link_id, manifest_part(spread, message))
    ],
    ValueRequest: lambda state, spread, link_id, message, now: [
        SendPeer(link_id, value_part(spread, message))
    ],
    ManifestReply: lambda state, spread, link_id, message, now: spread.on_manifest_part(
        link_id, message, state.rng, now
    ),
    ValueChunk: lambda state, spread, link_id, message, now: spread.on_value_part(
        link_id, message, state.rng, now
    ),
}
