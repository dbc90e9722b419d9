"""Member table: the hosts that this host knows, and their states."""

from collections.abc import Iterable
from typing import Any

import xxhash

from jackdawsill.core import Count, Effect, LogEvent, SendPeer
from jackdawsill.membership import _log_events as log
from jackdawsill.membership._errors import InvalidMemberTable
from jackdawsill.membership._evidence import (
    EVIDENCE_NEEDED,
    REPORT_INTERVAL_S,
    EvidenceTable,
)
from jackdawsill.membership._links import LinkTable
from jackdawsill.membership._messages import (
    DigestOffer,
    EvidenceItem,
    Leave,
    MemberRecord,
    Refutation,
    Tombstone,
)
from jackdawsill.membership._model import (
    AdvertisedGeneration,
    ApplyResult,
    Entry,
    Member,
    MemberState,
)
from jackdawsill.membership._outbox import Outbox
from jackdawsill.membership._tombstones import TOMBSTONE_TTL_S, Tombstones

LOST_RETENTION_S = 3600.0
# Digests are kept by bucket, so that an exchange lists only the members of buckets that
# differ: with 730 hosts 12 hosts in under 1 KB for one changed host.
N_BUCKETS = 64
# A reporter whose evidence was refuted still has no path to the suspect. It reports
# again only after this time, so that it does not cause one refutation after another.
REFUTED_REPORT_INTERVAL_S = 10.0


def check_member_table(table: "MemberTable") -> None:
    """Raise `InvalidMemberTable` if the table's own member is incomplete."""
    own = table.self_member
    for name in ("incarnation", "name", "address", "failure_domain"):
        if not getattr(own, name):
            raise InvalidMemberTable(f"the table's own member has no {name}")


def _hash(*fields: object) -> int:
    return xxhash.xxh3_64_intdigest(
        "\x00".join(str(field) for field in fields).encode()
    )


