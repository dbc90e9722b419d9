"""Messages of membership between hosts."""

from typing import NamedTuple

from jackdawsill.peers import PeerMessage, register_message


class MemberRecord(NamedTuple):
    """One member as sent to peers; `state` is a `MemberState`, never LOST."""

    incarnation: str
    name: str
    address: str
    failure_domain: str
    refutation: int
    state: int


class EvidenceItem(NamedTuple):
    """A report that `reporter` gets no answer from `suspect`."""

    suspect: str
    refutation: int
    reporter: str


@register_message("Hello")
class Hello(PeerMessage):
    """First message of each side of a link; `nonce` is new for each link."""

    incarnation: str
    name: str
    address: str
    failure_domain: str
    refutation: int
    nonce: bytes
    brief: bool = False  # opened for one exchange and closed after it


@register_message("HelloProof")
class HelloProof(PeerMessage):
    """Keyed hash over the sender's `Hello` and the receiver's nonce."""

    authenticator: bytes


@register_message("Ping")
class Ping(PeerMessage):
    """Asks for a `Pong`."""


@register_message("Pong")
class Pong(PeerMessage):
    """Answers a `Ping`."""


@register_message("MemberChange")
class MemberChange(PeerMessage):
    """Records of members that joined or left, and raised refutation counts.

    `raised` maps live incarnations to their refutation counts. Receivers know nearly
    all of them; sending full records would double the bytes after a partition heals.
    """

    records: tuple[MemberRecord, ...] = ()
    raised: dict[str, int] = {}


@register_message("Evidence")
class Evidence(PeerMessage):
    """Reports of hosts that get no answer from other hosts."""

    items: tuple[EvidenceItem, ...]


@register_message("Refutation")
class Refutation(PeerMessage):
    """The sender is alive; evidence with a lower refutation count is void."""

    record: MemberRecord


@register_message("Tombstone")
class Tombstone(PeerMessage):
    """The tickets of a stopped incarnation were handed over to `successor`."""

    incarnation: str
    successor: str
    remaining_s: float  # time to expiry, so that copies expire with the original


@register_message("DigestOffer")
class DigestOffer(PeerMessage):
    """Digest of the sender's live members and tombstones, and its generation."""

    digest: int
    tombstone_digest: int
    generation: int
    set_digest: str
    n_pauses: int  # echoed in the reply; a reply from before a pause confirms nothing


@register_message("DigestReply")
class DigestReply(PeerMessage):
    """Answer to an offer; `buckets` is empty if the digests are equal."""

    buckets: tuple[int, ...]
    holds_sender: bool  # the offering host is live in the replying host's table
    generation: int
    set_digest: str
    confirmed: bool  # the replying host's generation is confirmed
    n_pauses: int


@register_message("DigestDetail")
class DigestDetail(PeerMessage):
    """Live incarnations and refutation counts in the buckets that differ."""

    buckets: tuple[int, ...]
    live: dict[str, int]


@register_message("RecordRequest")
class RecordRequest(PeerMessage):
    """Asks for the records of incarnations that the sender does not know."""

    incarnations: tuple[str, ...]


@register_message("Leave")
class Leave(PeerMessage):
    """The sender is stopping; it opens no more links and refutes no evidence."""

    incarnation: str
    refutation: int
