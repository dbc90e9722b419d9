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
    """Event that only this test uses."""

    emits_another: bool


class TestReduce(unittest.TestCase):
    """Order of events and detection of process pauses."""

    def setUp(self):
        self.handled = []

        @handles(Probe)
        def on_probe(state, event, now):
            self.handled.append(("probe", event.emits_another, now))
            return (
                [EmitEvent(Probe(emits_another=False))] if event.emits_another else []
            )

        @handles(PauseDetected)
        def on_pause(state, event, now):
            self.handled.append(("pause", event.gap_s, now))
            return []

        self.handlers = {Probe: on_probe, PauseDetected: on_pause}
        self.state = HostState("h1", "bogota", random.Random(1))

    def tearDown(self):
        for event_type, handler in self.handlers.items():
            HANDLERS[event_type].remove(handler)

    def test_emitted_event_is_handled_in_the_same_call(self):
        """Guards against emitted events that wait for the next call."""
        reduce(self.state, Probe(emits_another=True), 5.0)
        self.assertEqual(self.handled, [("probe", True, 5.0), ("probe", False, 5.0)])

    def test_pause_is_handled_before_the_event(self):
        """Guards against events handled with outdated state after a pause."""
        reduce(self.state, Probe(emits_another=False), 5.0)
        reduce(self.state, Probe(emits_another=False), 5.0 + PAUSE_THRESHOLD_S + 1)
        self.assertEqual(
            [kind for kind, *_ in self.handled], ["probe", "pause", "probe"]
        )
