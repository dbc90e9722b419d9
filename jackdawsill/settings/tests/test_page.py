"""Test of the settings page of operators."""

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
    """Return a default as the page shows it."""
    default = field.default
    if default is dataclasses.MISSING:
        return "required"
    if default is None or default == ():
        return "none"
    return str(default.value if isinstance(default, Enum) else default)


def shown_range(schema):
    """Return the bounds of a number as the page shows them; None without both."""
    low, high = schema.get("minimum"), schema.get("maximum")
    return None if low is None or high is None else f"{low:g} to {high:.10g}"


class TestSettingsPage(unittest.TestCase):
    """Guards against a page that names settings, defaults or ranges of the past."""

    def test_page_matches_the_code(self):
        """Guards against a setting that operators cannot find or set wrongly."""
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
