"""Events of forwarded calls."""

from dataclasses import dataclass

from jackdawsill.core import Event, FailureKind
from jackdawsill.forwarding._model import (
    ForwardRequest,
    ReplicaAnswer,
    ReplicaEntry,
    RouteSet,
)

# Sources of what is believed: the platform's store, or a peer that it answers.
STORE = "store"
PEER = "peer"


@dataclass(slots=True, frozen=True)
class CallArrived(Event):
    """A caller's request was read whole."""

    call_id: int
    req: ForwardRequest
    is_delegated: bool = False  # by another host; it is not given away again


@dataclass(slots=True, frozen=True)
class CallAbandoned(Event):
    """The caller closed its connection before the reply."""

    call_id: int


@dataclass(slots=True, frozen=True)
class AttemptAnswered(Event):
    """A replica ran an attempt and answered it completely."""

    attempt_id: int
    answer: ReplicaAnswer


@dataclass(slots=True, frozen=True)
class AttemptFailed(Event):
    """An attempt ended without an answer of a replica that ran it."""

    attempt_id: int
    kind: FailureKind
    detail: str = ""


@dataclass(slots=True, frozen=True)
class RoutesRead(Event):
    """A version of the configuration was read from `source`."""

    routes: RouteSet
    source: str


@dataclass(slots=True, frozen=True)
class ReplicasListed(Event):
    """All replicas were read at the revision `revision` of `source`."""

    entries: tuple[ReplicaEntry, ...]
    revision: int
    source: str


@dataclass(slots=True, frozen=True)
class ReplicasChanged(Event):
    """Entries of replicas were written or removed after `base` up to `revision`.

    `may_lapse` is what a peer said of the removals; the host itself judges those
    that it reads from the store.
    """

    written: tuple[ReplicaEntry, ...]
    removed: tuple[str, ...]
    revision: int
    source: str
    base: int = 0
    may_lapse: bool | None = None


@dataclass(slots=True, frozen=True)
class ReplicasExpired(Event):
    """Replicas whose entries had lapsed did not come back."""

    names: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class StoreConfirmed(Event):
    """The store has told all changes up to `revision`."""

    revision: int


@dataclass(slots=True, frozen=True)
class ReplicaRefused(Event):
    """A replica refused a connection that was to be opened ahead."""

    replica: str


@dataclass(slots=True, frozen=True)
class CrashConfirmed(Event):
    """A replica crashed while it ran a request; known here or told by a peer."""

    fingerprint: int
    request_id: str
    replica: str


@dataclass(slots=True, frozen=True)
class StoreLost(Event):
    """The platform's store no longer answers this host."""

    detail: str


@dataclass(slots=True, frozen=True)
class StoreRegained(Event):
    """The platform's store answers this host again."""
