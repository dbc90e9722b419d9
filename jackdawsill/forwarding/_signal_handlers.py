"""Handlers of what replicas say of themselves in their answers."""

from jackdawsill.core import (
    Count,
    Effect,
    EmitEvent,
    HostState,
    LogEvent,
    Tick,
    handles,
)
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._effects import DropReplicaConnections, RejectWaiting
from jackdawsill.forwarding._events import (
    PEER,
    LeavingRecorded,
    LeavingReported,
    ReplicaSpoke,
)
from jackdawsill.forwarding._registry import ReplicaRegistry

STATUS_UNAVAILABLE = 503  # the only status with which a replica may ask for time


@handles(ReplicaSpoke, needs=ReplicaRegistry)
def on_spoke(state: HostState, event: ReplicaSpoke, now: float) -> list[Effect]:
    """Send nothing more to a replica that leaves, or nothing until it is ready."""
    signals = event.signals
    fields = {
        "replica": event.replica,
        "request": event.request_id,
        "status": event.status,
    }
    effects: list[Effect] = []
    if signals.problem:
        problem = {"problem": signals.problem}
        effects.append(LogEvent(log_events.SIGNAL_INVALID, fields | problem))
    if signals.is_leaving:
        effects += _on_leaving(
            state, event.replica, event.incarnation, fields, is_own=True
        )
    if signals.hold_s is not None and event.status == STATUS_UNAVAILABLE:
        effects += _hold(state, event, signals.hold_s, fields, now)
    return effects


@handles(LeavingReported, needs=ReplicaRegistry)
def on_reported(state: HostState, event: LeavingReported, now: float) -> list[Effect]:
    """Avoid a replica that leaves according to a peer."""
    fields = {"replica": event.replica, "request": None, "status": None}
    return _on_leaving(state, event.replica, event.incarnation, fields, is_own=False)


def _on_leaving(
    state: HostState, name: str, incarnation: str, fields: dict, *, is_own: bool
) -> list[Effect]:
    registry = state.component(ReplicaRegistry)
    if not registry.mark_leaving(name, incarnation, is_own=is_own):
        return []
    source = "answer" if is_own else PEER
    effects: list[Effect] = [
        Count("forwarding_replicas_leaving", labels=(("source", source),)),
        LogEvent(log_events.REPLICA_LEAVING, fields | {"source": source}),
        EmitEvent(LeavingRecorded(name, incarnation)),
    ]
    if is_own:
        effects.append(RejectWaiting(name, incarnation))
        effects.append(DropReplicaConnections(name))
    return effects


def _hold(
    state: HostState, event: ReplicaSpoke, hold_s: float, fields: dict, now: float
) -> list[Effect]:
    registry = state.component(ReplicaRegistry)
    replica = registry.replicas_.get(event.replica)
    if replica is None or replica.entry.incarnation != event.incarnation:
        return []
    if now + hold_s <= replica.held_until:
        return []
    replica.held_until = now + hold_s
    registry.held_.add(event.replica)
    return [
        Count("forwarding_replicas_held"),
        LogEvent(log_events.REPLICA_HELD, fields | {"hold_s": hold_s}),
        RejectWaiting(event.replica, event.incarnation),
    ]


@handles(Tick, needs=ReplicaRegistry)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Report replicas whose time has ended."""
    registry = state.component(ReplicaRegistry)
    effects: list[Effect] = []
    for name in sorted(registry.held_):
        replica = registry.replicas_.get(name)
        if replica is None or now >= replica.held_until:
            registry.held_.discard(name)
            fields = {"replica": name, "is_known": replica is not None}
            effects.append(LogEvent(log_events.REPLICA_HOLD_ENDED, fields))
    return effects
