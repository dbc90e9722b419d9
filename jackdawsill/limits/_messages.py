"""Messages that forward sub-requests to a host with a connection to the replica."""

from dataclasses import dataclass
from typing import Any

from jackdawsill.peers import PeerMessage, register_message


@dataclass(slots=True, frozen=True)
class SubEntry:
    """One forwarded sub-request; `timeout_ms` starts at its receipt."""

    sub_id: int
    request_id: str
    replica: str
    shard: str
    snapshot: str
    timeout_ms: int


@register_message("SubBatch")
class SubBatch(PeerMessage):
    """Sub-requests of one query for replicas to which the receiver is connected."""

    batch_id: int
    body: bytes
    entries: tuple[SubEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class SubReply:
    """Outcome of one forwarded sub-request; `failure` is empty if it was answered.

    `servable` lists the snapshots that the replica serves, `running` is the number of
    sub-requests that it reported, -1 if it reported none, and `n_slots` its slots.
    """

    sub_id: int
    request_id: str
    snapshot: str = ""
    shard: str = ""
    items: tuple[dict[str, Any], ...] = ()
    failure: str = ""
    servable: tuple[str, ...] = ()
    running: int = -1
    n_slots: int = 0
    draining: bool = False


@register_message("SubBatchReply")
class SubBatchReply(PeerMessage):
    """Outcomes of some entries of a batch, sent as they become known."""

    batch_id: int
    replies: tuple[SubReply, ...] = ()
