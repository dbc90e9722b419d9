"""Messages between hosts about tickets."""

from dataclasses import dataclass

from jackdawsill.peers import PeerMessage, register_message


@register_message("TicketForward")
class TicketForward(PeerMessage):
    """Ask an issuer to decide on a ticketed request; safe to repeat."""

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

    `not_issuer` means that the receiver does not decide on the ticket.
    """

    forward_id: int
    code: int = 0
    message: str = ""
    answer: bytes = b""
    not_issuer: bool = False


@dataclass(slots=True, frozen=True)
class SpentSpan:
    """Spent serials of one span of the window, as a bit mask."""

    index: int
    mask: bytes
    latest_expiry_s: float


@dataclass(slots=True, frozen=True)
class RecordCopy:
    """Recorded outcome of one ticket."""

    serial: int
    body_digest: bytes
    expires_s: float
    code: int
    message: str
    answer: bytes


@register_message("TicketHandover")
class TicketHandover(PeerMessage):
    """One chunk of the tickets that a stopping host gives to its successor.

    `issuer_clock_s` is the issuer's clock when it stopped deciding, so that
    expiry continues on the successor's clock.
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
    """Confirm that all chunks of a sender were installed."""

    sender: str
