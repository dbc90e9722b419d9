"""Events: inputs of the reducer."""

from enum import StrEnum
from typing import Any

import msgspec


class Policy(StrEnum):
    """What a caller prefers when not all shards answer in time."""

    LATENCY = "latency"  # give up shards early, with fewer attempts
    COVERAGE = "coverage"  # wait and use more attempts for missing shards


class FailureKind(StrEnum):
    """Reason why a sub-request, or an attempt of a call, has no usable answer.

    `NOT_RUN_KINDS` are the kinds after which it certainly did not run.
    """

    CONNECT = "connect"  # not sent, no connection could be opened
    EXPIRED = "expired"  # not sent, the deadline passed first
    CAP = "cap"  # refused, the replica's connection limit is reached
    SHED = "shed"  # refused because of load
    DRAINING = "draining"  # refused, the replica is stopping
    STARTING = "starting"  # refused, the replica is not ready yet
    DECLINED = "declined"  # refused, the replica does not serve the snapshot
    MISDIRECTED = "misdirected"  # another process has the address
    CRASH = "crash"  # connection lost after sending, before a whole response
    TIMEOUT = "timeout"  # sent, no answer before the deadline
    BAD_ANSWER = "bad_answer"  # truncated, oversized, or for another request
    CANCELLED = "cancelled"  # cancelled by this host


NOT_RUN_KINDS = frozenset(
    {
        FailureKind.CONNECT,
        FailureKind.EXPIRED,
        FailureKind.CAP,
        FailureKind.SHED,
        FailureKind.DRAINING,
        FailureKind.STARTING,
        FailureKind.DECLINED,
        FailureKind.MISDIRECTED,
    }
)


class Event(msgspec.Struct, frozen=True):
    """Base class of all events."""


class Tick(Event):
    """Periodic event, every `TICK_INTERVAL_S`."""


class PauseDetected(Event):
    """The process was paused: no event was handled for `gap_s` seconds."""

    gap_s: float


class TimerFired(Event):
    """A timer set by `SetTimer` fired."""

    timer_id: str


class QueryArrived(Event):
    """A caller's request was received; `deadline_s` counts from this event."""

    query_id: int
    request_id: str
    route: str
    token: str
    body: bytes
    deadline_s: float | None = None
    policy: Policy | None = None
    ticket: str | None = None


class CallerDisconnected(Event):
    """The caller closed its connection before the reply."""

    query_id: int


class LoadReport(msgspec.Struct, frozen=True):
    """Sub-requests that a replica runs and its slots, as reported in its answers."""

    running: int
    n_slots: int


class SubAnswered(Event):
    """A backend server answered a sub-request with a valid answer."""

    sub_id: int
    request_id: str
    snapshot: str
    shard: str
    items: list[dict[str, Any]]
    load: LoadReport | None = None
    draining: bool = False


class SubFailed(Event):
    """A sub-request ended without a usable answer."""

    sub_id: int
    kind: FailureKind
    servable: tuple[str, ...] = ()
    detail: str = ""
    draining: bool = False


class LinkOpened(Event):
    """A link to a peer is open; its `Hello` has not been received yet.

    A link is a connection that carries messages to and from one peer.
    """

    link_id: int
    address: str
    outgoing: bool


class LinkClosed(Event):
    """A link to a peer was closed or could not be opened."""

    link_id: int
    address: str
    detail: str = ""


class PeerMessageRead(Event):
    """A valid `PeerMessage` was received."""

    link_id: int
    message: Any


class PeerBytesRead(Event):
    """A part of a message was received, and no message is complete yet."""

    link_id: int


class ConfigRead(Event):
    """The configuration service answered; `value` is None if the key is absent."""

    key: str
    value: bytes | None
    version: str = ""


class ConfigReadFailed(Event):
    """A read of the configuration service failed."""

    key: str
    detail: str = ""


class HostEntry(msgspec.Struct, frozen=True):
    """Entry of the platform's host list; `address` is host:peer_port."""

    name: str
    address: str
    failure_domain: str
    leaving: bool = False


class HostListRead(Event):
    """The platform's list of live and leaving hosts was read."""

    entries: tuple[HostEntry, ...] = ()


class StopRequested(Event):
    """The process was asked to stop gracefully."""


class QueryFinished(Event):
    """A query ended; `latency_s` is None if the caller got no answer in time.

    `n_needed` sub-requests would have sufficed, `n_sent` were sent, with hedges and
    retries; the answer covers `n_covered` of `n_shards` shards. Emitted by `query` and
    `tickets`, except for requests refused as invalid.
    """

    caller: str
    route: str
    latency_s: float | None
    n_shards: int
    n_covered: int
    n_needed: int
    n_sent: int


class SetAccepted(Event):
    """The host accepted a verified object set; emitted by `spread`."""

    generation: int
    digest: str
