"""Tests of the generator of docs/api.md."""

import unittest

from tools.api_list import PAGE, render_page, subpackage_names


class TestApiList(unittest.TestCase):
    """docs/api.md lists the public names of all subpackages."""

    def test_page_matches_the_code(self):
        """Guards against a page with the names or summaries of an earlier version."""
        if PAGE.read_text(encoding="utf-8") != render_page():
            self.fail("docs/api.md is out of date: run python -m tools.api_list")

    def test_all_subpackages_are_listed(self):
        """Guards against a subpackage that the page omits for lack of `__all__`."""
        text = render_page()
        missing = [n for n in subpackage_names() if f"## {n}\n" not in text]
        self.assertEqual(missing, [])
