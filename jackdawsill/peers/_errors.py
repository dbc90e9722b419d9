"""Errors of the message streams between hosts."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(4400, status=400)
class MessageInvalid(JackdawsillError):
    """A message between hosts is malformed or does not match its class."""


@register_error(4401, status=413)
class MessageTooLarge(JackdawsillError):
    """A message between hosts exceeds the size limit."""
