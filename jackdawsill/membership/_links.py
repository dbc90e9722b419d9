"""Links to peers: handshake, liveness and the addresses to dial."""

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
HANDSHAKE_TIMEOUT_S = 2.0  # for connecting, and again for the handshake
SUSPECT_AFTER_S = 2.0  # a peer that is silent for this time is reported
PING_INTERVAL_S = 1.0
LINK_TIMEOUT_S = 5.0  # the link of a peer that is silent for this time is closed
BRIEF_LINK_MAX_S = 2.0  # a link for one exchange is closed after this time
DIAL_RETRY_S = 1.0  # minimum time between two attempts to connect to an address


class LinkState(StrEnum):
    """State of a link to a peer."""

    DIALLED = "dialled"
    PENDING = "pending"  # connected, the peer is not authenticated yet
    OPEN = "open"
    CLOSING = "closing"  # closed by this host; arriving messages are dropped


OPENING = (LinkState.DIALLED, LinkState.PENDING)


@dataclass(slots=True)
class Link:
    """A link to a peer, in any state."""

    link_id: int
    address: str
    outgoing: bool
    state: LinkState
    changed_at: float
    brief: bool = False
    expected_peer: str = ""  # incarnation that was dialled, if known
    sent_hello: Hello | None = None
    peer_hello: Hello | None = None
    peer: str = ""  # incarnation, empty until it is authenticated
    heard_at: float = 0.0
    next_ping_at: float = 0.0


def authenticator(
    fleet_key: bytes,
    sender_is_dialler: bool,
    hello: Hello,
    receiver_nonce: bytes,
    receiver: str,
) -> bytes:
    """Return the keyed hash by which the sender of `hello` proves the fleet key.

    The proof is for the host `receiver`, which chose `receiver_nonce`. The role of the
    sender is part of the hash, so a proof cannot be reflected to the host that made it.
    Messages after the handshake are not authenticated.
    """
    fields = (
        b"dialler" if sender_is_dialler else b"acceptor",
        hello.incarnation.encode(),
        hello.name.encode(),
        hello.address.encode(),
        hello.failure_domain.encode(),
        str(hello.refutation).encode(),
        str(hello.brief).encode(),
        hello.nonce,
        receiver_nonce,
        receiver.encode(),
    )
    text = b"".join(len(field).to_bytes(4, "big") + field for field in fields)
    return hmac.new(fleet_key, text, hashlib.sha256).digest()


def make_nonce(
    fleet_key: bytes, incarnation: str, link_id: int, rng: random.Random
) -> bytes:
    """Return a unique nonce that is unpredictable without the fleet key.

    The keyed hash is needed because the output of `rng` may be predictable from its
    earlier output.
    """
    text = f"nonce {incarnation} {link_id} ".encode() + rng.randbytes(NONCE_BYTES)
    return hmac.new(fleet_key, text, hashlib.sha256).digest()[:NONCE_BYTES]


