"""Errors of requests that are not idempotent."""

from jackdawsill.core import QueryArrived
from jackdawsill.exceptions import JackdawsillError, Outcome, register_error


@register_error(3001, status=428)
class TicketNeeded(JackdawsillError):
    """A request that is not idempotent came without a ticket."""


@register_error(3002, status=400)
class TicketInvalid(JackdawsillError):
    """The ticket cannot be decoded, is not authentic or names another route."""


@register_error(3003, status=403)
class TicketWrongCaller(JackdawsillError):
    """The ticket was issued to another caller."""


@register_error(3004, status=400)
class TicketBodyMismatch(JackdawsillError):
    """The ticket was used before with another body."""


@register_error(3005, status=428)
class TicketExpired(JackdawsillError):
    """The ticket expired before its first use."""


@register_error(3006, status=503)
class TicketsFull(JackdawsillError):
    """The issuer has no memory left to record another request."""


@register_error(3007, status=503)
class TicketUnconfirmed(JackdawsillError):
    """Peers have not confirmed the issuer's known state since a process pause."""


@register_error(3008, status=504)
class TicketDeadline(JackdawsillError):
    """The deadline passed before the request was sent."""


@register_error(3009, status=503, outcome=Outcome.OUTCOME_UNKNOWN)
class TicketOutcomeUnknown(JackdawsillError):
    """The request may have run, or no host can tell whether it did."""


@register_error(3010, status=504, outcome=Outcome.OUTCOME_UNKNOWN)
class TicketTimeout(JackdawsillError):
    """The outcome was not known before the deadline."""


@register_error(3011, status=503)
class TicketNoReplica(JackdawsillError):
    """No replica was available or accepted the request."""


@register_error(3012, status=403)
class TicketNotEntitled(JackdawsillError):
    """The caller is not entitled to the route in the issuer's object set."""


@register_error(3013, status=403, outcome=Outcome.OUTCOME_UNKNOWN)
class TicketHidden(JackdawsillError):
    """The request was sent, and its caller lost access to the route meanwhile."""


@register_error(3014, status=503)
class TicketQuarantined(JackdawsillError):
    """The request is condemned, or it is suspected and a copy of it is running."""


@register_error(3015, status=503)
class TicketsClosed(JackdawsillError):
    """The host is stopping and no longer issues or accepts tickets."""


def mark_refusal_unknown(request: QueryArrived, exc: JackdawsillError) -> None:
    """Set the outcome of `exc` to unknown if the refused request has a ticket.

    For refusals made before the ticket was checked. The request may already have run
    through another host, also if the input is invalid: the copy that ran may have had
    valid headers.
    """
    if request.ticket is not None:
        exc.outcome = Outcome.OUTCOME_UNKNOWN
