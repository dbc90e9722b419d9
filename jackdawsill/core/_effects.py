"""Effects: everything that the reducer can ask the daemon to do."""

from typing import Any

import msgspec

from jackdawsill.core._events import Event
from jackdawsill.exceptions import JackdawsillError


class Effect(msgspec.Struct, frozen=True):
    """Base class of all effects."""


class SendSub(Effect):
    """Send a sub-request to a replica; `timeout_s` counts from now."""

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
    """Cancel a sub-request by message, so that its connection stays open."""

    sub_id: int


class MissingShard(msgspec.Struct, frozen=True):
    """A shard that an answer does not cover, with the reason."""

    shard: str
    reason: str


class Answer(msgspec.Struct, frozen=True):
    """Answer to a caller; `covered` names exactly the shards included."""

    request_id: str
    route: str
    snapshot: str
    generation: int
    complete: bool
    covered: tuple[str, ...]
    missing: tuple[MissingShard, ...]
    items: tuple[dict[str, Any], ...]


class SendAnswer(Effect):
    """Send the answer of a query to its caller."""

    query_id: int
    answer: Answer


class SendRefusal(Effect):
    """Send a typed refusal to a caller; `ticket` is set with status 428."""

    query_id: int
    error: JackdawsillError
    ticket: str | None = None


class SetTimer(Effect):
    """Ask for `TimerFired(timer_id)` at the monotonic time `at_s`."""

    timer_id: str
    at_s: float


class ClearTimer(Effect):
    """Drop a timer; unknown timers are ignored."""

    timer_id: str


class OpenLink(Effect):
    """Open a stream to a peer at `address` under the given link id."""

    link_id: int
    address: str


class CloseLink(Effect):
    """Close a stream after the messages queued on it were written."""

    link_id: int


class SendPeer(Effect):
    """Write a message of a class in `jackdawsill.peers` to a link."""

    link_id: int
    message: Any


class ReadConfig(Effect):
    """Read a key; with `wait_s` above 0, wait for a version other than `version`."""

    key: str
    wait_s: float = 0.0
    version: str = ""


class ReadHostList(Effect):
    """Read the platform's host list."""


class SetReadiness(Effect):
    """Set the answer of the balancer's health check."""

    ready: bool
    reason: str = ""


class LogEvent(Effect):
    """Log the event with the given number and fields."""

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
    """Feed `event` to the reducer directly after the current one."""

    event: Event


class Exit(Effect):
    """End the process with status 0 after queued replies were written."""
