"""Test of the operators' settings page."""

import dataclasses
import re
import unittest
from enum import Enum
from pathlib import Path

from pydantic import TypeAdapter

from jackdawsill.settings._load import SECTIONS

SETTINGS_PAGE = Path(__file__).parents[3] / "docs" / "operators" / "settings.md"
ROW = re.compile(r"^\| `(\w+)` \| ([^|]+) \| ([^|]+) \| ([^|]+) \| [^|]+ \|$")


def documented_default(field):
    """Return the default of a field as written on the settings page."""
    default = field.default
    if default is dataclasses.MISSING:
        return "required"
    if default is None or default == ():
        return "none"
    return str(default.value if isinstance(default, Enum) else default)


def documented_range(schema):
    """Return a range as on the page; None unless it has a minimum and a maximum."""
    low, high = schema.get("minimum"), schema.get("maximum")
    return None if low is None or high is None else f"{low:g} to {high:.10g}"


class TestSettingsPage(unittest.TestCase):
    """The settings page of the operators' docs."""

    def test_page_matches_the_code(self):
        """Guards against a setting that is added or changed without the page."""
        section, documented = "", {name: {} for name in SECTIONS}
        for line in SETTINGS_PAGE.read_text().splitlines():
            if line.startswith("## "):
                section = line[3:]
            elif match := ROW.match(line):
                name, unit, default, allowed = (g.strip() for g in match.groups())
                documented[section][name] = (unit, default, allowed)
        for section, cls in SECTIONS.items():
            schema = TypeAdapter(cls).json_schema()["properties"]
            fields = dataclasses.fields(cls)
            self.assertEqual(
                list(documented[section]), [f.name for f in fields], section
            )
            for field in fields:
                unit, default, allowed = documented[section][field.name]
                self.assertEqual(default, documented_default(field), field.name)
                expected_range = documented_range(schema[field.name])
                if expected_range is not None:
                    self.assertEqual(allowed, expected_range, field.name)
                for suffix, expected in (("bytes", "bytes"), ("ms", "ms"), ("s", "s")):
                    if field.name.endswith(f"_{suffix}"):
                        self.assertEqual(unit, expected, field.name)
