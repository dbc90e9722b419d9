"""Links to peers: handshake, silence and the addresses to dial."""

import hashlib
import hmac
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from jackdawsill.core import HostEntry
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.membership._errors import HandshakeRefused
from jackdawsill.membership._messages import Hello, HelloProof
from jackdawsill.membership._model import Member

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0
SUSPECT_AFTER_S = 2.0
PING_S = 1.0
LINK_DEAD_S = 5.0
BRIEF_S = 2.0
DIAL_RETRY_S = 1.0


class LinkState(StrEnum):
    """State of a stream to a peer."""

    DIALLED = "dialled"
    PENDING = "pending"  # open, the peer has not proved itself
    OPEN = "open"
    CLOSING = "closing"  # messages still on their way are dropped


OPENING = (LinkState.DIALLED, LinkState.PENDING)


@dataclass(slots=True)
class Link:
    """A stream to a peer."""

    link_id: int
    address: str
    outgoing: bool
    state: LinkState
    changed_at: float
    brief: bool = False
    expected: str = ""  # incarnation that was dialled
    sent: Hello | None = None
    hello: Hello | None = None
    peer: str = ""
    heard_at: float = 0.0
    ping_at: float = 0.0


def authenticator(
    fleet_key: bytes, dialler: bool, hello: Hello, nonce: bytes, receiver: str
) -> bytes:
    """Return the keyed hash that proves a `Hello` to the host that chose `nonce`.

    The dialler's side is part of the hash, so a proof cannot be sent back to the
    host that made it. Messages after the handshake are not authenticated.
    """
    fields = (
        b"dialler" if dialler else b"acceptor",
        hello.incarnation.encode(),
        hello.name.encode(),
        hello.address.encode(),
        hello.failure_domain.encode(),
        str(hello.refutation).encode(),
        str(hello.brief).encode(),
        hello.nonce,
        nonce,
        receiver.encode(),
    )
    text = b"".join(len(field).to_bytes(4, "big") + field for field in fields)
    return hmac.new(fleet_key, text, hashlib.sha256).digest()


def make_nonce(
    fleet_key: bytes, incarnation: str, link_id: int, rng: random.Random
) -> bytes:
    """Return a nonce that does not repeat and that nobody without the key predicts.

    The keyed hash is needed because `rng` may be a generator whose later output
    follows from its earlier one.
    """
    text = f"nonce {incarnation} {link_id} ".encode() + rng.randbytes(NONCE_BYTES)
    return hmac.new(fleet_key, text, hashlib.sha256).digest()[:NONCE_BYTES]


