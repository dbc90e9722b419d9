"""Reducer handlers of membership."""

from jackdawsill.core import (
    Effect,
    EmitEvent,
    HostListRead,
    HostState,
    LinkClosed,
    LinkOpened,
    LogEvent,
    OpenLink,
    PauseDetected,
    PeerMessageRead,
    SendPeer,
    Tick,
    event_filter,
    handles,
)
from jackdawsill.membership import _log_events as log
from jackdawsill.membership._events import PeerDown
from jackdawsill.membership._exchange import ANSWERS, unregister
from jackdawsill.membership._links import LinkState, make_nonce
from jackdawsill.membership._messages import Hello, HelloProof
from jackdawsill.membership._table import MemberTable, check_member_table
from jackdawsill.membership._upkeep import Upkeep


def _active_table(state: HostState) -> MemberTable | None:
    """Return the attached table if it may open links."""
    table = state.components_.get(MemberTable)
    return table if table is not None and table.fleet_key else None


def _drain(table: MemberTable) -> list[Effect]:
    notes, table.notes_ = table.notes_, []
    return notes


def _upkeep(state: HostState) -> Upkeep:
    """Return the upkeep of the attached table; the first use checks the table."""
    upkeep = state.components_.get(Upkeep)
    if upkeep is None:
        check_member_table(state.component(MemberTable))
        upkeep = Upkeep()
        state.attach(upkeep)
    return upkeep


@event_filter(PeerMessageRead)
def lets_pass(state: HostState, event: PeerMessageRead, now: float) -> bool:
    """Keep messages of peers that did not prove themselves from all components."""
    table = _active_table(state)
    if table is None:
        return True
    link = table.link_table_.links_.get(event.link_id)
    if link is None:
        return False
    if link.state == LinkState.OPEN:
        return True
    handshake = isinstance(event.message, Hello | HelloProof)
    return handshake and link.state == LinkState.PENDING


@handles(Tick, needs=MemberTable)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Do the periodic work that is due."""
    table = _active_table(state)
    if table is None:
        return []
    effects = _upkeep(state).run(table, state.rng, state.next_id, now)
    return _drain(table) + effects


@handles(LinkOpened, needs=MemberTable)
def on_link_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """Start the handshake."""
    table = _active_table(state)
    if table is None:
        return []
    link = table.link_table_.links_.get(event.link_id)
    if link is not None and link.state == LinkState.CLOSING:
        return []  # given up while the stream was being opened
    own = table.self_member
    nonce = make_nonce(table.fleet_key, own.incarnation, event.link_id, state.rng)
    hello = table.link_table_.on_opened(
        event.link_id,
        event.address,
        event.outgoing,
        own,
        table.refutation_,
        nonce,
        now,
    )
    return [SendPeer(event.link_id, hello)]


@handles(LinkClosed, needs=MemberTable)
def on_link_closed(state: HostState, event: LinkClosed, now: float) -> list[Effect]:
    """Report a peer that cannot be dialled; dial one whose link broke."""
    table = _active_table(state)
    link = None if table is None else table.link_table_.links_.pop(event.link_id, None)
    if table is None or link is None:
        return []
    effects: list[Effect] = []
    unregister(table, link)
    if link.state == LinkState.DIALLED and link.expected:
        table.report(link.expected, now)
    elif link.state == LinkState.OPEN and not link.brief:
        # A broken stream is no evidence: the peer may have chosen other monitors.
        member = table.members_.get(link.peer)
        if (
            member is not None
            and link.peer not in table.links_
            and not table.leaving_
            and table.link_table_.may_dial(member.address, now)
        ):
            probe = table.link_table_.dial(
                state.next_id(), member.address, now, expected=link.peer, brief=True
            )
            effects.append(OpenLink(probe.link_id, probe.address))
    if link.peer:
        effects.append(EmitEvent(PeerDown(link.link_id, link.peer)))
    return _drain(table) + effects


@handles(PeerMessageRead, needs=MemberTable)
def on_peer_message(
    state: HostState, event: PeerMessageRead, now: float
) -> list[Effect]:
    """Answer the messages of membership; every message shows a peer alive."""
    table = _active_table(state)
    link = None if table is None else table.link_table_.links_.get(event.link_id)
    if table is None or link is None:
        return []
    link.heard_at = now
    answer = ANSWERS.get(type(event.message))
    if answer is None:
        return []
    effects = answer(table, link, event.message, now)
    return _drain(table) + effects


@handles(HostListRead, needs=MemberTable)
def on_host_list(state: HostState, event: HostListRead, now: float) -> list[Effect]:
    """Take in the platform's list as candidates and supporting evidence."""
    table = _active_table(state)
    if table is not None:
        table.link_table_.on_list(event.entries)
    return []


@handles(PauseDetected, needs=MemberTable)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Mark the view unconfirmed and ask all peers to confirm it."""
    table = _active_table(state)
    if table is None:
        return []
    table.confirmed_ = False
    table.n_pauses_ += 1
    table.link_table_.on_pause(now)
    table.evidence_.withdraw_all(table.self_member.incarnation)
    _upkeep(state).reached_at_ = now
    fields = {"gap_s": round(event.gap_s, 3)}
    return [
        LogEvent(log.VIEW_UNCONFIRMED, fields),
        *table.broadcast(table.digest_offer()),
    ]
