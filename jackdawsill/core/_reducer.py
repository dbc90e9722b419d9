"""The reducer, which dispatches events to the handlers of all components."""

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from jackdawsill.core._effects import Effect, EmitEvent
from jackdawsill.core._events import Event, PauseDetected

if TYPE_CHECKING:
    from jackdawsill.core._state import HostState

TICK_INTERVAL_S = 0.1  # of `Tick`, on which components do periodic work
PAUSE_THRESHOLD_S = 1.0  # a longer gap between events counts as a process pause

E = TypeVar("E", bound=Event)
Handler = Callable[["HostState", E, float], list[Effect]]

EventFilter = Callable[["HostState", E, float], bool]

HANDLERS: dict[type[Event], list[Handler]] = {}
REQUIRED_COMPONENTS: dict[Handler, type] = {}
EVENT_FILTERS: dict[type[Event], list[EventFilter]] = {}


def handles(
    event_type: type[E], needs: type | None = None
) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler of `event_type`.

    The handler runs only on hosts with a component of the class `needs`, so that
    components can be embedded separately. An object of another class in its place,
    such as a fake in a test, does not count.
    """

    def decorate(handler: Handler) -> Handler:
        HANDLERS.setdefault(event_type, []).append(handler)
        if needs is not None:
            REQUIRED_COMPONENTS[handler] = needs
        return handler

    return decorate


def event_filter(event_type: type[E]) -> Callable[[EventFilter], EventFilter]:
    """Return a decorator that registers a filter of `event_type`.

    Events for which a filter returns False are dropped before any handler.
    """

    def decorate(predicate: EventFilter) -> EventFilter:
        EVENT_FILTERS.setdefault(event_type, []).append(predicate)
        return predicate

    return decorate


def reduce(state: "HostState", event: Event, now: float) -> list[Effect]:
    """Apply `event` to `state` and return the effects to carry out, in order.

    Emitted events are handled in the same call. A `PauseDetected` event precedes
    `event` if `now` is more than `PAUSE_THRESHOLD_S` after the previous call.
    """
    pending: deque[Event] = deque()
    gap_s = 0.0 if state.last_event_at_ is None else now - state.last_event_at_
    if gap_s > PAUSE_THRESHOLD_S:
        # After a process pause the state may be outdated. Components can mark it
        # unconfirmed before the event is handled.
        pending.append(PauseDetected(gap_s))
    pending.append(event)
    state.last_event_at_ = now
    effects: list[Effect] = []
    while pending:
        current = pending.popleft()
        if not all(
            predicate(state, current, now)
            for predicate in EVENT_FILTERS.get(type(current), ())
        ):
            continue
        for handler in HANDLERS.get(type(current), ()):
            needs = REQUIRED_COMPONENTS.get(handler)
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
