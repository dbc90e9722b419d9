"""Handlers of finished attempts, crashes, call timers and callers that leave."""

from jackdawsill.core import (
    NOT_RUN_KINDS,
    Count,
    Effect,
    FailureKind,
    HostState,
    LogEvent,
    TimerFired,
    handles,
)
from jackdawsill.forwarding import _errors as errors
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._admit import reclaim_from_delegate
from jackdawsill.forwarding._calls import Attempt, Call, CallTable, Part
from jackdawsill.forwarding._crash_handlers import on_replica_answer
from jackdawsill.forwarding._crash_suspects import confirm_crashes, suspect_crash
from jackdawsill.forwarding._crashes import CrashEvidence
from jackdawsill.forwarding._delegates import DELEGATE_LATE_S, DelegateTable
from jackdawsill.forwarding._dispatch import (
    call_timer,
    send_hedge,
    send_retry,
)
from jackdawsill.forwarding._diversion import (
    can_divert,
    divert_or_refuse,
    follow_version,
)
from jackdawsill.forwarding._effects import DropReplicaConnections
from jackdawsill.forwarding._events import (
    AttemptAnswered,
    AttemptFailed,
    CallAbandoned,
)
from jackdawsill.forwarding._limit_handlers import take_limit
from jackdawsill.forwarding._model import ReplicaAnswer
from jackdawsill.forwarding._probing import (
    fail_held,
    is_held,
    move_probe,
    release_held,
    should_probe,
)
from jackdawsill.forwarding._reach_handlers import on_connect_failed
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replica import END_CONFIRM_S, LiveReplica
from jackdawsill.forwarding._replies import (
    abandon,
    abort_lingering,
    ejection_event,
    refuse,
    reply_if_ready,
)

# Assumed size of the header of a replica's answer, in bytes.
HEADER_BYTES = 200
# Status of a host that did not run a delegated call.
STATUS_NOT_RUN = 503
# Status of a replica that stopped its work at the deadline.
STATUS_TIMEOUT = 504
# Failures that are no evidence against the replica.
_HARMLESS_KINDS = frozenset({FailureKind.CANCELLED, FailureKind.EXPIRED})
# Refusals: the replica is full, starting or leaving, and did not run the attempt.
_REFUSAL_KINDS = frozenset(
    {FailureKind.SHED, FailureKind.CAP, FailureKind.DRAINING, FailureKind.STARTING}
)


def _remove_attempt(state: HostState, attempt_id: int) -> Attempt | None:
    """Remove an attempt from all tables; return None if it was removed before.

    Its call is removed too if it was the last attempt of an ended call.
    """
    table = state.component(CallTable)
    attempt = table.attempts_.pop(attempt_id, None)
    if attempt is None:
        return None
    part = attempt.part
    part.attempts.pop(attempt_id, None)
    attempt.replica.in_flight -= 1
    call = part.call
    if call.is_ended and not any(p.attempts for p in call.parts):
        table.calls_.pop(call.call_id, None)
    return attempt


@handles(AttemptAnswered, needs=CallTable)
def on_answer(state: HostState, event: AttemptAnswered, now: float) -> list[Effect]:
    """Use an answer, or retry the part after an error status."""
    attempt = _remove_attempt(state, event.attempt_id)
    if attempt is None:
        return []
    part, call, answer = attempt.part, attempt.part.call, event.answer
    part.n_maybe_run += 1
    if call.is_delegated:
        return _on_delegated_answer(state, attempt, answer, now)
    state.component(ReplicaRegistry).reach.on_answer(now)
    return [
        *_update_limit(
            state,
            attempt,
            answer.limit_per_s,
            now,
            may_end_for_peers=answer.succeeded,
        ),
        *on_replica_answer(state, attempt.replica, attempt.sent_at),
        *_use_answer(state, attempt, answer, now),
    ]


def _use_answer(
    state: HostState, attempt: Attempt, answer: ReplicaAnswer, now: float
) -> list[Effect]:
    """Update what is known of the replica, and use its answer or retry the part."""
    part, call = attempt.part, attempt.part.call
    table = state.component(CallTable)
    latency_s = max(0.0, now - attempt.sent_at - attempt.rtt_s)
    if answer.succeeded or answer.status < 500:
        attempt.replica.on_answer(latency_s / attempt.typical_s, now, attempt.sent_at)
        table.window(call.route).add(latency_s)
        state.component(DelegateTable).record_part_size(
            call.route, len(answer.body) + HEADER_BYTES
        )
        state.component(CrashEvidence).on_success(call.fingerprint, now)
    elif answer.status != STATUS_TIMEOUT or table.has_latency_samples(call.route):
        attempt.replica.on_failure(now)
    if call.is_ended or part.is_done:
        return []
    if answer.succeeded or (not call.route.is_fanout and answer.status < 500):
        part.answer = answer
        part.hedge_at = None
        released = release_held(state, call, now) if call.probe else []
        return [*released, *_reply_or_wait(state, part, now)]
    effects = [_attempt_event(attempt, f"status {answer.status}", now)]
    part.failure = answer
    part.outcome = f"status {answer.status}"
    if part is call.probe:
        # It has failed, but its replica has not crashed.
        effects += release_held(state, call, now)
        return [*effects, *_fail_if_unsent(state, part, now)]
    return [*effects, *_retry_or_fail(state, part, now, not_run=False)]


