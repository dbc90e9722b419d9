"""Membership: known hosts, links between them and evidence of failures.

Each host keeps a member table. Hosts link to a few monitors, ping them, report silent
ones as evidence, and compare their tables by digests (anti-entropy).
"""

from jackdawsill.membership import _handlers, _views  # noqa: F401 - registers both
from jackdawsill.membership._errors import HandshakeRefused, InvalidMemberTable
from jackdawsill.membership._events import PeerDown, PeerUp
from jackdawsill.membership._maintenance import MemberMaintenance
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
from jackdawsill.membership._model import AdvertisedGeneration, Member, MemberState
from jackdawsill.membership._rendezvous import choose_across_domains, rendezvous_score
from jackdawsill.membership._table import MemberTable, check_member_table

__all__ = [
    "AdvertisedGeneration",
    "DigestDetail",
    "DigestOffer",
    "DigestReply",
    "Evidence",
    "EvidenceItem",
    "HandshakeRefused",
    "Hello",
    "HelloProof",
    "InvalidMemberTable",
    "Leave",
    "Member",
    "MemberChange",
    "MemberMaintenance",
    "MemberRecord",
    "MemberState",
    "MemberTable",
    "PeerDown",
    "PeerUp",
    "Ping",
    "Pong",
    "RecordRequest",
    "Refutation",
    "Tombstone",
    "check_member_table",
    "choose_across_domains",
    "rendezvous_score",
]