class LinkTable:
    """All links of a host, and the addresses that it may dial."""

    __slots__ = ("delisted_", "links_", "listed_", "next_dial_at_", "own_addresses_")

    def __init__(self) -> None:
        self.links_: dict[int, Link] = {}  # by link id
        self.listed_: dict[str, HostEntry] = {}  # platform's host list, by address
        self.delisted_: set[str] = set()  # addresses that left that list or will leave
        self.next_dial_at_: dict[str, float] = {}  # by address
        self.own_addresses_: set[str] = set()  # found to lead to this host itself

    # Addresses.

    def on_host_list(self, entries: Iterable[HostEntry]) -> None:
        """Record the platform's host list and the addresses that left it."""
        listed = {e.address: e for e in entries if not e.leaving}
        leaving = {e.address for e in entries if e.leaving}
        # The list lags, so an address that was never listed is not taken as delisted.
        dropped = self.listed_.keys() - listed.keys()
        self.delisted_ = ((self.delisted_ | dropped) - listed.keys()) | leaving
        self.listed_ = listed

    def may_dial(self, address: str, now: float) -> bool:
        """Return whether an address may be dialled now.

        False for own addresses, before the retry time, and during a handshake.
        """
        if address in self.own_addresses_ or now < self.next_dial_at_.get(address, now):
            return False
        return not any(
            link.address == address and link.state in OPENING
            for link in self.links_.values()
            if link.outgoing
        )

    def add_outgoing(
        self,
        link_id: int,
        address: str,
        now: float,
        *,
        expected: str = "",
        brief: bool = False,
        retry_s: float = DIAL_RETRY_S,
    ) -> Link:
        """Add the link that an `OpenLink` effect is about to open, and return it.

        `expected` is the incarnation at the address, if known.
        """
        link = Link(link_id, address, True, LinkState.DIALLED, now, brief, expected)
        self.links_[link_id] = link
        self.next_dial_at_[address] = now + retry_s
        return link

    def drop_addresses(self, known: set[str]) -> None:
        """Drop the dial times of all addresses that are not in `known`."""
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
        """Record a connected link and return the `Hello` to send on it."""
        link = self.links_.get(link_id)
        if link is None:
            link = Link(link_id, address, outgoing, LinkState.PENDING, now)
            self.links_[link_id] = link
        link.state = LinkState.PENDING
        link.changed_at = now
        link.sent_hello = Hello(
            own.incarnation,
            own.name,
            own.address,
            own.failure_domain,
            refutation,
            nonce,
            link.brief and outgoing,
        )
        return link.sent_hello

    def on_hello(self, link: Link, hello: Hello, fleet_key: bytes) -> HelloProof | None:
        """Check a peer's `Hello` and return this host's proof, or None if repeated.

        Raises `HandshakeRefused`, also if the peer is this host.
        """
        if link.peer_hello == hello:
            return None
        if link.peer_hello is not None or link.sent_hello is None:
            raise HandshakeRefused("the peer sent a second, different Hello")
        if hello.incarnation == link.sent_hello.incarnation:
            if link.outgoing:
                self.own_addresses_.add(link.address)
            raise HandshakeRefused("the peer is this host")
        if len(hello.nonce) != NONCE_BYTES or not hello.address:
            raise HandshakeRefused("the Hello has a nonce of wrong size or no address")
        link.peer_hello = hello
        link.brief = link.brief if link.outgoing else hello.brief
        return HelloProof(
            authenticator(
                fleet_key,
                link.outgoing,
                link.sent_hello,
                hello.nonce,
                hello.incarnation,
            )
        )

    def on_proof(
        self, link: Link, proof: HelloProof, fleet_key: bytes, now: float
    ) -> bool:
        """Check a peer's proof; return whether it opened the link.

        Raises `HandshakeRefused` if the proof is wrong or came before the `Hello`.
        """
        if link.state == LinkState.OPEN:
            return False
        if link.peer_hello is None or link.sent_hello is None:
            raise HandshakeRefused("the peer sent a proof before its Hello")
        own = link.sent_hello.incarnation
        wanted = authenticator(
            fleet_key, not link.outgoing, link.peer_hello, link.sent_hello.nonce, own
        )
        if not hmac.compare_digest(wanted, proof.authenticator):
            raise HandshakeRefused("the proof does not match the fleet key")
        link.state = LinkState.OPEN
        link.changed_at = link.heard_at = link.next_ping_at = now
        link.peer = link.peer_hello.incarnation
        return True

    def choose_link(self, kept: Link, other: Link, own: str) -> Link:
        """Return which of two links to one peer is kept; both ends choose the same.

        Of links in one direction the newer one, else the one dialled by the lower
        incarnation.
        """
        if kept.outgoing == other.outgoing:
            return max(kept, other, key=lambda link: (link.changed_at, link.link_id))
        dialled, accepted = (kept, other) if kept.outgoing else (other, kept)
        return dialled if own < dialled.peer else accepted

    # Time.

    def recently_heard(self, now: float) -> set[str]:
        """Return the peers that sent anything within `SUSPECT_AFTER_S`."""
        return {
            link.peer
            for link in self.links_.values()
            if link.state == LinkState.OPEN and now - link.heard_at < SUSPECT_AFTER_S
        }

    def on_pause(self, now: float) -> None:
        """Restart all timeouts, since silence during a process pause is no evidence."""
        for link in self.links_.values():
            link.changed_at = link.heard_at = now


def handshake_log_fields(error: JackdawsillError, link: Link) -> dict[str, object]:
    """Return the log fields of a refused handshake."""
    return {"link_id": link.link_id, "address": link.address, "error": str(error)}
