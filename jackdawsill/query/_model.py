"""Running queries, their shards and their sub-requests."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from jackdawsill.core import Policy, QueryArrived
from jackdawsill.objects import Caller, Route, Shard, Snapshot


class MissingReason(StrEnum):
    """Name the reasons of a missing shard other than the kinds of failures."""

    NO_ANSWER = "no_answer_in_time"
    NO_REPLICA = "no_usable_replica"
    NO_ROOM = "not_sent_for_lack_of_room"
    SUSPECTED = "held_after_a_crash"


@dataclass(slots=True, eq=False)
class SubRequest:
    """One sub-request in flight."""

    sub_id: int
    query: "Query"
    task: "ShardTask"
    replica: str
    sent_at: float
    is_canary: bool
    wire_id: str


@dataclass(slots=True, eq=False)
class ShardTask:
    """Work on one shard of a query, until it is answered or given up."""

    shard: Shard
    hedge_at: float = float("inf")
    is_hedge_checked: bool = False  # was due for a hedge, sent or not
    n_attempts: int = 0
    n_shed: int = 0
    tried: tuple[str, ...] = ()
    subs: list[SubRequest] = field(default_factory=list)
    items: list[dict[str, Any]] | None = None
    reason: str = MissingReason.NO_ANSWER
    was_declined: bool = False
    parked_in: dict[str, dict["ShardTask", "Query"]] | None = None


@dataclass(slots=True, eq=False)
class Query:
    """State of one query from its arrival to its reply."""

    request: QueryArrived
    caller: Caller
    route: Route
    policy: Policy
    fingerprint: str
    arrived_at: float
    deadline_at: float
    cutoff_at: float  # time at which a partial answer is given
    n_slots: int = 1  # of each replica of the group
    snapshot: Snapshot | None = None
    tasks: tuple[ShardTask, ...] = ()
    open: dict[str, ShardTask] = field(default_factory=dict)  # undecided shards
    held: list[ShardTask] = field(default_factory=list)  # wait for a canary
    canary: ShardTask | None = None
    canary_replica: str = ""
    is_admitted: bool = False  # counted by the admission queue as running
    has_left_window: bool = False
    started_at: float | None = None
    hedge_timer_at: float = float("inf")
    n_sent: int = 0
    n_not_run: int = 0
    n_needed: int = 0
    n_canary_crashes: int = 0
    n_shed: int = 0
    n_shed_locally: int = 0  # by services that shed too much for a retry
    n_declined: int = 0
    n_answered: int = 0
    latency_sum_s: float = 0.0
    is_restarted: bool = False
    is_condemned: bool = False
    crash_domains: frozenset[str] = frozenset()

    @property
    def query_id(self) -> int:
        """Return the id under which the caller is replied to."""
        return self.request.query_id

    @property
    def is_coverage_first(self) -> bool:
        """Tell whether the caller prefers coverage to latency."""
        return self.policy is Policy.COVERAGE

    @property
    def may_have_run(self) -> bool:
        """Tell whether a backend server may have run a part of the query."""
        return self.n_sent > self.n_not_run

    def end_timer(self) -> str:
        """Return the id of the timer that ends the query."""
        return f"query:end:{self.request.query_id}"

    def hedge_timer(self) -> str:
        """Return the id of the timer that sends hedges."""
        return f"query:hedge:{self.request.query_id}"
