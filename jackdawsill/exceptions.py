"""Base exception with stable error codes, and the registry of all codes."""

from enum import StrEnum
from typing import TypeVar


class Outcome(StrEnum):
    """Whether a request that got no answer may have run."""

    NOT_RUN = "not_run"  # no part of it ran
    OUTCOME_UNKNOWN = "outcome_unknown"  # it may have run
    PARTLY_RUN = "partly_run"  # some of its sub-requests ran


class JackdawsillError(Exception):
    """Base class of all errors.

    `register_error` sets the code, the HTTP status and the outcome of a subclass.
    `retry_after_ms` is the delay after which a caller may retry, None if not given.
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

    It raises `ValueError` if the code is registered.
    """

    def decorate(error_type: ErrorType) -> ErrorType:
        if code in ERRORS:
            raise ValueError(
                f"error code {code} is already registered by {ERRORS[code]}"
            )
        error_type.code = code
        error_type.status = status
        error_type.outcome = outcome
        ERRORS[code] = error_type
        return error_type

    return decorate
