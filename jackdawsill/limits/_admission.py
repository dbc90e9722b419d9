"""Queue of queries in front of each group, aware of deadlines and departments."""

import heapq
from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsill.limits._window import QueryWindow
from jackdawsill.objects import ObjectSet

# Part of the time left that a query may spend waiting. The rest covers the
# spread of the wait and of the service time, so that an admitted query finishes.
WAIT_FRACTION_MAX = 0.25
# The window may exceed the number of slots by this factor, because a query
# occupies each slot only for a part of its time.
SLOTS_FACTOR = 12.0


class AdmissionDecision(StrEnum):
    """Answer of the queue to a query."""

    START = "start"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(slots=True)
class ReleasedQueries:
    """Queries that a change lets start, and those that can no longer finish."""

    started: list[int] = field(default_factory=list)
    expired: list[int] = field(default_factory=list)
    retry_at: float | None = None


@dataclass(slots=True)
class _Entry:
    """Queued query."""

    query_id: int
    deadline_at: float
    group: "_GroupQueue"
    department: "_DepartmentQueue"
    is_live: bool = True


@dataclass(slots=True)
class _DepartmentQueue:
    """Queued queries of one department, the earliest deadline first."""

    weight: float
    # Served work divided by weight; the department with the least is served next.
    served: float = 0.0
    n_live: int = 0
    heap: list[tuple[float, int, _Entry]] = field(default_factory=list)


@dataclass(slots=True)
class _GroupQueue:
    """Window and queue of one group."""

    window: QueryWindow
    n_running: int = 0
    n_queued: int = 0
    not_before: float = float("-inf")
    active_weight: float = 0.0
    served: float = 0.0
    departments: dict[str, _DepartmentQueue] = field(default_factory=dict)


