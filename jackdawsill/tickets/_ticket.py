"""Format and authentication of tickets."""

import base64
import binascii
import hmac
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from jackdawsill.tickets._errors import TicketInvalid

MAC_BYTES = 16
MAX_TICKET_CHARS = 2048


@dataclass(slots=True, frozen=True)
class Ticket:
    """Permission to run one request once; `expires_at` is on the issuer's clock."""

    issuer: str  # incarnation of the issuing process
    serial: int
    caller: str
    route: str
    expires_at: float


_DECODER = msgspec.msgpack.Decoder(tuple[str, int, str, str, float])
_ENCODER = msgspec.msgpack.Encoder()


def _mac(payload: bytes, key: bytes) -> bytes:
    """Return the keyed hash of an encoded ticket."""
    return blake2b(payload, key=key, digest_size=MAC_BYTES).digest()


def encode_ticket(ticket: Ticket, key: bytes) -> str:
    """Return the text of a ticket: base64url of its keyed hash and its fields."""
    payload = _ENCODER.encode(
        (
            ticket.issuer,
            ticket.serial,
            ticket.caller,
            ticket.route,
            ticket.expires_at,
        )
    )
    return base64.urlsafe_b64encode(_mac(payload, key) + payload).decode()


def _split(text: str) -> tuple[bytes, bytes]:
    """Return the keyed hash and the payload of a ticket's text."""
    if len(text) > MAX_TICKET_CHARS:
        raise TicketInvalid("the ticket is too long")
    try:
        raw = base64.b64decode(text.encode(), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as exc:
        raise TicketInvalid("the ticket is not base64url text") from exc
    return raw[:MAC_BYTES], raw[MAC_BYTES:]


def decode_ticket(text: str) -> Ticket:
    """Return the fields of a ticket without checking that it is authentic."""
    _, payload = _split(text)
    try:
        return Ticket(*_DECODER.decode(payload))
    except msgspec.DecodeError as exc:
        raise TicketInvalid("the ticket cannot be decoded") from exc


def is_authentic(text: str, key: bytes) -> bool:
    """Return whether a ticket was issued with this key."""
    mac, payload = _split(text)
    return hmac.compare_digest(mac, _mac(payload, key))


def body_digest(body: bytes) -> bytes:
    """Return the digest that binds a used ticket to its request body."""
    return blake2b(body, digest_size=16).digest()
