"""Table of the queries of a host, with indexes for the event handlers."""

from jackdawsill.query._model import Query, ShardTask, SubRequest

# service -> waiting shards and their queries, the longest waiting first
WaitQueues = dict[str, dict[ShardTask, Query]]


# For this time, a cancelled or timed-out sub-request counts as one that may still run
# and cause a crash. It also covers the repeated reports of one crash: one for each
# sub-request that was in flight on the replica.
POSSIBLY_RUNNING_S = 1.0


class QueryTable:
    """Table of all queries without a reply, queued ones included.

    A query that was replied to leaves nothing in it.
    """

    __slots__ = (
        "by_fingerprint_",
        "canaries_",
        "canaries_awaiting_idle_",
        "canaries_without_replica_",
        "in_flight_",
        "possibly_running_",
        "process_tag_",
        "queries_",
        "ready_to_finish_",
        "resumed_at_",
        "subs_",
        "waiting_after_shed_",
        "waiting_for_capacity_",
    )

    def __init__(self) -> None:
        self.queries_: dict[int, Query] = {}
        self.subs_: dict[int, SubRequest] = {}
        # replica -> sub-requests in flight there
        self.in_flight_: dict[str, dict[int, SubRequest]] = {}
        # replica -> fingerprint that may still run there though it is not in flight
        # -> time until which it may cause a crash
        self.possibly_running_: dict[str, dict[str, float]] = {}
        self.by_fingerprint_: dict[str, dict[int, Query]] = {}
        # fingerprint -> query whose canary is in flight or waits for its replica
        self.canaries_: dict[str, Query] = {}
        # replica -> query whose canary waits until nothing else is in flight there
        self.canaries_awaiting_idle_: dict[str, Query] = {}
        # fingerprints whose canary found no usable replica
        self.canaries_without_replica_: dict[str, None] = {}
        # shards that wait for capacity on a replica
        self.waiting_for_capacity_: WaitQueues = {}
        # shards that were shed and wait for their backoff
        self.waiting_after_shed_: WaitQueues = {}
        # queries that the current event finished, to be replied to at its end
        self.ready_to_finish_: list[Query] = []
        # end of the last process pause
        self.resumed_at_ = float("-inf")
        # Distinguishes the sub-requests of this process from those that other hosts
        # send for the same request id of a caller.
        self.process_tag_ = ""

    def n_unreplied(self) -> int:
        """Return the number of queries without a reply."""
        return len(self.queries_)

    def add(self, query: Query) -> None:
        """Add a query under its id and its fingerprint."""
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
            self.canaries_without_replica_.pop(query.fingerprint, None)

    def add_sub(self, sub: SubRequest) -> None:
        """Add a sub-request that is being sent."""
        self.subs_[sub.sub_id] = sub
        subs = self.in_flight_.get(sub.replica)
        if subs is None:
            subs = self.in_flight_[sub.replica] = {}
        subs[sub.sub_id] = sub
        sub.task.subs.append(sub)

    def remove_sub(self, sub: SubRequest) -> None:
        """Remove a sub-request that ended or was cancelled."""
        del self.subs_[sub.sub_id]
        subs = self.in_flight_[sub.replica]
        del subs[sub.sub_id]
        if not subs:
            del self.in_flight_[sub.replica]
        sub.task.subs.remove(sub)

    def record_possibly_running(
        self, replica: str, fingerprint: str, now: float
    ) -> None:
        """Record that a fingerprint may still run on a replica."""
        self.possibly_running_.setdefault(replica, {})[fingerprint] = (
            now + POSSIBLY_RUNNING_S
        )

    def crash_suspects(self, replica: str, now: float) -> set[str]:
        """Return the fingerprints that may have caused a crash of a replica."""
        subs = self.in_flight_.get(replica, {})
        fingerprints = {sub.query.fingerprint for sub in subs.values()}
        running_until = self.possibly_running_.get(replica, {})
        fingerprints.update(
            fingerprint for fingerprint, until in running_until.items() if now < until
        )
        return fingerprints

    def expire(self, now: float) -> None:
        """Drop the fingerprints that no longer count as possibly running."""
        for replica, running_until in tuple(self.possibly_running_.items()):
            for fingerprint in [
                f for f, until in running_until.items() if now >= until
            ]:
                del running_until[fingerprint]
            if not running_until:
                del self.possibly_running_[replica]

    def finish_shard(self, query: Query, task: ShardTask, reason: str = "") -> None:
        """Mark a shard as answered or given up; `reason` says why it is missing."""
        if reason:
            task.reason = reason
        del query.unfinished[task.shard.name]
        if not query.unfinished:
            self.ready_to_finish_.append(query)

    def add_waiting(
        self, wait_queues: WaitQueues, query: Query, task: ShardTask
    ) -> None:
        """Queue a shard in `waiting_for_capacity_` or `waiting_after_shed_`."""
        wait_queues.setdefault(task.shard.service, {})[task] = query
        task.wait_queues = wait_queues

    def remove_waiting(self, task: ShardTask) -> None:
        """Remove a shard from the wait queue that holds it, if any."""
        wait_queues = task.wait_queues
        if wait_queues is None:
            return
        task.wait_queues = None
        service = task.shard.service
        del wait_queues[service][task]
        if not wait_queues[service]:
            del wait_queues[service]

    def is_empty(self) -> bool:
        """Return whether no state of any query is left.

        Possibly running fingerprints are not counted; they expire by time.
        """
        return not (
            self.queries_
            or self.subs_
            or self.in_flight_
            or self.by_fingerprint_
            or self.canaries_
            or self.canaries_awaiting_idle_
            or self.canaries_without_replica_
            or self.waiting_for_capacity_
            or self.waiting_after_shed_
            or self.ready_to_finish_
        )
