"""Component that issues tickets and runs ticketed requests at most once."""

import json
import secrets

from jackdawsill.core import (
    Answer,
    CallerDisconnected,
    ClearTimer,
    Count,
    Effect,
    EmitEvent,
    FailureKind,
    HostState,
    PauseDetected,
    QueryArrived,
    QueryFinished,
    SendAnswer,
    SendPeer,
    SendRefusal,
    SetTimer,
    SubFailed,
)
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.membership import MemberTable
from jackdawsill.spread import ConfigSync
from jackdawsill.tickets import _errors as errors
from jackdawsill.tickets._forwarding import DEADLINE_TIMER, ForwardMixin, error_of
from jackdawsill.tickets._handover import (
    INCOMPLETE_TIMEOUT_S,
    HandoverMixin,
    IncompleteHandover,
)
from jackdawsill.tickets._issuer import IssuerMixin
from jackdawsill.tickets._ledger import ANSWERED, MAX_SPANS, Ledger, Record
from jackdawsill.tickets._messages import TicketReply
from jackdawsill.tickets._replicas import report_failure
from jackdawsill.tickets._runs import (
    LocalCall,
    RemoteWaiter,
    Run,
)
from jackdawsill.tickets._ticket import decode_ticket

KEY_BYTES = 32
# Local calls that wait for a reply, each with its body in memory.
MAX_CALLS = 1000
MAX_PENDING_BODY_BYTES = 8 * 1024 * 1024
# A call is refused this long before its deadline, so that the refusal arrives in time.
# Ticketed requests wait as long as coverage-first queries, because an unknown outcome
# costs the caller more than a few milliseconds.
REPLY_MARGIN_S = 0.005
# A forward with its body must fit into one peer message of 1 MB.
MAX_BODY_BYTES = 900 * 1024
MAX_REPLY_BYTES = 900 * 1024
CLEANUP_INTERVAL_S = 1.0
# The daemon may report the end of a sub-request this long after its deadline.
SEND_REPORT_GRACE_S = 1.0


