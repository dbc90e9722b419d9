"""At-most-once execution of requests that are not idempotent.

A caller first gets a ticket and sends its request with it. The host that issued the
ticket decides whether the request may be sent to a backend server; other hosts forward
to it. A host that stops hands its tickets over to a successor.
"""

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
