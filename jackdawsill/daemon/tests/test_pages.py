"""Tests of the names on the operators' documentation pages."""

import re
import unittest
from pathlib import Path

import jackdawsill.daemon  # noqa: F401  registers everything
from jackdawsill.exceptions import ERRORS
from jackdawsill.logs import LOG_EVENTS
from jackdawsill.metrics import METRICS, MetricKind

FOLDER = Path(__file__).parents[3] / "docs" / "operators"
EVENT = re.compile(r"\b(\d{4}) \(`([a-z_-]+)`")
METRIC = re.compile(r"jackdawsill_([a-z_]+)_total\b")
REFUSAL = re.compile(r"^\| (\d{3}) \| JDS-(\d{4}(?:, \d{4})*) \|", re.MULTILINE)
# Error codes that callers can get: query, tickets and daemon.
CALLER_BLOCKS = (range(2000, 2100), range(3000, 3100), range(5000, 5100))


class TestNames(unittest.TestCase):
    """Guards against pages with outdated names."""

    def setUp(self):
        self.pages = {page.name: page.read_text() for page in FOLDER.glob("*.md")}

    def test_events(self):
        """Guards against a log event number that belongs to another event."""
        named = {pair for text in self.pages.values() for pair in EVENT.findall(text)}
        self.assertGreater(len(named), 10)
        for number, name in named:
            self.assertEqual(LOG_EVENTS[int(number)].name, name)

    def test_metrics(self):
        """Guards against a metric that no host exports."""
        named = {name for text in self.pages.values() for name in METRIC.findall(text)}
        self.assertGreater(len(named), 10)
        for name in named:
            self.assertIs(METRICS[name].kind, MetricKind.COUNTER)

    def test_refusals(self):
        """Guards against a refusal that is missing or has a wrong status."""
        shown = {}
        for status, codes in REFUSAL.findall(self.pages["refusals.md"]):
            shown |= {int(code): int(status) for code in codes.split(", ")}
        expected = {
            code: error.status
            for code, error in ERRORS.items()
            if any(code in block for block in CALLER_BLOCKS)
        }
        self.assertEqual(shown, expected)
