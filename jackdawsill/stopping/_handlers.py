"""Reducer handlers of the host lifecycle."""

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
from jackdawsill.stopping._lifecycle import HostLifecycle


@handles(Tick, needs=HostLifecycle)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Enter the next phase when the current one is finished."""
    return state.component(HostLifecycle).on_tick(state, now)


@handles(StopRequested, needs=HostLifecycle)
def on_stop(state: HostState, event: StopRequested, now: float) -> list[Effect]:
    """Start the graceful stop."""
    return state.component(HostLifecycle).on_stop(state, now)


@handles(TimerFired, needs=HostLifecycle)
def on_timer(state: HostState, event: TimerFired, now: float) -> list[Effect]:
    """End a phase at its time limit."""
    return state.component(HostLifecycle).on_timer(state, event, now)


@status_section("stopping")
def lifecycle_status(state: HostState, now: float) -> dict[str, Any]:
    """Return the phase, the number of pending requests and the successor."""
    lifecycle = state.components_.get(HostLifecycle)
    if lifecycle is None:
        return {}
    pending_work = lifecycle.pending_work(state)
    return {
        "phase": str(lifecycle.phase_),
        "n_in_hand": pending_work.n_pending,
        "successor": lifecycle.successor_,
    }
