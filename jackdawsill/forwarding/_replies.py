"""Replies to callers, and the end of calls and their remaining attempts."""

import heapq

from jackdawsill.core import (
    ClearTimer,
    Count,
    Effect,
    HostState,
    LogEvent,
    Observe,
    SetTimer,
)
from jackdawsill.exceptions import JackdawsillError, Outcome
from jackdawsill.forwarding import _errors as errors
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._calls import Attempt, Call, CallTable, Part
from jackdawsill.forwarding._crash_suspects import may_have_crashed, suspect_crash
from jackdawsill.forwarding._effects import (
    AbortAttempt,
    PassAnswer,
    RefuseCall,
    SendMerged,
    WithdrawUnsent,
)
from jackdawsill.forwarding._model import MergedAnswer
from jackdawsill.forwarding._policy import LINGER_S
from jackdawsill.forwarding._replica import LiveReplica
from jackdawsill.forwarding._retry_after import n_parts_needed, retry_after_ms

# Length of one record in the body of a part, from the platform's contract.
RECORD_BYTES = 16
CALL_SECONDS = "forwarding_call_seconds"


def greatest_records(bodies: list[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of all bodies, greatest first.

    Bytes after the last complete record of a body are ignored.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top_k, records))


def reply_if_ready(state: HostState, call: Call, now: float) -> list[Effect]:
    """Reply if the call is answered, has failed or expired; else return no effects."""
    if call.is_ended:
        return []
    if call.route.is_fanout and not call.is_delegated:
        return _reply_fanout(state, call, now)
    return _reply_single(state, call, now)


def _reply_single(state: HostState, call: Call, now: float) -> list[Effect]:
    part = call.parts[0]
    if part.answer is not None:
        reply = PassAnswer(call.call_id, part.answer)
        return _finish(state, call, now, reply, str(part.answer.status))
    if part.failed:
        if part.failure is not None:
            reply = PassAnswer(call.call_id, part.failure)
            return _finish(state, call, now, reply, str(part.failure.status))
        return refuse(state, call, now, _failure_error(state, call, now, part.outcome))
    if now >= call.deadline_at:
        return refuse(state, call, now, _deadline_error(call))
    return []


def _reply_fanout(state: HostState, call: Call, now: float) -> list[Effect]:
    n_answered = call.n_answered
    n_needed = n_parts_needed(call)
    n_failed = sum(part.failed for part in call.parts)
    is_complete = n_answered + n_failed == len(call.parts)
    if n_answered >= n_needed and (is_complete or now >= call.objective_at):
        return _deliver_merged(state, call, now)
    if len(call.parts) - n_failed < n_needed:
        reasons = sorted({part.outcome for part in call.parts if part.failed})
        error = _failure_error(state, call, now, ", ".join(reasons))
        return refuse(state, call, now, error)
    if now >= call.deadline_at:
        return refuse(state, call, now, _deadline_error(call))
    return []


def _deliver_merged(state: HostState, call: Call, now: float) -> list[Effect]:
    """Reply with the merged answers; of equal signatures, only the first counts."""
    signatures: dict[bytes, bytes] = {}
    for part in call.parts:
        if part.answer is not None and part.answer.signature is not None:
            signatures.setdefault(part.answer.signature, part.answer.body)
    n_missing = len(call.parts) - len(signatures)
    body = greatest_records(list(signatures.values()), call.route.top_k)
    reply = SendMerged(call.call_id, MergedAnswer(tuple(signatures), n_missing, body))
    effects = _finish(state, call, now, reply, "200")
    if n_missing:
        effects.append(Count("forwarding_answers_partial"))
    return effects


def _failure_error(
    state: HostState, call: Call, now: float, reason: str
) -> JackdawsillError:
    """Return the error of a call whose attempts have failed."""
    if not call.may_have_run:
        message = f"no replica accepted the call: {reason}"
        retry_ms = retry_after_ms(state, call, now)
        return errors.NoReplica(message, retry_after_ms=retry_ms)
    if call.route.is_fanout and not call.is_delegated:
        n_parts = len(call.parts)
        return errors.CoverageTooLow(
            f"{call.n_answered} of {n_parts} shards answered, {n_parts_needed(call)} "
            "needed: "
            f"{reason}"
        )
    return errors.AttemptsFailed(f"all attempts failed: {reason}")


def _deadline_error(call: Call) -> JackdawsillError:
    """Return the error of a call whose deadline passed."""
    may_run = call.may_have_run or any(part.attempts for part in call.parts)
    if may_run:
        return errors.DeadlinePassed("no answer before the deadline")
    return errors.ExpiredUnsent("the deadline passed before the call was sent")


