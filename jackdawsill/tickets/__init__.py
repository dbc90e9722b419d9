"""At-most-once execution of requests that are not idempotent."""

from jackdawsill.tickets._office import TicketOffice

__all__ = ["TicketOffice"]
