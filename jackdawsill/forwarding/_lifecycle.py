"""Phases of a gateway: waiting for routes and replicas, serving, stopping."""

from enum import StrEnum

from jackdawsill.core import (
    Effect,
    Exit,
    HostState,
    LogEvent,
    SetReadiness,
    StopRequested,
    Tick,
    handles,
)
from jackdawsill.forwarding import _errors as errors
from jackdawsill.forwarding import _log_events as log_events
from jackdawsill.forwarding._calls import CallTable
from jackdawsill.forwarding._catalog import RouteCatalog
from jackdawsill.forwarding._effects import CloseCallerConnections
from jackdawsill.forwarding._policy import ForwardingPolicy
from jackdawsill.forwarding._registry import ReplicaRegistry
from jackdawsill.forwarding._replies import refuse

# Fraction of the grace period during which new connections are still accepted. The load
# balancer checks readiness each second and stops sending after two failed checks.
LAMEDUCK_FRACTION = 0.42
# Fraction of the grace period after which the process exits despite calls in progress.
EXIT_FRACTION = 0.9
# Calls that arrive in `DRAINING` get their final reply this long before the exit, so
# that it can be sent and read.
FINAL_REPLY_MARGIN_S = 0.1


class GatewayPhase(StrEnum):
    """Phases of a gateway, in order.

    In `LAMEDUCK` the readiness check fails but calls are still served; in `DRAINING`
    the gateway only waits for the calls in progress.
    """

    WAITING = "waiting"
    SERVING = "serving"
    LAMEDUCK = "lameduck"
    DRAINING = "draining"
    ENDED = "ended"


class GatewayLifecycle:
    """Hold the phase of the gateway, and when its stop was requested."""

    __slots__ = ("phase_", "stop_requested_at_")

    def __init__(self) -> None:
        self.phase_ = GatewayPhase.WAITING
        self.stop_requested_at_ = 0.0

    def exit_at(self, grace_s: float) -> float:
        """Return the time at which the process exits despite calls in progress."""
        return self.stop_requested_at_ + EXIT_FRACTION * grace_s

    def last_reply_at(self, grace_s: float) -> float | None:
        """Return by when arriving calls must be replied to, or None for no limit.

        Calls are limited once the load balancer has had the time to notice the stop.
        """
        if self.phase_ not in (GatewayPhase.DRAINING, GatewayPhase.ENDED):
            return None
        return self.exit_at(grace_s) - FINAL_REPLY_MARGIN_S

    def enter(self, phase: GatewayPhase) -> LogEvent:
        """Change the phase and return the log event."""
        fields = {"before": str(self.phase_), "after": str(phase)}
        self.phase_ = phase
        return LogEvent(log_events.PHASE_CHANGED, fields)


@handles(StopRequested, needs=GatewayLifecycle)
def on_stop(state: HostState, event: StopRequested, now: float) -> list[Effect]:
    """Fail the readiness check, and serve until the load balancer has noticed."""
    life = state.component(GatewayLifecycle)
    if life.phase_ not in (GatewayPhase.WAITING, GatewayPhase.SERVING):
        return []
    state.ready_ = False
    life.stop_requested_at_ = now
    return [
        life.enter(GatewayPhase.LAMEDUCK),
        SetReadiness(False, "stopping"),
        CloseCallerConnections(idle_now=False),
    ]


@handles(Tick, needs=GatewayLifecycle)
def on_tick(state: HostState, event: Tick, now: float) -> list[Effect]:
    """Enter the next phase when the condition of the present one is met."""
    life = state.component(GatewayLifecycle)
    if life.phase_ is GatewayPhase.WAITING:
        has_known_state = (
            state.component(RouteCatalog).routes_ is not None
            and state.component(ReplicaRegistry).position_ is not None
        )
        if not has_known_state:
            return []
        state.ready_ = True
        return [life.enter(GatewayPhase.SERVING), SetReadiness(True)]
    grace_s = state.component(ForwardingPolicy).grace_s
    stopping_s = now - life.stop_requested_at_
    if life.phase_ is GatewayPhase.LAMEDUCK:
        if stopping_s < LAMEDUCK_FRACTION * grace_s:
            return []
        return [
            life.enter(GatewayPhase.DRAINING),
            CloseCallerConnections(idle_now=True),
        ]
    if life.phase_ is GatewayPhase.DRAINING:
        has_calls = any(
            not c.is_ended for c in state.component(CallTable).calls_.values()
        )
        if has_calls and now < life.exit_at(grace_s):
            return [CloseCallerConnections(idle_now=True)]
        return [
            *_refuse_unfinished(state, now),
            life.enter(GatewayPhase.ENDED),
            Exit(),
        ]
    return []


def _refuse_unfinished(state: HostState, now: float) -> list[Effect]:
    """Reply to the calls that are still in progress when the process exits."""
    effects: list[Effect] = []
    for call in list(state.component(CallTable).calls_.values()):
        if not call.is_ended:
            error = errors.HostStopping("the host stops before the call was answered")
            effects += refuse(state, call, now, error)
    return effects
