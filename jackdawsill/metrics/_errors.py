"""Errors of metrics."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(5151, status=400)
class HistogramInvalid(JackdawsillError):
    """A histogram of another host cannot be decoded or merged."""
