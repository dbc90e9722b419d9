"""Typed records of what happened in one run of the fault matrix."""

from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsill.core import Answer
from jackdawsill.exceptions import JackdawsillError


@dataclass(slots=True, frozen=True)
class Run:
    """One execution of a sub-request by a backend server."""

    at_s: float
    host: str
    replica: str
    shard: str
    snapshot: str
    body: bytes
    repeatable: bool


@dataclass(slots=True, frozen=True)
class Reply:
    """One reply of a host to an attempt of a request."""

    at_s: float
    host: str
    answer: Answer | None = None
    error: JackdawsillError | None = None
    ticket: str | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt of a caller's request at one host."""

    caller: str
    route: str
    body: bytes
    host: str
    sent_at_s: float
    deadline_s: float
    replies: list[Reply] = field(default_factory=list)
    host_died: bool = False


@dataclass(slots=True, frozen=True)
class GenerationSeen:
    """A host changed its accepted generation."""

    at_s: float
    host: str
    incarnation: str
    generation: int


@dataclass(slots=True, frozen=True)
class SubSent:
    """A host sent a sub-request to a replica."""

    at_s: float
    host: str
    replica: str


@dataclass(slots=True, frozen=True)
class LeavingEvidence:
    """A host learned from a replica itself that the replica drains."""

    at_s: float
    host: str
    replica: str


class ExcuseKind(StrEnum):
    """Name why a host cannot act on what the others know."""

    PAUSED = "paused"
    CUT = "cut"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class Excuse:
    """Time during which a fault keeps a host from the others."""

    host: str
    kind: ExcuseKind
    start_s: float
    end_s: float


@dataclass(slots=True)
class Journal:
    """Everything that the invariant checks look at."""

    runs: list[Run] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    generations: list[GenerationSeen] = field(default_factory=list)
    subs: list[SubSent] = field(default_factory=list)
    leaving: list[LeavingEvidence] = field(default_factory=list)
    excuses: list[Excuse] = field(default_factory=list)
    stops: dict[str, float] = field(default_factory=dict)
    exits: dict[str, float] = field(default_factory=dict)
    final: list[Attempt] = field(default_factory=list)

    def is_excused(self, host: str, at_s: float, grace_s: float) -> bool:
        """Tell whether a fault kept a host from the others, up to a grace after it."""
        return any(
            e.host == host and e.start_s <= at_s <= e.end_s + grace_s
            for e in self.excuses
        )

    def is_lost(self, host: str) -> bool:
        """Tell whether a process of the host was ended without notice."""
        return any(e.host == host and e.kind is ExcuseKind.LOST for e in self.excuses)
