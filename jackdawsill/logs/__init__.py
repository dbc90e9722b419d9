"""Numbered, structured log events, written as JSON lines."""

from jackdawsill.logs._handler import JsonHandler
from jackdawsill.logs._log import format_event, log_event, log_fields
from jackdawsill.logs._registry import LOG_EVENTS, LogEventSpec, register_log_event

__all__ = [
    "LOG_EVENTS",
    "JsonHandler",
    "LogEventSpec",
    "format_event",
    "log_event",
    "log_fields",
    "register_log_event",
]
