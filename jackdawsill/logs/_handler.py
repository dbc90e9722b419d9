"""Logbook handler that writes one JSON object per line."""

import json
from typing import Any

import logbook

from jackdawsill.logs._fields import safe_text, safe_value


class JsonHandler(logbook.StreamHandler):
    """Write records as JSON lines.

    Writing never raises, so that logging cannot fail a request. Records that cannot
    be written are counted in `n_dropped_`.
    """

    def __init__(self, stream: Any, level: int = logbook.INFO, **options: Any) -> None:
        super().__init__(stream, level=level, **options)
        self.n_dropped_ = 0

    def format(self, record: logbook.LogRecord) -> str:
        """Return a record as one line of JSON."""
        # Records of libraries have no number, name or fields; logbook then returns
        # empty strings.
        extra = record.extra
        line = {
            "time": safe_text(record.time),
            "number": extra["number"] or 0,
            "name": extra["name"] or safe_text(record.channel),
            "level": record.level_name.lower(),
            "message": _message(record),
            "fields": safe_value(extra["fields"] or {}),
        }
        if record.exc_info:
            line["exception"] = safe_text(record.formatted_exception)
        return json.dumps(line)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record; count it in `n_dropped_` if that raises."""
        try:
            super().emit(record)
        except Exception:
            self.n_dropped_ += 1


def _message(record: logbook.LogRecord) -> str:
    """Return the message, or its template if formatting fails."""
    try:
        return safe_text(record.message)
    except Exception:
        return safe_text(record.msg)
