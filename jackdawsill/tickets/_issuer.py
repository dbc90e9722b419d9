"""Decisions of an issuer: spend a ticket once, send once, record the outcome."""

import json

from jackdawsill.core import (
    NOT_RUN_KINDS,
    Count,
    Effect,
    FailureKind,
    HostState,
    LogEvent,
    SendSub,
    SubAnswered,
    SubFailed,
)
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.membership import MemberTable
from jackdawsill.quarantine import Quarantine, Verdict, fingerprint
from jackdawsill.tickets import _errors as errors
from jackdawsill.tickets import _log_events as log_events
from jackdawsill.tickets._ledger import ANSWERED, RETENTION_S, Ledger, Record
from jackdawsill.tickets._replicas import (
    bind_shard,
    learn_answer,
    learn_failure,
    learn_sent,
    pick_replica,
)
from jackdawsill.tickets._runs import Demand, RemoteWaiter, Run
from jackdawsill.tickets._ticket import body_digest, decode_ticket, is_authentic

# A replica that did not run a request costs one round trip of the deadline; more
# attempts than this would not fit into the default deadline.
MAX_ATTEMPTS = 3
MAX_WAITERS = 100
SETTLED_MESSAGE = "the request ran or may have run; its record is no longer kept"


class IssuerMixin:
    """Decide on tickets of this process and of the hosts it succeeded."""

    __slots__ = ()

    def _decide(
        self,
        state: HostState,
        ledger: Ledger,
        demand: Demand,
        waiter: int | RemoteWaiter,
        now: float,
    ) -> list[Effect]:
        """Spend the ticket and send, or reply with what is known about it."""
        try:
            ticket = decode_ticket(demand.ticket)
            if not is_authentic(demand.ticket, ledger.key):
                raise errors.TicketInvalid("the ticket was not issued by this service")
            if ticket.caller != demand.caller:
                raise errors.TicketWrongCaller("the ticket is for another caller")
            if ticket.route != demand.route:
                raise errors.TicketInvalid("the ticket is for another route")
            clock_s = ledger.clock_s(now)
            if clock_s >= ticket.expires_s + RETENTION_S:
                raise errors.TicketOutcomeUnknown("the ticket is past its retention")
            if ticket.serial in ledger.used_serials_:
                return self._resend(state, ledger, ticket.serial, demand, waiter, now)
            if clock_s >= ticket.expires_s:
                raise errors.TicketExpired("the ticket expired before its first use")
            if ticket.serial < ledger.void_below_:
                raise errors.TicketsFull("the ticket is void, ask for another one")
            if not self._has_room(ledger, ticket.serial, demand.body):
                ledger.void_below_ = ledger.next_serial_
                effects = self._reply(
                    state, waiter, errors.TicketsFull("no memory for tickets"), now
                )
                fields = {"void_below": ledger.void_below_, "reason": "no room"}
                return [*effects, LogEvent(log_events.MEMORY_FULL, fields)]
        except JackdawsillError as exc:
            return self._reply(state, waiter, exc, now)
        # Spent before anything else is checked: a refusal as not run must stay
        # true when a copy of the same request arrives late.
        record = ledger.spend(ticket, body_digest(demand.body))
        mark = fingerprint(demand.route, demand.body)
        run = Run(demand, ticket, ledger, record, mark, [waiter])
        self.runs_[run.key()] = run
        self.n_body_bytes_ += len(demand.body)
        return [Count("tickets_spent"), *self._send(state, run, now)]

    def _resend(
        self,
        state: HostState,
        ledger: Ledger,
        serial: int,
        demand: Demand,
        waiter: int | RemoteWaiter,
        now: float,
    ) -> list[Effect]:
        """Reply to a second use of a ticket, or let it wait for the first."""
        effects: list[Effect] = [Count("tickets_resent")]
        record = ledger.records_.get(serial)
        if record is None:
            exc = errors.TicketOutcomeUnknown(SETTLED_MESSAGE)
            return effects + self._reply(state, waiter, exc, now)
        if record.body_digest != body_digest(demand.body):
            exc = errors.TicketBodyMismatch("the ticket was used with another body")
            fields = {"caller": demand.caller, "serial": serial}
            effects.append(LogEvent(log_events.CALLER_CONFLICT, fields))
            return effects + self._reply(state, waiter, exc, now)
        if record.code is None:
            run = self.runs_[(ledger.incarnation, serial)]
            if waiter in run.waiters:
                return effects
            if len(run.waiters) >= MAX_WAITERS:
                exc = errors.TicketOutcomeUnknown("too many copies wait for this one")
                return effects + self._reply(state, waiter, exc, now)
            run.waiters.append(waiter)
            return effects
        return effects + self._reply(state, waiter, record, now)

    def _check_send(self, state: HostState, run: Run, now: float) -> None:
        """Raise the error that forbids sending at this moment."""
        objects = state.objects_
        demand = run.demand
        if self.closed_:
            raise errors.TicketsClosed("the host is stopping")
        if not self.is_confirmed(state, now):
            raise errors.TicketUnconfirmed("the host woke from a pause")
        if now >= demand.deadline_at:
            raise errors.TicketDeadline("the deadline passed before the send")
        if run.ledger.clock_s(now) >= run.ticket.expires_s:
            raise errors.TicketExpired("the ticket expired before the send")
        caller = objects.callers.get(demand.caller) if objects else None
        route = objects.routes.get(demand.route) if objects else None
        if caller is None or route is None or not objects.may_query(caller, route):
            raise errors.TicketNotEntitled("the caller may not use this route")
        verdict = state.component(Quarantine).check(run.fingerprint, now)
        if verdict is Verdict.CONDEMNED:
            raise errors.TicketQuarantined("the request crashes backend servers")
        if verdict is Verdict.SUSPECT and any(
            other is not run and other.fingerprint == run.fingerprint
            for other in self.runs_.values()
        ):
            # Two copies of a poison request must not crash two replicas at once.
            raise errors.TicketQuarantined("the same request is running alone")
        run.is_canary = verdict is Verdict.SUSPECT

    def _send(self, state: HostState, run: Run, now: float) -> list[Effect]:
        """Send to one replica, or record why the request was not run."""
        try:
            self._check_send(state, run, now)
            if len(run.tried) >= MAX_ATTEMPTS:
                raise errors.TicketNoReplica("no replica took the request")
            shard = bind_shard(state, run, now)
            if shard is None:
                raise errors.TicketNoReplica("the group has no snapshot")
            replica = pick_replica(state, run, shard, now)
            if replica is None:
                raise errors.TicketNoReplica("no replica is available")
        except JackdawsillError as exc:
            return self._settle(state, run, exc, now)
        run.sub_id = state.next_id()
        # Unique over hosts and restarts, since callers may repeat their request ids.
        own = state.component(MemberTable).self_member.incarnation
        run.wire_id = f"{run.demand.request_id}.{own[:8]}.{run.sub_id}"
        run.shard = shard.name
        run.service = shard.service
        run.replica = replica.name
        run.tried.add(replica.name)
        run.sent_at = now
        self.subs_[run.sub_id] = run
        n_connections_max = learn_sent(state, run, now)
        return [
            SendSub(
                sub_id=run.sub_id,
                request_id=run.wire_id,
                replica=replica.name,
                address=f"{replica.address}:{replica.port}",
                shard=shard.name,
                snapshot=run.snapshot.name,
                body=run.demand.body,
                timeout_s=run.demand.deadline_at - now,
                repeatable=False,
                n_connections_max=n_connections_max,
            )
        ]

    def on_answered(
        self, state: HostState, event: SubAnswered, now: float
    ) -> list[Effect]:
        """Record the answer of a request that this host sent."""
        run = self.subs_.pop(event.sub_id, None)
        if run is None:
            return []
        expected = (run.wire_id, run.snapshot.name, run.shard)
        if (event.request_id, event.snapshot, event.shard) != expected:
            bad = SubFailed(event.sub_id, FailureKind.BAD_ANSWER)
            effects = learn_failure(state, run, bad, now)
            return effects + self._on_unknown(state, run, bad.kind, now)
        effects = learn_answer(state, run, event, now)
        state.component(Quarantine).on_success(run.fingerprint, now)
        # JSON keeps integers of any size, which backend servers may send.
        answer = json.dumps(
            {
                "snapshot": event.snapshot,
                "generation": state.objects_.generation if state.objects_ else 0,
                "shard": event.shard,
                "items": event.items,
            },
            separators=(",", ":"),
        ).encode()
        return effects + self._settle(state, run, answer, now)

    def on_failed(self, state: HostState, event: SubFailed, now: float) -> list[Effect]:
        """Try another replica only if the request did certainly not run."""
        run = self.subs_.pop(event.sub_id, None)
        if run is None:
            return []
        effects = learn_failure(state, run, event, now)
        if event.kind in NOT_RUN_KINDS:
            return effects + self._send(state, run, now)
        if event.kind is FailureKind.CRASH:
            state.component(Quarantine).on_crash(run.replica, (run.fingerprint,), now)
        return effects + self._on_unknown(state, run, event.kind, now)

    def _on_unknown(
        self, state: HostState, run: Run, kind: FailureKind, now: float
    ) -> list[Effect]:
        """Record that a request may have run; it is never sent again."""
        fields = {
            "request_id": run.demand.request_id,
            "replica": run.replica,
            "kind": str(kind),
        }
        exc = errors.TicketOutcomeUnknown(f"the backend server gave no answer: {kind}")
        effects = self._settle(state, run, exc, now)
        return [LogEvent(log_events.OUTCOME_UNKNOWN, fields), *effects]

    def _settle(
        self, state: HostState, run: Run, result: bytes | JackdawsillError, now: float
    ) -> list[Effect]:
        """Record the final outcome and reply to all who wait for it."""
        if isinstance(result, bytes):
            run.ledger.settle(run.record, ANSWERED, "", result)
        else:
            run.ledger.settle(run.record, result.code, result.message, b"")
        if self.runs_.pop(run.key(), None) is not None:
            self.n_body_bytes_ -= len(run.demand.body)
        effects: list[Effect] = [
            Count("tickets_settled", 1.0, (("code", str(run.record.code)),))
        ]
        for waiter in run.waiters:
            effects += self._reply(state, waiter, run.record, now)
        return effects

    def _reply(
        self,
        state: HostState,
        waiter: int | RemoteWaiter,
        result: Record | JackdawsillError,
        now: float,
    ) -> list[Effect]:
        """Reply to a local caller or to the host that forwarded."""
        raise NotImplementedError
