"""Handlers of the membership messages that peers send."""

from collections.abc import Callable

from jackdawsill.core import CloseLink, Count, Effect, EmitEvent, LogEvent, SendPeer
from jackdawsill.membership import _log_events as log
from jackdawsill.membership._errors import HandshakeRefused
from jackdawsill.membership._events import PeerUp
from jackdawsill.membership._links import Link, LinkState, handshake_log_fields
from jackdawsill.membership._messages import (
    DigestDetail,
    DigestOffer,
    DigestReply,
    Evidence,
    EvidenceItem,
    Hello,
    HelloProof,
    Leave,
    MemberChange,
    MemberRecord,
    Ping,
    Pong,
    RecordRequest,
    Refutation,
    Tombstone,
)
from jackdawsill.membership._model import ApplyResult, Member, MemberState
from jackdawsill.membership._table import MemberTable
from jackdawsill.peers import PeerMessage

MAX_RECORDS = 200  # records in one message, about 20 KB

# Minimum time between two replies with bucket digests. After a partition heals, every
# exchange would otherwise find the same hundreds of differences, whose records are
# already in transit.
DETAIL_INTERVAL_S = 0.5

MessageHandler = Callable[[MemberTable, Link, PeerMessage, float], list[Effect]]
MESSAGE_HANDLERS: dict[type[PeerMessage], MessageHandler] = {}


def handles_message(
    message_type: type[PeerMessage],
) -> Callable[[MessageHandler], MessageHandler]:
    """Return a decorator that registers the handler of a message class."""

    def decorate(function: MessageHandler) -> MessageHandler:
        MESSAGE_HANDLERS[message_type] = function
        return function

    return decorate


def close_effects(link: Link) -> list[Effect]:
    """Return the effects that close a link; messages still arriving are dropped."""
    if link.state == LinkState.CLOSING:
        return []
    link.state = LinkState.CLOSING
    return [CloseLink(link.link_id)]


def unset_peer_link(table: MemberTable, link: Link) -> None:
    """Remove a link from `MemberTable.links_` if it is the one to its peer."""
    if table.links_.get(link.peer) == link.link_id:
        del table.links_[link.peer]


def refusal_effects(link: Link, exc: HandshakeRefused) -> list[Effect]:
    """Return the effects that log and count a failed handshake and close its link."""
    return [
        LogEvent(log.HANDSHAKE_REFUSED, handshake_log_fields(exc, link)),
        Count("membership_handshakes_refused"),
        *close_effects(link),
    ]


@handles_message(Hello)
def on_hello(
    table: MemberTable, link: Link, message: Hello, now: float
) -> list[Effect]:
    """Answer a `Hello` with the proof of this host."""
    try:
        proof = table.link_table_.on_hello(link, message, table.fleet_key)
    except HandshakeRefused as exc:
        return refusal_effects(link, exc)
    return [] if proof is None else [SendPeer(link.link_id, proof)]


@handles_message(HelloProof)
def on_proof(
    table: MemberTable, link: Link, message: HelloProof, now: float
) -> list[Effect]:
    """Check the peer's proof; add the peer as a member and use the link.

    If another incarnation was expected at this address, that one is marked gone.
    """
    try:
        if not table.link_table_.on_proof(link, message, table.fleet_key, now):
            return []
    except HandshakeRefused as exc:
        return refusal_effects(link, exc)
    hello = link.peer_hello
    assert hello is not None
    member = Member(hello.incarnation, hello.name, hello.address, hello.failure_domain)
    applied = table.on_handshake(member, hello.refutation, now)
    table.link_table_.next_dial_at_.pop(link.address, None)
    table.evidence_.withdraw(member.incarnation, table.self_member.incarnation)
    if link.expected_peer and link.expected_peer != member.incarnation:
        table.declare_gone(link.expected_peer, now)
    effects: list[Effect] = []
    if applied == ApplyResult.CONTESTED:
        effects += send_contested_state(table, link, member.incarnation)
    if not link.brief:
        effects += set_peer_link(table, link)
        if link.state == LinkState.CLOSING:
            return effects
    if link.outgoing:
        effects.append(SendPeer(link.link_id, table.digest_offer()))
    return [*effects, EmitEvent(PeerUp(link.link_id, link.peer, link.brief))]


