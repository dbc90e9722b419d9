"""Tests of writing log events."""

import io
import json
import unittest

import logbook

from jackdawsill.logs import LOG_EVENTS, JsonHandler, log_event, log_fields
from jackdawsill.logs import register_log_event as register

NUMBER = 9901


class Unprintable:
    """Object whose `str` and `repr` raise."""

    def __str__(self):
        raise RuntimeError("no text")

    __repr__ = __str__


class TestLogEvent(unittest.TestCase):
    """Format of log lines, and errors while they are written."""

    def setUp(self):
        template = "{host} took {ms:.1f} ms"
        register(NUMBER, "slow", template, "A test event.", logbook.WARNING)
        self.addCleanup(LOG_EVENTS.pop, NUMBER)
        self.stream = io.StringIO()
        self.handler = JsonHandler(self.stream)

    def line_of(self, call, *args, **fields):
        with self.handler.applicationbound():
            call(*args, **fields)
        (line,) = self.stream.getvalue().splitlines()
        self.stream.truncate(self.stream.seek(0))
        return json.loads(line)

    def test_line_holds_number_name_level_fields_and_message(self):
        """Guards against values that split a line or replace the event number."""
        line = self.line_of(log_event, NUMBER, host="h\n1", ms=2.25, number=5)
        del line["time"]
        self.assertEqual(
            line,
            {
                "number": NUMBER,
                "name": "slow",
                "level": "warning",
                "message": "h\n1 took 2.2 ms",
                "fields": {"host": "h\n1", "ms": 2.25, "number": 5},
            },
        )

    def test_bad_fields_never_raise(self):
        """Guards against an exception or a split line from a field value.

        Values come from callers and peers; they may be circular, huge or not UTF-8.
        """
        circular = []
        circular.append(circular)
        values = (
            *(Unprintable(), circular, b"\xff", "\ud800", float("nan"), 10**5000),
            *({1: {2}}, {Unprintable()}, None, "{x}", "x" * 10_000, object),
        )
        for value in values:
            with self.subTest(type(value)):
                line = self.line_of(log_event, NUMBER, ms=value)
                self.assertIn("ms", line["fields"])
                self.assertLess(len(json.dumps(line)), 5_000)

    def test_bad_numbers_and_mappings_never_raise(self):
        """Guards against exceptions from unregistered numbers or invalid mappings."""
        for number in (9902, None, [], Unprintable()):
            self.assertEqual(self.line_of(log_event, number)["name"], "unregistered")
        self.assertEqual(self.line_of(log_fields, NUMBER, {1: 2})["fields"], {"1": 2})
        self.assertEqual(
            self.line_of(log_fields, NUMBER, None)["fields"], {"given": None}
        )

    def test_plain_records_are_json_too(self):
        """Guards against lines that are not JSON, from records of libraries.

        These have no number, and their message may not match its arguments.
        """
        line = self.line_of(logbook.Logger("lib").warning, "{0} {1}", "x")
        self.assertEqual((line["number"], line["name"]), (0, "lib"))
        self.assertEqual(line["message"], "{0} {1}")

    def test_record_for_a_closed_stream_is_counted(self):
        """Guards against a process that ends because its log reader has exited."""
        self.stream.close()
        with self.handler.applicationbound():
            log_event(NUMBER, host="h", ms=1.0)
        self.assertEqual(self.handler.n_dropped_, 1)
