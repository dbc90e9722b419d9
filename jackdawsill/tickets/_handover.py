"""Handover of ledgers from a stopping host to one successor."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from jackdawsill.core import Effect, HostState, LogEvent, SendPeer
from jackdawsill.membership import MemberTable
from jackdawsill.tickets import _log_events as log_events
from jackdawsill.tickets._ledger import (
    MAX_RECORD_BYTES,
    SERIALS_PER_SPAN,
    Ledger,
)
from jackdawsill.tickets._messages import (
    RecordCopy,
    SpentSpan,
    TicketHandover,
    TicketHandoverAck,
)

# Peer messages hold at most 1 MB; 64 KB limits how long pings on the same link wait.
CHUNK_BYTES = 64 * 1024
CHUNK_OVERHEAD_BYTES = 512  # fields of a chunk other than its spans and records
ITEM_OVERHEAD_BYTES = 128  # field names and numbers of one span or record
# Memory for received ledgers, installed or incomplete.
MAX_HANDOVER_BYTES = 2 * MAX_RECORD_BYTES
MAX_INCOMPLETE_HANDOVERS = 4
# Handovers that one process may install. Their senders are kept for the lifetime of the
# process; at the design size a host receives about one handover a day.
MAX_INSTALLED_HANDOVERS = 4096
# An incomplete handover is dropped after this time, because its sender has exited.
INCOMPLETE_TIMEOUT_S = 10.0


@dataclass(slots=True)
class IncompleteHandover:
    """Chunks received so far from one sender."""

    n_chunks: int
    began_at: float
    chunks: dict[int, TicketHandover] = field(default_factory=dict)


def make_chunks(ledgers: list[Ledger], sender: str, now: float) -> list[TicketHandover]:
    """Return the handover messages for all ledgers."""
    batches = [
        (ledger, spans, records)
        for ledger in ledgers
        for spans, records in _split_ledger(ledger)
    ]
    return [
        TicketHandover(
            sender=sender,
            index=index,
            n_chunks=len(batches),
            incarnation=ledger.issuer,
            key=ledger.key,
            issuer_clock_s=ledger.issuer_time(now),
            next_serial=ledger.next_serial_,
            void_below=ledger.void_below_,
            last_expiry_s=ledger.last_expiry_at_,
            spans=spans,
            records=records,
        )
        for index, (ledger, spans, records) in enumerate(batches)
    ]


def _split_ledger(
    ledger: Ledger,
) -> Iterator[tuple[tuple[SpentSpan, ...], tuple[RecordCopy, ...]]]:
    """Yield the spans and records of a ledger in batches that fit into a chunk.

    A ledger without spans and records yields one empty batch.
    """
    spans: list[SpentSpan] = []
    records: list[RecordCopy] = []
    free = CHUNK_BYTES - CHUNK_OVERHEAD_BYTES
    for item in [*ledger.spans(), *ledger.record_copies()]:
        if isinstance(item, SpentSpan):
            n_bytes = SERIALS_PER_SPAN // 8 + ITEM_OVERHEAD_BYTES
        else:
            # UTF-8 takes up to four bytes for a character.
            n_bytes = 4 * len(item.message) + len(item.answer) + ITEM_OVERHEAD_BYTES
        if n_bytes > free:
            yield tuple(spans), tuple(records)
            spans, records = [], []
            free = CHUNK_BYTES - CHUNK_OVERHEAD_BYTES
        free -= n_bytes
        (spans if isinstance(item, SpentSpan) else records).append(item)
    yield tuple(spans), tuple(records)


class HandoverMixin:
    """Hand over ledgers to a successor, and install those of stopped hosts.

    Uses the attributes of `TicketManager`.
    """

    __slots__ = ()

    def begin_handover(
        self, state: HostState, successor: str | None, now: float
    ) -> list[Effect]:
        """Stop deciding for good, and send all ledgers to one successor."""
        if self.closed_:
            return []
        # From here on this host never decides again, even if no chunk arrives: it
        # cannot know whether the successor has installed the ledgers.
        self.closed_ = True
        members = state.component(MemberTable)
        link_id = members.link_to(successor) if successor is not None else None
        if link_id is None:
            return []
        self.successor_ = successor
        # The own ledger is handed over even if it is empty: hosts that look for tickets
        # which this host took over follow the successor of this host's incarnation.
        self.own_ledger(state)
        for ledger in self.ledgers_.values():
            ledger.prune(now)
        sender = members.self_member.incarnation
        ledgers = [
            ledger
            for ledger in self.ledgers_.values()
            if ledger.issuer == sender or not ledger.is_expired(now)
        ]
        chunks = make_chunks(ledgers, sender, now)
        fields = {"n_chunks": len(chunks), "successor": successor}
        effects: list[Effect] = [SendPeer(link_id, chunk) for chunk in chunks]
        return [*effects, LogEvent(log_events.HANDOVER_SENT, fields)]

    def on_handover_ack(
        self, state: HostState, message: TicketHandoverAck, now: float
    ) -> list[Effect]:
        """Record and broadcast that the successor decides on these tickets."""
        own = state.component(MemberTable).self_member.incarnation
        if not self.closed_ or message.sender != own or self.handed_over_:
            return []
        self.handed_over_ = True
        return state.component(MemberTable).record_successor(own, self.successor_, now)

    def on_handover(
        self, state: HostState, link_id: int, message: TicketHandover, now: float
    ) -> list[Effect]:
        """Store one chunk; install the ledgers once all chunks have arrived."""
        if message.sender in self.installed_:
            # The sender repeats the handover, or a chunk arrived twice.
            return [SendPeer(link_id, TicketHandoverAck(message.sender))]
        reason = self._refusal(message)
        if reason:
            self.incomplete_.pop(message.sender, None)
            fields = {"sender": message.sender, "reason": reason}
            return [LogEvent(log_events.HANDOVER_REFUSED, fields)]
        incomplete = self.incomplete_.setdefault(
            message.sender, IncompleteHandover(message.n_chunks, now)
        )
        incomplete.chunks[message.index] = message
        if len(incomplete.chunks) < incomplete.n_chunks:
            return []
        del self.incomplete_[message.sender]
        return self._install(state, link_id, incomplete, now)

    def _refusal(self, message: TicketHandover) -> str:
        """Return why a chunk is refused, or an empty string if it is accepted."""
        if self.closed_:
            return "this host is stopping"
        if len(self.installed_) >= MAX_INSTALLED_HANDOVERS:
            return "this process has installed the maximum number of handovers"
        if message.incarnation in self.ledgers_:
            return "this host already decides on these tickets"
        if message.sender not in self.incomplete_:
            if len(self.incomplete_) >= MAX_INCOMPLETE_HANDOVERS:
                return "too many handovers in progress"
        elif self.incomplete_[message.sender].n_chunks != message.n_chunks:
            return "the number of chunks differs from that of earlier chunks"
        n_incomplete_bytes = (
            sum(len(s.chunks) for s in self.incomplete_.values()) * CHUNK_BYTES
        )
        n_installed_bytes = sum(g.n_bytes() for g in list(self.ledgers_.values())[1:])
        if n_incomplete_bytes + n_installed_bytes > MAX_HANDOVER_BYTES:
            return "the memory limit for tickets of other hosts is reached"
        return ""

    def _install(
        self, state: HostState, link_id: int, incomplete: IncompleteHandover, now: float
    ) -> list[Effect]:
        """Load the received ledgers, acknowledge, and broadcast the successor."""
        members = state.component(MemberTable)
        own = members.self_member.incarnation
        sender = ""
        installed: list[str] = []
        for _, chunk in sorted(incomplete.chunks.items()):
            sender = chunk.sender
            ledger = self.ledgers_.get(chunk.incarnation)
            if ledger is None:
                ledger = Ledger(chunk.incarnation, chunk.key)
                ledger.clock_offset_s_ = chunk.issuer_clock_s - now
                ledger.next_serial_ = chunk.next_serial
                ledger.void_below_ = chunk.void_below
                ledger.last_expiry_at_ = chunk.last_expiry_s
                self.ledgers_[chunk.incarnation] = ledger
                installed.append(chunk.incarnation)
            ledger.load(chunk.spans, chunk.records)
        self.installed_.add(sender)
        fields = {"incarnations": ", ".join(installed), "sender": sender}
        return [
            LogEvent(log_events.HANDOVER_INSTALLED, fields),
            SendPeer(link_id, TicketHandoverAck(sender)),
            # For the other incarnations, earlier handovers lead to the sender.
            *members.record_successor(sender, own, now),
        ]
