"""Handlers of connections to replicas, and of cuts of this host from all replicas."""

from jackdawsill.core import (
    Count,
    Effect,
    FailureKind,
    HostState,
    LogEvent,
    Tick,
    handles,
)
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._calls import Call, CallTable
from jackdawsill.forwarding._crash_suspects import confirm_crashes
from jackdawsill.forwarding._diversion import can_divert, divert_or_refuse
from jackdawsill.forwarding._effects import AbortAttempt, VerifyReplica
from jackdawsill.forwarding._events import (
    REFUSED,
    ReplicaConnected,
    ReplicaRefused,
    ReplicaUnreachable,
)
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replica import CRASH_CONFIRM_S, LiveReplica
from jackdawsill.forwarding._replies import ejection_event


@handles(ReplicaConnected, needs=ReplicaRegistry)
def on_connected(state: HostState, event: ReplicaConnected, now: float) -> list[Effect]:
    """Record that this host reaches replicas, and what this shows of others."""
    registry = state.component(ReplicaRegistry)
    if event.replica not in registry.replicas_:
        return []
    registry.on_connected(event.replica, event.elapsed_s, now)
    cut_since = registry.reach.cut_since_
    effects: list[Effect] = []
    if registry.reach.on_connected(now):
        registry.forget_failures()
        registry.refused_.clear()
        fields = {"cut_s": round(now - cut_since, 2), "replica": event.replica}
        effects.append(LogEvent(log_events.HOST_LINKED, fields))
    for name in sorted(registry.refused_):
        replica = registry.replicas_.get(name)
        if replica is not None:
            effects += confirm_crashes(replica, REFUSED, CRASH_CONFIRM_S, now)
    registry.refused_.clear()
    return effects


@handles(ReplicaRefused, needs=ReplicaRegistry)
def on_refused(state: HostState, event: ReplicaRefused, now: float) -> list[Effect]:
    """Eject a replica that refused a connection opened in advance."""
    replica = state.component(ReplicaRegistry).replicas_.get(event.replica)
    if replica is None:
        return []
    return on_connect_failed(state, replica, now, is_refused=True)


@handles(ReplicaUnreachable, needs=ReplicaRegistry)
def on_unreachable(
    state: HostState, event: ReplicaUnreachable, now: float
) -> list[Effect]:
    """Eject a replica to which no connection could be opened in advance."""
    replica = state.component(ReplicaRegistry).replicas_.get(event.replica)
    return [] if replica is None else on_connect_failed(state, replica, now)


def on_connect_failed(
    state: HostState, replica: LiveReplica, now: float, *, is_refused: bool = False
) -> list[Effect]:
    """Eject a replica, and check whether this host reaches any.

    A refused connection shows that the replica crashed if this host reaches others.
    """
    registry = state.component(ReplicaRegistry)
    name = replica.entry.name
    if is_refused and replica.lost_requests:
        registry.refused_.add(name)
    registry.reach.on_connect_failed(name)
    backoff_s = replica.on_failure(now, eject_at_once=True)
    effects: list[Effect] = []
    if backoff_s:
        effects.append(ejection_event(replica, str(FailureKind.CONNECT), backoff_s))
    return [*effects, *_check_reach(state, now)]


@handles(Tick, needs=CallTable)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Start or end a check if it is due."""
    return _check_reach(state, now)


def _check_reach(state: HostState, now: float) -> list[Effect]:
    """End the check whose connections have failed, or start one."""
    registry = state.component(ReplicaRegistry)
    reach = registry.reach
    checked = sorted(reach.failed_)
    if reach.end_check(now):
        registry.refused_.clear()
        return _begin_cut(state, checked, now)
    waiting_since = _waiting_since(state)
    if not reach.is_check_due(waiting_since, now, has_suspects=bool(registry.refused_)):
        return []
    entries = [
        replica.entry
        for replicas in registry.by_service_.values()
        for replica in replicas
        if replica.held_until <= now
    ]
    if not entries:
        return []
    chosen = reach.start_check(entries, now, state.rng)
    return [VerifyReplica(entry) for entry in chosen]


def _waiting_since(state: HostState) -> list[float]:
    """Return since when each replica with attempts in progress owes an answer."""
    since: dict[str, float] = {}
    for attempt in state.component(CallTable).attempts_.values():
        if not attempt.part.call.is_delegated:
            name = attempt.replica.entry.name
            since[name] = min(since.get(name, attempt.sent_at), attempt.sent_at)
    return list(since.values())


def _begin_cut(state: HostState, checked: list[str], now: float) -> list[Effect]:
    """Send the calls in progress through other hosts."""
    answered_at = state.component(ReplicaRegistry).reach.answered_at_
    fields = {"checked": checked[:20], "silent_s": round(now - answered_at, 2)}
    effects: list[Effect] = [
        Count("forwarding_cuts"),
        LogEvent(log_events.HOST_CUT_OFF, fields),
    ]
    for call in list(state.component(CallTable).calls_.values()):
        if call.route.idempotent and can_divert(call):
            effects += _abort_attempts(state, call)
            effects += divert_or_refuse(state, call, now)
    return effects


def _abort_attempts(state: HostState, call: Call) -> list[Effect]:
    """Abort the attempts of a call, which are not the fault of their replicas."""
    table = state.component(CallTable)
    effects: list[Effect] = []
    for part in call.parts:
        for attempt_id, attempt in part.attempts.items():
            attempt.replica.in_flight -= 1
            del table.attempts_[attempt_id]
            part.n_maybe_run += 1
            effects.append(AbortAttempt(attempt_id))
        part.attempts.clear()
    return effects
