"""Log events of process settings."""

import logbook

from jackdawsill.logs import register_log_event

SETTINGS_INVALID = register_log_event(
    1200,
    "settings_invalid",
    "settings {file} are invalid: {error}",
    "One error of a settings file; each is logged and the process does not start.",
    logbook.ERROR,
)
SETTINGS_LOADED = register_log_event(
    1201,
    "settings_loaded",
    "settings {file} loaded for host {host}",
    "The settings file is valid and in use.",
)
