"""Errors of the driver."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(5003, status=500)
class InternalFault(JackdawsillError):
    """A handler failed before any sub-request of the query was sent."""
