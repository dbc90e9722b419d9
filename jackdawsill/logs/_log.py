"""Writing of numbered log events."""

from collections.abc import Mapping
from typing import Any

import logbook

from jackdawsill.logs._fields import safe_text, safe_value
from jackdawsill.logs._registry import LOG_EVENTS, LogEventSpec

LOGGER = logbook.Logger("jackdawsill")


class _TemplateFields(dict):
    """Fields for `str.format_map`; an absent field is shown as `?`."""

    def __missing__(self, key: str) -> str:
        return "?"


def format_event(spec: LogEventSpec, fields: Mapping[str, Any]) -> str:
    """Return the message of an event, or its template if formatting fails."""
    try:
        return safe_text(spec.template.format_map(_TemplateFields(fields)))
    except Exception:
        return spec.template


def log_fields(number: int, fields: Mapping[str, Any]) -> None:
    """Log the event `number` with a mapping of fields; never raise.

    An unregistered number is logged at level ERROR as event 0, `unregistered`, with
    the fields under `given`.
    """
    spec = LOG_EVENTS.get(number) if isinstance(number, int) else None
    if spec is None:
        message = "log event {number} is not registered"
        spec = LogEventSpec(0, "unregistered", logbook.ERROR, message, "")
        fields = {"number": safe_text(number), "given": fields}
    safe = safe_value(fields)
    if not isinstance(safe, dict):
        safe = {"given": safe}
    extra = {"number": spec.number, "name": spec.name, "fields": safe}
    LOGGER.log(spec.level, format_event(spec, safe), extra=extra)


def log_event(number: int, /, **fields: Any) -> None:
    """Call `log_fields` with keyword arguments as the fields; never raise."""
    log_fields(number, fields)
