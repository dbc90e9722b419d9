"""Reducer handlers that pass events to the ticket manager."""

from typing import Any

from jackdawsill.core import (
    CallerDisconnected,
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
from jackdawsill.stopping import BaseHandover, PendingWork, register_handover
from jackdawsill.stopping import register_pending_work as register_pending_work
from jackdawsill.tickets._manager import TicketManager
from jackdawsill.tickets._messages import (
    TicketForward,
    TicketHandover,
    TicketHandoverAck,
    TicketReply,
)


def _manager(state: HostState) -> TicketManager | None:
    """Return the ticket manager, or None if this host has none."""
    return state.components_.get(TicketManager)


@handles(SubAnswered, needs=TicketManager)
def on_sub_answered(state: HostState, event: SubAnswered, now: float) -> list[Effect]:
    """Record the answer of a ticketed request."""
    return state.component(TicketManager).on_answered(state, event, now)


@handles(SubFailed, needs=TicketManager)
def on_sub_failed(state: HostState, event: SubFailed, now: float) -> list[Effect]:
    """Record the failure of a ticketed request, or try another replica."""
    return state.component(TicketManager).on_failed(state, event, now)


@handles(TimerFired, needs=TicketManager)
def on_timer(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """Retry or end a waiting call."""
    return state.component(TicketManager).on_timer(state, event, now)


@handles(CallerDisconnected, needs=TicketManager)
def on_caller_left(
    state: HostState, event: CallerDisconnected, now: float
) -> list[Effect]:
    """Drop the call of a caller that disconnected."""
    return state.component(TicketManager).on_caller_left(event)


@handles(LinkClosed, needs=TicketManager)
def on_link_closed(state: HostState, event: LinkClosed, now: float) -> list[Effect]:
    """Schedule a retry of the forwards that were sent on a closed link."""
    return state.component(TicketManager).on_link_closed(state, event, now)


@handles(PeerUp, needs=TicketManager)
def on_peer_up(state: HostState, event: PeerUp, now: float) -> list[Effect]:
    """Send the forwards that wait for a link."""
    return state.component(TicketManager).on_peer_up(state, now)


@handles(PauseDetected, needs=TicketManager)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Send no requests until peers have confirmed this host's known state."""
    return state.component(TicketManager).on_pause(event, now)


@handles(Tick, needs=TicketManager)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Drop expired tickets, records and handovers."""
    return state.component(TicketManager).on_tick(state, now)


@handles(PeerMessageRead, needs=TicketManager)
def on_message(state: HostState, event: PeerMessageRead, now: float) -> list[Effect]:
    """Dispatch messages about tickets by their class."""
    manager = state.component(TicketManager)
    message = event.message
    if isinstance(message, TicketForward):
        return manager.on_forward(state, event.link_id, message, now)
    if isinstance(message, TicketReply):
        return manager.on_reply(state, event.link_id, message, now)
    if isinstance(message, TicketHandover):
        return manager.on_handover(state, event.link_id, message, now)
    if isinstance(message, TicketHandoverAck):
        return manager.on_handover_ack(state, message, now)
    return []


@register_pending_work("tickets")
def pending_tickets(state: HostState) -> PendingWork:
    """Return the number and latest deadline of calls and requests in progress."""
    manager = _manager(state)
    if manager is None:
        return PendingWork(0)
    return PendingWork(manager.n_pending(), manager.latest_deadline_at())


@register_handover("tickets")
class TicketsHandover(BaseHandover):
    """Hand over the tickets of a stopping host to its successor."""

    def begin(
        self, state: HostState, successor: str | None, now: float
    ) -> list[Effect]:
        """Stop deciding on tickets and send the ledgers to the successor."""
        manager = _manager(state)
        return manager.begin_handover(state, successor, now) if manager else []

    def is_done(self, state: HostState) -> bool:
        """Return whether the successor has acknowledged the handover."""
        manager = _manager(state)
        return manager is None or manager.handed_over_


@status_section("tickets")
def ticket_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the pending work, memory and issuers of the ticket manager."""
    manager = _manager(state)
    if manager is None:
        return {}
    return {
        "n_in_hand": manager.n_pending(),
        "n_bytes": sum(ledger.n_bytes() for ledger in manager.ledgers_.values()),
        "decides_for": sorted(manager.ledgers_),
        "closed": manager.closed_,
        "confirmed": manager.paused_at_ is None,
    }