def refuse(
    state: HostState, call: Call, now: float, error: JackdawsillError
) -> list[Effect]:
    """Refuse a call; NOT_RUN becomes an unknown outcome if an attempt may have run."""
    has_attempts = any(part.attempts for part in call.parts)
    if error.outcome is Outcome.NOT_RUN and (call.may_have_run or has_attempts):
        error = errors.AttemptsFailed(error.message)
    reply = RefuseCall(call.call_id, error)
    effects = _finish(state, call, now, reply, error.code_text)
    labels = (("error", type(error).__name__),)
    return [*effects, Count("forwarding_calls_refused", labels=labels)]


def abandon(state: HostState, call: Call, now: float) -> list[Effect]:
    """End a call whose caller has closed its connection."""
    effects = _finish(state, call, now, None, "caller left")
    if call.is_delegated:
        # The delegate itself waits for attempts that are about to end.
        effects += abort_lingering(state, call, now)
    return effects


def _finish(
    state: HostState, call: Call, now: float, reply: Effect | None, outcome: str
) -> list[Effect]:
    """Reply, log the call, and give its attempts in progress LINGER_S to end."""
    call.is_ended = True
    for part in call.parts:
        part.hedge_at = None
    elapsed_s = now - call.arrived_at
    effects: list[Effect] = [] if reply is None else [reply]
    labels = (("route", call.route.name),)
    effects.append(Observe(CALL_SECONDS, elapsed_s, labels))
    effects.append(_call_event(call, outcome, elapsed_s))
    attempt_ids = [id_ for part in call.parts for id_ in part.attempts]
    effects += map(WithdrawUnsent, attempt_ids)
    if attempt_ids:
        # An attempt that ends by itself keeps its connection usable.
        effects.append(SetTimer(call.timer_id, now + LINGER_S))
    else:
        state.component(CallTable).calls_.pop(call.call_id, None)
        effects.append(ClearTimer(call.timer_id))
    return effects


def abort_lingering(state: HostState, call: Call, now: float) -> list[Effect]:
    """Abort the attempts still in progress after their call has ended."""
    table = state.component(CallTable)
    effects: list[Effect] = []
    for part in call.parts:
        for attempt_id, attempt in list(part.attempts.items()):
            attempt.replica.in_flight -= 1
            if part.answer is None and may_have_crashed(attempt, now):
                effects += suspect_crash(attempt, now)
            if not call.is_delegated and table.has_latency_samples(call.route):
                effects += _record_abort(attempt, now)
            table.attempts_.pop(attempt_id, None)
            effects.append(AbortAttempt(attempt_id))
        part.attempts.clear()
    table.calls_.pop(call.call_id, None)
    return effects


def _record_abort(attempt: Attempt, now: float) -> list[Effect]:
    """Record that an attempt is aborted without an answer; it may eject the replica."""
    elapsed_s = now - attempt.sent_at - attempt.rtt_s
    backoff_s = attempt.replica.on_abort(elapsed_s, attempt.typical_s, now)
    if not backoff_s:
        return []
    return [ejection_event(attempt.replica, "silent", backoff_s)]


def ejection_event(replica: LiveReplica, kind: str, backoff_s: float) -> LogEvent:
    """Return the log event of an ejected replica."""
    fields = {
        "replica": replica.entry.name,
        "service": replica.entry.service,
        "kind": kind,
        "backoff_s": backoff_s,
        "n_failures": replica.n_failures,
    }
    return LogEvent(log_events.REPLICA_EJECTED, fields)


def _call_event(call: Call, outcome: str, elapsed_s: float) -> LogEvent:
    fields = {
        "request": call.req.request_id.decode("latin-1"),
        "route": call.route.name,
        "config": call.version,
        "outcome": outcome,
        "elapsed_ms": round(elapsed_s * 1000, 1),
        "left_ms": round((call.deadline_at - call.arrived_at - elapsed_s) * 1000),
        "parts": len(call.parts),
        "delegate": next(iter(call.parts[0].tried)) if call.is_delegated else None,
        "answered": call.n_answered,
        "hedge_ms": round(call.hedge_delay_s * 1000, 1),
        "hedges": call.n_hedges,
        "withheld": call.n_withheld,
        "retries": call.n_retries,
    }
    missing = [_describe_part(part) for part in call.parts if part.answer is None]
    if missing:
        fields["missing"] = missing[:20]
    return LogEvent(log_events.CALL_ENDED, fields)


def _describe_part(part: Part) -> str:
    """Return service, state and replicas of a part for the log."""
    state = part.outcome or ("open" if part.attempts else "unsent")
    return f"{part.service} {state} {'/'.join(sorted(part.tried))}"
