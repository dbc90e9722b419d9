"""Admission queue of each group, with deadlines and weighted departments."""

import heapq
from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsill.limits._window import AdmissionWindow
from jackdawsill.objects import ObjectSet

# Fraction of its remaining time that a query may wait in the queue. The rest covers the
# variance of the wait and of the service time, so that an admitted query finishes.
WAIT_FRACTION_MAX = 0.25
# The admission window may exceed the number of slots by this factor, because a query
# uses each slot only for a fraction of the query's run time.
SLOTS_FACTOR = 12.0


class AdmissionDecision(StrEnum):
    """Decision of the queue on a submitted query."""

    START = "start"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(slots=True)
class ReleasedQueries:
    """Queries that leave the queue: to be started, or expired.

    If queries are left and none is running, `retry_at` is the time to call
    `start_next` again.
    """

    started: list[int] = field(default_factory=list)
    expired: list[int] = field(default_factory=list)
    retry_at: float | None = None


@dataclass(slots=True)
class _QueuedQuery:
    """Queued query; `is_queued` turns false when it is abandoned."""

    query_id: int
    deadline_at: float
    group: "_GroupQueue"
    department: "_DepartmentQueue"
    is_queued: bool = True


@dataclass(slots=True)
class _DepartmentQueue:
    """Queued queries of one department, with the earliest deadline first."""

    weight: float
    # Started queries divided by weight. The department with the lowest virtual time is
    # served next.
    virtual_time: float = 0.0
    n_queued: int = 0
    heap: list[tuple[float, int, _QueuedQuery]] = field(default_factory=list)


@dataclass(slots=True)
class _GroupQueue:
    """Admission window and queue of one group."""

    window: AdmissionWindow
    n_running: int = 0
    n_queued: int = 0
    paused_until: float = float("-inf")  # no query starts before
    active_weight: float = 0.0  # of the departments with queued queries
    virtual_time: float = 0.0
    departments: dict[str, _DepartmentQueue] = field(default_factory=dict)