class LinkTable:
    """Hold the streams of a host and the addresses that it may dial."""

    __slots__ = ("delisted_", "links_", "listed_", "next_dial_at_", "own_")

    def __init__(self) -> None:
        self.links_: dict[int, Link] = {}
        self.listed_: dict[str, HostEntry] = {}
        self.delisted_: set[str] = set()
        self.next_dial_at_: dict[str, float] = {}
        self.own_: set[str] = set()  # addresses at which this host met itself

    # Addresses.

    def on_list(self, entries: Iterable[HostEntry]) -> None:
        """Take in the platform's list; remember which addresses it dropped."""
        listed = {e.address: e for e in entries if not e.leaving}
        leaving = {e.address for e in entries if e.leaving}
        # An address that was never listed gives no evidence: the list lags.
        dropped = self.listed_.keys() - listed.keys()
        self.delisted_ = ((self.delisted_ | dropped) - listed.keys()) | leaving
        self.listed_ = listed

    def may_dial(self, address: str, now: float) -> bool:
        """Tell whether an address is free to be dialled now."""
        if address in self.own_ or now < self.next_dial_at_.get(address, now):
            return False
        return not any(
            link.address == address and link.state in OPENING
            for link in self.links_.values()
            if link.outgoing
        )

    def dial(
        self,
        link_id: int,
        address: str,
        now: float,
        *,
        expected: str = "",
        brief: bool = False,
        retry_s: float = DIAL_RETRY_S,
    ) -> Link:
        """Record that an address is dialled."""
        link = Link(link_id, address, True, LinkState.DIALLED, now, brief, expected)
        self.links_[link_id] = link
        self.next_dial_at_[address] = now + retry_s
        return link

    def forget_addresses(self, known: set[str]) -> None:
        """Drop the dial times of addresses that are not known any more."""
        for address in self.next_dial_at_.keys() - known:
            del self.next_dial_at_[address]

    # Handshake.

    def on_opened(
        self,
        link_id: int,
        address: str,
        outgoing: bool,
        own: Member,
        refutation: int,
        nonce: bytes,
        now: float,
    ) -> Hello:
        """Record an open stream and return the first message for it."""
        link = self.links_.get(link_id)
        if link is None:
            link = Link(link_id, address, outgoing, LinkState.PENDING, now)
            self.links_[link_id] = link
        link.state = LinkState.PENDING
        link.changed_at = now
        link.sent = Hello(
            own.incarnation,
            own.name,
            own.address,
            own.failure_domain,
            refutation,
            nonce,
            link.brief and outgoing,
        )
        return link.sent

    def on_hello(self, link: Link, hello: Hello, fleet_key: bytes) -> HelloProof | None:
        """Check a peer's first message and return this host's proof for it."""
        if link.hello == hello:
            return None
        if link.hello is not None or link.sent is None:
            raise HandshakeRefused("a second, different hello on one link")
        if hello.incarnation == link.sent.incarnation:
            if link.outgoing:
                self.own_.add(link.address)
            raise HandshakeRefused("the peer is this host")
        if len(hello.nonce) != NONCE_BYTES or not hello.address:
            raise HandshakeRefused("the hello has no usable nonce or address")
        link.hello = hello
        link.brief = link.brief if link.outgoing else hello.brief
        return HelloProof(
            authenticator(
                fleet_key, link.outgoing, link.sent, hello.nonce, hello.incarnation
            )
        )

    def on_proof(
        self, link: Link, proof: HelloProof, fleet_key: bytes, now: float
    ) -> bool:
        """Check a peer's proof; tell whether the link is newly open."""
        if link.state == LinkState.OPEN:
            return False
        if link.hello is None or link.sent is None:
            raise HandshakeRefused("a proof came before the hello")
        own = link.sent.incarnation
        wanted = authenticator(
            fleet_key, not link.outgoing, link.hello, link.sent.nonce, own
        )
        if not hmac.compare_digest(wanted, proof.authenticator):
            raise HandshakeRefused("the proof does not fit the fleet key")
        link.state = LinkState.OPEN
        link.changed_at = link.heard_at = link.ping_at = now
        link.peer = link.hello.incarnation
        return True

    def newer_link(self, kept: Link, other: Link, own: str) -> Link:
        """Return which of two links to one peer stays; both ends agree on it."""
        if kept.outgoing == other.outgoing:
            return max(kept, other, key=lambda link: (link.changed_at, link.link_id))
        dialled, accepted = (kept, other) if kept.outgoing else (other, kept)
        return dialled if own < dialled.peer else accepted

    # Time.

    def heard(self, now: float) -> set[str]:
        """Return the peers that sent anything within `SUSPECT_AFTER_S`."""
        return {
            link.peer
            for link in self.links_.values()
            if link.state == LinkState.OPEN and now - link.heard_at < SUSPECT_AFTER_S
        }

    def on_pause(self, now: float) -> None:
        """Start all waiting times anew; silence during a pause is no evidence."""
        for link in self.links_.values():
            link.changed_at = link.heard_at = now


def describe(error: JackdawsillError, link: Link) -> dict[str, object]:
    """Return the log fields of a refused handshake."""
    return {"link_id": link.link_id, "address": link.address, "error": str(error)}
