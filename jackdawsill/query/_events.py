"""Events that the query path raises for itself."""

from dataclasses import dataclass

from jackdawsill.core import Event


@dataclass(slots=True, frozen=True)
class QueryStarted(Event):
    """The admission queue lets a query start."""

    query_id: int


@dataclass(slots=True, frozen=True)
class QueryExpired(Event):
    """The admission queue dropped a query that can no longer finish."""

    query_id: int
