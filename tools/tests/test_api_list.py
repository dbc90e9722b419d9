"""Tests of `tools.api_list`."""

import unittest

from tools.api_list import PAGE, render_page, subpackages


class TestApiList(unittest.TestCase):
    """Checks that docs/api.md is up to date and complete."""

    def test_page_matches_the_code(self):
        """Guards against a public name that was added, removed or redocumented."""
        if PAGE.read_text(encoding="utf-8") != render_page():
            self.fail("docs/api.md is out of date: run python -m tools.api_list")

    def test_all_subpackages_are_listed(self):
        """Guards against a subpackage without `__all__`."""
        text = render_page()
        missing = [n for n in subpackages() if f"## {n}\n" not in text]
        self.assertEqual(missing, [])
