"""Effects of forwarded calls."""

from jackdawsill.core import Effect
from jackdawsill.exceptions import JackdawsillError
from jackdawsill.forwarding._model import (
    ForwardRequest,
    MergedAnswer,
    ReplicaAnswer,
    ReplicaEntry,
)


class SendAttempt(Effect):
    """Send a call to a replica or a delegate."""

    attempt_id: int
    req: ForwardRequest
    replica: str
    incarnation: str
    address: str
    deadline_at: float
    idempotent: bool
    n_connections_max: int  # this host's share of the replica's connection limit
    is_delegated: bool = False  # to a delegate; the caller gets its answer unchanged
    config_version: int = 0  # by which a delegate must handle the call
    n_attempts_before: int = 0  # of its parts that may have run, if it is delegated


class WarmReplicas(Effect):
    """Open a connection in advance to each replica that has none."""

    entries: tuple[ReplicaEntry, ...]


class VerifyReplica(Effect):
    """Open a connection to a replica that may have ended, to learn whether it has."""

    entry: ReplicaEntry


class AbortAttempt(Effect):
    """Close the connection of an attempt, so that the replica stops working on it."""

    attempt_id: int


class WithdrawUnsent(Effect):
    """End an attempt that waits for a connection; one that has been sent goes on."""

    attempt_id: int


class RejectWaiting(Effect):
    """Fail the attempts that wait for a connection to a replica; it takes none now."""

    replica: str
    incarnation: str


class PassAnswer(Effect):
    """Send a replica's answer unchanged to the caller."""

    call_id: int
    answer: ReplicaAnswer


class SendMerged(Effect):
    """Send the merged answer of a fan-out to the caller."""

    call_id: int
    answer: MergedAnswer


class RefuseCall(Effect):
    """Send the caller an error reply."""

    call_id: int
    error: JackdawsillError


class DropReplicaConnections(Effect):
    """Close the idle connections to a replica that is gone, draining or ejected."""

    replica: str


class DropIdleConnections(Effect):
    """Close all idle connections to replicas, because they may be dead."""


class CheckStore(Effect):
    """Read the store now instead of waiting for its next change."""


class CloseCallerConnections(Effect):
    """Close callers' connections after their replies; if `idle_now`, also idle ones."""

    idle_now: bool
