"""Errors of membership."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(4000)
class HandshakeRefused(JackdawsillError):
    """A peer's `Hello` or proof is invalid; its link is closed."""


@register_error(4001)
class InvalidMemberTable(JackdawsillError):
    """A field of the member table's own member is empty."""
