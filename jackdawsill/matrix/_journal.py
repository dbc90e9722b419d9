"""Typed records of what happened in one run of the fault matrix."""

from dataclasses import dataclass, field

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


@dataclass(slots=True)
class Journal:
    """Everything that the invariant checks look at."""

    runs: list[Run] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    generations: list[GenerationSeen] = field(default_factory=list)
    subs: list[SubSent] = field(default_factory=list)
    leaving_since: dict[str, float] = field(default_factory=dict)
    returned_at: dict[str, float] = field(default_factory=dict)
    lost_access_at: dict[tuple[str, str], float] = field(default_factory=dict)
    stops: dict[str, float] = field(default_factory=dict)
    exits: dict[str, float] = field(default_factory=dict)
    published: dict[int, float] = field(default_factory=dict)
    unreachable: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
