"""Reducer handlers of tickets."""

from typing import Any

from jackdawsill.core import (
    CallerLeft,
    Effect,
    HostState,
    LinkClosed,
    PauseDetected,
    PeerMessageRead,
    SubAnswered,
    SubFailed,
    Tick,
    TimerFired,
    handles,
    status_section,
)
from jackdawsill.membership import PeerUp
from jackdawsill.stopping import BaseHandover, InHand, register_handover
from jackdawsill.stopping import register_in_hand as in_hand
from jackdawsill.tickets._manager import TicketManager
from jackdawsill.tickets._messages import (
    TicketForward,
    TicketHandover,
    TicketHandoverAck,
    TicketReply,
)


def _office(state: HostState) -> TicketManager | None:
    """Return the ticket office, if this host has one."""
    return state.parts_.get(TicketManager)


@handles(SubAnswered, needs=TicketManager)
def on_sub_answered(state: HostState, event: SubAnswered, now: float) -> list[Effect]:
    """Record the answer of a ticketed request."""
    return state.part(TicketManager).on_answered(state, event, now)


@handles(SubFailed, needs=TicketManager)
def on_sub_failed(state: HostState, event: SubFailed, now: float) -> list[Effect]:
    """Record the failure of a ticketed request, or try another replica."""
    return state.part(TicketManager).on_failed(state, event, now)


@handles(TimerFired, needs=TicketManager)
def on_timer(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """Repeat or end a waiting call."""
    return state.part(TicketManager).on_timer(state, event, now)


@handles(CallerLeft, needs=TicketManager)
def on_caller_left(state: HostState, event: CallerLeft, now: float) -> list[Effect]:
    """Forget a caller that left."""
    return state.part(TicketManager).on_caller_left(event)


@handles(LinkClosed, needs=TicketManager)
def on_link_closed(state: HostState, event: LinkClosed, now: float) -> list[Effect]:
    """Ask again for the outcome of forwards on a closed link."""
    return state.part(TicketManager).on_link_closed(state, event, now)


@handles(PeerUp, needs=TicketManager)
def on_peer_up(state: HostState, event: PeerUp, now: float) -> list[Effect]:
    """Send the forwards that waited for a link."""
    return state.part(TicketManager).on_peer_up(state, now)


@handles(PauseDetected, needs=TicketManager)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Start nothing until the host is confirmed."""
    return state.part(TicketManager).on_pause(event, now)


@handles(Tick, needs=TicketManager)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Drop what is past its time."""
    return state.part(TicketManager).on_tick(state, now)


@handles(PeerMessageRead, needs=TicketManager)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Handle the messages about tickets."""
    office = state.part(TicketManager)
    message = event.message
    if isinstance(message, TicketForward):
        return office.on_forward(state, event.link_id, message, now)
    if isinstance(message, TicketReply):
        return office.on_reply(state, event.link_id, message, now)
    if isinstance(message, TicketHandover):
        return office.on_handover(state, event.link_id, message, now)
    if isinstance(message, TicketHandoverAck):
        return office.on_handover_ack(state, message, now)
    return []


@in_hand("tickets")
def tickets_in_hand(state: HostState) -> InHand:
    """Report the callers and requests without an outcome."""
    office = _office(state)
    if office is None:
        return InHand(0)
    return InHand(office.n_in_hand(), office.latest_deadline_at())


@register_handover("tickets")
class TicketsHandover(BaseHandover):
    """Hand the tickets of a stopping host to its successor."""

    def begin(
        self, state: HostState, successor: str | None, now: float
    ) -> list[Effect]:
        """Stop deciding and send the tickets."""
        office = _office(state)
        return office.begin_handover(state, successor, now) if office else []

    def is_done(self, state: HostState) -> bool:
        """Tell whether the successor has acknowledged."""
        office = _office(state)
        return office is None or office.handed_over_


@status_section("tickets")
def ticket_status(state: HostState, now: float) -> dict[str, Any]:
    """Return what the ticket office holds."""
    office = _office(state)
    if office is None:
        return {}
    return {
        "n_in_hand": office.n_in_hand(),
        "n_bytes": sum(ledger.n_bytes() for ledger in office.ledgers_.values()),
        "decides_for": sorted(office.ledgers_),
        "closed": office.closed_,
        "confirmed": office.paused_at_ is None,
    }
