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
    """Send a call to a replica; `deadline_at` is on the clock of the reducer."""

    attempt_id: int
    req: ForwardRequest
    replica: str
    incarnation: str
    address: str
    deadline_at: float
    idempotent: bool
    n_connections_max: int  # that this host may hold to the replica
    is_delegated: bool = False  # to another host, whose answer is passed on as it is


class WarmReplicas(Effect):
    """Open a connection to each replica to which there is none."""

    entries: tuple[ReplicaEntry, ...]


class AbortAttempt(Effect):
    """Close the connection of an attempt, so that the replica stops its work."""

    attempt_id: int


class PassAnswer(Effect):
    """Send a replica's answer unchanged to the caller."""

    call_id: int
    answer: ReplicaAnswer


class SendMerged(Effect):
    """Send the merged answer of a fan-out to the caller."""

    call_id: int
    answer: MergedAnswer


class RefuseCall(Effect):
    """Send a typed refusal to the caller."""

    call_id: int
    error: JackdawsillError


class DropReplicaConnections(Effect):
    """Close the idle connections to a replica that is gone or not trusted."""

    replica: str


class DropIdleConnections(Effect):
    """Close all idle connections to replicas; they may be dead without a sign."""


class CheckStore(Effect):
    """Read the store again at once instead of waiting for its next change."""


class CloseCallerConnections(Effect):
    """End each caller's connection after its reply, and idle ones if `idle_now`."""

    idle_now: bool
