"""Calls in progress, their parts and the attempts of each part."""

import msgspec

from jackdawsill.forwarding._model import (
    ForwardRequest,
    ForwardRoute,
    ReplicaAnswer,
)
from jackdawsill.forwarding._replica import LiveReplica
from jackdawsill.forwarding._windows import LatencyWindow


class Attempt(msgspec.Struct, eq=False):
    """One send of a part to one replica.

    `typical_s` is the route's typical latency when the attempt was sent, `rtt_s` the
    expected round-trip time to the replica.
    """

    attempt_id: int
    part: "Part"
    replica: LiveReplica
    sent_at: float
    typical_s: float
    rtt_s: float
    is_hedge: bool
    is_suspected: bool = False  # its replica has ended, and it is overdue


class Part(msgspec.Struct, eq=False):
    """The work of one service for a call: its attempts and their result.

    A call that is no fan-out has one part. So has a delegated call, where `service` is
    the name of the delegate.
    """

    call: "Call"
    service: str
    # Attempts in progress by id.
    attempts: dict[int, Attempt] = msgspec.field(default_factory=dict)
    tried: set[str] = msgspec.field(default_factory=set)
    n_maybe_run: int = 0  # finished attempts that a replica ran or may have run
    n_not_run: int = 0  # attempts that failed without being run
    hedge_at: float | None = None
    answer: ReplicaAnswer | None = None
    failure: ReplicaAnswer | None = None  # last answer with an error status
    failed: bool = False
    outcome: str = ""  # reason of the last failure, for errors and the log

    @property
    def is_done(self) -> bool:
        """Tell whether the part was answered or has failed."""
        return self.answer is not None or self.failed


class Call(msgspec.Struct, eq=False):
    """One caller's request in progress."""

    call_id: int
    req: ForwardRequest
    route: ForwardRoute
    version: int  # of the configuration that routed the call
    arrived_at: float
    deadline_at: float
    objective_at: float  # a reply sent by then meets the route's latency objective
    timer_id: str
    fingerprint: int = 0
    services: tuple[str, ...] = ()  # of its parts, if this host runs it
    parts: list[Part] = msgspec.field(default_factory=list)
    hedge_delay_s: float = 0.0  # without the round-trip time to the replica
    n_hedges: int = 0
    n_withheld: int = 0  # hedges not sent: budget spent, or no other replica
    n_retries: int = 0
    n_lost: int = 0  # attempts whose connections were lost
    # The part that runs before the others, since the request may crash replicas.
    probe: Part | None = None
    may_have_run_before: bool = False  # on this host, before a delegate got it
    # Attempts of a part that may have run before the present parts, here or on the host
    # that delegated the call.
    n_attempts_before: int = 0
    is_ended: bool = False  # answered, refused or abandoned
    is_delegated: bool = False  # a delegate runs the call, as its only part
    is_for_peer: bool = False  # another host delegated the call to this one
    # Hosts that the call was sent to while this one was cut off from replicas.
    tried_hosts: set[str] = msgspec.field(default_factory=set)

    @property
    def may_have_run(self) -> bool:
        """Tell whether any replica may have run a part of the call."""
        return self.may_have_run_before or any(p.n_maybe_run for p in self.parts)

    @property
    def n_attempts_used(self) -> int:
        """Return the most attempts of a part that may have run, on all hosts."""
        used = max((p.n_maybe_run for p in self.parts), default=0)
        return self.n_attempts_before + used

    @property
    def n_answered(self) -> int:
        """Return the number of parts with an answer."""
        return sum(part.answer is not None for part in self.parts)


class CallTable:
    """Hold the calls and attempts in progress, and recent latencies per route."""

    __slots__ = ("attempts_", "calls_", "latencies_")

    def __init__(self) -> None:
        self.calls_: dict[int, Call] = {}
        self.attempts_: dict[int, Attempt] = {}
        # Route name -> latencies of attempts without the round-trip time.
        self.latencies_: dict[str, LatencyWindow] = {}

    def window(self, route: ForwardRoute) -> LatencyWindow:
        """Return the recent latencies of a route's attempts."""
        window = self.latencies_.get(route.name)
        if window is None:
            window = self.latencies_[route.name] = LatencyWindow()
        return window

    def has_latency_samples(self, route: ForwardRoute) -> bool:
        """Tell whether this host has seen an answer on the route.

        Until then a slow attempt is no evidence against its replica, because the
        route's requests may all run to their deadline.
        """
        return bool(self.window(route).samples_)

    def __len__(self) -> int:
        return len(self.calls_)
