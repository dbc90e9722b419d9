"""Tests of the search of log files for a request."""

import json
import tempfile
import unittest
from pathlib import Path

from jackdawsill.cli._errors import FileNotRead
from jackdawsill.cli._trace import trace_request


def line(time: str, name: str, **fields) -> str:
    """Return one line of a log file."""
    return json.dumps({"time": time, "name": name, "fields": fields})


class TestTrace(unittest.TestCase):
    """Guards the lines of a request and the state changes before them."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "h1.log"

    def test_state_changes_of_the_same_host(self):
        """Guards against omitting the state change that explains an outcome."""
        lines = [
            line("01", "replicas_changed", host="h1", revision=4),
            line("02", "store_lost", host="h2"),
            "no event at all",
            line("03", "attempt_failed", host="h1", request="r1", replica="i-1"),
            line("04", "call_ended", host="h1", request="r0"),
            line("05", "call_ended", host="h1", request="r1", outcome="JDS-2504"),
        ]
        self.path.write_text("\n".join(lines), encoding="utf-8")
        found = trace_request("r1", [self.path])
        names = [entry.name for entry in found]
        self.assertEqual(names, ["replicas_changed", "attempt_failed", "call_ended"])
        self.assertIn("replica=i-1", found[1].text())

    def test_events_of_a_query_and_a_ticket(self):
        """Guards against events that name their request in the field `request_id`."""
        lines = [
            line("01", "query-restarted", host="h1", request_id="r1"),
            line("02", "query-restarted", host="h1", request_id="r2"),
        ]
        self.path.write_text("\n".join(lines), encoding="utf-8")
        found = trace_request("r1", [self.path])
        self.assertEqual([entry.time for entry in found], ["01"])

    def test_line_without_fields(self):
        """Guards against a search that ends at a line without fields."""
        lines = [
            json.dumps({"time": "01", "name": "store_lost", "fields": None}),
            line("02", "call_ended", host="h1", request="r1"),
        ]
        self.path.write_text("\n".join(lines), encoding="utf-8")
        found = trace_request("r1", [self.path])
        self.assertEqual([entry.name for entry in found], ["call_ended"])

    def test_unreadable(self):
        """Guards against a traceback for a file that does not exist."""
        with self.assertRaises(FileNotRead):
            trace_request("r1", [self.path])
