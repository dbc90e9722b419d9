"""The reducer: the one place where events change the state of a host."""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from jackdawsill.core._effects import Effect, EmitEvent
from jackdawsill.core._events import Event, PauseDetected

if TYPE_CHECKING:
    from jackdawsill.core._state import HostState

TICK_INTERVAL_S = 0.1
PAUSE_THRESHOLD_S = 1.0

E = TypeVar("E", bound=Event)
Handler = Callable[["HostState", E, float], list[Effect]]

Gate = Callable[["HostState", E, float], bool]

HANDLERS: dict[type[Event], list[Handler]] = {}
NEEDS: dict[Handler, type] = {}
EVENT_FILTERS: dict[type[Event], list[Gate]] = {}


def handles(
    event_type: type[E], needs: type | None = None
) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler of `event_type`.

    The handler is skipped on hosts whose component of the class `needs` is absent
    or replaced by another class, so that components can be embedded alone.
    """

    def decorate(handler: Handler) -> Handler:
        HANDLERS.setdefault(event_type, []).append(handler)
        if needs is not None:
            NEEDS[handler] = needs
        return handler

    return decorate


def event_filter(event_type: type[E]) -> Callable[[Gate], Gate]:
    """Return a decorator that registers a gate of `event_type`.

    An event that a gate does not let pass reaches no handler.
    """

    def decorate(gate: Gate) -> Gate:
        EVENT_FILTERS.setdefault(event_type, []).append(gate)
        return gate

    return decorate


def reduce(state: "HostState", event: Event, now: float) -> list[Effect]:
    """Apply `event` to `state` and return the effects to carry out in order."""
    pending: deque[Event] = deque()
    gap_s = 0.0 if state.last_event_at_ is None else now - state.last_event_at_
    if gap_s > PAUSE_THRESHOLD_S:
        # A host that was paused acts on an outdated view; every part marks its
        # state unconfirmed before the event that woke the process is handled.
        pending.append(PauseDetected(gap_s))
    pending.append(event)
    state.last_event_at_ = now
    effects: list[Effect] = []
    while pending:
        current = pending.popleft()
        if not all(
            gate(state, current, now) for gate in EVENT_FILTERS.get(type(current), ())
        ):
            continue
        for handler in HANDLERS.get(type(current), ()):
            needs = NEEDS.get(handler)
            if needs is not None and not isinstance(
                state.components_.get(needs), needs
            ):
                continue
            for effect in handler(state, current, now):
                if isinstance(effect, EmitEvent):
                    pending.append(effect.event)
                else:
                    effects.append(effect)
    return effects
