"""Numbered, structured log events."""

from jackdawsill.logs._registry import LOG_EVENTS, EventSpec, register_log_event

__all__ = ["LOG_EVENTS", "EventSpec", "register_log_event"]
