"""Answers of the member table to messages of peers."""

from collections.abc import Callable

from jackdawsill.core import CloseLink, Count, Effect, EmitEvent, LogEvent, SendPeer
from jackdawsill.membership import _log_events as log
from jackdawsill.membership._errors import HandshakeRefused
from jackdawsill.membership._events import PeerUp
from jackdawsill.membership._links import Link, LinkState, describe
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
from jackdawsill.membership._model import Applied, Member, MemberState
from jackdawsill.membership._table import MemberTable
from jackdawsill.peers import PeerMessage

MAX_RECORDS = 200  # records in one message, about 20 KB

# While regions meet again every exchange finds the same hundreds of differences, which
# are already on their way; a host compares them with a few others only.
DETAIL_S = 0.5

Answer = Callable[[MemberTable, Link, PeerMessage, float], list[Effect]]
ANSWERS: dict[type[PeerMessage], Answer] = {}


def answers(message_type: type[PeerMessage]) -> Callable[[Answer], Answer]:
    """Return a decorator that registers the function for a message class."""

    def decorate(function: Answer) -> Answer:
        ANSWERS[message_type] = function
        return function

    return decorate


def close(link: Link) -> list[Effect]:
    """Close a link; what still arrives on it is dropped."""
    if link.state == LinkState.CLOSING:
        return []
    link.state = LinkState.CLOSING
    return [CloseLink(link.link_id)]


def unregister(table: MemberTable, link: Link) -> None:
    """Take a link out of the links that other components use."""
    if table.links_.get(link.peer) == link.link_id:
        del table.links_[link.peer]


def refuse(link: Link, exc: HandshakeRefused) -> list[Effect]:
    """Close a link whose peer did not prove itself."""
    return [
        LogEvent(log.HANDSHAKE_REFUSED, describe(exc, link)),
        Count("membership_handshakes_refused"),
        *close(link),
    ]


@answers(Hello)
def on_hello(
    table: MemberTable, link: Link, message: Hello, now: float
) -> list[Effect]:
    """Prove this host to the peer."""
    try:
        proof = table.link_table_.on_hello(link, message, table.fleet_key)
    except HandshakeRefused as exc:
        return refuse(link, exc)
    return [] if proof is None else [SendPeer(link.link_id, proof)]


@answers(HelloProof)
def on_proof(
    table: MemberTable, link: Link, message: HelloProof, now: float
) -> list[Effect]:
    """Take the peer in as a member and register the link."""
    try:
        if not table.link_table_.on_proof(link, message, table.fleet_key, now):
            return []
    except HandshakeRefused as exc:
        return refuse(link, exc)
    hello = link.hello
    assert hello is not None
    member = Member(hello.incarnation, hello.name, hello.address, hello.failure_domain)
    applied = table.on_handshake(member, hello.refutation, now)
    table.link_table_.next_dial_at_.pop(link.address, None)
    table.evidence_.withdraw(member.incarnation, table.self_member.incarnation)
    if link.expected and link.expected != member.incarnation:
        table.declare_gone(link.expected, now)
    effects: list[Effect] = []
    if applied == Applied.CONTESTED:
        effects += contest(table, link, member.incarnation)
    if not link.brief:
        effects += register(table, link)
        if link.state == LinkState.CLOSING:
            return effects
    if link.outgoing:
        effects.append(SendPeer(link.link_id, table.digest_offer()))
    return [*effects, EmitEvent(PeerUp(link.link_id, link.peer, link.brief))]


def register(table: MemberTable, link: Link) -> list[Effect]:
    """Make a link the one to its peer; of two, both ends keep the same one."""
    other_id = table.links_.get(link.peer)
    other = None if other_id is None else table.link_table_.links_.get(other_id)
    if other is not None and other is not link:
        kept = table.link_table_.newer_link(other, link, table.self_member.incarnation)
        if kept is other:
            return close(link)
        table.links_[link.peer] = link.link_id
        return close(other)
    table.links_[link.peer] = link.link_id
    return []


def contest(table: MemberTable, link: Link, incarnation: str) -> list[Effect]:
    """Tell a peer that this host holds an incarnation lost or gone."""
    entry = table.entries_[incarnation]
    if entry.state == MemberState.GONE:
        message = MemberChange((table.record_of(incarnation),))
        return [SendPeer(link.link_id, message)]
    own = table.self_member.incarnation
    item = EvidenceItem(incarnation, entry.refutation, own)
    return [SendPeer(link.link_id, Evidence((item,)))]


@answers(Ping)
def on_ping(table: MemberTable, link: Link, message: Ping, now: float) -> list[Effect]:
    """Answer a ping."""
    return [SendPeer(link.link_id, Pong())]


@answers(Pong)
def on_pong(table: MemberTable, link: Link, message: Pong, now: float) -> list[Effect]:
    """Do nothing: every message shows that the peer is alive."""
    return []


@answers(MemberChange)
def on_member_change(
    table: MemberTable, link: Link, message: MemberChange, now: float
) -> list[Effect]:
    """Take in records; contest those that this host holds otherwise."""
    effects: list[Effect] = []
    for record in message.records:
        if record.state == MemberState.LOST:
            continue  # each host concludes a loss from evidence on its own
        if table.apply(record, now, link.link_id) == Applied.CONTESTED:
            effects += contest(table, link, record.incarnation)
    unknown = []
    for incarnation, refutation in message.raised.items():
        if incarnation not in table.entries_:
            unknown.append(incarnation)
        elif (
            table.raise_refutation(incarnation, refutation, now, link.link_id)
            == Applied.CONTESTED
        ):
            effects += contest(table, link, incarnation)
    return effects + request_records(link, unknown)


