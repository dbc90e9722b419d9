"""Errors of the message streams between hosts."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(4400, status=400)
class MessageInvalid(JackdawsillError):
    """A message between hosts does not check."""


@register_error(4401, status=413)
class MessageTooLarge(JackdawsillError):
    """A message between hosts is over the limit."""
