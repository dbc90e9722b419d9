"""Registry of numbered log events."""

import logbook
import msgspec


class LogEventSpec(msgspec.Struct, frozen=True):
    """Description of a log event.

    `template` is its message for `str.format_map`, `level` a logbook level, and
    `meaning` explains the event on the operators' page of log events.
    """

    number: int
    name: str
    level: int
    template: str
    meaning: str


LOG_EVENTS: dict[int, LogEventSpec] = {}


def register_log_event(
    number: int, name: str, template: str, meaning: str, level: int = logbook.INFO
) -> int:
    """Register a log event and return its number.

    Raise `ValueError` if the number is taken.
    """
    if number in LOG_EVENTS:
        raise ValueError(
            f"log event {number} is already registered as {LOG_EVENTS[number].name}"
        )
    LOG_EVENTS[number] = LogEventSpec(number, name, level, template, meaning)
    return number
