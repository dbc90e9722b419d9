"""Tests of the page of constants."""

import tempfile
import unittest
from pathlib import Path

from tools.constants import constants_of, main, unit_of


class TestConstants(unittest.TestCase):
    """Each constant of the gateway stands on the page with its origin."""

    def test_committed_page(self):
        """Guards against a constant that nobody can explain, or an old page."""
        self.assertEqual(main(["--check"]), 0)

    def test_origins(self):
        """Guards against origins of other constants."""
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
        """Guards against the unit of a shorter ending."""
        self.assertEqual(unit_of("LINES_PER_S"), "per s")
        self.assertEqual(unit_of("WAIT_MS"), "ms")
