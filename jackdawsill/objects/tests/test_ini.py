"""Tests of reading INI files with line numbers."""

import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawsill.ini import IniEntry, parse_ini, suggest

TEXT = """\
early = 1
[a b] ; comment
x = 1
[a b]
x = 2
junk
y = p:q
    r:s
x = 3
[broken
z = 1

[DEFAULT]
 [::1]:80
"""


class TestParseIni(unittest.TestCase):
    """Guards the line numbers in errors."""

    def test_lines_and_problems(self):
        """Guards against merged sections, wrong lines, and stopping at an error."""
        found = parse_ini(TEXT, Path("x.ini"))
        self.assertEqual(
            [(s.header, s.line) for s in found.sections],
            [("a b", 2), ("a b", 4), ("DEFAULT", 13)],
        )
        second = found.sections[1]
        self.assertEqual(second.entries["y"], IniEntry("p:q\nr:s", 7))
        self.assertEqual(second.entries["x"], IniEntry("3", 9))
        self.assertEqual(second.repeated, [("x", 9)])
        self.assertEqual([p.line for p in found.problems], [1, 6, 10, 14])

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.text(alphabet="[]a =\n\r#;0:\t\f\x00é", max_size=60))
    def test_any_text_is_read_without_an_exception(self, text):
        """Guards against text for which the parser raises an exception."""
        n_lines = len(text) + 1
        for section in parse_ini(text, Path("x.ini")).sections:
            self.assertLessEqual(section.line, n_lines)

    def test_suggestion_ignores_case(self):
        """Guards against a missing hint for capital letters."""
        self.assertIn("'port'", suggest("Port", ["port", "service"]))
        self.assertEqual(suggest("zzz", ["port", "service"]), "")
