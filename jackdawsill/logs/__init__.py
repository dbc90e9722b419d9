"""Numbered, structured log events."""

from jackdawsill.logs._handler import JsonHandler
from jackdawsill.logs._log import format_event, log_event, log_fields
from jackdawsill.logs._registry import LOG_EVENTS, EventSpec, register_log_event

__all__ = [
    "LOG_EVENTS",
    "EventSpec",
    "JsonHandler",
    "format_event",
    "log_event",
    "log_fields",
    "register_log_event",
]