class MemberTable:
    """Known members, and the open links to some of them.

    A table without `fleet_key` holds members but opens and accepts no links.
    """

    __slots__ = (
        "advertised_",
        "buckets_",
        "confirmed_",
        "entries_",
        "evidence_",
        "fleet_key",
        "leaving_",
        "link_table_",
        "links_",
        "live_",
        "live_version_",
        "members_",
        "n_pauses_",
        "next_detail_at_",
        "outbox_evidence_",
        "outbox_records_",
        "pending_effects_",
        "refutation_",
        "retained_",
        "seeds",
        "self_member",
        "tombstones_",
        "version_",
    )

    def __init__(
        self,
        self_member: Member,
        fleet_key: bytes = b"",
        seeds: Iterable[str] = (),
    ) -> None:
        self.self_member = self_member
        self.fleet_key = fleet_key
        self.seeds = tuple(seeds)
        self.members_: dict[str, Member] = {}  # live ones, by incarnation
        self.entries_: dict[str, Entry] = {}  # in any state, by incarnation
        self.links_: dict[str, int] = {}  # incarnation -> id of its open link
        self.retained_: dict[str, float] = {}  # peer -> until when its link is kept
        self.live_: tuple[Member, ...] = ()  # cached for `live_version_`
        self.live_version_ = -1
        self.version_ = 0  # raised when a member is added or changes its state
        self.buckets_ = [0] * N_BUCKETS  # digests of the live members
        self.refutation_ = 0  # this host's own refutation count
        self.leaving_ = False
        self.confirmed_ = False  # a peer has had this host live since the last pause
        self.n_pauses_ = 0
        self.next_detail_at_ = 0.0  # when bucket digests may be sent again
        self.advertised_ = AdvertisedGeneration()
        self.evidence_ = EvidenceTable()
        self.tombstones_ = Tombstones()
        self.link_table_ = LinkTable()
        self.outbox_records_: Outbox[MemberRecord] = Outbox()
        self.outbox_evidence_: Outbox[EvidenceItem] = Outbox()
        self.pending_effects_: list[Effect] = []
        self._add(self_member, 0, 0.0)

    # For other components.

    def live_members(self) -> tuple[Member, ...]:
        """Return the members that are alive in this table, this host included."""
        if self.live_version_ != self.version_:
            self.live_ = tuple(self.members_.values())
            self.live_version_ = self.version_
        return self.live_

    def link_to(self, incarnation: str) -> int | None:
        """Return the id of the open link to a member, or None."""
        return self.links_.get(incarnation)

    def retain_link(self, incarnation: str, until_at: float) -> None:
        """Keep a link open until a time, also if its peer is no monitor."""
        self.retained_[incarnation] = max(
            until_at, self.retained_.get(incarnation, until_at)
        )

    def retained_peers(self, now: float) -> set[str]:
        """Return the peers whose links are retained."""
        for incarnation, until_at in list(self.retained_.items()):
            if now >= until_at:
                del self.retained_[incarnation]
        return set(self.retained_)

    def broadcast(self, message: Any) -> list[SendPeer]:
        """Return the effects that send a message on all links."""
        return [SendPeer(link_id, message) for link_id in self.links_.values()]

    def is_unavailable(self, incarnation: str) -> bool:
        """Return whether an incarnation is lost, gone or unknown."""
        return incarnation not in self.members_

    def successor_of(self, incarnation: str) -> str | None:
        """Return the incarnation that took over the tickets of a stopped one."""
        return self.tombstones_.successor_of(incarnation)

    def record_successor(
        self, incarnation: str, successor: str, now: float
    ) -> list[Effect]:
        """Record who took over tickets; return its broadcast if it is new."""
        message = Tombstone(incarnation, successor, TOMBSTONE_TTL_S)
        if not self.tombstones_.add(message, now):
            return []
        return list(self.broadcast(message))

    def leave(self) -> list[Effect]:
        """Stop dialling and refuting; return the broadcast of the planned stop."""
        self.leaving_ = True
        return list(
            self.broadcast(Leave(self.self_member.incarnation, self.refutation_))
        )

    # Records.

    def record_of(self, incarnation: str) -> MemberRecord:
        """Return the record of a known incarnation to send to peers."""
        entry = self.entries_[incarnation]
        member = entry.member
        return MemberRecord(
            incarnation,
            member.name,
            member.address,
            member.failure_domain,
            entry.refutation,
            int(entry.state),
        )

    def apply(self, record: MemberRecord, now: float, source: int = 0) -> ApplyResult:
        """Apply a record of a live or gone member and queue it if it is new.

        `source` is the link that it came from, or 0.
        """
        entry = self.entries_.get(record.incarnation)
        alive = record.state == MemberState.ALIVE
        if entry is None:
            if not alive:
                return ApplyResult.OLD
            member = Member(*record[:4])
            self._add(member, record.refutation, now)
            self._log_member(log.MEMBER_JOINED, member)
        elif (record.refutation, record.state) <= (entry.refutation, entry.state):
            self.outbox_records_.record_known(record, source)
            contested = alive and entry.state != MemberState.ALIVE
            return ApplyResult.CONTESTED if contested else ApplyResult.OLD
        elif entry.member is self.self_member:
            # Only this host raises its own count. A higher one was forged, or this
            # host has lost it.
            self.refute(record.refutation)
            return ApplyResult.CHANGED
        else:
            back = alive and entry.state != MemberState.ALIVE
            self._change(entry, record.refutation, MemberState(record.state), now)
            if back:
                self._log_member(log.MEMBER_BACK, entry.member)
            elif not alive:
                self._log_member(log.MEMBER_GONE, entry.member)
        self.outbox_records_.put(self.record_of(record.incarnation), source)
        return ApplyResult.CHANGED

    def raise_refutation(
        self, incarnation: str, refutation: int, now: float, source: int = 0
    ) -> ApplyResult:
        """Apply a higher count of a known incarnation, which shows it was alive."""
        record = self.record_of(incarnation)._replace(
            refutation=refutation, state=int(MemberState.ALIVE)
        )
        return self.apply(record, now, source)

    def on_handshake(self, member: Member, refutation: int, now: float) -> ApplyResult:
        """Add an authenticated member; others at its address are marked gone."""
        for other in list(self.members_.values()):
            if (
                other.address == member.address
                and other.incarnation != member.incarnation
                and other is not self.self_member
            ):
                self.declare_gone(other.incarnation, now)
        record = MemberRecord(
            member.incarnation,
            member.name,
            member.address,
            member.failure_domain,
            refutation,
            int(MemberState.ALIVE),
        )
        return self.apply(record, now)

    def declare_gone(self, incarnation: str, now: float) -> None:
        """Mark a member as gone for good and queue its record for the links."""
        entry = self.entries_.get(incarnation)
        if entry is None or entry.member is self.self_member:
            return
        if entry.state != MemberState.GONE:
            self._change(entry, entry.refutation, MemberState.GONE, now)
            self._log_member(log.MEMBER_GONE, entry.member)
            self.outbox_records_.put(self.record_of(incarnation), 0)

    def refute(self, refutation: int) -> None:
        """Refute evidence about this host by raising its count, unless it leaves."""
        if self.leaving_ or refutation < self.refutation_:
            return
        own = self.entries_[self.self_member.incarnation]
        self.refutation_ = refutation + 1
        self._change(own, self.refutation_, MemberState.ALIVE, own.changed_at)
        record = self.record_of(self.self_member.incarnation)
        self.pending_effects_ += self.broadcast(Refutation(record))
        self.pending_effects_.append(
            LogEvent(log.REFUTED, {"refutation": self.refutation_})
        )
        self.pending_effects_.append(Count("membership_refutations"))

    # Evidence.

    def report_suspect(self, incarnation: str, now: float) -> None:
        """Record and queue a report that this host gets no answer from a member."""
        entry = self.entries_.get(incarnation)
        if entry is None or entry.state != MemberState.ALIVE:
            return
        is_unrefuted = entry.reported_refutation == entry.refutation
        wait_s = REPORT_INTERVAL_S if is_unrefuted else REFUTED_REPORT_INTERVAL_S
        if now - entry.reported_at < wait_s:
            return
        entry.reported_at = now
        entry.reported_refutation = entry.refutation
        own = self.self_member.incarnation
        self.evidence_.add(incarnation, own, now)
        # Two reports are enough for all hosts, so a third one is not sent.
        if self.evidence_.is_reporter(incarnation, own):
            item = EvidenceItem(incarnation, entry.refutation, own)
            self.outbox_evidence_.put(item, 0)

    def on_evidence(self, item: EvidenceItem, now: float, source: int = 0) -> bool:
        """Apply a report; return whether its sender has missed a refutation."""
        if item.suspect == self.self_member.incarnation:
            self.refute(item.refutation)
            return False
        entry = self.entries_.get(item.suspect)
        if entry is None or item.reporter not in self.members_:
            return False
        if item.refutation < entry.refutation:
            return True
        if item.refutation > entry.refutation:
            # The reporter knows a refutation that has not arrived here.
            self.raise_refutation(item.suspect, item.refutation, now)
        if entry.state == MemberState.ALIVE and self.evidence_.add(
            item.suspect, item.reporter, now
        ):
            self.outbox_evidence_.put(item, source)
        else:
            self.outbox_evidence_.record_known(item, source)
        return False

    def declare_lost_members(self, heard: set[str], now: float) -> list[str]:
        """Declare members lost by the evidence, and return their incarnations.

        Members in `heard` recently sent this host a message and are kept.
        """
        self.evidence_.expire(now)
        lost = []
        n_others = len(self.members_) - 1
        for suspect in list(self.evidence_.reports_):
            entry = self.entries_.get(suspect)
            if entry is None or entry.state != MemberState.ALIVE:
                self.evidence_.clear(suspect)
                continue
            # One report is enough if all other members are silent suspects.
            n_possible_reporters = n_others - len(self.evidence_.reports_)
            is_isolated = n_possible_reporters <= 0 and not heard
            is_delisted = entry.member.address in self.link_table_.delisted_
            n_needed = 1 if is_isolated or is_delisted else EVIDENCE_NEEDED
            if suspect not in heard and self.evidence_.is_sufficient(
                suspect, n_needed, now
            ):
                lost.append(suspect)
        for suspect in lost:
            self._declare_lost(suspect, now)
        return lost

    def _declare_lost(self, incarnation: str, now: float) -> None:
        entry = self.entries_[incarnation]
        n_reports = self.evidence_.n_reports(incarnation)
        self._change(entry, entry.refutation, MemberState.LOST, now)
        self._log_member(log.MEMBER_LOST, entry.member, n_reports=n_reports)
        self.pending_effects_.append(Count("membership_lost"))

    # Digests and retention.

    def digest_offer(self) -> DigestOffer:
        """Return the digests of members and tombstones with this host's generation."""
        digest = xxhash.xxh3_64_intdigest(repr(self.buckets_).encode())
        advert = self.advertised_
        return DigestOffer(
            digest,
            self.tombstones_.digest_,
            advert.generation,
            advert.set_digest,
            self.n_pauses_,
        )

    def drop_expired(self, now: float) -> None:
        """Drop lost and gone members, and tombstones, after their retention."""
        for incarnation, entry in list(self.entries_.items()):
            expired = now - entry.changed_at > LOST_RETENTION_S
            if entry.state != MemberState.ALIVE and expired:
                del self.entries_[incarnation]
        self.tombstones_.expire(now)

    def _add(self, member: Member, refutation: int, now: float) -> None:
        bucket = _hash(member.incarnation) % N_BUCKETS
        entry = Entry(member, refutation, MemberState.ALIVE, now, bucket)
        self.entries_[member.incarnation] = entry
        self.members_[member.incarnation] = member
        self.buckets_[bucket] ^= _hash(member.incarnation, refutation)
        self.version_ += 1

    def _change(
        self, entry: Entry, refutation: int, state: MemberState, now: float
    ) -> None:
        incarnation = entry.member.incarnation
        if entry.state == MemberState.ALIVE:
            self.buckets_[entry.bucket] ^= _hash(incarnation, entry.refutation)
        if state == MemberState.ALIVE:
            self.buckets_[entry.bucket] ^= _hash(incarnation, refutation)
        if state != entry.state:
            entry.changed_at = now
            self.version_ += 1
            if state == MemberState.ALIVE:
                self.members_[incarnation] = entry.member
            else:
                self.members_.pop(incarnation, None)
        entry.refutation, entry.state = refutation, state
        self.evidence_.clear(incarnation)

    def _log_member(self, number: int, member: Member, **fields: Any) -> None:
        shown = {"incarnation": member.incarnation, "name": member.name}
        fields = {**shown, "address": member.address, **fields}
        self.pending_effects_.append(LogEvent(number, fields))
