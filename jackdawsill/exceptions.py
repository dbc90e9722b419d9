"""Base exception with stable error codes, and the registry of all codes."""

from enum import StrEnum
from typing import TypeVar


class Outcome(StrEnum):
    """What is known about the execution of a refused request."""

    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    PARTLY_RUN = "partly_run"


class JackdawsillError(Exception):
    """Base class of all errors.

    `register_error` sets the code, the HTTP status and the outcome of a subclass.
    """

    code = 1000
    outcome = Outcome.NOT_RUN
    status = 500

    def __init__(self, message: str, *, retry_after_ms: int | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms

    @property
    def code_text(self) -> str:
        """Return the code as shown to users, for example JDS-2001."""
        return f"JDS-{self.code:04d}"

    def __str__(self) -> str:
        return f"{self.code_text}: {self.message}"


ErrorType = TypeVar("ErrorType", bound=type[JackdawsillError])

ERRORS: dict[int, type[JackdawsillError]] = {}


def register_error(code: int, *, status: int = 500, outcome: Outcome = Outcome.NOT_RUN):
    """Return a class decorator that registers an error under `code`.

    It raises `ValueError` if the code is taken.
    """

    def decorate(error_type: ErrorType) -> ErrorType:
        if code in ERRORS:
            raise ValueError(f"error code {code} is already taken by {ERRORS[code]}")
        error_type.code = code
        error_type.status = status
        error_type.outcome = outcome
        ERRORS[code] = error_type
        return error_type

    return decorate
