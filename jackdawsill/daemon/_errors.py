"""Errors of the daemon."""

from jackdawsill.exceptions import JackdawsillError, Outcome, register_error


@register_error(5000, status=400)
class BadRequest(JackdawsillError):
    """A header, a path or the body of a caller's request is not valid."""


@register_error(5001, status=413)
class BodyTooLarge(JackdawsillError):
    """The body of a caller's request is over the size limit."""


@register_error(5002, status=404)
class UnknownPath(JackdawsillError):
    """No resource has this path."""


@register_error(5004, status=504, outcome=Outcome.OUTCOME_UNKNOWN)
class NoReply(JackdawsillError):
    """No component replied to the request in time."""


@register_error(5005, status=503, outcome=Outcome.OUTCOME_UNKNOWN)
class HostStopped(JackdawsillError):
    """The host stopped before a reply to the request was ready."""


@register_error(5008, status=503)
class HostClosing(JackdawsillError):
    """The request arrived after the host had stopped."""


@register_error(5007, status=429)
class HostBusy(JackdawsillError):
    """The host has as many requests or connections as its settings allow."""


@register_error(5006, status=405)
class MethodNotAllowed(JackdawsillError):
    """The resource does not support this method."""
