"""Errors of queries.

The outcome given here is a default; a refusal sets it to what is known of the query.
"""

from jackdawsill.exceptions import JackdawsillError, Outcome, register_error


@register_error(2001, status=400)
class BadBody(JackdawsillError):
    """The request body is not a JSON object."""


@register_error(2002, status=401)
class BadToken(JackdawsillError):
    """The bearer token does not belong to any caller."""


@register_error(2003, status=404)
class NoRoute(JackdawsillError):
    """The route is not published."""


@register_error(2004, status=403)
class NotEntitled(JackdawsillError):
    """The caller may not use the route."""


@register_error(2005, status=503)
class NotReady(JackdawsillError):
    """The host is joining the fleet or has no object set yet."""


@register_error(2006, status=503)
class HostStopping(JackdawsillError):
    """The host is stopping and takes no new requests."""


@register_error(2007, status=503)
class Condemned(JackdawsillError):
    """The request crashed backend servers and is refused for a time."""


@register_error(2008, status=429)
class Overloaded(JackdawsillError):
    """The request cannot be finished before its deadline."""


@register_error(2009, status=504, outcome=Outcome.PARTLY_RUN)
class DeadlinePassed(JackdawsillError):
    """No shard answered before the deadline."""


@register_error(2010, status=503)
class NoSnapshot(JackdawsillError):
    """The route's group has no published snapshot."""


@register_error(2011, status=503, outcome=Outcome.PARTLY_RUN)
class NothingCovered(JackdawsillError):
    """No shard of the query gave an answer."""


@register_error(2012, status=403, outcome=Outcome.PARTLY_RUN)
class EntitlementLost(JackdawsillError):
    """The caller lost its entitlement to the route while the query ran."""


@register_error(2013, status=400)
class BadHeader(JackdawsillError):
    """The header with the request id or the deadline is malformed."""
