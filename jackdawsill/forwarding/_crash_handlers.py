"""Handlers of replicas that crashed while they ran requests."""

from jackdawsill.core import (
    Effect,
    EmitEvent,
    HostState,
    LogEvent,
    Tick,
    handles,
)
from jackdawsill.forwarding import _errors as errors
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._calls import CallTable
from jackdawsill.forwarding._crash_suspects import is_overdue, suspect_crash
from jackdawsill.forwarding._crashes import CrashEvidence
from jackdawsill.forwarding._events import (
    CrashConfirmed,
    CrashRecorded,
    RequestCondemned,
)
from jackdawsill.forwarding._replica import LiveReplica
from jackdawsill.forwarding._replies import refuse


@handles(Tick, needs=CallTable)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Suspect requests in progress that are overdue at replicas that have ended.

    Their attempts may go on for as long as the route allows.
    """
    effects: list[Effect] = []
    for attempt in state.component(CallTable).attempts_.values():
        if attempt.replica.ended_at is None or attempt.is_suspected:
            continue
        if is_overdue(attempt, now):
            attempt.is_suspected = True
            effects += suspect_crash(attempt, now)
    return effects


@handles(CrashConfirmed, needs=CrashEvidence)
def on_crash(state: HostState, event: CrashConfirmed, now: float) -> list[Effect]:
    """Record a crash as evidence against the request that was running."""
    evidence = state.component(CrashEvidence)
    fingerprint = event.fingerprint
    was_condemned = evidence.is_condemned(fingerprint, now)
    crash = evidence.on_crash(fingerprint, event.crash, now, event.age_s)
    if crash is None:
        return []
    fields = {
        "fingerprint": fingerprint,
        "request": crash.request_id,
        "replica": crash.replica,
    }
    n_crashes, n_calls = evidence.count(fingerprint)
    counts = {
        "n_crashes": n_crashes,
        "n_calls": n_calls,
        "is_repeat": crash.is_repeat,
        "source": event.source,
    }
    effects: list[Effect] = [
        LogEvent(log_events.CRASH_RECORDED, fields | counts),
        EmitEvent(CrashRecorded(fingerprint, crash)),
    ]
    if was_condemned or not evidence.is_condemned(fingerprint, now):
        return effects
    return [
        *effects,
        LogEvent(log_events.REQUEST_CONDEMNED, fields),
        EmitEvent(RequestCondemned(fingerprint)),
    ]


@handles(RequestCondemned, needs=CallTable)
def on_condemned(state: HostState, event: RequestCondemned, now: float) -> list[Effect]:
    """Refuse the calls in progress of a request that is condemned now."""
    calls = [
        call
        for call in state.component(CallTable).calls_.values()
        if call.fingerprint == event.fingerprint and not call.is_ended
    ]
    effects: list[Effect] = []
    for call in calls:
        error = errors.Condemned("the request crashed the replicas that ran it")
        effects += refuse(state, call, now, error)
    return effects


def on_replica_answer(
    state: HostState, replica: LiveReplica, sent_at: float
) -> list[Effect]:
    """Remove the crashes of a replica whose process answers, so has not crashed."""
    entry = replica.entry
    key = (entry.name, entry.incarnation)
    evidence = state.component(CrashEvidence)
    return [
        LogEvent(
            log_events.CRASH_REFUTED,
            {"replica": entry.name, "fingerprint": fingerprint},
        )
        for fingerprint in evidence.on_replica_answer(key, sent_at)
    ]
