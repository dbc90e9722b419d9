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
from jackdawsill.stopping._stopping import Stopping


@handles(Tick, needs=Stopping)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Move on when a phase has reached its aim."""
    return state.part(Stopping).on_tick(state, now)


@handles(StopRequested, needs=Stopping)
def on_stop(state: HostState, event: StopRequested, now: float) -> list[Effect]:
    """Begin the graceful stop."""
    return state.part(Stopping).on_stop(state, now)


@handles(TimerFired, needs=Stopping)
def on_timer(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """End a phase at its limit."""
    return state.part(Stopping).on_timer(state, event, now)


@status_section("stopping")
def stopping_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the phase and what a stop still waits for."""
    stopping = state.parts_.get(Stopping)
    if stopping is None:
        return {}
    in_hand = stopping.in_hand(state)
    return {
        "phase": str(stopping.phase_),
        "n_in_hand": in_hand.n,
        "successor": stopping.successor_,
    }
