"""Events that the query path raises for itself."""

from jackdawsill.core import Event


class QueryStarted(Event):
    """The admission queue lets a query start."""

    query_id: int


class QueryExpired(Event):
    """The admission queue dropped a query that can no longer finish."""

    query_id: int
