"""Tests of the generated pages of error codes and log events."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]


class TestCatalogue(unittest.TestCase):
    """Generated pages of error codes and log event numbers."""

    def test_committed_pages_match_the_registries(self):
        """Guards against errors and log events changed without the pages in docs/."""
        # Runs in a separate process, because other tests register codes temporarily.
        command = [sys.executable, "-m", "tools.catalogue", "--check"]
        found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(found.returncode, 0, found.stdout + found.stderr)