def _update_limit(
    state: HostState,
    attempt: Attempt,
    limit_per_s: float | None,
    now: float,
    *,
    may_end_for_peers: bool,
) -> list[Effect]:
    return take_limit(
        state,
        attempt.replica,
        limit_per_s,
        sent_at=attempt.sent_at,
        request_id=attempt.part.call.req.request_id.decode("latin-1"),
        may_end_for_peers=may_end_for_peers,
        now=now,
    )


def _on_delegated_answer(
    state: HostState, attempt: Attempt, answer: ReplicaAnswer, now: float
) -> list[Effect]:
    """Pass the delegate's answer to the caller; it may be a refusal."""
    attempt.replica.n_failures = 0
    attempt.replica.ejected_until = 0.0
    if attempt.part.call.is_ended:
        return []
    if answer.status == STATUS_NOT_RUN and attempt.part.call.may_have_run_before:
        error = errors.NoReplica("the host that was asked instead did not run it")
        return refuse(state, attempt.part.call, now, error)
    attempt.part.answer = answer
    return _reply_or_wait(state, attempt.part, now)


@handles(AttemptFailed, needs=CallTable)
def on_failure(state: HostState, event: AttemptFailed, now: float) -> list[Effect]:
    """Update the replica's state after a failed attempt, and retry the part."""
    attempt = _remove_attempt(state, event.attempt_id)
    if attempt is None:
        return []
    part, call, kind = attempt.part, attempt.part.call, event.kind
    effects = _update_replica(state, attempt, event, now)
    if event.limit_per_s is not None:
        effects += _update_limit(
            state, attempt, event.limit_per_s, now, may_end_for_peers=False
        )
    not_run = kind in NOT_RUN_KINDS
    if not_run:
        part.n_not_run += 1
    else:
        part.n_maybe_run += 1
    labels = (("kind", str(kind)),)
    effects.append(Count("forwarding_attempts_failed", labels=labels))
    effects.append(_attempt_event(attempt, f"{kind} {event.detail}".strip(), now))
    if call.is_ended or part.is_done:
        return effects
    if call.is_delegated and not_run:
        effects += follow_version(state, attempt, event.delegate_version)
        return [*effects, *reclaim_from_delegate(state, call, now)]
    part.outcome = str(kind)
    is_cut = state.component(ReplicaRegistry).reach.is_cut
    if is_cut and not_run and not call.may_have_run and can_divert(call):
        if any(p.attempts for p in call.parts):
            return effects
        return [*effects, *divert_or_refuse(state, call, now)]
    if kind is FailureKind.CRASH:
        return [*effects, *_on_lost(state, part, now)]
    if part is call.probe and not not_run:
        # It has failed, but its replica has not crashed.
        effects += release_held(state, call, now)
        return [*effects, *_fail_if_unsent(state, part, now)]
    return [*effects, *_retry_or_fail(state, part, now, not_run=not_run)]


def _update_replica(
    state: HostState, attempt: Attempt, event: AttemptFailed, now: float
) -> list[Effect]:
    """Update the state of the replica of a failed attempt."""
    replica, kind = attempt.replica, event.kind
    if kind in _HARMLESS_KINDS:
        return []
    if attempt.part.call.is_delegated:
        eject_at_once = kind in (FailureKind.CONNECT, FailureKind.DECLINED)
        return _eject(replica, kind, now, eject_at_once=eject_at_once)
    if kind in _REFUSAL_KINDS:
        state.component(ReplicaRegistry).reach.on_answer(now)
        replica.on_refusal(now)
        return []
    if kind is FailureKind.MISDIRECTED:
        # Another process now has the address, so this replica has ended.
        state.component(ReplicaRegistry).remove(replica.entry.name, now)
        return [
            *confirm_crashes(replica, str(kind), END_CONFIRM_S, now),
            DropReplicaConnections(replica.entry.name),
        ]
    effects: list[Effect] = []
    if kind is FailureKind.CONNECT:
        return on_connect_failed(state, replica, now, is_refused=event.is_refused)
    if kind is FailureKind.CRASH:
        attempt.part.call.n_lost += 1
        effects += suspect_crash(attempt, now)
    return [*effects, *_eject(replica, kind, now, eject_at_once=False)]


