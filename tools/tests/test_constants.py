"""Tests of the generator of docs/constants.md."""

import tempfile
import unittest
from pathlib import Path

from tools.constants import main, read_constants, unit_of


class TestConstants(unittest.TestCase):
    """Generation of docs/constants.md."""

    def test_committed_page(self):
        """Guards against a constant without a comment, and an outdated page."""
        self.assertEqual(main(["--check"]), 0)

    def test_explanations(self):
        """Guards against a comment that is attributed to the wrong constant.

        A blank line ends a block, and a comment beside a constant is only its own.
        """
        source = (
            "# Above.\nA_S = 1.0\nB_MS = 2 * 10  # beside\n\nC_BYTES = 3\nD = 'x'\n"
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "module.py"
            path.write_text(source)
            constants = [(c.name, c.unit, c.explanation) for c in read_constants(path)]
        expected = [("A_S", "s", "Above."), ("B_MS", "ms", "beside")]
        self.assertEqual(constants, [*expected, ("C_BYTES", "bytes", "")])

    def test_units(self):
        """Guards against `_PER_S` being read as `_S`, whose unit is seconds."""
        self.assertEqual(unit_of("LINES_PER_S"), "per s")
        self.assertEqual(unit_of("WAIT_MS"), "ms")
