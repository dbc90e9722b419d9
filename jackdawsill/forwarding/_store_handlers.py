"""Handlers of updates of routes and replicas, and of the store's state."""

from jackdawsill.core import (
    Count,
    Effect,
    EmitEvent,
    HostState,
    LogEvent,
    PauseDetected,
    Tick,
    handles,
)
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._crash_suspects import confirm_crashes
from jackdawsill.forwarding._effects import (
    CheckStore,
    DropIdleConnections,
    DropReplicaConnections,
)
from jackdawsill.forwarding._events import (
    PEER,
    STORE,
    ReplicasChanged,
    ReplicasExpired,
    ReplicasListed,
    RoutesRead,
    StoreAnswerTooLong,
    StoreConfirmed,
    StoreHistoryLost,
    StoreLost,
    StoreRegained,
)
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replica import END_CONFIRM_S


@handles(RoutesRead, needs=RouteCatalog)
def on_routes(state: HostState, event: RoutesRead, now: float) -> list[Effect]:
    """Accept the configuration if it is newer than the accepted one."""
    catalog = state.component(RouteCatalog)
    before = catalog.version
    if not catalog.accept(event.routes, now):
        return []
    fields = {
        "version": catalog.version,
        "before": before,
        "n_routes": len(event.routes.routes),
        "source": event.source,
    }
    return [LogEvent(log_events.ROUTES_ACCEPTED, fields)]


@handles(ReplicasListed, needs=ReplicaRegistry)
def on_listed(state: HostState, event: ReplicasListed, now: float) -> list[Effect]:
    """Replace all replicas with a complete list."""
    registry = state.component(ReplicaRegistry)
    n_before = len(registry.replicas_)
    before = registry.position_
    dropped = registry.replace_all(
        event.entries,
        event.position,
        now,
        is_relayed=event.source == PEER,
        lapsed=event.lapsed,
    )
    fields = {
        "revision": event.position.revision,
        "era": event.position.era,
        "n_before": n_before,
        "n_now": len(registry.replicas_),
        "dropped": dropped[:20],
        "older": registry.older_[:20],
        "held_back": sorted(registry.retired.held_back_)[:20],
        "source": event.source,
    }
    effects: list[Effect] = [LogEvent(log_events.REPLICAS_LISTED, fields)]
    if before is not None and before.era < event.position.era:
        fields = {
            "before": before.era,
            "era": event.position.era,
            "revision_before": before.revision,
            "revision": event.position.revision,
        }
        effects.append(LogEvent(log_events.STORE_RESTORED, fields))
    return effects + _drop(dropped) + _confirm_ended(registry, event.source, now)


@handles(ReplicasChanged, needs=ReplicaRegistry)
def on_changed(state: HostState, event: ReplicasChanged, now: float) -> list[Effect]:
    """Apply written and removed replica entries."""
    registry = state.component(ReplicaRegistry)
    dropped = registry.apply_changes(
        event.written,
        event.removed,
        event.position,
        now,
        may_lapse=event.may_lapse,
        has_expired=event.base == event.position,
    )
    fields = {
        "revision": event.position.revision,
        "written": [_describe_entry(entry) for entry in event.written[:20]],
        "removed": list(event.removed[:20]),
        "lapsed": [n for n in event.removed[:20] if n in registry.replicas_],
        "n_now": len(registry.replicas_),
        "older": registry.older_[:20],
        "source": event.source,
    }
    return [
        LogEvent(log_events.REPLICAS_CHANGED, fields),
        *_drop(dropped),
        *_confirm_ended(registry, event.source, now),
    ]


@handles(StoreHistoryLost, needs=ReplicaRegistry)
def on_history_lost(
    state: HostState, event: StoreHistoryLost, now: float
) -> list[Effect]:
    """Report that all routes and replicas are read again."""
    return [LogEvent(log_events.HISTORY_LOST, {"revision": event.position.revision})]


@handles(StoreAnswerTooLong, needs=ReplicaRegistry)
def on_too_long(
    state: HostState, event: StoreAnswerTooLong, now: float
) -> list[Effect]:
    """Report that changes could not be read, and all is read instead."""
    return [
        Count("forwarding_store_answers_too_long"),
        LogEvent(log_events.STORE_ANSWER_TOO_LONG, {"detail": event.detail[:200]}),
    ]


@handles(StoreLost, needs=ReplicaRegistry)
def on_lost(state: HostState, event: StoreLost, now: float) -> list[Effect]:
    """Record that the store is unreachable; the known routes and replicas stay."""
    registry = state.component(ReplicaRegistry)
    if registry.store_lost_at_ is not None:
        return []
    registry.on_store_lost(now)
    fields = {
        "detail": event.detail,
        "config": state.component(RouteCatalog).version,
        "revision": _known_revision(registry),
        "age_s": round(now - registry.changed_at_, 1),
    }
    return [LogEvent(log_events.STORE_LOST, fields)]


@handles(StoreRegained, needs=ReplicaRegistry)
def on_regained(state: HostState, event: StoreRegained, now: float) -> list[Effect]:
    """Record that the store is reachable again."""
    registry = state.component(ReplicaRegistry)
    lost_at = registry.store_lost_at_
    if lost_at is None:
        return []
    registry.on_store_regained(now)
    fields = {"away_s": round(now - lost_at, 1), "revision": _known_revision(registry)}
    return [LogEvent(log_events.STORE_REGAINED, fields)]


@handles(Tick, needs=ReplicaRegistry)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Remove expired replicas, and use entries that were held back for long enough."""
    registry = state.component(ReplicaRegistry)
    gone = registry.expire(now)
    effects: list[Effect] = []
    due = tuple(registry.retired.take_due(now))
    if due:
        at = registry.known_position
        effects.append(EmitEvent(ReplicasChanged(due, (), at, STORE, at)))
    if not gone:
        return effects
    fields = {"replicas": gone[:20], "n": len(gone)}
    return [
        *effects,
        LogEvent(log_events.REPLICAS_EXPIRED, fields),
        *_drop(gone),
        *_confirm_ended(registry, STORE, now),
        EmitEvent(ReplicasExpired(tuple(gone))),
    ]


@handles(StoreConfirmed, needs=ReplicaRegistry)
def on_confirmed(state: HostState, event: StoreConfirmed, now: float) -> list[Effect]:
    """Advance the known position; all changes up to it have been applied."""
    state.component(ReplicaRegistry).advance(event.position)
    return []


@handles(PauseDetected, needs=ReplicaRegistry)
def on_pause(state: HostState, event: PauseDetected, now: float) -> list[Effect]:
    """Close idle connections and read the store again after a process pause.

    Connections may have died and entries may have changed during the pause.
    """
    fields = {"gap_s": round(event.gap_s, 2)}
    return [
        LogEvent(log_events.PAUSE_NOTICED, fields),
        DropIdleConnections(),
        CheckStore(),
    ]


def _known_revision(registry: ReplicaRegistry) -> int | None:
    return None if registry.position_ is None else registry.position_.revision


def _drop(names: list[str]) -> list[Effect]:
    return [DropReplicaConnections(name) for name in names]


def _confirm_ended(registry: ReplicaRegistry, source: str, now: float) -> list[Effect]:
    """Report the crashes of replicas that left without draining."""
    return [
        effect
        for replica in registry.ended_
        for effect in confirm_crashes(replica, source, END_CONFIRM_S, now)
    ]


def _describe_entry(entry) -> str:
    state = "draining" if entry.draining else "ready"
    return f"{entry.name} {entry.service} {state}"