class TicketManager(IssuerMixin, ForwardMixin, HandoverMixin):
    """Issue tickets, use each at most once and keep the outcomes.

    Holds one ledger for its own tickets and one for each issuer it succeeded.
    """

    __slots__ = (
        "calls_",
        "closed_",
        "forwards_",
        "handed_over_",
        "incomplete_",
        "installed_",
        "key",
        "ledgers_",
        "n_body_bytes_",
        "next_cleanup_at_",
        "opening_",
        "paused_at_",
        "runs_",
        "subs_",
        "successor_",
    )

    def __init__(self, key: bytes | None = None) -> None:
        # Secret that authenticates the tickets of this process. It must be
        # unpredictable, so it does not come from the host's seeded generator.
        self.key = key or secrets.token_bytes(KEY_BYTES)
        self.ledgers_: dict[str, Ledger] = {}  # by issuer, this host's own first
        self.runs_: dict[tuple[str, int], Run] = {}  # by issuer and serial
        self.subs_: dict[int, Run] = {}  # by id of the sub-request in flight
        self.calls_: dict[int, LocalCall] = {}  # by query id
        self.forwards_: dict[int, int] = {}  # forward id -> query id
        # Incarnation -> id and start time of the link that is being opened.
        self.opening_: dict[str, tuple[int, float]] = {}
        self.incomplete_: dict[str, IncompleteHandover] = {}  # by sender
        # Senders of installed handovers. They are never removed: installing an old
        # copy of a ledger again would allow used tickets to run a second time.
        self.installed_: set[str] = set()
        self.paused_at_: float | None = None
        self.closed_ = False  # stopping: issues and decides on no tickets
        self.successor_: str | None = None
        self.handed_over_ = False
        self.next_cleanup_at_ = 0.0
        self.n_body_bytes_ = 0  # of calls and runs in progress

    def n_pending(self) -> int:
        """Return the number of calls and requests in progress."""
        return len(self.calls_) + len(self.runs_)

    def latest_deadline_at(self) -> float | None:
        """Return the latest deadline of calls and requests in progress, or None."""
        deadlines = [call.deadline_at for call in self.calls_.values()]
        deadlines += [run.request.deadline_at for run in self.runs_.values()]
        return max(deadlines, default=None)

    def own_ledger(self, state: HostState) -> Ledger:
        """Return the ledger of this process, created at the first call."""
        incarnation = state.component(MemberTable).self_member.incarnation
        if incarnation not in self.ledgers_:
            own = Ledger(incarnation, self.key)
            self.ledgers_ = {incarnation: own, **self.ledgers_}
        return self.ledgers_[incarnation]

    def on_request(
        self, state: HostState, request: QueryArrived, now: float
    ) -> list[Effect]:
        """Handle a request to a route that is not repeatable, after admission checks.

        Without a ticket the request is refused with a new one.
        """
        objects = state.objects_
        query_id = request.query_id
        ledger = self.own_ledger(state)
        caller = objects.caller_by_token(request.token)
        if request.ticket is None:
            if self.closed_:
                return [
                    SendRefusal(query_id, errors.TicketsClosed("the host is stopping"))
                ]
            ticket = ledger.issue(caller.name, request.route, now)
            exc = errors.TicketNeeded("send the request again with this ticket")
            return [Count("tickets_issued"), SendRefusal(query_id, exc, ticket)]
        try:
            if len(request.body) > MAX_BODY_BYTES:
                raise errors.TicketInvalid("the body is too long")
            issuer = decode_ticket(request.ticket).issuer
        except JackdawsillError as exc:
            return [SendRefusal(query_id, exc)]
        if len(self.calls_) >= MAX_CALLS or not self._has_body_memory(request.body):
            # Another host may already have sent the request, so this refusal must not
            # report it as not run.
            exc = errors.TicketOutcomeUnknown("too many requests are waiting")
            return [SendRefusal(query_id, exc)]
        deadline_s = request.deadline_s
        if deadline_s is None:
            deadline_s = objects.routes[request.route].deadline_ms / 1000
        call = LocalCall(
            query_id=query_id,
            request_id=request.request_id,
            route=request.route,
            caller=caller.name,
            body=request.body,
            ticket=request.ticket,
            arrived_at=now,
            deadline_at=now + deadline_s - REPLY_MARGIN_S,
            issuer=issuer,
            forward_id=state.next_id(),
        )
        self.calls_[query_id] = call
        self.n_body_bytes_ += len(call.body)
        self.forwards_[call.forward_id] = query_id
        timer = SetTimer(f"{DEADLINE_TIMER}{query_id}", call.deadline_at)
        return [timer, *self._decide_or_forward(state, call, now)]

    def on_caller_left(self, event: CallerDisconnected) -> list[Effect]:
        """Drop the call; its request continues and the outcome is recorded."""
        return self._remove_call(event.query_id)

    def _remove_call(self, query_id: int) -> list[Effect]:
        """Remove a call and its timer."""
        call = self.calls_.pop(query_id, None)
        if call is None:
            return []
        del self.forwards_[call.forward_id]
        self.n_body_bytes_ -= len(call.body)
        return [ClearTimer(f"{DEADLINE_TIMER}{query_id}")]

    def on_pause(self, event: PauseDetected, now: float) -> list[Effect]:
        """Send no requests until peers have confirmed this host's known state."""
        self.paused_at_ = now
        return []

    def is_confirmed(self, state: HostState, now: float) -> bool:
        """Return whether the host may send requests after its last process pause.

        Peers must have confirmed the member view and, unless the host has no link, the
        object set's generation. If so, the pause is also cleared from `paused_at_`.
        """
        if self.paused_at_ is None:
            return True
        members = state.component(MemberTable)
        # Without any link, membership confirms its view after a few seconds, and no
        # peer can confirm the generation.
        linked = any(members.link_to(m.incarnation) for m in members.live_members())
        confirmed = state.component(ConfigSync).confirmed_ or not linked
        if members.confirmed_ and confirmed:
            self.paused_at_ = None
        return self.paused_at_ is None

    def on_tick(self, state: HostState, now: float) -> list[Effect]:
        """Drop expired state, and finish requests whose result was never reported."""
        if now < self.next_cleanup_at_:
            return []
        self.next_cleanup_at_ = now + CLEANUP_INTERVAL_S
        for incarnation, ledger in list(self.ledgers_.items()):
            ledger.prune(now)
            own = incarnation == state.component(MemberTable).self_member.incarnation
            if not own and ledger.is_expired(now):
                del self.ledgers_[incarnation]
        for sender, incomplete in list(self.incomplete_.items()):
            if now - incomplete.began_at > INCOMPLETE_TIMEOUT_S:
                del self.incomplete_[sender]
        effects: list[Effect] = []
        for sub_id, run in list(self.subs_.items()):
            if now > run.request.deadline_at + SEND_REPORT_GRACE_S:
                del self.subs_[sub_id]
                timeout = SubFailed(sub_id, FailureKind.TIMEOUT)
                effects += report_failure(state, run, timeout, now)
                exc = errors.TicketOutcomeUnknown(
                    "no result of the backend server was reported"
                )
                effects += self._finish(state, run, exc, now)
        return effects

    def _has_body_memory(self, body: bytes) -> bool:
        """Return whether another body fits into the memory for pending bodies."""
        return self.n_body_bytes_ + len(body) <= MAX_PENDING_BODY_BYTES

    def _has_memory(self, ledger: Ledger, serial: int, body: bytes) -> bool:
        """Return whether a ticket can be used within the memory limits."""
        n_spans = sum(len(g.used_serials_.spans_) for g in self.ledgers_.values())
        serials_fit = n_spans < 2 * MAX_SPANS and ledger.has_memory_for(serial)
        return serials_fit and self._has_body_memory(body)

    def _ledger_of(self, ticket: str) -> Ledger | None:
        """Return the ledger of a ticket, or None if it is not on this host."""
        return self.ledgers_.get(decode_ticket(ticket).issuer)

    def _reply(
        self,
        state: HostState,
        waiter: int | RemoteWaiter,
        result: Record | JackdawsillError,
        now: float,
    ) -> list[Effect]:
        """Reply to a local caller or to the host that forwarded the request."""
        if isinstance(waiter, RemoteWaiter):
            if isinstance(result, JackdawsillError):
                reply = TicketReply(waiter.forward_id, result.code, result.message)
            elif len(result.answer) > MAX_REPLY_BYTES:
                exc = errors.TicketOutcomeUnknown("the answer is too long to forward")
                reply = TicketReply(waiter.forward_id, exc.code, exc.message)
            else:
                reply = TicketReply(
                    waiter.forward_id, result.code, result.message, result.answer
                )
            return [SendPeer(waiter.link_id, reply)]
        call = self.calls_.get(waiter)
        if call is None:
            return []
        effects = self._remove_call(waiter)
        if isinstance(result, JackdawsillError):
            exc = result
        elif result.code == ANSWERED:
            latency_s = now - call.arrived_at
            finished = EmitEvent(_finished(call, latency_s))
            return [*effects, self._answer_effect(state, call, result.answer), finished]
        else:
            exc = error_of(result.code, result.message)
        ticket = None
        if isinstance(exc, errors.TicketExpired) and not self.closed_:
            ticket = self.own_ledger(state).issue(call.caller, call.route, now)
        if exc.status >= 500:
            effects.append(EmitEvent(_finished(call, None)))
        return [*effects, SendRefusal(call.query_id, exc, ticket)]

    def _answer_effect(
        self, state: HostState, call: LocalCall, answer: bytes
    ) -> Effect:
        """Return the effect of the reply with only the items the caller may see now.

        The caller's access is checked again, since the object set may have changed
        since the send.
        """
        objects = state.objects_
        caller = objects.callers.get(call.caller)
        route = objects.routes.get(call.route)
        if caller is None or route is None or not objects.may_query(caller, route):
            exc = errors.TicketHidden("the caller no longer has access to this route")
            return SendRefusal(call.query_id, exc)
        fields = json.loads(answer)
        visible = objects.visible_classes(caller, route)
        return SendAnswer(
            call.query_id,
            Answer(
                request_id=call.request_id,
                route=call.route,
                snapshot=fields["snapshot"],
                generation=fields["generation"],
                complete=True,
                covered=(fields["shard"],),
                missing=(),
                items=tuple(i for i in fields["items"] if i.get("class") in visible),
            ),
        )


def _finished(call: LocalCall, latency_s: float | None) -> QueryFinished:
    """Return the event of a finished call to one shard, counted as one send.

    `latency_s` is None for a failed call. Only the issuer knows of further sends.
    """
    n_covered = int(latency_s is not None)
    return QueryFinished(call.caller, call.route, latency_s, 1, n_covered, 1, 1)
