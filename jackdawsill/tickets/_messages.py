"""Messages between hosts about tickets."""

from dataclasses import dataclass

from jackdawsill.peers import PeerMessage, register_message


@register_message("TicketForward")
class TicketForward(PeerMessage):
    """Asks the responsible host to decide on a ticketed request; safe to repeat."""

    forward_id: int
    ticket: str
    request_id: str
    route: str
    caller: str
    body: bytes
    deadline_s: float


@register_message("TicketReply")
class TicketReply(PeerMessage):
    """Reply to a forward: code 0 is an answer, other codes are errors.

    `not_issuer` means that the replying host does not decide on the ticket.
    """

    forward_id: int
    code: int = 0
    message: str = ""
    answer: bytes = b""
    not_issuer: bool = False


@dataclass(slots=True, frozen=True)
class SpentSpan:
    """Used serials of one span, as a bit mask."""

    index: int
    mask: bytes
    latest_expiry_s: float  # latest expiry of a used ticket, on the issuer's clock


@dataclass(slots=True, frozen=True)
class RecordCopy:
    """Recorded outcome of one ticket, as sent in a handover."""

    serial: int
    body_digest: bytes
    expires_s: float  # until when the record is kept, on the issuer's clock
    code: int
    message: str
    answer: bytes


@register_message("TicketHandover")
class TicketHandover(PeerMessage):
    """One chunk of the ledgers that a stopping host hands over to its successor.

    `issuer_clock_s` is the issuer's clock when it stopped deciding. With it the
    successor continues the expiry of the tickets on its own clock.
    """

    sender: str
    index: int
    n_chunks: int
    incarnation: str
    key: bytes
    issuer_clock_s: float
    next_serial: int
    void_below: int
    last_expiry_s: float
    spans: tuple[SpentSpan, ...] = ()
    records: tuple[RecordCopy, ...] = ()


@register_message("TicketHandoverAck")
class TicketHandoverAck(PeerMessage):
    """Confirms that all chunks of a sender were installed."""

    sender: str
