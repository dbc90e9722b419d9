"""Driver of the reducer: event queue, timers and execution of effects."""

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
    LOOP_LAGGED,
    UNKNOWN_EFFECT,
)

# Resolution of the event loop's timers (1 ms). Delays are rounded up to it, because
# the loop would spin until the timer is due if they were rounded down.
LOOP_RESOLUTION_S = 0.001
# A tick that is later than this is logged: callers wait for the host that long.
LOOP_LAG_LOGGED_S = 0.1

EffectHandler = Callable[[Any], None]


class Driver:
    """Feed events to the reducer and pass its effects to their handlers.

    `effect_handlers` maps an effect class to the function that carries it out.
    `on_handler_failure` is called with the event and an InternalFault if an event
    handler raised. `clock` returns monotonic seconds, `cpu_clock` the processor time
    of this process in seconds.
    """

    __slots__ = (
        "_active_serials",
        "_heap",
        "_is_feeding",
        "_last_serial",
        "_loop",
        "_next_wake_at",
        "_queue",
        "_tick_cpu_s",
        "_tick_due_at",
        "_tick_handle",
        "_timer_handle",
        "clock",
        "cpu_clock",
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
        self.cpu_clock: Callable[[], float] = time.process_time
        self.effect_handlers: dict[type, EffectHandler] = {
            SetTimer: self._set_timer,
            ClearTimer: self._clear_timer,
            LogEvent: self._log_event,
        }
        self.on_handler_failure: Callable[[Event, InternalFault], None] | None = None
        self.stopped_ = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._queue: deque[Event] = deque()
        self._is_feeding = False
        # Entries (at_s, serial, timer_id). An entry is active only while
        # `_active_serials` holds its serial, so clearing a timer needs no heap search.
        self._heap: list[tuple[float, int, str]] = []
        self._active_serials: dict[str, int] = {}
        self._last_serial = 0
        self._timer_handle: asyncio.TimerHandle | None = None
        self._next_wake_at = 0.0
        self._tick_handle: asyncio.TimerHandle | None = None
        self._tick_due_at = math.inf
        self._tick_cpu_s = 0.0  # processor time at the last tick

    def start(self) -> None:
        """Start the periodic ticks and the timers; needs a running loop."""
        self._loop = asyncio.get_running_loop()
        self._tick()

    def stop(self) -> None:
        """Cancel the timers and drop all queued and later events."""
        self.stopped_ = True
        for handle in (self._timer_handle, self._tick_handle):
            if handle is not None:
                handle.cancel()
        self._queue.clear()

    def feed(self, event: Event) -> None:
        """Queue an event and reduce the queue.

        An event fed while another one is handled is reduced after it.
        """
        if self.stopped_:
            return
        self._queue.append(event)
        if self._is_feeding:
            return
        self._is_feeding = True
        try:
            while self._queue:
                self._reduce_one(self._queue.popleft())
        finally:
            self._is_feeding = False

    def log(self, number: int, /, **fields: Any) -> None:
        """Write a log event with the host's name as field `host`."""
        log_fields(number, {**fields, "host": self.state.name})

    def _reduce_one(self, event: Event) -> None:
        """Reduce one event and carry out its effects."""
        try:
            effects = reduce(self.state, event, self.clock())
        except Exception as exc:
            self.log(HANDLER_FAILED, event=type(event).__name__, detail=repr(exc))
            if self.on_handler_failure is not None:
                # No effect of this event was carried out, so nothing was sent for it
                # and a request was not run.
                error = InternalFault("the request could not be handled")
                self.on_handler_failure(event, error)
            return
        effect_handlers = self.effect_handlers
        for effect in effects:
            effect_handler = effect_handlers.get(type(effect))
            if effect_handler is None:
                self.log(UNKNOWN_EFFECT, effect=type(effect).__name__)
                continue
            try:
                effect_handler(effect)
            except Exception as exc:
                self.log(EFFECT_FAILED, effect=type(effect).__name__, detail=repr(exc))

    def _tick(self) -> None:
        """Feed a tick and schedule the next."""
        assert self._loop is not None
        if self.stopped_:
            return
        now = self.clock()
        cpu_before, self._tick_cpu_s = self._tick_cpu_s, self.cpu_clock()
        lag_s = now - self._tick_due_at
        if lag_s > LOOP_LAG_LOGGED_S:
            cpu_s = round(self._tick_cpu_s - cpu_before, 3)
            self.log(LOOP_LAGGED, lag_s=round(lag_s, 3), cpu_s=cpu_s)
        self._tick_due_at = now + TICK_INTERVAL_S
        self._tick_handle = self._loop.call_later(TICK_INTERVAL_S, self._tick)
        self.feed(Tick())

    def _log_event(self, effect: LogEvent) -> None:
        self.log(effect.number, **effect.fields)

    def _set_timer(self, effect: SetTimer) -> None:
        """Set a timer; it replaces one with the same id."""
        self._last_serial += 1
        self._active_serials[effect.timer_id] = self._last_serial
        heapq.heappush(self._heap, (effect.at_s, self._last_serial, effect.timer_id))
        if self._timer_handle is None or effect.at_s < self._next_wake_at:
            self._schedule_wakeup()

    def _clear_timer(self, effect: ClearTimer) -> None:
        """Clear a timer; its heap entry is skipped later, or removed in bulk."""
        self._active_serials.pop(effect.timer_id, None)
        # Compact the heap when most of its entries are cleared timers.
        if len(self._heap) > 64 and len(self._heap) > 4 * len(self._active_serials):
            active = self._active_serials
            self._heap = [e for e in self._heap if active.get(e[2]) == e[1]]
            heapq.heapify(self._heap)

    def _schedule_wakeup(self) -> None:
        """Schedule one wake-up of the event loop, for the earliest timer."""
        if self._timer_handle is not None:
            self._timer_handle.cancel()
            self._timer_handle = None
        heap = self._heap
        while heap and self._active_serials.get(heap[0][2]) != heap[0][1]:
            heapq.heappop(heap)
        if heap and self._loop is not None and not self.stopped_:
            self._next_wake_at = heap[0][0]
            n_steps = math.ceil((self._next_wake_at - self.clock()) / LOOP_RESOLUTION_S)
            delay_s = max(0, n_steps) * LOOP_RESOLUTION_S
            self._timer_handle = self._loop.call_later(delay_s, self._fire_due_timers)

    def _fire_due_timers(self) -> None:
        """Feed `TimerFired` for all timers that are due."""
        self._timer_handle = None
        # The loop may wake early. A timer that is not due yet is scheduled again, so
        # that no handler is called with a `now` before its deadline.
        now = self.clock()
        while self._heap and self._heap[0][0] <= now:
            _, serial, timer_id = heapq.heappop(self._heap)
            if self._active_serials.get(timer_id) == serial:
                del self._active_serials[timer_id]
                self.feed(TimerFired(timer_id))
        if self._timer_handle is None:
            self._schedule_wakeup()
