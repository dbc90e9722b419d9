"""Events that the handlers of queries emit for one another."""

from jackdawsill.core import Event


class QueryStarted(Event):
    """The admission queue has let a query start."""

    query_id: int


class QueryExpired(Event):
    """The admission queue has dropped a query that cannot finish in time."""

    query_id: int