class AdmissionQueue:
    """Admit queries that can finish in time, and refuse the others at once.

    Departments share a busy group by weight, with stride scheduling (Waldspurger and
    Weihl, 1995). `n_hosts` is the number of hosts that share the groups.
    """

    __slots__ = ("entries_", "groups_", "n_hosts", "objects_")

    def __init__(self, n_hosts: int = 1) -> None:
        self.n_hosts = n_hosts
        self.objects_: ObjectSet | None = None
        self.groups_: dict[str, _GroupQueue] = {}
        self.entries_: dict[int, _QueuedQuery] = {}

    def set_objects(self, objects: ObjectSet) -> None:
        """Use a new object set; the windows are reduced to its new maxima."""
        self.objects_ = objects
        for name, group in self.groups_.items():
            group.window.maximum = self._max_window(name)
            group.window.value = min(group.window.value, group.window.maximum)
            for department, queue in group.departments.items():
                known = objects.departments.get(department)
                if known is not None and known.weight != queue.weight:
                    if queue.n_queued:
                        group.active_weight += known.weight - queue.weight
                    queue.weight = known.weight

    def predicted_wait_s(self, group: str) -> float:
        """Return the predicted wait of a query in s, disregarding departments."""
        queue = self._group(group)
        if queue.n_running < queue.window.n_allowed() and not queue.n_queued:
            return 0.0
        return (queue.n_queued + 1) / queue.window.rate()

    def predict(
        self, group: str, department: str, deadline_at: float, now: float
    ) -> tuple[AdmissionDecision, float]:
        """Return the decision that `submit` would make, and the predicted wait in s."""
        queue = self._group(group)
        window = queue.window
        remaining_s = deadline_at - now
        if remaining_s <= 0:
            return AdmissionDecision.REFUSED, 0.0
        if not queue.n_queued and self._may_start(queue, now):
            # An idle group starts any query, so that an estimate of the service time
            # from an overload is corrected.
            if queue.n_running and remaining_s < window.finish_within_s():
                return AdmissionDecision.REFUSED, 0.0
            return AdmissionDecision.START, 0.0
        department_queue = queue.departments.get(department)
        n_ahead = 0 if department_queue is None else department_queue.n_queued
        weight = (
            self._weight(department)
            if department_queue is None
            else department_queue.weight
        )
        total = queue.active_weight + (0.0 if n_ahead else weight)
        wait_s = (n_ahead + 1) * total / (weight * window.rate())
        if not queue.n_running and not queue.n_queued:
            # Nothing is ahead but the pause after the last query.
            wait_s = queue.paused_until - now
        if (
            wait_s > WAIT_FRACTION_MAX * remaining_s
            or wait_s + window.finish_within_s() > remaining_s
        ):
            return AdmissionDecision.REFUSED, wait_s
        return AdmissionDecision.QUEUED, wait_s

    def submit(
        self, group: str, department: str, query_id: int, deadline_at: float, now: float
    ) -> tuple[AdmissionDecision, float]:
        """Start, queue or refuse a query; return the decision and predicted wait."""
        decision, wait_s = self.predict(group, department, deadline_at, now)
        queue = self._group(group)
        if decision is AdmissionDecision.START:
            queue.n_running += 1
        elif decision is AdmissionDecision.QUEUED:
            self._enqueue(queue, department, query_id, deadline_at)
        return decision, wait_s

    def release(
        self,
        group: str,
        now: float,
        *,
        service_s: float | None,
        mean_latency_s: float = 0.0,
        shed_fraction: float = 0.0,
    ) -> ReleasedQueries:
        """Release a started query, and start queued ones in its place.

        A query is released when its work is nearly done, which may be before its reply.
        `service_s` is None for an abandoned query, which does not change the window.
        """
        queue = self._group(group)
        window = queue.window
        was_full = queue.n_running >= window.n_allowed()
        queue.n_running = max(0, queue.n_running - 1)
        if service_s is not None:
            window.on_released(service_s, mean_latency_s, shed_fraction, was_full, now)
        pause_s = window.pause_s()
        if pause_s > 0:
            queue.paused_until = now + pause_s
        return self.start_next(group, now)

    def on_ended(self, group: str, reply_s: float, is_late: bool, now: float) -> None:
        """Update the window after the reply to a started query."""
        self._group(group).window.on_ended(reply_s, is_late, now)

    def abandon(self, query_id: int) -> None:
        """Remove a queued query whose caller left or whose deadline passed."""
        entry = self.entries_.pop(query_id, None)
        if entry is None:
            return
        entry.is_queued = False
        self._on_dequeued(entry.group, entry.department)

    def start_next(self, group: str, now: float) -> ReleasedQueries:
        """Start queued queries while the window allows it; return those that left."""
        queue = self._group(group)
        released = ReleasedQueries()
        while queue.n_queued:
            if not self._may_start(queue, now):
                if queue.n_running == 0:
                    released.retry_at = queue.paused_until
                break
            department_queue = min(
                (d for d in queue.departments.values() if d.n_queued),
                key=lambda d: d.virtual_time,
            )
            entry = heapq.heappop(department_queue.heap)[2]
            if not entry.is_queued:
                continue
            del self.entries_[entry.query_id]
            self._on_dequeued(queue, department_queue)
            remaining_s = entry.deadline_at - now
            if remaining_s <= 0 or (
                queue.n_running and remaining_s < queue.window.service_s
            ):
                released.expired.append(entry.query_id)
                continue
            department_queue.virtual_time += 1 / department_queue.weight
            queue.virtual_time = department_queue.virtual_time
            queue.n_running += 1
            released.started.append(entry.query_id)
        return released

    def _may_start(self, queue: _GroupQueue, now: float) -> bool:
        return queue.n_running < queue.window.n_allowed() and now >= queue.paused_until

    def _enqueue(
        self, queue: _GroupQueue, department: str, query_id: int, deadline_at: float
    ) -> None:
        department_queue = queue.departments.get(department)
        if department_queue is None:
            department_queue = _DepartmentQueue(self._weight(department))
            queue.departments[department] = department_queue
        if not department_queue.n_queued:
            # A department that was idle continues at the group's virtual time, so that
            # it gets no advantage for its idle time.
            department_queue.virtual_time = max(
                department_queue.virtual_time, queue.virtual_time
            )
            department_queue.heap.clear()
            queue.active_weight += department_queue.weight
        entry = _QueuedQuery(query_id, deadline_at, queue, department_queue)
        heapq.heappush(department_queue.heap, (deadline_at, query_id, entry))
        department_queue.n_queued += 1
        queue.n_queued += 1
        self.entries_[query_id] = entry

    def _on_dequeued(self, queue: _GroupQueue, department: _DepartmentQueue) -> None:
        department.n_queued -= 1
        queue.n_queued -= 1
        if not department.n_queued:
            queue.active_weight -= department.weight
            department.heap.clear()
        if not queue.n_queued:
            queue.active_weight = 0.0

    def _weight(self, department: str) -> float:
        known = self.objects_.departments.get(department) if self.objects_ else None
        return known.weight if known is not None and known.weight > 0 else 1.0

    def _group(self, name: str) -> _GroupQueue:
        queue = self.groups_.get(name)
        if queue is None:
            maximum = self._max_window(name)
            window = AdmissionWindow(maximum / SLOTS_FACTOR / self.n_hosts, maximum)
            queue = self.groups_[name] = _GroupQueue(window)
        return queue

    def _max_window(self, name: str) -> float:
        """Return the upper bound of the admission window.

        It is SLOTS_FACTOR times the slots per shard of the service that has the fewest,
        and at least 1.
        """
        if self.objects_ is None or name not in self.objects_.groups:
            return 1.0
        n_slots = self.objects_.groups[name].n_slots
        fewest_slots: float | None = None
        for snapshot in self.objects_.snapshots_of(name)[:1]:
            shards_per_service: dict[str, int] = {}
            for shard in snapshot.shards:
                shards_per_service[shard.service] = (
                    shards_per_service.get(shard.service, 0) + 1
                )
            for service, n_shards in shards_per_service.items():
                slots = n_slots * len(self.objects_.replicas_of(service)) / n_shards
                fewest_slots = (
                    slots if fewest_slots is None else min(fewest_slots, slots)
                )
        return max(1.0, SLOTS_FACTOR * (fewest_slots or 1.0))
