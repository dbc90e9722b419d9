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
    """The issuer has no memory left for another request."""


@register_error(3007, status=503)
class TicketUnconfirmed(JackdawsillError):
    """The issuer was paused and no peer has confirmed its view yet."""


@register_error(3008, status=504)
class TicketDeadline(JackdawsillError):
    """The deadline passed before the request was sent."""


@register_error(3009, status=503, outcome=Outcome.OUTCOME_UNKNOWN)
class TicketOutcomeUnknown(JackdawsillError):
    """The request may have run, or its issuer cannot be asked."""


@register_error(3010, status=504, outcome=Outcome.OUTCOME_UNKNOWN)
class TicketTimeout(JackdawsillError):
    """The outcome was not known before the deadline."""


@register_error(3011, status=503)
class TicketNoReplica(JackdawsillError):
    """No replica took the request."""


@register_error(3012, status=403)
class TicketNotEntitled(JackdawsillError):
    """The caller is not entitled to the route in the issuer's object set."""


@register_error(3013, status=403, outcome=Outcome.OUTCOME_UNKNOWN)
class TicketHidden(JackdawsillError):
    """The request was sent, and its caller lost the route before delivery."""


@register_error(3014, status=503)
class TicketQuarantined(JackdawsillError):
    """The request is condemned, or suspected while the same one is running."""


@register_error(3015, status=503)
class TicketsClosed(JackdawsillError):
    """The host has stopped issuing and spending tickets."""


def mark_refusal_unknown(request: QueryArrived, exc: JackdawsillError) -> None:
    """Correct the outcome of a refusal that was made before the ticket was read.

    The same ticket may have run through another host. That holds for bad input
    too, since a resend may differ from the request that ran in a bad header.
    """
    if request.ticket is not None:
        exc.outcome = Outcome.OUTCOME_UNKNOWN
