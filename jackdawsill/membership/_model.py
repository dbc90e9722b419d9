"""Data of the member table."""

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class MemberState(IntEnum):
    """State of a known incarnation; with equal counts the higher state is newer."""

    ALIVE = 0
    LOST = 1  # concluded from evidence by each host on its own, may return
    GONE = 2  # left as planned, or replaced at its address


class Applied(StrEnum):
    """Tell what a received record changed."""

    CHANGED = "changed"
    OLD = "old"
    CONTESTED = "contested"  # this host holds the incarnation lost or gone


@dataclass(slots=True, frozen=True)
class Member:
    """One process incarnation of a host."""

    incarnation: str
    name: str
    address: str  # host:peer_port
    failure_domain: str


@dataclass(slots=True)
class Entry:
    """A known incarnation; its refutation count is raised by itself only."""

    member: Member
    refutation: int
    state: MemberState
    changed_at: float
    bucket: int
    reported_at: float = float("-inf")
    reported_refutation: int = -1


@dataclass(slots=True)
class AdvertisedGeneration:
    """Generation that this host tells its peers; written by `spread`."""

    generation: int = 0
    set_digest: str = ""
    confirmed: bool = False
