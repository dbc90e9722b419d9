"""At-most-once execution of requests that are not idempotent."""

from jackdawsill.tickets import _handlers as _handlers
from jackdawsill.tickets._errors import check_refusal
from jackdawsill.tickets._messages import (
    TicketForward,
    TicketHandover,
    TicketHandoverAck,
    TicketReply,
)
from jackdawsill.tickets._office import TicketOffice

__all__ = [
    "TicketForward",
    "TicketHandover",
    "TicketHandoverAck",
    "TicketOffice",
    "TicketReply",
    "check_refusal",
]
