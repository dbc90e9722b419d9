"""Errors of burn reports."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(5101, status=400)
class BurnReportInvalid(JackdawsillError):
    """The report of a host has missing or wrong fields."""
