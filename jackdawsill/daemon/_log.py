"""Write numbered log events through logbook."""

from typing import Any

import logbook

from jackdawsill.logs import LOG_EVENTS

_LOGGER = logbook.Logger("jackdawsill")


def write_log_event(host: str, number: int, fields: dict[str, Any]) -> None:
    """Log the event `number`; missing fields never raise."""
    spec = LOG_EVENTS.get(number)
    if spec is None:
        _LOGGER.error(f"unregistered log event {number}: {fields}")
        return
    try:
        text = spec.template.format(**fields)
    except (KeyError, IndexError, ValueError, AttributeError):
        text = f"{spec.template} {fields}"
    _LOGGER.log(
        spec.level, text, extra={"number": number, "event": spec.name, "host": host}
    )
