"""Table of the running queries of a host, with the indexes that events need."""

from jackdawsill.query._model import Query, ShardTask, SubRequest

# service -> shards of queries that wait there, the first to wait first
Parked = dict[str, dict[ShardTask, Query]]


# A cancelled or timed-out sub-request may still run for this time, and the crash of
# a replica is reported once for each sub-request that was in flight there.
LINGER_S = 1.0


class QueryTable:
    """Own all running queries; an ended query leaves nothing behind."""

    __slots__ = (
        "by_fingerprint_",
        "canaries_",
        "done_",
        "in_flight_",
        "lingering_",
        "prefix_",
        "queries_",
        "reserved_",
        "resumed_at_",
        "shed_",
        "stalled_",
        "subs_",
        "waiting_",
    )

    def __init__(self) -> None:
        self.queries_: dict[int, Query] = {}
        self.subs_: dict[int, SubRequest] = {}
        # replica -> sub-requests in flight there
        self.in_flight_: dict[str, dict[int, SubRequest]] = {}
        # replica -> fingerprints that may run there besides those in flight, with
        # the time until which they may be the cause of a crash
        self.lingering_: dict[str, dict[str, float]] = {}
        self.by_fingerprint_: dict[str, dict[int, Query]] = {}
        # fingerprint -> query whose canary is in flight or waits for its replica
        self.canaries_: dict[str, Query] = {}
        # replica -> query whose canary waits until nothing else is in flight there
        self.reserved_: dict[str, Query] = {}
        # fingerprints whose canary found no usable replica
        self.stalled_: dict[str, None] = {}
        # shards that wait for room on a replica
        self.waiting_: Parked = {}
        # shards that were shed and wait until shedding ends
        self.shed_: Parked = {}
        # queries whose last shard was decided by the current event
        self.done_: list[Query] = []
        self.resumed_at_ = float("-inf")
        # Separates the request ids of this process from those of other hosts
        # that serve the same caller's request id.
        self.prefix_ = ""

    def n_running(self) -> int:
        """Return the number of queries without a reply, queued ones included."""
        return len(self.queries_)

    def add(self, query: Query) -> None:
        """Add a query."""
        self.queries_[query.query_id] = query
        same = self.by_fingerprint_.setdefault(query.fingerprint, {})
        same[query.query_id] = query

    def remove(self, query: Query) -> None:
        """Remove a query whose sub-requests have been removed."""
        del self.queries_[query.query_id]
        same = self.by_fingerprint_[query.fingerprint]
        del same[query.query_id]
        if not same:
            del self.by_fingerprint_[query.fingerprint]
            self.stalled_.pop(query.fingerprint, None)

    def add_sub(self, sub: SubRequest) -> None:
        """Add a sub-request that is being sent."""
        self.subs_[sub.sub_id] = sub
        flying = self.in_flight_.get(sub.replica)
        if flying is None:
            flying = self.in_flight_[sub.replica] = {}
        flying[sub.sub_id] = sub
        sub.task.subs.append(sub)

    def remove_sub(self, sub: SubRequest) -> None:
        """Remove a sub-request that ended or was cancelled."""
        del self.subs_[sub.sub_id]
        flying = self.in_flight_[sub.replica]
        del flying[sub.sub_id]
        if not flying:
            del self.in_flight_[sub.replica]
        sub.task.subs.remove(sub)

    def linger(self, replica: str, mark: str, now: float) -> None:
        """Remember that a fingerprint may still run on a replica."""
        self.lingering_.setdefault(replica, {})[mark] = now + LINGER_S

    def suspects(self, replica: str, now: float) -> set[str]:
        """Return the fingerprints that may have caused a crash of a replica."""
        flying = self.in_flight_.get(replica, {})
        marks = {sub.query.fingerprint for sub in flying.values()}
        lingering = self.lingering_.get(replica, {})
        marks.update(mark for mark, until in lingering.items() if now < until)
        return marks

    def expire(self, now: float) -> None:
        """Forget the fingerprints that no longer run."""
        for replica, lingering in tuple(self.lingering_.items()):
            for mark in [m for m, until in lingering.items() if now >= until]:
                del lingering[mark]
            if not lingering:
                del self.lingering_[replica]

    def close(self, query: Query, task: ShardTask, reason: str = "") -> None:
        """Decide a shard; without its items, `reason` says why it is missing."""
        if reason:
            task.reason = reason
        del query.open[task.shard.name]
        if not query.open:
            self.done_.append(query)

    def park(self, parked: Parked, query: Query, task: ShardTask) -> None:
        """Let a shard wait in `waiting_` or `shed_`."""
        parked.setdefault(task.shard.service, {})[task] = query
        task.parked_in = parked

    def unpark(self, task: ShardTask) -> None:
        """End the wait of a shard."""
        parked = task.parked_in
        if parked is None:
            return
        task.parked_in = None
        service = task.shard.service
        del parked[service][task]
        if not parked[service]:
            del parked[service]

    def is_empty(self) -> bool:
        """Tell whether nothing is kept for any query.

        Fingerprints that may still run belong to replicas and expire by time.
        """
        return not (
            self.queries_
            or self.subs_
            or self.in_flight_
            or self.by_fingerprint_
            or self.canaries_
            or self.reserved_
            or self.stalled_
            or self.waiting_
            or self.shed_
            or self.done_
        )
