"""Tests of the generated pages of error codes and log events."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]


class TestCatalogue(unittest.TestCase):
    """Guards the pages that operators look numbers up in."""

    def test_committed_pages_match_the_registries(self):
        """Guards against codes that are missing or wrong in docs/."""
        # A process of its own, because other tests register codes for a while.
        command = [sys.executable, "-m", "tools.catalogue", "--check"]
        found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(found.returncode, 0, found.stdout + found.stderr)
