"""Tests of the driver."""

import asyncio
import random
import unittest
from unittest import mock

from jackdawsill.core import (
    HANDLERS,
    ClearTimer,
    Count,
    HostState,
    LinkClosed,
    SendPeer,
    SetTimer,
    Tick,
    TimerFired,
)
from jackdawsill.daemon import Driver
from jackdawsill.daemon.tests._fixtures import WAIT_S
from jackdawsill.runtime._log_events import LOOP_LAGGED


class TestDriver(unittest.IsolatedAsyncioTestCase):
    """Timers, the order of events, and failures of handlers."""

    async def asyncSetUp(self):
        self.now = 100.0
        self.step_per_read_s = 0.0  # advance of the clock at each read
        self.fired = []
        self.n_expected = 0
        self.done = asyncio.Event()
        patch = mock.patch.dict(HANDLERS, {TimerFired: [self.on_timer]}, clear=True)
        patch.start()
        self.addCleanup(patch.stop)
        state = HostState("h1", "bogota", random.Random(1))
        self.driver = Driver(state, self.clock)
        self.driver.start()
        self.addCleanup(self.driver.stop)

    def clock(self):
        self.now += self.step_per_read_s
        return self.now

    def on_timer(self, state, event, now):
        self.fired.append((event.timer_id, now))
        if len(self.fired) == self.n_expected:
            self.done.set()
        return []

    def set_timer(self, timer_id, at_s):
        """Carry out `SetTimer`."""
        self.driver.effect_handlers[SetTimer](SetTimer(timer_id, at_s))

    async def wait_for(self, n_fired):
        """Wait until this many timers have fired."""
        self.n_expected = n_fired
        await asyncio.wait_for(self.done.wait(), WAIT_S)

    async def test_due_timers_fire_in_order(self):
        """Guards against timers that fire out of order or twice."""
        for timer_id, at_s in (("c", 99.9), ("a", 99.1), ("b", 99.5)):
            self.set_timer(timer_id, at_s)
        await self.wait_for(3)
        self.assertEqual([timer_id for timer_id, _ in self.fired], ["a", "b", "c"])

    async def test_moved_and_cleared_timers(self):
        """Guards against a timer that fires at its old time or after it was cleared."""
        self.set_timer("moved", 99.0)
        self.set_timer("moved", 99.8)
        self.set_timer("cleared", 99.2)
        self.driver.effect_handlers[ClearTimer](ClearTimer("cleared"))
        self.driver.effect_handlers[ClearTimer](ClearTimer("unknown"))
        self.set_timer("other", 99.5)
        await self.wait_for(2)
        self.assertEqual([timer_id for timer_id, _ in self.fired], ["other", "moved"])

    async def test_stopped_loop_is_logged(self):
        """Guards against late reads whose log tells no pause from a busy process."""
        self.driver.cpu_clock = iter((2.0, 2.05)).__next__
        with mock.patch.object(Driver, "log") as log:
            self.now += 0.1
            self.driver._tick()
            log.assert_not_called()
            self.now += 0.7
            self.driver._tick()
        log.assert_called_once_with(LOOP_LAGGED, lag_s=0.6, cpu_s=0.05)

    async def test_no_timer_fires_early(self):
        """Guards against a handler called with a `now` before its deadline."""
        self.step_per_read_s = 0.0002
        for n in range(20):
            self.set_timer(f"t{n}", 100.01 + n * 0.0007)
        await self.wait_for(20)
        for timer_id, now in self.fired:
            self.assertGreaterEqual(now, 100.01 + int(timer_id[1:]) * 0.0007)

    async def test_many_cleared_timers_are_dropped(self):
        """Guards against memory that grows with every cleared timer."""
        for n in range(10_000):
            self.set_timer(f"t{n}", 500.0 + n)
            self.driver.effect_handlers[ClearTimer](ClearTimer(f"t{n}"))
        self.assertLess(len(self.driver._heap), 200)

    async def test_ticks(self):
        """Guards against ticks that stop after the first."""
        ticked = asyncio.Event()
        HANDLERS[Tick] = [lambda state, event, now: ticked.set() or []]
        await asyncio.wait_for(ticked.wait(), WAIT_S)
        ticked.clear()
        await asyncio.wait_for(ticked.wait(), WAIT_S)

    async def test_event_during_an_effect_is_reduced_after_it(self):
        """Guards against re-entering the reducer from an effect handler."""
        seen = []

        def on_closed(state, event, now):
            seen.append(("begin", event.link_id))
            return [SendPeer(event.link_id, None)] if event.link_id < 3 else []

        def send(effect):
            self.driver.feed(LinkClosed(effect.link_id + 1, ""))
            seen.append(("sent", effect.link_id))

        HANDLERS[LinkClosed] = [on_closed]
        self.driver.effect_handlers[SendPeer] = send
        self.driver.feed(LinkClosed(1, ""))
        self.assertEqual(
            seen, [("begin", 1), ("sent", 1), ("begin", 2), ("sent", 2), ("begin", 3)]
        )

    async def test_failures_do_not_stop_the_driver(self):
        """Guards against a failing event or effect handler that ends the process."""
        # Count has no handler in this driver.
        effects = [Count("unknown effect"), SendPeer(1, None), SetTimer("t", 99.0)]
        HANDLERS[LinkClosed] = [lambda state, event, now: effects]
        HANDLERS[Tick] = [lambda state, event, now: 1 / 0]
        self.driver.effect_handlers[SendPeer] = lambda effect: 1 / 0
        self.driver.feed(Tick())
        self.driver.feed(LinkClosed(1, ""))
        await self.wait_for(1)
