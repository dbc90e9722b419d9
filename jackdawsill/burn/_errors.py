"""Errors of burn reports."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(5101, status=400)
class BurnReportInvalid(JackdawsillError):
    """The burn report of a host has missing or invalid fields."""