def _eject(
    replica: LiveReplica, kind: FailureKind, now: float, *, eject_at_once: bool
) -> list[Effect]:
    backoff_s = replica.on_failure(now, eject_at_once=eject_at_once)
    if not backoff_s:
        return []
    return [ejection_event(replica, str(kind), backoff_s)]


def _on_lost(state: HostState, part: Part, now: float) -> list[Effect]:
    """Retry a part whose replica may have crashed, alone if others were lost too."""
    call = part.call
    if part is call.probe:
        if not part.attempts:
            fail_held(call)
        return _reply_or_wait(state, part, now)
    if should_probe(state, call, now):
        call.probe = part
    if is_held(call, part):
        part.hedge_at = None
        return _reply_or_wait(state, part, now)
    return _retry_or_fail(state, part, now, not_run=False)


def _fail_if_unsent(state: HostState, part: Part, now: float) -> list[Effect]:
    """Mark a part without attempts as failed, and reply to its call if it is ready."""
    if not part.attempts:
        part.failed = True
        part.hedge_at = None
    return _reply_or_wait(state, part, now)


def _retry_or_fail(
    state: HostState, part: Part, now: float, *, not_run: bool
) -> list[Effect]:
    """Retry the part, wait for its other attempt, or mark it as failed."""
    effects: list[Effect] = []
    may_repeat = not_run or part.call.route.idempotent
    # A delegate may already have sent all attempts that the route allows.
    if may_repeat and not part.call.is_delegated:
        sent = send_retry(state, part, now)
        if sent is not None:
            effects = sent
    if part is part.call.probe and not part.attempts:
        part.failed = True
        effects += move_probe(state, part.call, now)
    return [*effects, *_fail_if_unsent(state, part, now)]


def _reply_or_wait(state: HostState, part: Part, now: float) -> list[Effect]:
    """Reply to the call if it is ready, else set its timer."""
    call = part.call
    effects = reply_if_ready(state, call, now)
    return effects or [call_timer(call, now)]


@handles(TimerFired, needs=CallTable)
def on_timer(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """Hedge slow parts, reply at the objective, or refuse at the deadline."""
    prefix, _, number = event.timer_id.partition(":")
    if prefix != "call":
        return []
    call = state.component(CallTable).calls_.get(int(number))
    if call is None:
        return []
    if call.is_ended:
        return abort_lingering(state, call, now)
    effects = reply_if_ready(state, call, now)
    if effects:
        return effects
    is_late = now >= call.objective_at + DELEGATE_LATE_S
    if call.is_delegated and call.route.is_fanout and is_late:
        effects += _eject_delegate(call, now)
    for part in call.parts:
        if part.hedge_at is not None and now >= part.hedge_at:
            effects += send_hedge(state, part, now)
    return [*effects, call_timer(call, now)]


def _eject_delegate(call: Call, now: float) -> list[Effect]:
    """Eject a delegate that does not answer, and close its idle connections.

    Only a new connection can show that the delegate answers again.
    """
    effects: list[Effect] = []
    for attempt in call.parts[0].attempts.values():
        replica = attempt.replica
        backoff_s = replica.on_failure(now, eject_at_once=True)
        if backoff_s:
            effects.append(ejection_event(replica, "silent", backoff_s))
            effects.append(DropReplicaConnections(replica.entry.name))
    return effects


@handles(CallAbandoned, needs=CallTable)
def on_abandoned(state: HostState, event: CallAbandoned, now: float) -> list[Effect]:
    """End the call of a caller that has left."""
    call = state.component(CallTable).calls_.get(event.call_id)
    if call is None or call.is_ended:
        return []
    return [Count("forwarding_calls_abandoned"), *abandon(state, call, now)]


def _attempt_event(attempt: Attempt, outcome: str, now: float) -> LogEvent:
    entry = attempt.replica.entry
    fields = {
        "request": attempt.part.call.req.request_id.decode("latin-1"),
        "service": entry.service,
        "replica": entry.name,
        "entry_age_s": round(now - attempt.replica.first_seen_at, 1),
        "elapsed_ms": round((now - attempt.sent_at) * 1000, 1),
        "outcome": outcome,
    }
    return LogEvent(log_events.ATTEMPT_FAILED, fields)
