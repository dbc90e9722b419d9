"""Decisions on tickets: use a ticket once, send once and record the outcome."""

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
from jackdawsill.quarantine import Quarantine, Verdict, request_fingerprint
from jackdawsill.tickets import _errors as errors
from jackdawsill.tickets import _log_events as log_events
from jackdawsill.tickets._ledger import ANSWERED, RETENTION_S, Ledger, Record
from jackdawsill.tickets._replicas import (
    bind_shard,
    pick_replica,
    report_answer,
    report_failure,
    report_sent,
)
from jackdawsill.tickets._runs import RemoteWaiter, Run, TicketedRequest
from jackdawsill.tickets._ticket import body_digest, decode_ticket, is_authentic

# Each replica that refuses a request costs one round trip; more attempts than this do
# not fit into the default deadline.
MAX_ATTEMPTS = 3
MAX_WAITERS = 100  # callers and forwards that wait for one request
DROPPED_RECORD_MESSAGE = "the request ran or may have run; its record is no longer kept"


class IssuerMixin:
    """Decide on tickets of this process and of hosts whose tickets it took over.

    Uses the attributes of `TicketManager`.
    """

    __slots__ = ()

    def _decide(
        self,
        state: HostState,
        ledger: Ledger,
        request: TicketedRequest,
        waiter: int | RemoteWaiter,
        now: float,
    ) -> list[Effect]:
        """Use the ticket and send the request, or reply with the known outcome."""
        try:
            ticket = decode_ticket(request.ticket)
            if not is_authentic(request.ticket, ledger.key):
                raise errors.TicketInvalid("the ticket was not issued by this service")
            if ticket.caller != request.caller:
                raise errors.TicketWrongCaller("the ticket is for another caller")
            if ticket.route != request.route:
                raise errors.TicketInvalid("the ticket is for another route")
            issuer_now = ledger.issuer_time(now)
            if issuer_now >= ticket.expires_at + RETENTION_S:
                raise errors.TicketOutcomeUnknown("the ticket is past its retention")
            if ticket.serial in ledger.used_serials_:
                return self._on_reuse(
                    state, ledger, ticket.serial, request, waiter, now
                )
            if issuer_now >= ticket.expires_at:
                raise errors.TicketExpired("the ticket expired before its first use")
            if ticket.serial < ledger.void_below_:
                raise errors.TicketsFull("the ticket is void; request another one")
            if not self._has_memory(ledger, ticket.serial, request.body):
                ledger.void_below_ = ledger.next_serial_
                effects = self._reply(
                    state, waiter, errors.TicketsFull("ticket memory is full"), now
                )
                fields = {
                    "void_below": ledger.void_below_,
                    "reason": "ticket memory is full",
                }
                return [*effects, LogEvent(log_events.MEMORY_FULL, fields)]
        except JackdawsillError as exc:
            return self._reply(state, waiter, exc, now)
        # Use the ticket before the checks of the send, so that after a refusal as not
        # run a later copy of the request is not sent either.
        record = ledger.use(ticket, body_digest(request.body))
        fingerprint = request_fingerprint(request.route, request.body)
        run = Run(request, ticket, ledger, record, fingerprint, [waiter])
        self.runs_[run.key()] = run
        self.n_body_bytes_ += len(request.body)
        return [Count("tickets_spent"), *self._send(state, run, now)]

    def _on_reuse(
        self,
        state: HostState,
        ledger: Ledger,
        serial: int,
        request: TicketedRequest,
        waiter: int | RemoteWaiter,
        now: float,
    ) -> list[Effect]:
        """Reply to a repeated use of a ticket, or make it wait for the first one."""
        effects: list[Effect] = [Count("tickets_resent")]
        record = ledger.records_.get(serial)
        if record is None:
            exc = errors.TicketOutcomeUnknown(DROPPED_RECORD_MESSAGE)
            return effects + self._reply(state, waiter, exc, now)
        if record.body_digest != body_digest(request.body):
            exc = errors.TicketBodyMismatch("the ticket was used with another body")
            fields = {"caller": request.caller, "serial": serial}
            effects.append(LogEvent(log_events.CALLER_CONFLICT, fields))
            return effects + self._reply(state, waiter, exc, now)
        if record.code is None:
            run = self.runs_[(ledger.issuer, serial)]
            if waiter in run.waiters:
                return effects
            if len(run.waiters) >= MAX_WAITERS:
                exc = errors.TicketOutcomeUnknown(
                    "too many copies wait for the outcome"
                )
                return effects + self._reply(state, waiter, exc, now)
            run.waiters.append(waiter)
            return effects
        return effects + self._reply(state, waiter, record, now)

    def _check_send(self, state: HostState, run: Run, now: float) -> None:
        """Raise a typed error if the request must not be sent now.

        Also sets `run.is_canary`, which reserves a replica for a suspected request.
        """
        objects = state.objects_
        request = run.request
        if self.closed_:
            raise errors.TicketsClosed("the host is stopping")
        if not self.is_confirmed(state, now):
            raise errors.TicketUnconfirmed(
                "peers have not confirmed this host since its last process pause"
            )
        if now >= request.deadline_at:
            raise errors.TicketDeadline(
                "the deadline passed before the request was sent"
            )
        if run.ledger.issuer_time(now) >= run.ticket.expires_at:
            raise errors.TicketExpired("the ticket expired before the request was sent")
        caller = objects.callers.get(request.caller) if objects else None
        route = objects.routes.get(request.route) if objects else None
        if caller is None or route is None or not objects.may_query(caller, route):
            raise errors.TicketNotEntitled("the caller may not use this route")
        verdict = state.component(Quarantine).check(run.fingerprint, now)
        if verdict is Verdict.CONDEMNED:
            raise errors.TicketQuarantined("the request crashes backend servers")
        if verdict is Verdict.SUSPECT and any(
            other is not run and other.fingerprint == run.fingerprint
            for other in self.runs_.values()
        ):
            # Two copies of a suspected request must not crash two replicas at once.
            raise errors.TicketQuarantined(
                "a copy of this suspected request is running"
            )
        run.is_canary = verdict is Verdict.SUSPECT

    def _send(self, state: HostState, run: Run, now: float) -> list[Effect]:
        """Send a request to one replica, or record why it was not run."""
        try:
            self._check_send(state, run, now)
            if len(run.tried) >= MAX_ATTEMPTS:
                raise errors.TicketNoReplica("no replica accepted the request")
            shard = bind_shard(state, run, now)
            if shard is None:
                raise errors.TicketNoReplica("the group has no snapshot")
            replica = pick_replica(state, run, shard, now)
            if replica is None:
                raise errors.TicketNoReplica("no replica is available")
        except JackdawsillError as exc:
            return self._finish(state, run, exc, now)
        run.sub_id = state.next_id()
        # Callers may reuse request ids, so the id sent to the backend server is made
        # unique across hosts and restarts.
        own = state.component(MemberTable).self_member.incarnation
        run.server_request_id = f"{run.request.request_id}.{own[:8]}.{run.sub_id}"
        run.shard = shard.name
        run.service = shard.service
        run.replica = replica.name
        run.tried.add(replica.name)
        run.sent_at = now
        self.subs_[run.sub_id] = run
        n_connections_max = report_sent(state, run, now)
        return [
            SendSub(
                sub_id=run.sub_id,
                request_id=run.server_request_id,
                replica=replica.name,
                address=f"{replica.address}:{replica.port}",
                shard=shard.name,
                snapshot=run.snapshot.name,
                body=run.request.body,
                timeout_s=run.request.deadline_at - now,
                repeatable=False,
                n_connections_max=n_connections_max,
            )
        ]

    def on_answered(
        self, state: HostState, event: SubAnswered, now: float
    ) -> list[Effect]:
        """Record the answer to a request that this host sent.

        An answer for another request, snapshot or shard gives an unknown outcome.
        """
        run = self.subs_.pop(event.sub_id, None)
        if run is None:
            return []
        expected = (run.server_request_id, run.snapshot.name, run.shard)
        if (event.request_id, event.snapshot, event.shard) != expected:
            failure = SubFailed(event.sub_id, FailureKind.BAD_ANSWER)
            effects = report_failure(state, run, failure, now)
            return effects + self._finish_unknown(state, run, failure.kind, now)
        effects = report_answer(state, run, event, now)
        state.component(Quarantine).on_success(run.fingerprint, now)
        # JSON, unlike msgpack, keeps integers of any size; backend servers may send
        # them.
        answer = json.dumps(
            {
                "snapshot": event.snapshot,
                "generation": state.objects_.generation if state.objects_ else 0,
                "shard": event.shard,
                "items": event.items,
            },
            separators=(",", ":"),
        ).encode()
        return effects + self._finish(state, run, answer, now)

    def on_failed(self, state: HostState, event: SubFailed, now: float) -> list[Effect]:
        """Try another replica if the request certainly did not run."""
        run = self.subs_.pop(event.sub_id, None)
        if run is None:
            return []
        effects = report_failure(state, run, event, now)
        if event.kind in NOT_RUN_KINDS:
            return effects + self._send(state, run, now)
        if event.kind is FailureKind.CRASH:
            state.component(Quarantine).on_crash(run.replica, (run.fingerprint,), now)
        return effects + self._finish_unknown(state, run, event.kind, now)

    def _finish_unknown(
        self, state: HostState, run: Run, kind: FailureKind, now: float
    ) -> list[Effect]:
        """Record the unknown outcome of a request, which is never sent again."""
        fields = {
            "request_id": run.request.request_id,
            "replica": run.replica,
            "kind": str(kind),
        }
        exc = errors.TicketOutcomeUnknown(f"the backend server gave no answer: {kind}")
        effects = self._finish(state, run, exc, now)
        return [LogEvent(log_events.OUTCOME_UNKNOWN, fields), *effects]

    def _finish(
        self, state: HostState, run: Run, result: bytes | JackdawsillError, now: float
    ) -> list[Effect]:
        """Record the final outcome and reply to all waiters."""
        if isinstance(result, bytes):
            run.ledger.record_outcome(run.record, ANSWERED, "", result)
        else:
            run.ledger.record_outcome(run.record, result.code, result.message, b"")
        if self.runs_.pop(run.key(), None) is not None:
            self.n_body_bytes_ -= len(run.request.body)
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
        """Reply to a local caller or to the host that forwarded the request."""
        raise NotImplementedError
