"""Events of forwarded calls."""

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


class CallArrived(Event):
    """A caller's request was read whole."""

    call_id: int
    req: ForwardRequest
    is_delegated: bool = False  # by another host; it is not given away again


class CallAbandoned(Event):
    """The caller closed its connection before the reply."""

    call_id: int


class AttemptAnswered(Event):
    """A replica ran an attempt and answered it completely."""

    attempt_id: int
    answer: ReplicaAnswer


class AttemptFailed(Event):
    """An attempt ended without an answer of a replica that ran it."""

    attempt_id: int
    kind: FailureKind
    detail: str = ""


class RoutesRead(Event):
    """A version of the configuration was read from `source`."""

    routes: RouteSet
    source: str


class ReplicasListed(Event):
    """All replicas were read at the revision `revision` of `source`."""

    entries: tuple[ReplicaEntry, ...]
    revision: int
    source: str


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


class ReplicasExpired(Event):
    """Replicas whose entries had lapsed did not come back."""

    names: tuple[str, ...]


class StoreConfirmed(Event):
    """The store has told all changes up to `revision`."""

    revision: int


class ReplicaRefused(Event):
    """A replica refused a connection that was to be opened ahead."""

    replica: str


class CrashConfirmed(Event):
    """A replica crashed while it ran a request; known here or told by a peer."""

    fingerprint: int
    request_id: str
    replica: str


class StoreLost(Event):
    """The platform's store no longer answers this host."""

    detail: str


class StoreRegained(Event):
    """The platform's store answers this host again."""
