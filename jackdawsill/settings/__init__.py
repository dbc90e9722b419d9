"""Process settings, read from one INI file."""

from jackdawsill.ini_check import (
    BadSetting,
    MissingSetting,
    RepeatedSetting,
    SettingsInvalid,
    UnknownSetting,
    UnknownSettingsSection,
    UnreadableSettings,
)
from jackdawsill.settings._load import load_settings
from jackdawsill.settings._log_events import SETTINGS_INVALID, SETTINGS_LOADED
from jackdawsill.settings._model import (
    HostSettings,
    LimitSettings,
    LogLevel,
    LogSettings,
    LogStream,
    MetricsMode,
    MetricsSettings,
    PlatformSettings,
    Settings,
)

__all__ = [
    "SETTINGS_INVALID",
    "SETTINGS_LOADED",
    "BadSetting",
    "HostSettings",
    "LimitSettings",
    "LogLevel",
    "LogSettings",
    "LogStream",
    "MetricsMode",
    "MetricsSettings",
    "MissingSetting",
    "PlatformSettings",
    "RepeatedSetting",
    "Settings",
    "SettingsInvalid",
    "UnknownSetting",
    "UnknownSettingsSection",
    "UnreadableSettings",
    "load_settings",
]