def set_peer_link(table: MemberTable, link: Link) -> list[Effect]:
    """Use a link as the one to its peer in `MemberTable.links_`.

    If there are two, one is closed; both ends choose the same one.
    """
    other_id = table.links_.get(link.peer)
    other = None if other_id is None else table.link_table_.links_.get(other_id)
    if other is not None and other is not link:
        kept = table.link_table_.choose_link(other, link, table.self_member.incarnation)
        if kept is other:
            return close_effects(link)
        table.links_[link.peer] = link.link_id
        return close_effects(other)
    table.links_[link.peer] = link.link_id
    return []


def send_contested_state(
    table: MemberTable, link: Link, incarnation: str
) -> list[Effect]:
    """Return the effect that tells a peer why an incarnation is not live here.

    It sends the record of an incarnation that is gone, and evidence of a lost one.
    """
    entry = table.entries_[incarnation]
    if entry.state == MemberState.GONE:
        message = MemberChange((table.record_of(incarnation),))
        return [SendPeer(link.link_id, message)]
    own = table.self_member.incarnation
    item = EvidenceItem(incarnation, entry.refutation, own)
    return [SendPeer(link.link_id, Evidence((item,)))]


@handles_message(Ping)
def on_ping(table: MemberTable, link: Link, message: Ping, now: float) -> list[Effect]:
    """Reply with a `Pong`."""
    return [SendPeer(link.link_id, Pong())]


@handles_message(Pong)
def on_pong(table: MemberTable, link: Link, message: Pong, now: float) -> list[Effect]:
    """Do nothing; the reducer handler records that the peer sent a message."""
    return []


@handles_message(MemberChange)
def on_member_change(
    table: MemberTable, link: Link, message: MemberChange, now: float
) -> list[Effect]:
    """Apply records and refutation counts.

    Sends the state of contested ones, and requests the records of unknown members.
    """
    effects: list[Effect] = []
    for record in message.records:
        if record.state == MemberState.LOST:
            continue  # each host declares members lost from evidence only
        if table.apply(record, now, link.link_id) == ApplyResult.CONTESTED:
            effects += send_contested_state(table, link, record.incarnation)
    unknown = []
    for incarnation, refutation in message.raised.items():
        if incarnation not in table.entries_:
            unknown.append(incarnation)
        elif (
            table.raise_refutation(incarnation, refutation, now, link.link_id)
            == ApplyResult.CONTESTED
        ):
            effects += send_contested_state(table, link, incarnation)
    return effects + request_records(link, unknown)


def member_change(records: tuple[MemberRecord, ...]) -> MemberChange:
    """Return the message that forwards records.

    Of live members with a refutation count only that count is sent.
    """
    raised = {
        record.incarnation: record.refutation
        for record in records
        if record.refutation and record.state == MemberState.ALIVE
    }
    return MemberChange(
        tuple(r for r in records if r.incarnation not in raised), raised
    )


@handles_message(Refutation)
def on_refutation(
    table: MemberTable, link: Link, message: Refutation, now: float
) -> list[Effect]:
    """Apply the record of a refutation."""
    return on_member_change(table, link, MemberChange((message.record,)), now)


@handles_message(Evidence)
def on_evidence(
    table: MemberTable, link: Link, message: Evidence, now: float
) -> list[Effect]:
    """Apply reports; reply with records of refutations that the peer has missed."""
    missed = [
        table.record_of(item.suspect)
        for item in message.items
        if table.on_evidence(item, now, link.link_id)
    ]
    return send_records(link, missed)


@handles_message(Tombstone)
def on_tombstone(
    table: MemberTable, link: Link, message: Tombstone, now: float
) -> list[Effect]:
    """Record a successor and broadcast it if it is new."""
    if not table.tombstones_.add(message, now):
        return []
    return list(table.broadcast(message))


@handles_message(Leave)
def on_leave(
    table: MemberTable, link: Link, message: Leave, now: float
) -> list[Effect]:
    """Mark the sender as gone; a `Leave` about another incarnation is ignored."""
    if message.incarnation == link.peer:
        table.declare_gone(message.incarnation, now)
    return []


