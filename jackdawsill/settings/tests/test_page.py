"""Test of the operators' settings page."""

import dataclasses
import re
import unittest
from enum import Enum
from pathlib import Path

from pydantic import TypeAdapter

from jackdawsill.settings._load import SECTIONS

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "settings.md"
ROW = re.compile(r"^\| `(\w+)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \| [^|]+ \|$")


def shown_default(field):
    """Return the default of a field in the form of the page."""
    default = field.default
    if default is dataclasses.MISSING:
        return "required"
    if default is None or default == ():
        return "none"
    return str(default.value if isinstance(default, Enum) else default)


def shown_range(schema):
    """Return the range of a number in the form of the page; None without both ends."""
    low, high = schema.get("minimum"), schema.get("maximum")
    return None if low is None or high is None else f"{low:g} to {high:.10g}"


class TestSettingsPage(unittest.TestCase):
    """Guards against a page with outdated settings, defaults or ranges."""

    def test_page_matches_the_code(self):
        """Guards against settings that the page omits or describes wrongly."""
        section, shown = "", {name: {} for name in SECTIONS}
        for line in PAGE.read_text().splitlines():
            if line.startswith("## "):
                section = line[3:]
            elif match := ROW.match(line):
                name, unit, default, bounds = (g.strip() for g in match.groups())
                shown[section][name] = (unit, default, bounds)
        for section, cls in SECTIONS.items():
            schema = TypeAdapter(cls).json_schema()["properties"]
            fields = dataclasses.fields(cls)
            self.assertEqual(list(shown[section]), [f.name for f in fields], section)
            for field in fields:
                unit, default, bounds = shown[section][field.name]
                self.assertEqual(default, shown_default(field), field.name)
                numbers = shown_range(schema[field.name])
                if numbers is not None:
                    self.assertEqual(bounds, numbers, field.name)
                for suffix, expected in (("bytes", "bytes"), ("ms", "ms"), ("s", "s")):
                    if field.name.endswith(f"_{suffix}"):
                        self.assertEqual(unit, expected, field.name)
