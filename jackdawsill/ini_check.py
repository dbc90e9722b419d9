"""Checks of the syntax, sections and keys of settings files.

They are used for hosts and gateways; the types of the settings are checked elsewhere.
"""

from collections.abc import Collection, Mapping
from pathlib import Path

from jackdawsill.exceptions import register_error
from jackdawsill.ini import IniError, IniErrors, IniFile, IniSection, read_ini, suggest


@register_error(1200)
class SettingsInvalid(IniErrors):
    """A settings file has errors; `problems` lists all of them."""


@register_error(1201)
class UnreadableSettings(IniError):
    """A settings file or one of its lines cannot be read."""


@register_error(1202)
class UnknownSettingsSection(IniError):
    """A settings file has a section with an unknown name."""


@register_error(1203)
class UnknownSetting(IniError):
    """A settings section has an unknown key."""


@register_error(1204)
class RepeatedSetting(IniError):
    """A settings key or section is given twice."""


@register_error(1205)
class MissingSetting(IniError):
    """A required settings key is missing."""


@register_error(1206)
class BadSetting(IniError):
    """A setting has the wrong type, is out of range, or contradicts another."""


class SettingsCollector:
    """Read and check one settings file; collect its errors in `problems`."""

    __slots__ = ("file", "problems")

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[IniError] = []

    def add(
        self, error_type: type[IniError], message: str, line: int, section: str
    ) -> None:
        """Record one error."""
        self.problems.append(
            error_type(message, file=self.file, line=line, section=section)
        )

    def read(self, path: Path) -> IniFile:
        """Read the file and record its syntax errors."""
        ini_file = read_ini(path)
        for problem in ini_file.problems:
            self.add(UnreadableSettings, problem.message, problem.line, "")
        return ini_file

    def pick_sections(
        self, sections: list[IniSection], known: Collection[str]
    ) -> dict[str, IniSection]:
        """Return the known sections by name; record unknown and repeated ones."""
        picked: dict[str, IniSection] = {}
        for section in sections:
            name = section.header
            if name not in known:
                message = f"unknown section{suggest(name, known)}"
                self.add(UnknownSettingsSection, message, section.line, name)
            elif name in picked:
                message = f"section is given twice, first at line {picked[name].line}"
                self.add(RepeatedSetting, message, section.line, name)
            else:
                picked[name] = section
        return picked

    def known_values(
        self, section: IniSection, known: Collection[str]
    ) -> Mapping[str, str]:
        """Return the values of known keys; record unknown and repeated ones."""
        name = section.header
        for key, line in section.repeated:
            self.add(RepeatedSetting, f"key {key!r} is given twice", line, name)
        values = {}
        for key, entry in section.entries.items():
            if key in known:
                values[key] = entry.value
            else:
                message = f"unknown key {key!r}{suggest(key, known)}"
                self.add(UnknownSetting, message, entry.line, name)
        return values