@handles_message(DigestOffer)
def on_digest_offer(
    table: MemberTable, link: Link, message: DigestOffer, now: float
) -> list[Effect]:
    """Reply to a digest, with the bucket digests if the member tables differ.

    Also sends all tombstones if their digests differ.
    """
    own = table.digest_offer()
    effects: list[Effect] = []
    if message.tombstone_digest != own.tombstone_digest:
        effects += [
            SendPeer(link.link_id, tombstone)
            for tombstone in table.tombstones_.messages(now)
        ]
    differs = message.digest != own.digest and now >= table.next_detail_at_
    if differs:
        table.next_detail_at_ = now + DETAIL_INTERVAL_S
    reply = DigestReply(
        tuple(table.buckets_) if differs else (),
        link.peer in table.members_,
        own.generation,
        own.set_digest,
        table.advertised_.confirmed,
        message.n_pauses,
    )
    return [*effects, SendPeer(link.link_id, reply)]


@handles_message(DigestReply)
def on_digest_reply(
    table: MemberTable, link: Link, message: DigestReply, now: float
) -> list[Effect]:
    """Send the live members of the buckets that differ.

    If this host is live in the peer's table, the reply confirms the member view, unless
    the process was paused since the offer.
    """
    effects: list[Effect] = []
    if message.holds_sender:
        table.confirmed_ |= message.n_pauses == table.n_pauses_
    else:
        own = table.record_of(table.self_member.incarnation)
        effects.append(SendPeer(link.link_id, MemberChange((own,))))
    pairs = enumerate(zip(message.buckets, table.buckets_, strict=False))
    differing = tuple(index for index, (theirs, own) in pairs if theirs != own)
    if not differing:
        # The link was opened for this exchange, which ends here.
        done = link.brief and link.outgoing and not effects
        return close_effects(link) if done else effects
    detail = DigestDetail(differing, live_in_buckets(table, differing))
    return [*effects, SendPeer(link.link_id, detail)]


def live_in_buckets(table: MemberTable, buckets: tuple[int, ...]) -> dict[str, int]:
    """Return the refutation counts of the live incarnations in some buckets."""
    wanted = frozenset(buckets)
    entries = (table.entries_[incarnation] for incarnation in table.members_)
    return {
        entry.member.incarnation: entry.refutation
        for entry in entries
        if entry.bucket in wanted
    }


@handles_message(DigestDetail)
def on_digest_detail(
    table: MemberTable, link: Link, message: DigestDetail, now: float
) -> list[Effect]:
    """Send the counts that the peer lacks, and request records that this host lacks."""
    effects: list[Effect] = []
    wanted = []
    for incarnation, refutation in message.live.items():
        entry = table.entries_.get(incarnation)
        if entry is None:
            wanted.append(incarnation)
        elif refutation > entry.refutation:
            table.raise_refutation(incarnation, refutation, now)
        elif entry.state != MemberState.ALIVE:
            effects += send_contested_state(table, link, incarnation)
    # The peer may have declared these members lost; it requests unknown records.
    newer = {
        incarnation: refutation
        for incarnation, refutation in live_in_buckets(table, message.buckets).items()
        if message.live.get(incarnation, -1) < refutation
    }
    if newer:
        effects.append(SendPeer(link.link_id, MemberChange((), newer)))
    return effects + request_records(link, wanted)


@handles_message(RecordRequest)
def on_record_request(
    table: MemberTable, link: Link, message: RecordRequest, now: float
) -> list[Effect]:
    """Send the requested records of live members."""
    known = [i for i in message.incarnations if i in table.members_]
    return send_records(link, [table.record_of(i) for i in known])


def send_records(link: Link, records: list[MemberRecord]) -> list[Effect]:
    """Return messages with at most `MAX_RECORDS` records each."""
    return [
        SendPeer(link.link_id, MemberChange(tuple(records[i : i + MAX_RECORDS])))
        for i in range(0, len(records), MAX_RECORDS)
    ]


def request_records(link: Link, incarnations: list[str]) -> list[Effect]:
    """Return requests for at most `MAX_RECORDS` records each."""
    return [
        SendPeer(link.link_id, RecordRequest(tuple(incarnations[i : i + MAX_RECORDS])))
        for i in range(0, len(incarnations), MAX_RECORDS)
    ]
