"""Reducer handlers of the start and stop of a host."""

from typing import Any

from jackdawsill.core import (
    Effect,
    HostState,
    StopRequested,
    Tick,
    TimerFired,
    handles,
    status_section,
)
from jackdawsill.stopping._stopping import HostLifecycle


@handles(Tick, needs=HostLifecycle)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Move on when a phase has reached its aim."""
    return state.component(HostLifecycle).on_tick(state, now)


@handles(StopRequested, needs=HostLifecycle)
def on_stop(state: HostState, event: StopRequested, now: float) -> list[Effect]:
    """Begin the graceful stop."""
    return state.component(HostLifecycle).on_stop(state, now)


@handles(TimerFired, needs=HostLifecycle)
def on_timer(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """End a phase at its limit."""
    return state.component(HostLifecycle).on_timer(state, event, now)


@status_section("stopping")
def stopping_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the phase and what a stop still waits for."""
    stopping = state.components_.get(HostLifecycle)
    if stopping is None:
        return {}
    pending_work = stopping.pending_work(state)
    return {
        "phase": str(stopping.phase_),
        "n_in_hand": pending_work.n,
        "successor": stopping.successor_,
    }
