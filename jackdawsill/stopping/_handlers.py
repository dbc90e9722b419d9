"""Reducer handlers of the start and stop of a host."""

from jackdawsill.core import (
    Effect,
    HostState,
    StopRequested,
    Tick,
    TimerFired,
    handles,
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
