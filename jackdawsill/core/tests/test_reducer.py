"""Tests of the reducer."""

import random
import unittest

from jackdawsill.core import (
    HANDLERS,
    PAUSE_THRESHOLD_S,
    EmitEvent,
    Event,
    HostState,
    PauseDetected,
    handles,
    reduce,
)


class Probe(Event):
    """Event used by this test only."""

    again: bool


class TestReduce(unittest.TestCase):
    """Guards the order of handlers and the detection of paused processes."""

    def setUp(self):
        self.seen = []

        @handles(Probe)
        def on_probe(state, event, now):
            self.seen.append(("probe", event.again, now))
            return [EmitEvent(Probe(again=False))] if event.again else []

        @handles(PauseDetected)
        def on_pause(state, event, now):
            self.seen.append(("pause", event.gap_s, now))
            return []

        self.handlers = {Probe: on_probe, PauseDetected: on_pause}
        self.state = HostState("h1", "bogota", random.Random(1))

    def tearDown(self):
        for event_type, handler in self.handlers.items():
            HANDLERS[event_type].remove(handler)

    def test_raised_event_follows_directly(self):
        """Guards against effects that call the reducer in a nested way."""
        reduce(self.state, Probe(again=True), 5.0)
        self.assertEqual(self.seen, [("probe", True, 5.0), ("probe", False, 5.0)])

    def test_pause_is_handled_before_the_event(self):
        """Guards against a woken process acting on its old view."""
        reduce(self.state, Probe(again=False), 5.0)
        reduce(self.state, Probe(again=False), 5.0 + PAUSE_THRESHOLD_S + 1)
        self.assertEqual([kind for kind, *_ in self.seen], ["probe", "pause", "probe"])
