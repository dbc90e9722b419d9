"""Errors of process settings."""

from jackdawsill.exceptions import register_error
from jackdawsill.ini import IniError, IniErrors


@register_error(1200)
class SettingsInvalid(IniErrors):
    """A settings file has errors; `problems` lists all of them."""


@register_error(1201)
class UnreadableSettings(IniError):
    """A settings file or one of its lines cannot be read."""


@register_error(1202)
class UnknownSettingsSection(IniError):
    """A settings section has an unknown name."""


@register_error(1203)
class UnknownSetting(IniError):
    """A settings key is not known in its section."""


@register_error(1204)
class RepeatedSetting(IniError):
    """A settings key or section is given twice."""


@register_error(1205)
class MissingSetting(IniError):
    """A settings key without a default is absent."""


@register_error(1206)
class BadSetting(IniError):
    """A setting has the wrong type, is out of range, or contradicts another."""
