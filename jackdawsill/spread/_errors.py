"""Errors of the configuration spread."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(4100)
class InvalidManifest(JackdawsillError):
    """A manifest cannot be read or names values that are not acceptable."""


@register_error(4101)
class SetNotAcceptable(JackdawsillError):
    """A whole set was read but its content does not fit its manifest."""