def member_change(records: tuple[MemberRecord, ...]) -> MemberChange:
    """Return the message that passes records on."""
    raised = {
        record.incarnation: record.refutation
        for record in records
        if record.refutation and record.state == MemberState.ALIVE
    }
    return MemberChange(
        tuple(r for r in records if r.incarnation not in raised), raised
    )


@answers(Refutation)
def on_refutation(
    table: MemberTable, link: Link, message: Refutation, now: float
) -> list[Effect]:
    """Take in a refutation."""
    return on_member_change(table, link, MemberChange((message.record,)), now)


@answers(Evidence)
def on_evidence(
    table: MemberTable, link: Link, message: Evidence, now: float
) -> list[Effect]:
    """Take in reports; send the records of refutations that the peer missed."""
    missed = [
        table.record_of(item.suspect)
        for item in message.items
        if table.on_evidence(item, now, link.link_id)
    ]
    return send_records(link, missed)


@answers(Tombstone)
def on_tombstone(
    table: MemberTable, link: Link, message: Tombstone, now: float
) -> list[Effect]:
    """Record a successor and pass it on."""
    if not table.tombstones_.add(message, now):
        return []
    return list(table.broadcast(message))


@answers(Leave)
def on_leave(
    table: MemberTable, link: Link, message: Leave, now: float
) -> list[Effect]:
    """Hold a host that stops as planned gone; only itself may say so."""
    if message.incarnation == link.peer:
        table.declare_gone(message.incarnation, now)
    return []


@answers(DigestOffer)
def on_digest_offer(
    table: MemberTable, link: Link, message: DigestOffer, now: float
) -> list[Effect]:
    """Answer an offer with the digests of the buckets if the views differ."""
    own = table.digest_offer()
    effects: list[Effect] = []
    if message.tombstone_digest != own.tombstone_digest:
        effects += [
            SendPeer(link.link_id, tombstone)
            for tombstone in table.tombstones_.messages(now)
        ]
    differs = message.digest != own.digest and now >= table.detail_at_
    if differs:
        table.detail_at_ = now + DETAIL_S
    reply = DigestReply(
        tuple(table.buckets_) if differs else (),
        link.peer in table.members_,
        own.generation,
        own.set_digest,
        table.advertised_.confirmed,
        message.n_pauses,
    )
    return [*effects, SendPeer(link.link_id, reply)]


@answers(DigestReply)
def on_digest_reply(
    table: MemberTable, link: Link, message: DigestReply, now: float
) -> list[Effect]:
    """Name the live members in the buckets that differ."""
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
        return close(link) if done else effects
    detail = DigestDetail(differing, live_in(table, differing))
    return [*effects, SendPeer(link.link_id, detail)]


def live_in(table: MemberTable, buckets: tuple[int, ...]) -> dict[str, int]:
    """Return the live incarnations in some buckets and their counts."""
    wanted = frozenset(buckets)
    entries = (table.entries_[incarnation] for incarnation in table.members_)
    return {
        entry.member.incarnation: entry.refutation
        for entry in entries
        if entry.bucket in wanted
    }


@answers(DigestDetail)
def on_digest_detail(
    table: MemberTable, link: Link, message: DigestDetail, now: float
) -> list[Effect]:
    """Send what the peer lacks and ask for what this host lacks."""
    effects: list[Effect] = []
    wanted = []
    for incarnation, refutation in message.live.items():
        entry = table.entries_.get(incarnation)
        if entry is None:
            wanted.append(incarnation)
        elif refutation > entry.refutation:
            table.raise_refutation(incarnation, refutation, now)
        elif entry.state != MemberState.ALIVE:
            effects += contest(table, link, incarnation)
    # The peer may hold the others lost; it asks for the records of unknown ones.
    newer = {
        incarnation: refutation
        for incarnation, refutation in live_in(table, message.buckets).items()
        if message.live.get(incarnation, -1) < refutation
    }
    if newer:
        effects.append(SendPeer(link.link_id, MemberChange((), newer)))
    return effects + request_records(link, wanted)


@answers(RecordRequest)
def on_record_request(
    table: MemberTable, link: Link, message: RecordRequest, now: float
) -> list[Effect]:
    """Send the records of live members that a peer asked for."""
    known = [i for i in message.incarnations if i in table.members_]
    return send_records(link, [table.record_of(i) for i in known])


def send_records(link: Link, records: list[MemberRecord]) -> list[Effect]:
    """Return the effects that send records in messages of bounded size."""
    return [
        SendPeer(link.link_id, MemberChange(tuple(records[i : i + MAX_RECORDS])))
        for i in range(0, len(records), MAX_RECORDS)
    ]


def request_records(link: Link, incarnations: list[str]) -> list[Effect]:
    """Return the effects that ask for records in messages of bounded size."""
    return [
        SendPeer(link.link_id, RecordRequest(tuple(incarnations[i : i + MAX_RECORDS])))
        for i in range(0, len(incarnations), MAX_RECORDS)
    ]
