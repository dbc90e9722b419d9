"""Data classes of the member table."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class MemberState(IntEnum):
    """State of a known incarnation.

    A record with a higher refutation count takes precedence, and of equal counts the
    one with the higher state.
    """

    ALIVE = 0
    LOST = 1  # declared from evidence by each host on its own; may return
    GONE = 2  # left as planned, or replaced by another process at its address


class ApplyResult(StrEnum):
    """Result of applying a received record."""

    CHANGED = "changed"
    OLD = "old"  # already known
    CONTESTED = "contested"  # alive by the record, but lost or gone at this host


@dataclass(slots=True, frozen=True)
class Member:
    """One process incarnation of a host."""

    incarnation: str
    name: str
    address: str  # host:peer_port
    failure_domain: str


@dataclass(slots=True)
class Entry:
    """A known incarnation; only the member itself raises its refutation count."""

    member: Member
    refutation: int
    state: MemberState
    changed_at: float
    bucket: int  # of the digest
    reported_at: float = float("-inf")  # last report by this host
    reported_refutation: int = -1  # refutation count in that report


@dataclass(slots=True)
class AdvertisedGeneration:
    """Object set generation that digests announce to peers; written by `spread`."""

    generation: int = 0
    set_digest: str = ""
    confirmed: bool = False