class AdmissionQueue:
    """Admit queries that can finish in time, and refuse the others at once.

    Departments share a busy group by weight (stride scheduling, Waldspurger and
    Weihl, 1995).
    """

    __slots__ = ("entries_", "groups_", "n_hosts", "objects_")

    def __init__(self, n_hosts: int = 1) -> None:
        self.n_hosts = n_hosts
        self.objects_: ObjectSet | None = None
        self.groups_: dict[str, _GroupQueue] = {}
        self.entries_: dict[int, _Entry] = {}

    def set_objects(self, objects: ObjectSet) -> None:
        """Use a new object set; learned windows are kept within new maxima."""
        self.objects_ = objects
        for name, group in self.groups_.items():
            group.window.maximum = self._maximum(name)
            group.window.value = min(group.window.value, group.window.maximum)
            for department, queue in group.departments.items():
                known = objects.departments.get(department)
                if known is not None and known.weight != queue.weight:
                    if queue.n_live:
                        group.active_weight += known.weight - queue.weight
                    queue.weight = known.weight

    def predicted_wait_s(self, group: str) -> float:
        """Return the expected wait of a query that is queued now."""
        queue = self._group(group)
        if queue.n_running < queue.window.n_allowed() and not queue.n_queued:
            return 0.0
        return (queue.n_queued + 1) / queue.window.rate()

    def predict(
        self, group: str, department: str, deadline_at: float, now: float
    ) -> tuple[AdmissionDecision, float]:
        """Return what `offer` would answer, and the predicted wait in seconds."""
        queue = self._group(group)
        window = queue.window
        left_s = deadline_at - now
        if left_s <= 0:
            return AdmissionDecision.REFUSED, 0.0
        if not queue.n_queued and self._may_start(queue, now):
            # An idle group starts any query, so that a service time that was
            # learned in a bad moment is corrected.
            if queue.n_running and left_s < window.expected_s():
                return AdmissionDecision.REFUSED, 0.0
            return AdmissionDecision.START, 0.0
        waiting = queue.departments.get(department)
        n_ahead = 0 if waiting is None else waiting.n_live
        weight = self._weight(department) if waiting is None else waiting.weight
        total = queue.active_weight + (0.0 if n_ahead else weight)
        wait_s = (n_ahead + 1) * total / (weight * window.rate())
        if not queue.n_running and not queue.n_queued:
            # Only the pause after the last query is left.
            wait_s = queue.not_before - now
        if wait_s > WAIT_FRACTION_MAX * left_s or wait_s + window.expected_s() > left_s:
            return AdmissionDecision.REFUSED, wait_s
        return AdmissionDecision.QUEUED, wait_s

    def submit(
        self, group: str, department: str, query_id: int, deadline_at: float, now: float
    ) -> tuple[AdmissionDecision, float]:
        """Start, queue or refuse a query; return the predicted wait as well."""
        submit, wait_s = self.predict(group, department, deadline_at, now)
        queue = self._group(group)
        if submit is AdmissionDecision.START:
            queue.n_running += 1
        elif submit is AdmissionDecision.QUEUED:
            self._push(queue, department, query_id, deadline_at)
        return submit, wait_s

    def release(
        self,
        group: str,
        now: float,
        *,
        service_s: float | None,
        mean_latency_s: float = 0.0,
        shed_fraction: float = 0.0,
    ) -> ReleasedQueries:
        """Take a query out of the window; return those that start in its place.

        `service_s` is None for an abandoned query, from which nothing is learned.
        """
        queue = self._group(group)
        window = queue.window
        was_full = queue.n_running >= window.n_allowed()
        queue.n_running = max(0, queue.n_running - 1)
        if service_s is not None:
            window.on_released(service_s, mean_latency_s, shed_fraction, was_full, now)
        pause_s = window.pause_s()
        if pause_s > 0:
            queue.not_before = now + pause_s
        return self.start_next(group, now)

    def on_ended(self, group: str, total_s: float, is_late: bool, now: float) -> None:
        """Learn from the reply to a query that was started."""
        self._group(group).window.on_ended(total_s, is_late, now)

    def abandon(self, query_id: int) -> None:
        """Drop a queued query whose caller left or whose deadline passed."""
        entry = self.entries_.pop(query_id, None)
        if entry is None:
            return
        entry.is_live = False
        self._leave(entry.group, entry.department)

    def start_next(self, group: str, now: float) -> ReleasedQueries:
        """Take queued queries while the window has room."""
        queue = self._group(group)
        released = ReleasedQueries()
        while queue.n_queued:
            if not self._may_start(queue, now):
                if queue.n_running == 0:
                    released.retry_at = queue.not_before
                break
            department = min(
                (d for d in queue.departments.values() if d.n_live),
                key=lambda d: d.served,
            )
            entry = heapq.heappop(department.heap)[2]
            if not entry.is_live:
                continue
            del self.entries_[entry.query_id]
            self._leave(queue, department)
            left_s = entry.deadline_at - now
            if left_s <= 0 or (queue.n_running and left_s < queue.window.service_s):
                released.expired.append(entry.query_id)
                continue
            department.served += 1 / department.weight
            queue.served = department.served
            queue.n_running += 1
            released.started.append(entry.query_id)
        return released

    def _may_start(self, queue: _GroupQueue, now: float) -> bool:
        return queue.n_running < queue.window.n_allowed() and now >= queue.not_before

    def _push(
        self, queue: _GroupQueue, department: str, query_id: int, deadline_at: float
    ) -> None:
        waiting = queue.departments.get(department)
        if waiting is None:
            waiting = _DepartmentQueue(self._weight(department))
            queue.departments[department] = waiting
        if not waiting.n_live:
            # A department that was idle has no claim on the time it did not use.
            waiting.served = max(waiting.served, queue.served)
            waiting.heap.clear()
            queue.active_weight += waiting.weight
        entry = _Entry(query_id, deadline_at, queue, waiting)
        heapq.heappush(waiting.heap, (deadline_at, query_id, entry))
        waiting.n_live += 1
        queue.n_queued += 1
        self.entries_[query_id] = entry

    def _leave(self, queue: _GroupQueue, department: _DepartmentQueue) -> None:
        department.n_live -= 1
        queue.n_queued -= 1
        if not department.n_live:
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
            maximum = self._maximum(name)
            window = QueryWindow(maximum / SLOTS_FACTOR / self.n_hosts, maximum)
            queue = self.groups_[name] = _GroupQueue(window)
        return queue

    def _maximum(self, name: str) -> float:
        """Return the largest window: queries that the weakest service can run."""
        if self.objects_ is None or name not in self.objects_.groups:
            return 1.0
        n_slots = self.objects_.groups[name].n_slots
        least: float | None = None
        for snapshot in self.objects_.snapshots_of(name)[:1]:
            n_shards: dict[str, int] = {}
            for shard in snapshot.shards:
                n_shards[shard.service] = n_shards.get(shard.service, 0) + 1
            for service, n_here in n_shards.items():
                slots = n_slots * len(self.objects_.replicas_of(service)) / n_here
                least = slots if least is None else min(least, slots)
        return max(1.0, SLOTS_FACTOR * (least or 1.0))
