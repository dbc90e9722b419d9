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


def _stopping(state: HostState) -> Stopping | None:
    """Return the phase of the host, if it has one."""
    return state.parts_.get(Stopping)


@handles(Tick)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Move on when a phase has reached its aim."""
    stopping = _stopping(state)
    return stopping.on_tick(state, now) if stopping else []


@handles(StopRequested)
def on_stop(state: HostState, event: StopRequested, now: float) -> list[Effect]:
    """Begin the graceful stop."""
    stopping = _stopping(state)
    return stopping.on_stop(state, now) if stopping else []


@handles(TimerFired)
def on_timer(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """End a phase at its limit."""
    stopping = _stopping(state)
    return stopping.on_timer(state, event, now) if stopping else []


@status_section("stopping")
def stopping_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the phase and what a stop still waits for."""
    stopping = _stopping(state)
    if stopping is None:
        return {}
    in_hand = stopping.in_hand(state)
    return {
        "phase": str(stopping.phase_),
        "n_in_hand": in_hand.n,
        "successor": stopping.successor_,
    }
