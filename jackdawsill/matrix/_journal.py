"""Records of one run of the fault matrix, input of the invariant checks.

All times are points in virtual time, in s, unless their name ends in `_s`.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsill.core import Answer
from jackdawsill.exceptions import JackdawsillError


@dataclass(slots=True, frozen=True)
class Run:
    """One execution of a sub-request by a backend server."""

    at: float
    host: str
    replica: str
    shard: str
    snapshot: str
    body: bytes
    repeatable: bool


@dataclass(slots=True, frozen=True)
class Reply:
    """One reply of a host to an attempt of a request."""

    at: float
    host: str
    answer: Answer | None = None
    error: JackdawsillError | None = None
    ticket: str | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller's request at one host.

    `host_ended` is set if the host was down, crashed or exited before it replied.
    """

    caller: str
    route: str
    body: bytes
    host: str
    sent_at: float
    deadline_s: float
    replies: list[Reply] = field(default_factory=list)
    host_ended: bool = False


@dataclass(slots=True, frozen=True)
class GenerationSeen:
    """A host accepted another generation."""

    at: float
    host: str
    incarnation: str
    generation: int


@dataclass(slots=True, frozen=True)
class SubSent:
    """A host sent a sub-request to a replica."""

    at: float
    host: str
    replica: str


@dataclass(slots=True, frozen=True)
class LeavingEvidence:
    """A replica told a host, with an answer or a refusal, that it drains."""

    at: float
    host: str
    replica: str


class OutageKind(StrEnum):
    """Why a host cannot exchange messages with the others."""

    PAUSED = "paused"
    PARTITIONED = "cut"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class HostOutage:
    """Interval in which a fault keeps a host from exchanging messages.

    The invariants with a time limit do not apply to the host during it.
    """

    host: str
    kind: OutageKind
    started_at: float
    ended_at: float


@dataclass(slots=True)
class Journal:
    """All records that the invariant checks read.

    `stop_requested_at` and `exited_at` map the name of a host to a virtual time in s;
    `final` holds the queries sent after all faults have ended.
    """

    runs: list[Run] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    generations: list[GenerationSeen] = field(default_factory=list)
    subs: list[SubSent] = field(default_factory=list)
    leaving: list[LeavingEvidence] = field(default_factory=list)
    outages: list[HostOutage] = field(default_factory=list)
    stop_requested_at: dict[str, float] = field(default_factory=dict)
    exited_at: dict[str, float] = field(default_factory=dict)
    final: list[Attempt] = field(default_factory=list)

    def was_in_outage(self, host: str, at: float, grace_s: float) -> bool:
        """Tell whether a host was in an outage, or within `grace_s` after one."""
        return any(
            o.host == host and o.started_at <= at <= o.ended_at + grace_s
            for o in self.outages
        )

    def is_lost(self, host: str) -> bool:
        """Tell whether a process of the host crashed in this run."""
        return any(o.host == host and o.kind is OutageKind.LOST for o in self.outages)
