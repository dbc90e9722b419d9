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
    """One send to one replica; times are on the clock of the reducer."""

    attempt_id: int
    part: "Part"
    replica: LiveReplica
    sent_at: float
    usual_s: float
    distance_s: float
    is_hedge: bool


class Part(msgspec.Struct, eq=False):
    """The share of a call that one service answers."""

    call: "Call"
    service: str
    open: dict[int, Attempt] = msgspec.field(default_factory=dict)
    tried: set[str] = msgspec.field(default_factory=set)
    n_maybe_run: int = 0  # attempts that a replica ran or may have run
    n_refused: int = 0
    hedge_at: float | None = None
    answer: ReplicaAnswer | None = None
    failure: ReplicaAnswer | None = None  # a replica's own failure, if it sent one
    failed: bool = False
    outcome: str = ""

    @property
    def is_settled(self) -> bool:
        """Tell whether the part waits for nothing."""
        return self.answer is not None or self.failed


class Call(msgspec.Struct, eq=False):
    """One caller's request in progress."""

    call_id: int
    req: ForwardRequest
    route: ForwardRoute
    version: int
    arrived_at: float
    deadline_at: float
    answer_by: float  # time at which a sufficient answer earns the full credit
    timer_id: str
    fingerprint: int = 0
    parts: list[Part] = msgspec.field(default_factory=list)
    hedge_delay_s: float = 0.0  # without the distance of the replica
    n_hedges: int = 0
    n_withheld: int = 0  # hedges that the budget did not allow
    n_retries: int = 0
    replied: bool = False
    is_delegated: bool = False  # another host runs it

    @property
    def may_have_run(self) -> bool:
        """Tell whether any replica may have run a part of the call."""
        return any(part.n_maybe_run for part in self.parts)

    @property
    def n_answered(self) -> int:
        """Return the number of parts that were answered."""
        return sum(part.answer is not None for part in self.parts)


class CallTable:
    """Own the calls and attempts in progress, and the usual time of each route."""

    __slots__ = ("attempts_", "calls_", "usual_")

    def __init__(self) -> None:
        self.calls_: dict[int, Call] = {}
        self.attempts_: dict[int, Attempt] = {}
        # Route name -> times of attempts without the distance of the replica.
        self.usual_: dict[str, LatencyWindow] = {}

    def window(self, route: ForwardRoute) -> LatencyWindow:
        """Return the recent times of a route's attempts."""
        window = self.usual_.get(route.name)
        if window is None:
            window = self.usual_[route.name] = LatencyWindow()
        return window

    def has_usual_time(self, route: ForwardRoute) -> bool:
        """Tell whether an attempt of the route was ever answered here.

        Until then a long attempt tells nothing of its replica: the route's requests
        may all run to their deadline.
        """
        return bool(self.window(route).samples_)

    def __len__(self) -> int:
        return len(self.calls_)
