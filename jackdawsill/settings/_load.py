"""Loading of a settings file; all of its errors are reported together."""

import dataclasses
import os
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from jackdawsill.ini import IniSection
from jackdawsill.ini_check import (
    BadSetting,
    MissingSetting,
    SettingsCollector,
    SettingsInvalid,
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

# Pydantic puts this before the message of a `ValueError` from a validator.
_VALUE_ERROR_PREFIX = "Value error, "


def _load_section(name: str, section: IniSection, collector: SettingsCollector) -> Any:
    """Return the typed section, or None after adding its errors to `collector`."""
    known = [field.name for field in dataclasses.fields(SECTIONS[name])]
    values = collector.known_values(section, known)
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
    """Read and validate settings; raise `SettingsInvalid` with all errors."""
    collector = SettingsCollector(str(path))
    ini_file = collector.read(Path(path))
    picked = collector.pick_sections(ini_file.sections, SECTIONS)
    # An absent section is checked like an empty one at line 1, so that its required
    # keys are reported.
    loaded = {
        name: _load_section(name, picked.get(name, IniSection(name, 1)), collector)
        for name in SECTIONS
    }
    if collector.problems:
        raise SettingsInvalid(collector.file, collector.problems)
    return Settings(**loaded)
