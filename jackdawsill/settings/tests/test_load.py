"""Tests of loading settings."""

import tempfile
import unittest
from pathlib import Path

from jackdawsill.settings import SettingsInvalid, load_settings

VALID = """\
[host]
name = h1
failure_domain = bogota
region = colombia
address = 127.0.0.1
caller_port = 0
operator_port = 0
peer_port = 0
fleet_key = 0123456789abcdef

[platform]
config_url = http://127.0.0.1:7100/
host_list_url = http://[::1]:7101/hosts
seeds = 127.0.0.1:7082, [::1]:7082
"""


class TestLoadSettings(unittest.TestCase):
    """Loading and validation of settings files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.ini"

    def load(self, text):
        self.path.write_text(text, encoding="utf-8")
        return load_settings(self.path)

    def errors(self, text):
        with self.assertRaises(SettingsInvalid) as caught:
            self.load(text)
        return [
            (problem.line, problem.code, problem.message)
            for problem in caught.exception.problems
        ]

    def test_valid_file(self):
        """Guards against values that stay text and undeclared attributes."""
        settings = self.load(VALID)
        self.assertEqual(settings.host.caller_port, 0)
        self.assertEqual(settings.platform.config_url, "http://127.0.0.1:7100")
        self.assertEqual(settings.platform.seeds, ("127.0.0.1:7082", "[::1]:7082"))
        self.assertEqual(settings.limits.max_deadline_ms, 30_000)
        self.assertFalse(hasattr(settings.host, "__dict__"))

    def test_fleet_key_is_not_shown(self):
        """Guards against the secret in logs and error messages."""
        self.assertNotIn("0123456789abcdef", repr(self.load(VALID)))
        errors = self.errors(VALID.replace("0123456789abcdef", "short-secret"))
        self.assertNotIn("short-secret", str(errors))

    def test_all_errors_are_reported_with_lines(self):
        """Guards against a check that stops at the first error.

        An operator would need one start of the host for each error.
        """
        text = VALID.replace("name = h1", "nmae = h1").replace(
            "caller_port = 0", "caller_port = 70000"
        )
        text += "x\nseeds = localhost:80\n[limit]\n[logs]\nlevel = loud\n"
        errors = self.errors(text)
        self.assertEqual(
            [(line, code) for line, code, _ in errors],
            [(1, 1205), (2, 1203), (6, 1206), (15, 1201), (16, 1204), (16, 1206)]
            + [(17, 1202), (19, 1206)],
        )
        self.assertIn("did you mean 'name'?", errors[1][2])
        self.assertIn("did you mean 'limits'?", errors[6][2])

    def test_contradicting_values_are_refused(self):
        """Guards against two listeners on one port, and push mode without a URL."""
        text = VALID.replace("_port = 0", "_port = 7000")
        text += "[metrics]\nmode = push\n"
        self.assertEqual([code for _, code, _ in self.errors(text)], [1206, 1206])

    def test_addresses_must_be_ip_addresses(self):
        """Guards against host names that need DNS, and unusable addresses."""
        for old, new in (
            ("address = 127.0.0.1", "address = 0.0.0.0"),
            ("http://127.0.0.1:7100/", "http://config.example/"),
            ("http://127.0.0.1:7100/", "http://127.0.0.1:99999/"),
            ("[::1]:7082", "::1:7082"),
            ("[::1]:7082", "127.0.0.1:0"),
            ("[::1]:7082", "127.0.0.1"),
        ):
            with self.subTest(new):
                codes = [code for _, code, _ in self.errors(VALID.replace(old, new))]
                self.assertEqual(codes, [1206])

    def test_missing_file_is_a_typed_error(self):
        """Guards against a traceback for a mistyped path."""
        with self.assertRaises(SettingsInvalid) as caught:
            load_settings(self.path)
        self.assertEqual(caught.exception.problems[0].code, 1201)

    def test_example_is_valid(self):
        """Guards against an example that a host refuses."""
        root = Path(__file__).parents[3]
        load_settings(root / "examples" / "settings" / "host.ini")
