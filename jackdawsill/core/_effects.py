"""Effects: actions that handlers return and the process carries out."""

from typing import Any

import msgspec

from jackdawsill.core._events import Event
from jackdawsill.exceptions import JackdawsillError


class Effect(msgspec.Struct, frozen=True):
    """Base class of all effects."""


class SendSub(Effect):
    """Send a sub-request to a replica.

    `timeout_s` counts from when the effect is carried out. `n_connections_max` limits
    the connections of this host to the replica.
    """

    sub_id: int
    request_id: str
    replica: str
    address: str  # host:port of the backend server
    shard: str
    snapshot: str
    body: bytes
    timeout_s: float
    repeatable: bool = True
    n_connections_max: int = 1


class CancelSub(Effect):
    """Cancel a sub-request by a cancel request, which keeps its connection open."""

    sub_id: int


class MissingShard(msgspec.Struct, frozen=True):
    """Shard that an answer does not cover, with the reason."""

    shard: str
    reason: str


class Answer(msgspec.Struct, frozen=True):
    """Answer to a query; `covered` names exactly the shards included in `items`."""

    request_id: str
    route: str
    snapshot: str
    generation: int
    complete: bool
    covered: tuple[str, ...]
    missing: tuple[MissingShard, ...]
    items: tuple[dict[str, Any], ...]


class SendAnswer(Effect):
    """Send the answer to a query to its caller."""

    query_id: int
    answer: Answer


class SendRefusal(Effect):
    """Refuse a query with a typed error.

    `ticket` is the new ticket that a refusal with status 428 gives the caller.
    """

    query_id: int
    error: JackdawsillError
    ticket: str | None = None


class SetTimer(Effect):
    """Request `TimerFired(timer_id)` at the monotonic time `at_s`."""

    timer_id: str
    at_s: float


class ClearTimer(Effect):
    """Cancel a timer; an unknown `timer_id` is ignored."""

    timer_id: str


class OpenLink(Effect):
    """Open a link to the peer at `address` under the given link id."""

    link_id: int
    address: str


class CloseLink(Effect):
    """Close a link after its queued messages are written."""

    link_id: int


class SendPeer(Effect):
    """Send a registered `PeerMessage` on a link."""

    link_id: int
    message: Any


class ReadConfig(Effect):
    """Read a key of the configuration service.

    With `wait_s` above 0, the read waits that long for a version other than `version`.
    """

    key: str
    wait_s: float = 0.0
    version: str = ""


class ReadHostList(Effect):
    """Read the platform's list of live and leaving hosts."""


class SetReadiness(Effect):
    """Set the result of the load balancer's health check."""

    ready: bool
    reason: str = ""


class LogEvent(Effect):
    """Write a log event; `number` is the result of `register_log_event`."""

    number: int
    fields: dict[str, Any] = {}


class Count(Effect):
    """Add `value` to a counter."""

    name: str
    value: float = 1.0
    labels: tuple[tuple[str, str], ...] = ()


class Observe(Effect):
    """Record `value` in a histogram; times are in seconds."""

    name: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


class EmitEvent(Effect):
    """Feed `event` to the reducer after the current event, in the same call."""

    event: Event


class Exit(Effect):
    """Exit the process with status 0 after queued replies are written."""
