"""Errors of the driver."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(5003, status=500)
class InternalFault(JackdawsillError):
    """An unexpected exception ended the handling of a request.

    The driver passes it to `on_handler_failure` when nothing was sent for the request;
    elsewhere its `outcome` may say that the outcome is unknown.
    """
