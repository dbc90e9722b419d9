"""Errors of the command-line tool."""

from jackdawsill.exceptions import JackdawsillError, register_error


@register_error(5200)
class InternalFailure(JackdawsillError):
    """The tool itself failed; please report the message."""


@register_error(5201, status=400)
class BadArgument(JackdawsillError):
    """An argument of a command is not valid."""


@register_error(5202, status=503)
class HostUnreachable(JackdawsillError):
    """A host gave no answer at its operator port."""


@register_error(5203, status=502)
class BadHostAnswer(JackdawsillError):
    """A host refused the request, or its answer cannot be read."""


@register_error(5204)
class BundleNotWritten(JackdawsillError):
    """The directory of a bundle cannot be read or written."""


@register_error(5205, status=409)
class GenerationNotRising(JackdawsillError):
    """The directory holds a bundle of the same or a later generation."""


@register_error(5206)
class FileNotWritten(JackdawsillError):
    """A file that a command was told to write cannot be written."""


@register_error(5207)
class FileNotRead(JackdawsillError):
    """A file that a command was told to read cannot be read."""


@register_error(5208)
class RequestNotFound(JackdawsillError):
    """The log files have no line of the request."""


class CommandFailed(Exception):
    """Several errors of one command, to be printed one per line."""

    def __init__(self, errors: list[JackdawsillError]) -> None:
        super().__init__(f"{len(errors)} errors")
        self.errors = errors
