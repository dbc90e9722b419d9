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
from jackdawsill.membership._links import LinkState, make_nonce
from jackdawsill.membership._maintenance import MemberMaintenance
from jackdawsill.membership._message_handlers import MESSAGE_HANDLERS, unset_peer_link
from jackdawsill.membership._messages import Hello, HelloProof
from jackdawsill.membership._table import MemberTable, check_member_table


def _active_table(state: HostState) -> MemberTable | None:
    """Return the attached table, or None if it has no fleet key and so no links."""
    table = state.components_.get(MemberTable)
    return table if table is not None and table.fleet_key else None


def _pop_pending_effects(table: MemberTable) -> list[Effect]:
    """Return and clear the pending effects of the table."""
    effects, table.pending_effects_ = table.pending_effects_, []
    return effects


def _maintenance(state: HostState) -> MemberMaintenance:
    """Return the maintenance component; the first call checks the table."""
    maintenance = state.components_.get(MemberMaintenance)
    if maintenance is None:
        check_member_table(state.component(MemberTable))
        maintenance = MemberMaintenance()
        state.attach(maintenance)
    return maintenance


@event_filter(PeerMessageRead)
def is_authenticated(state: HostState, event: PeerMessageRead, now: float) -> bool:
    """Return whether a message may reach the components.

    Before the peer is authenticated, only handshake messages pass.
    """
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
    """Run the periodic work that is due."""
    table = _active_table(state)
    if table is None:
        return []
    effects = _maintenance(state).run(table, state.rng, state.next_id, now)
    return _pop_pending_effects(table) + effects


@handles(LinkOpened, needs=MemberTable)
def on_link_opened(state: HostState, event: LinkOpened, now: float) -> list[Effect]:
    """Start the handshake on a new link."""
    table = _active_table(state)
    if table is None:
        return []
    link = table.link_table_.links_.get(event.link_id)
    if link is not None and link.state == LinkState.CLOSING:
        return []  # closed by this host while the connection was being opened
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
    """Report a peer that cannot be dialled; redial one whose open link was closed."""
    table = _active_table(state)
    link = None if table is None else table.link_table_.links_.pop(event.link_id, None)
    if table is None or link is None:
        return []
    effects: list[Effect] = []
    unset_peer_link(table, link)
    if link.state == LinkState.DIALLED and link.expected_peer:
        table.report_suspect(link.expected_peer, now)
    elif link.state == LinkState.OPEN and not link.brief:
        # A closed link is no evidence: the peer may have chosen other monitors. A brief
        # link probes whether the peer is still there.
        member = table.members_.get(link.peer)
        if (
            member is not None
            and link.peer not in table.links_
            and not table.leaving_
            and table.link_table_.may_dial(member.address, now)
        ):
            probe = table.link_table_.add_outgoing(
                state.next_id(), member.address, now, expected=link.peer, brief=True
            )
            effects.append(OpenLink(probe.link_id, probe.address))
    if link.peer:
        effects.append(EmitEvent(PeerDown(link.link_id, link.peer)))
    return _pop_pending_effects(table) + effects


@handles(PeerMessageRead, needs=MemberTable)
def on_peer_message(
    state: HostState, event: PeerMessageRead, now: float
) -> list[Effect]:
    """Dispatch membership messages; any message shows that its peer is alive."""
    table = _active_table(state)
    link = None if table is None else table.link_table_.links_.get(event.link_id)
    if table is None or link is None:
        return []
    link.heard_at = now
    handler = MESSAGE_HANDLERS.get(type(event.message))
    if handler is None:
        return []
    effects = handler(table, link, event.message, now)
    return _pop_pending_effects(table) + effects


@handles(HostListRead, needs=MemberTable)
def on_host_list(state: HostState, event: HostListRead, now: float) -> list[Effect]:
    """Record the platform's list as addresses to dial and as supporting evidence."""
    table = _active_table(state)
    if table is not None:
        table.link_table_.on_host_list(event.entries)
    return []


@handles(PauseDetected, needs=MemberTable)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Mark the member view unconfirmed after a process pause; send a new digest.

    A reply confirms the view if this host is live in the peer's table. Reports of this
    host are withdrawn, since it could not receive messages while it was paused.
    """
    table = _active_table(state)
    if table is None:
        return []
    table.confirmed_ = False
    table.n_pauses_ += 1
    table.link_table_.on_pause(now)
    table.evidence_.withdraw_all(table.self_member.incarnation)
    _maintenance(state).last_heard_at_ = now
    fields = {"gap_s": round(event.gap_s, 3)}
    return [
        LogEvent(log.VIEW_UNCONFIRMED, fields),
        *table.broadcast(table.digest_offer()),
    ]
