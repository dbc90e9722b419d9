"""Events: everything that the reducer can be told."""

from enum import StrEnum
from typing import Any

import msgspec


class Policy(StrEnum):
    """Name what a caller prefers when not all shards answer in time."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class FailureKind(StrEnum):
    """Classify why a sub-request gave no usable answer."""

    CONNECT = "connect"  # never sent
    CAP = "cap"  # connection refused at the replica's cap, not run
    SHED = "shed"  # not run
    DRAINING = "draining"  # not run
    STARTING = "starting"  # not run
    DECLINED = "declined"  # the replica does not serve the snapshot, not run
    MISDIRECTED = "misdirected"  # another process has the address, not run
    CRASH = "crash"  # connection lost after sending, without notice
    TIMEOUT = "timeout"  # sent, no answer before the deadline
    BAD_ANSWER = "bad_answer"  # truncated, oversized, or for another request
    CANCELLED = "cancelled"  # cancelled by this host


NOT_RUN_KINDS = frozenset(
    {
        FailureKind.CONNECT,
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
    """Periodic event, one each `TICK_S`."""


class PauseDetected(Event):
    """The process did not run for `gap_s` seconds."""

    gap_s: float


class TimerFired(Event):
    """A timer set by `SetTimer` came due."""

    timer_id: str


class QueryArrived(Event):
    """A caller's request was read; `deadline_s` counts from `now`."""

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
    """In-band load of a replica: running sub-requests and slots."""

    running: int
    n_slots: int


class SubAnswered(Event):
    """A backend server answered a sub-request with status 200."""

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
    """A stream to a peer is open; its `Hello` has not been read yet."""

    link_id: int
    address: str
    outgoing: bool


class LinkClosed(Event):
    """A stream to a peer was closed or could not be opened."""

    link_id: int
    address: str
    detail: str = ""


class PeerMessageRead(Event):
    """A checked message of a class in `jackdawsill.peers` was read."""

    link_id: int
    message: Any


class ConfigRead(Event):
    """The configuration service answered; `value` is None if the key is absent."""

    key: str
    value: bytes | None
    version: str = ""


class ConfigReadFailed(Event):
    """The configuration service did not answer."""

    key: str
    detail: str = ""


class HostEntry(msgspec.Struct, frozen=True):
    """One entry of the platform's host list; `address` is host:peer_port."""

    name: str
    address: str
    failure_domain: str
    leaving: bool = False


class HostListRead(Event):
    """The platform's list of live and leaving hosts was read."""

    entries: tuple[HostEntry, ...] = ()


class StopRequested(Event):
    """The operator asked for a graceful stop."""


class QueryFinished(Event):
    """A caller got its reply; `latency_s` is None if it was no answer in time.

    Raised by `query` and `tickets` for requests that were not refused as bad input.
    """

    caller: str
    route: str
    latency_s: float | None
    n_shards: int
    n_covered: int
    n_needed: int
    n_sent: int


class SetAccepted(Event):
    """A verified object set came into force on this host; raised by `spread`."""

    generation: int
    digest: str
