"""Forwarding of ticketed requests to the host that decides on their tickets."""

from jackdawsill.core import (
    CloseLink,
    Count,
    Effect,
    HostState,
    LinkClosed,
    OpenLink,
    SendPeer,
    SetTimer,
    TimerFired,
)
from jackdawsill.exceptions import ERRORS, JackdawsillError
from jackdawsill.membership import Member, MemberTable
from jackdawsill.tickets import _errors as errors
from jackdawsill.tickets._ledger import ANSWERED, Record
from jackdawsill.tickets._messages import TicketForward, TicketReply
from jackdawsill.tickets._runs import LocalCall, RemoteWaiter, TicketedRequest

# Interval between attempts to reach an issuer. Several attempts fit into the default
# deadline of 340 ms; opening a link takes about one round trip of 16 ms.
FORWARD_RETRY_S = 0.025
# Upper bound for the deadline of a forward; the same as for queries.
MAX_DEADLINE_S = 30.0
# A link that is not usable after this time is closed, and another one is opened.
OPEN_TIMEOUT_S = 1.0
# Membership closes links that it does not need itself. A link that carries a forward
# stays open until this long after the caller's deadline, so that a late reply arrives.
LINK_RETENTION_MARGIN_S = 1.0
DEADLINE_TIMER = "tickets:deadline:"
RETRY_TIMER = "tickets:retry:"


