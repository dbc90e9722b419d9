"""Tickets for requests that are not idempotent."""

from jackdawsill.core import Effect, HostState, QueryArrived


class TicketOffice:
    """Issue tickets, spend each at most once and keep the outcomes."""

    __slots__ = ()

    def on_request(
        self, state: HostState, request: QueryArrived, now: float
    ) -> list[Effect]:
        """Decide on a checked request to a route that is not repeatable."""
        raise NotImplementedError
