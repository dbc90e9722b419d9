"""Loading of a gateway's settings."""

import tempfile
import unittest
from pathlib import Path

from jackdawsill.gateway import load_gateway_settings
from jackdawsill.ini_check import SettingsInvalid

VALID = """
[host]
name = g1
failure_domain = near-a
grace_s = 6
link_mbps = 7
[regions]
near-a = near
far-a = far
[ports]
callers = 127.0.0.1:8000
health = 127.0.0.1:8001
peers = 127.0.0.1:8002
inner_first = 9000
inner_last = 9015
[store]
address = 127.0.0.1:8100
seeds = 127.0.0.1:8002,127.0.0.2:8002
first_start = true
[calls]
caller_network_ms = 20
[retries]
ratio = 0.2
slack = 104
window_s = 10
[metrics]
port = 9000
"""


class TestSettings(unittest.TestCase):
    """A file is accepted only if all of it is valid."""

    def load(self, text):
        """Load settings from text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            path.write_text(text, encoding="utf-8")
            return load_gateway_settings(path)

    def test_valid_file(self):
        """Guards against numbers and booleans that are loaded as strings."""
        cfg = self.load(VALID)
        self.assertEqual(cfg.regions, {"near-a": "near", "far-a": "far"})
        self.assertEqual(cfg.retries.slack, 104.0)
        self.assertTrue(cfg.store.first_start)
        self.assertEqual(len(cfg.store.seed_addresses()), 2)

    def test_all_errors_at_once(self):
        """Guards against reporting only the first of several errors."""
        text = VALID.replace("grace_s = 6", "grace_s = never")
        text = text.replace("ratio = 0.2", "ratio = 7\nrato = 0.2")
        text = text.replace("[metrics]", "[metrics]\n[odd]")
        text = text.replace("name = g1", "")
        with self.assertRaises(SettingsInvalid) as caught:
            self.load(text)
        # The port of the metrics then stands in the unknown section.
        self.assertEqual(len(caught.exception.problems), 6)
