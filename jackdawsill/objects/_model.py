"""Objects that operators publish, and the object set that holds them."""

import hashlib
from dataclasses import dataclass, field

from jackdawsill.core import Policy


@dataclass(slots=True, frozen=True)
class Department:
    """Owner of callers.

    `weight` is its relative share of a group's capacity while its queries are queued.
    """

    name: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Caller:
    """Sender of queries.

    `classes` are the document classes that it may see. `extra_load` is the budget of
    hedges and retries, as a fraction of the sub-requests that its queries need.
    """

    name: str
    department: str
    token_sha256: str
    policy: Policy = Policy.LATENCY
    extra_load: float = 0.05
    classes: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Group:
    """Services with equal limits; a route queries one group.

    `n_slots` is the number of sub-requests that a replica runs at once,
    `max_connections` its connection cap, and `connect_ms` the time to open one.
    """

    name: str
    n_slots: int
    max_connections: int
    connect_ms: float


@dataclass(slots=True, frozen=True)
class Service:
    """Replicated backend service that holds one or more shards."""

    name: str
    group: str


@dataclass(slots=True, frozen=True)
class Replica:
    """One backend server of a service; `leaving` means it gets no new work."""

    name: str
    service: str
    address: str
    port: int
    failure_domain: str
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class Shard:
    """Part of a snapshot, held by one service."""

    name: str
    service: str


@dataclass(slots=True, frozen=True)
class Snapshot:
    """One version of a group's index with its shard map."""

    name: str
    group: str
    version: int
    shards: tuple[Shard, ...]


@dataclass(slots=True, frozen=True)
class Route:
    """Named query target, with the departments and callers that may query it.

    A request of a route that is not `repeatable` runs at most once. `classes` are the
    document classes that the route serves.
    """

    name: str
    group: str
    departments: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    repeatable: bool = True
    deadline_ms: int = 340
    classes: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Objective:
    """Service-level objective of a route; targets are fractions."""

    name: str
    route: str
    latency_ms: int
    latency_target: float
    coverage_target: float
    extra_load_target: float


@dataclass(slots=True)
class ObjectSet:
    """A checked set of objects with its generation and digest, and lookup tables."""

    generation: int
    digest: str
    departments: dict[str, Department] = field(default_factory=dict)
    callers: dict[str, Caller] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    replicas: dict[str, Replica] = field(default_factory=dict)
    snapshots: dict[str, Snapshot] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    objectives: dict[str, Objective] = field(default_factory=dict)
    callers_by_token_: dict[str, Caller] = field(default_factory=dict)
    replicas_by_service_: dict[str, tuple[Replica, ...]] = field(default_factory=dict)
    snapshots_by_group_: dict[str, tuple[Snapshot, ...]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Build the lookup tables."""
        self.callers_by_token_ = {c.token_sha256: c for c in self.callers.values()}
        for service in self.services:
            self.replicas_by_service_[service] = ()
        for replica in self.replicas.values():
            known = self.replicas_by_service_.get(replica.service, ())
            self.replicas_by_service_[replica.service] = (*known, replica)
        for snapshot in sorted(self.snapshots.values(), key=lambda s: -s.version):
            known = self.snapshots_by_group_.get(snapshot.group, ())
            self.snapshots_by_group_[snapshot.group] = (*known, snapshot)

    def caller_by_token(self, token: str) -> Caller | None:
        """Return the caller that owns a bearer token, or None."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        return self.callers_by_token_.get(digest)

    def may_query(self, caller: Caller, route: Route) -> bool:
        """Tell whether a caller is entitled to a route."""
        return caller.name in route.callers or caller.department in route.departments

    def visible_classes(self, caller: Caller, route: Route) -> frozenset[str]:
        """Return the document classes that a caller may see on a route."""
        return frozenset(caller.classes) & frozenset(route.classes)

    def snapshots_of(self, group: str) -> tuple[Snapshot, ...]:
        """Return the snapshots of a group, the newest first."""
        return self.snapshots_by_group_.get(group, ())

    def replicas_of(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service; empty for an unknown service."""
        return self.replicas_by_service_.get(service, ())
