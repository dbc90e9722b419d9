"""Feed events to the reducer, run its timers and carry out its effects."""

import asyncio
import heapq
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from jackdawsill.core import (
    TICK_INTERVAL_S,
    ClearTimer,
    Event,
    HostState,
    LogEvent,
    SetTimer,
    Tick,
    TimerFired,
    reduce,
)
from jackdawsill.logs import log_fields
from jackdawsill.runtime._errors import InternalFault
from jackdawsill.runtime._log_events import (
    EFFECT_FAILED,
    HANDLER_FAILED,
    UNKNOWN_EFFECT,
)

# The loop's timers have a resolution of 1 ms. Delays are rounded up to it, since a
# rounded-down delay makes the loop spin until the timer is due.
LOOP_RESOLUTION_S = 0.001

EffectHandler = Callable[[Any], None]


class Driver:
    """Own the event queue, the timers and the table of actions for effects."""

    __slots__ = (
        "_deadlines",
        "_feeding",
        "_heap",
        "_loop",
        "_n_timers",
        "_queue",
        "_tick_handle",
        "_timer_handle",
        "_timer_wake_at",
        "clock",
        "effect_handlers",
        "on_handler_failure",
        "state",
        "stopped_",
    )

    def __init__(
        self, state: HostState, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.state = state
        self.clock = clock
        self.effect_handlers: dict[type, EffectHandler] = {
            SetTimer: self._set_timer,
            ClearTimer: self._clear_timer,
            LogEvent: self._log_event,
        }
        self.on_handler_failure: Callable[[Event, InternalFault], None] | None = None
        self.stopped_ = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._queue: deque[Event] = deque()
        self._feeding = False
        # Entries (at_s, serial, timer_id); an entry counts only while its serial
        # is the one in `_deadlines`, so a cleared timer needs no heap search.
        self._heap: list[tuple[float, int, str]] = []
        self._deadlines: dict[str, int] = {}
        self._n_timers = 0
        self._timer_handle: asyncio.TimerHandle | None = None
        self._timer_wake_at = 0.0
        self._tick_handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to send ticks; needs a running loop."""
        self._loop = asyncio.get_running_loop()
        self._tick()

    def stop(self) -> None:
        """Send no further events."""
        self.stopped_ = True
        for handle in (self._timer_handle, self._tick_handle):
            if handle is not None:
                handle.cancel()
        self._queue.clear()

    def feed(self, event: Event) -> None:
        """Reduce an event, after those that are being reduced already."""
        if self.stopped_:
            return
        self._queue.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._queue:
                self._reduce_one(self._queue.popleft())
        finally:
            self._feeding = False

    def log(self, number: int, /, **fields: Any) -> None:
        """Write a log event of this host."""
        log_fields(number, {**fields, "host": self.state.name})

    def _reduce_one(self, event: Event) -> None:
        """Reduce one event and carry out its effects."""
        try:
            effects = reduce(self.state, event, self.clock())
        except Exception as exc:
            self.log(HANDLER_FAILED, event=type(event).__name__, detail=repr(exc))
            if self.on_handler_failure is not None:
                # The effects of this event are lost, so nothing was sent for it.
                error = InternalFault("the request could not be handled")
                self.on_handler_failure(event, error)
            return
        effect_handlers = self.effect_handlers
        for effect in effects:
            action = effect_handlers.get(type(effect))
            if action is None:
                self.log(UNKNOWN_EFFECT, effect=type(effect).__name__)
                continue
            try:
                action(effect)
            except Exception as exc:
                self.log(EFFECT_FAILED, effect=type(effect).__name__, detail=repr(exc))

    def _tick(self) -> None:
        """Send a tick and plan the next."""
        assert self._loop is not None
        if self.stopped_:
            return
        self._tick_handle = self._loop.call_later(TICK_INTERVAL_S, self._tick)
        self.feed(Tick())

    def _log_event(self, effect: LogEvent) -> None:
        self.log(effect.number, **effect.fields)

    def _set_timer(self, effect: SetTimer) -> None:
        """Add a timer, or move the one with the same id."""
        self._n_timers += 1
        self._deadlines[effect.timer_id] = self._n_timers
        heapq.heappush(self._heap, (effect.at_s, self._n_timers, effect.timer_id))
        if self._timer_handle is None or effect.at_s < self._timer_wake_at:
            self._arm()

    def _clear_timer(self, effect: ClearTimer) -> None:
        """Drop a timer; its heap entry goes when it comes up."""
        self._deadlines.pop(effect.timer_id, None)
        if len(self._heap) > 64 and len(self._heap) > 4 * len(self._deadlines):
            live = self._deadlines
            self._heap = [e for e in self._heap if live.get(e[2]) == e[1]]
            heapq.heapify(self._heap)

    def _arm(self) -> None:
        """Plan one wake-up of the loop for the earliest timer."""
        if self._timer_handle is not None:
            self._timer_handle.cancel()
            self._timer_handle = None
        heap = self._heap
        while heap and self._deadlines.get(heap[0][2]) != heap[0][1]:
            heapq.heappop(heap)
        if heap and self._loop is not None and not self.stopped_:
            self._timer_wake_at = heap[0][0]
            n_steps = math.ceil(
                (self._timer_wake_at - self.clock()) / LOOP_RESOLUTION_S
            )
            delay_s = max(0, n_steps) * LOOP_RESOLUTION_S
            self._timer_handle = self._loop.call_later(delay_s, self._fire)

    def _fire(self) -> None:
        """Send the events of all timers that are due."""
        self._timer_handle = None
        # The loop may wake early; a timer that is not due yet is planned again, so
        # that no handler sees a `now` before its own deadline.
        due_until = self.clock()
        while self._heap and self._heap[0][0] <= due_until:
            _, serial, timer_id = heapq.heappop(self._heap)
            if self._deadlines.get(timer_id) == serial:
                del self._deadlines[timer_id]
                self.feed(TimerFired(timer_id))
        if self._timer_handle is None:
            self._arm()
