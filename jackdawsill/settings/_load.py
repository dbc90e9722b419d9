"""Read a settings file and report all of its errors at once."""

import dataclasses
import os
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from jackdawsill.ini import IniError, IniSection, read_ini, suggest
from jackdawsill.settings._errors import (
    BadSetting,
    MissingSetting,
    RepeatedSetting,
    SettingsInvalid,
    UnknownSetting,
    UnknownSettingsSection,
    UnreadableSettings,
)
from jackdawsill.settings._model import (
    HostSettings,
    LimitSettings,
    LogSettings,
    MetricsSettings,
    PlatformSettings,
    Settings,
)

SECTIONS: dict[str, type] = {
    "host": HostSettings,
    "platform": PlatformSettings,
    "limits": LimitSettings,
    "metrics": MetricsSettings,
    "logs": LogSettings,
}

_VALUE_ERROR_PREFIX = "Value error, "


class _Collector:
    """Errors of one settings file."""

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


def _pick_sections(
    sections: list[IniSection], collector: _Collector
) -> dict[str, IniSection]:
    """Return known sections by name; report unknown and repeated ones."""
    picked: dict[str, IniSection] = {}
    for section in sections:
        name = section.header
        if name not in SECTIONS:
            message = f"unknown section{suggest(name, SECTIONS)}"
            collector.add(UnknownSettingsSection, message, section.line, name)
        elif name in picked:
            message = f"section is given twice, first at line {picked[name].line}"
            collector.add(RepeatedSetting, message, section.line, name)
        else:
            picked[name] = section
    return picked


def _known_values(
    name: str, section: IniSection, collector: _Collector
) -> dict[str, str]:
    """Return the values of known keys; report unknown and repeated ones."""
    known = [field.name for field in dataclasses.fields(SECTIONS[name])]
    for key, line in section.repeated:
        collector.add(RepeatedSetting, f"key {key!r} is given twice", line, name)
    values = {}
    for key, entry in section.entries.items():
        if key in known:
            values[key] = entry.value
        else:
            message = f"unknown key {key!r}{suggest(key, known)}"
            collector.add(UnknownSetting, message, entry.line, name)
    return values


def _load_section(name: str, section: IniSection, collector: _Collector) -> Any:
    """Return the typed section, or None after reporting its errors."""
    values = _known_values(name, section, collector)
    try:
        return TypeAdapter(SECTIONS[name]).validate_python(values)
    except ValidationError as exc:
        for error in exc.errors(include_url=False, include_input=False):
            key = str(error["loc"][0]) if error["loc"] else ""
            if error["type"] == "missing":
                message = f"key {key!r} is missing"
                collector.add(MissingSetting, message, section.line, name)
                continue
            message = error["msg"].removeprefix(_VALUE_ERROR_PREFIX)
            entry = section.entries.get(key)
            line = entry.line if entry else section.line
            message = f"{key}: {message}" if key else message
            collector.add(BadSetting, message, line, name)
    return None


def load_settings(path: str | os.PathLike[str]) -> Settings:
    """Return checked settings; raise `SettingsInvalid` with all errors."""
    ini_file = read_ini(Path(path))
    collector = _Collector(str(path))
    for problem in ini_file.problems:
        collector.add(UnreadableSettings, problem.message, problem.line, "")
    picked = _pick_sections(ini_file.sections, collector)
    loaded = {
        name: _load_section(name, picked.get(name, IniSection(name, 1)), collector)
        for name in SECTIONS
    }
    if collector.problems:
        raise SettingsInvalid(collector.file, collector.problems)
    return Settings(**loaded)
