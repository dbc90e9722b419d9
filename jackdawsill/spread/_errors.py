"""Errors of the configuration distribution."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(4100)
class InvalidManifest(JackdawsillError):
    """A manifest cannot be decoded or exceeds a limit."""


@register_error(4101)
class SetNotAcceptable(JackdawsillError):
    """Downloaded values are missing or do not match the manifest."""
