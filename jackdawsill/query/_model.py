"""Data of running queries, their shards and their sub-requests."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from jackdawsill.core import Policy, QueryArrived
from jackdawsill.objects import Caller, Route, Shard, Snapshot


class MissingReason(StrEnum):
    """Reasons of a missing shard, in addition to the values of `FailureKind`."""

    NO_ANSWER = "no_answer_in_time"
    NO_REPLICA = "no_usable_replica"
    NO_CAPACITY = "not_sent_for_lack_of_room"
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
    server_request_id: str  # request id sent to the backend server


@dataclass(slots=True, eq=False)
class ShardTask:
    """Work on one shard of a query, until it is answered or given up."""

    shard: Shard
    # Time of the next decision: a hedge, a retry after a shed, or another canary.
    due_at: float = float("inf")
    is_hedge_checked: bool = False  # a hedge was due, whether sent or not
    n_attempts: int = 0
    n_shed: int = 0
    tried_replicas: tuple[str, ...] = ()
    subs: list[SubRequest] = field(default_factory=list)
    items: list[dict[str, Any]] | None = None
    reason: str = MissingReason.NO_ANSWER
    was_declined: bool = False
    # The wait queues of `QueryTable` that hold this shard, if it waits.
    wait_queues: dict[str, dict["ShardTask", "Query"]] | None = None


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
    cutoff_at: float  # a partial answer is sent at this time
    n_slots: int = 1  # slots of each replica of the group
    snapshot: Snapshot | None = None
    tasks: tuple[ShardTask, ...] = ()
    unfinished: dict[str, ShardTask] = field(default_factory=dict)
    awaiting_canary: list[ShardTask] = field(default_factory=list)
    canary: ShardTask | None = None  # the shard whose canary runs or waits
    canary_replica: str = ""
    is_admitted: bool = False  # counted by the admission queue as running
    is_released: bool = False  # no longer counted as running
    started_at: float | None = None
    due_timer_at: float = float("inf")
    n_sent: int = 0
    n_not_run: int = 0  # failed sub-requests that certainly did not run
    n_needed: int = 0  # one sub-request for each shard
    n_canary_crashes: int = 0
    n_shed: int = 0
    n_shed_while_shedding: int = 0  # by services that were already shedding
    n_declined: int = 0
    n_answered: int = 0
    latency_sum_s: float = 0.0  # from the start of the query to each answer
    is_restarted: bool = False
    is_condemned: bool = False
    crash_domains: frozenset[str] = frozenset()  # failure domains of crashes

    @property
    def query_id(self) -> int:
        """Return the id by which the host addresses its reply."""
        return self.request.query_id

    @property
    def is_coverage_first(self) -> bool:
        """Return whether the caller prefers coverage to latency."""
        return self.policy is Policy.COVERAGE

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend server may have run any of the query."""
        return self.n_sent > self.n_not_run

    def end_timer_id(self) -> str:
        """Return the id of the timer that ends the query at its cutoff."""
        return f"query:end:{self.request.query_id}"

    def due_timer_id(self) -> str:
        """Return the id of the timer for due shards; see `ShardTask.due_at`."""
        return f"query:hedge:{self.request.query_id}"