class ForwardMixin:
    """Forward calls to the responsible host and reply to forwards of other hosts.

    Uses the attributes of `TicketManager`.
    """

    __slots__ = ()

    def _decide_or_forward(
        self, state: HostState, call: LocalCall, now: float
    ) -> list[Effect]:
        """Decide on a call if its ledger is on this host, else forward the call."""
        ledger = None if self.closed_ else self.ledgers_.get(call.issuer)
        if ledger is not None:
            request = TicketedRequest(
                call.request_id,
                call.route,
                call.caller,
                call.body,
                call.ticket,
                call.deadline_at,
            )
            return self._decide(state, ledger, request, call.query_id, now)
        members = state.component(MemberTable)
        target = self._responsible_incarnation(members, call.issuer)
        # If this host is responsible but no longer has the ledger, all its tickets are
        # past their retention.
        own = members.self_member.incarnation
        if target is None or target == own or members.is_unavailable(target):
            exc = errors.TicketOutcomeUnknown("the issuer of the ticket is unavailable")
            return self._reply(state, call.query_id, exc, now)
        effects = self._forward(state, call, target, now)
        if call.link_id is None:
            timer_id = f"{RETRY_TIMER}{call.query_id}"
            effects.append(SetTimer(timer_id, now + FORWARD_RETRY_S))
        return effects

    def _responsible_incarnation(
        self, members: MemberTable, incarnation: str
    ) -> str | None:
        """Return the incarnation that decides on a ticket, following handovers.

        None if the recorded successors form a cycle, or if this host is stopping and
        has no successor.
        """
        seen = {incarnation}
        while True:
            successor = members.successor_of(incarnation)
            if successor is None:
                if incarnation == members.self_member.incarnation and self.closed_:
                    return self.successor_
                return incarnation
            if successor in seen:
                return None
            seen.add(successor)
            incarnation = successor

    def _forward(
        self, state: HostState, call: LocalCall, target: str, now: float
    ) -> list[Effect]:
        """Send a call over the link to `target`, or open a link first."""
        members = state.component(MemberTable)
        members.retain_link(target, call.deadline_at + LINK_RETENTION_MARGIN_S)
        link_id = members.link_to(target)
        if link_id is None:
            return self._open_link(state, members, target, now)
        self.opening_.pop(target, None)
        call.link_id = link_id
        message = TicketForward(
            call.forward_id,
            call.ticket,
            call.request_id,
            call.route,
            call.caller,
            call.body,
            call.deadline_at - now,
        )
        return [Count("tickets_forwarded"), SendPeer(link_id, message)]

    def _open_link(
        self, state: HostState, members: MemberTable, target: str, now: float
    ) -> list[Effect]:
        """Open a link unless one is being opened; membership does the handshake."""
        effects: list[Effect] = []
        if target in self.opening_:
            link_id, opened_at = self.opening_[target]
            if now - opened_at < OPEN_TIMEOUT_S:
                return []
            effects.append(CloseLink(link_id))
        member = self._member(members, target)
        if member is None:
            return effects
        link_id = state.next_id()
        self.opening_[target] = (link_id, now)
        return [*effects, OpenLink(link_id, member.address)]

    def _member(self, members: MemberTable, incarnation: str) -> Member | None:
        """Return a live member by its incarnation."""
        found = (m for m in members.live_members() if m.incarnation == incarnation)
        return next(found, None)

    def on_timer(self, state: HostState, event: TimerFired, now: float) -> list[Effect]:
        """Retry a forward, or refuse the call at its deadline."""
        timer_id = event.timer_id
        if timer_id.startswith(RETRY_TIMER):
            call = self.calls_.get(int(timer_id.removeprefix(RETRY_TIMER)))
            if call is None or call.link_id is not None:
                return []
            return self._decide_or_forward(state, call, now)
        if timer_id.startswith(DEADLINE_TIMER):
            query_id = int(timer_id.removeprefix(DEADLINE_TIMER))
            exc = errors.TicketTimeout("the outcome was not known before the deadline")
            return self._reply(state, query_id, exc, now)
        return []

    def on_peer_up(self, state: HostState, now: float) -> list[Effect]:
        """Send the forwards that wait for a link, without waiting for their timers."""
        waiting = [call for call in self.calls_.values() if self._awaits_link(call)]
        effects: list[Effect] = []
        for call in waiting:
            effects += self._decide_or_forward(state, call, now)
        return effects

    def _awaits_link(self, call: LocalCall) -> bool:
        """Return whether a call waits for a link to the responsible host."""
        return call.link_id is None and (
            self.closed_ or call.issuer not in self.ledgers_
        )

    def on_link_closed(
        self, state: HostState, event: LinkClosed, now: float
    ) -> list[Effect]:
        """Schedule a retry of the forwards that were sent on a closed link."""
        self.opening_ = {
            target: entry
            for target, entry in self.opening_.items()
            if entry[0] != event.link_id
        }
        effects: list[Effect] = []
        for call in self.calls_.values():
            if call.link_id == event.link_id:
                call.link_id = None
                timer_id = f"{RETRY_TIMER}{call.query_id}"
                effects.append(SetTimer(timer_id, now + FORWARD_RETRY_S))
        return effects

    def on_forward(
        self, state: HostState, link_id: int, message: TicketForward, now: float
    ) -> list[Effect]:
        """Decide on a request that another host forwarded."""
        waiter = RemoteWaiter(link_id, message.forward_id)
        try:
            ledger = self._ledger_of(message.ticket)
        except JackdawsillError as exc:
            return self._reply(state, waiter, exc, now)
        if ledger is None or self.closed_:
            reply = TicketReply(message.forward_id, not_issuer=True)
            return [SendPeer(link_id, reply)]
        # False for NaN, which then becomes the maximum.
        in_range = message.deadline_s <= MAX_DEADLINE_S
        deadline_s = message.deadline_s if in_range else MAX_DEADLINE_S
        request = TicketedRequest(
            message.request_id,
            message.route,
            message.caller,
            message.body,
            message.ticket,
            now + deadline_s,
        )
        return self._decide(state, ledger, request, waiter, now)

    def on_reply(
        self, state: HostState, link_id: int, message: TicketReply, now: float
    ) -> list[Effect]:
        """Reply to the caller whose request was forwarded."""
        call = self._call_of(message.forward_id)
        if call is None or call.link_id != link_id:
            return []
        if message.not_issuer:
            call.link_id = None
            timer_id = f"{RETRY_TIMER}{call.query_id}"
            return [SetTimer(timer_id, now + FORWARD_RETRY_S)]
        if message.code == ANSWERED:
            # Only carries the answer to `_reply`; there is no ticket on this host.
            record = Record(0, b"", 0.0, ANSWERED, "", message.answer)
            return self._reply(state, call.query_id, record, now)
        exc = error_of(message.code, message.message)
        return self._reply(state, call.query_id, exc, now)

    def _call_of(self, forward_id: int) -> LocalCall | None:
        """Return the local call with a forward id, or None if it has ended."""
        query_id = self.forwards_.get(forward_id)
        return None if query_id is None else self.calls_.get(query_id)


def error_of(code: int, message: str) -> JackdawsillError:
    """Return the error for a recorded or received error code.

    A code that this version does not know becomes an unknown outcome.
    """
    error_type = ERRORS.get(code, errors.TicketOutcomeUnknown)
    return error_type(message)
