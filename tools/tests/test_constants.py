"""Tests of `tools.constants`."""

import tempfile
import unittest
from pathlib import Path

from tools.constants import constants_of, main, unit_of


class TestConstants(unittest.TestCase):
    """Checks that docs/constants.md lists each constant with its explanation."""

    def test_committed_page(self):
        """Guards against a constant without a comment, and an outdated page."""
        self.assertEqual(main(["--check"]), 0)

    def test_origins(self):
        """Guards against a comment that is assigned to the wrong constant."""
        source = (
            "# Above.\nA_S = 1.0\nB_MS = 2 * 10  # beside\n\nC_BYTES = 3\nD = 'x'\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "module.py"
            path.write_text(source)
            found = [(c.name, c.unit, c.origin) for c in constants_of(path)]
        expected = [("A_S", "s", "Above."), ("B_MS", "ms", "beside")]
        self.assertEqual(found, [*expected, ("C_BYTES", "bytes", "")])

    def test_units(self):
        """Guards against matching a shorter suffix: _S instead of _PER_S."""
        self.assertEqual(unit_of("LINES_PER_S"), "per s")
        self.assertEqual(unit_of("WAIT_MS"), "ms")
