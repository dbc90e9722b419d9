"""Events of forwarded calls."""

from jackdawsill.core import Event, FailureKind
from jackdawsill.forwarding._crashes import Crash
from jackdawsill.forwarding._model import (
    STORE_START,
    ForwardRequest,
    ReplicaAnswer,
    ReplicaEntry,
    RouteSet,
    StorePosition,
)
from jackdawsill.forwarding._signals import ReplicaSignals

# Where routes and replicas were read: the platform's store, or a peer that reads it.
STORE = "store"
PEER = "peer"
# How a crash was confirmed, if not by a peer or by the store: the replica refused a
# connection, or its request was lost when its entry was gone already.
REFUSED = "refused"
ENDED = "ended"


class CallArrived(Event):
    """A caller's request was received completely."""

    call_id: int
    req: ForwardRequest
    is_delegated: bool = False  # by another host; it is not delegated again
    # Version of the configuration by which a delegated call must be handled; None from
    # a host of an older build, which does not state it.
    config_version: int | None = None
    n_attempts_before: int = 0  # of a delegated call's parts that may have run


class ReplicaSpoke(Event):
    """A complete answer of a replica has signals, whether or not the answer is used."""

    replica: str
    incarnation: str
    request_id: str
    status: int
    signals: ReplicaSignals


class LeavingReported(Event):
    """A peer has learned that a replica leaves."""

    replica: str
    incarnation: str


class LeavingRecorded(Event):
    """It is news to this host that a replica leaves."""

    replica: str
    incarnation: str


class LimitReported(Event):
    """A peer states the limit of a replica, `age_s` seconds old; None if it ended."""

    replica: str
    incarnation: str
    limit_per_s: float | None
    age_s: float


class LimitRecorded(Event):
    """This host has learned that the limit of a replica changed; None if it ended."""

    replica: str
    incarnation: str
    limit_per_s: float | None
    age_s: float


class CallAbandoned(Event):
    """The caller closed its connection before the reply."""

    call_id: int


class AttemptAnswered(Event):
    """A replica ran an attempt and its complete answer was received."""

    attempt_id: int
    answer: ReplicaAnswer


class AttemptFailed(Event):
    """An attempt ended without a usable answer."""

    attempt_id: int
    kind: FailureKind
    detail: str = ""
    limit_per_s: float | None = None  # rate that the replica takes from all hosts
    is_refused: bool = False  # no process listens at the address any more
    delegate_version: int = 0  # of the configuration of a delegate that declined


class RoutesRead(Event):
    """A version of the configuration was read from `source`."""

    routes: RouteSet
    source: str


class ReplicasListed(Event):
    """The complete list of replicas was read from `source` at `position`.

    `lapsed` are the names of those that the store lacks, and that a peer still keeps
    since they may register again.
    """

    entries: tuple[ReplicaEntry, ...]
    position: StorePosition
    source: str
    lapsed: tuple[str, ...] = ()


class ReplicasChanged(Event):
    """Replica entries changed between `base` (exclusive) and `position`.

    `may_lapse` is the judgement of the peer that sent the change: whether the removed
    entries may have expired only because the store was unreachable. It is None for a
    change that this host has read from the store; then the registry decides.
    """

    written: tuple[ReplicaEntry, ...]
    removed: tuple[str, ...]
    position: StorePosition
    source: str
    base: StorePosition = STORE_START
    may_lapse: bool | None = None


class ReplicasExpired(Event):
    """Replicas whose entries had lapsed were removed, since none was written again."""

    names: tuple[str, ...]


class StoreConfirmed(Event):
    """All changes of the store up to `position` have been read."""

    position: StorePosition


class StoreHistoryLost(Event):
    """The store no longer has the changes after `position`; all is read again."""

    position: StorePosition


class StoreAnswerTooLong(Event):
    """An answer of the store is too long to be read; all is read again in parts."""

    detail: str


class ReplicaConnected(Event):
    """A connection to a replica opened, `elapsed_s` after its begin."""

    replica: str
    elapsed_s: float


class ReplicaRefused(Event):
    """A replica refused a connection that this host tried to open in advance."""

    replica: str


class ReplicaUnreachable(Event):
    """A connection opened in advance failed otherwise, perhaps only on the way."""

    replica: str


class CrashConfirmed(Event):
    """A replica crashed while it ran a request, as seen here or reported by a peer."""

    fingerprint: int
    crash: Crash
    source: str  # how it was confirmed
    age_s: float = 0.0  # since a peer recorded it


class CrashRecorded(Event):
    """A crash is new evidence to this host, and `crash.is_repeat` is decided."""

    fingerprint: int
    crash: Crash


class RequestCondemned(Event):
    """A request crashed several replicas and is refused from now on."""

    fingerprint: int


class StoreLost(Event):
    """The platform's store became unreachable from this host."""

    detail: str


class StoreRegained(Event):
    """The platform's store is reachable again."""
