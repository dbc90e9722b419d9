"""At-most-once execution of requests that are not idempotent."""

from jackdawsill.tickets import _handlers as _handlers
from jackdawsill.tickets._errors import mark_refusal_unknown
from jackdawsill.tickets._manager import TicketManager
from jackdawsill.tickets._messages import (
    TicketForward,
    TicketHandover,
    TicketHandoverAck,
    TicketReply,
)

__all__ = [
    "TicketForward",
    "TicketHandover",
    "TicketHandoverAck",
    "TicketManager",
    "TicketReply",
    "mark_refusal_unknown",
]
