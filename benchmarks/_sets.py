"""Shapes of the measured systems and their object sets."""

import hashlib
from dataclasses import dataclass, replace

from jackdawsill.core import Policy
from jackdawsill.objects import (
    Caller,
    Department,
    Group,
    ObjectSet,
    Replica,
    Route,
    Service,
    Shard,
    Snapshot,
)

DOMAINS = ("domain-a", "domain-b", "domain-c")
TOKEN = "token-of-the-load-tool"
ROUTE = "search"
ONCE_ROUTE = "orders"
ONCE_REPLICAS = 3


@dataclass(slots=True, frozen=True)
class Shape:
    """Size of a group of services, one shard each, and its backends' behaviour."""

    name: str
    n_services: int
    n_slots: int = 2
    max_connections: int = 50
    connect_ms: float = 6.0
    median_ms: float = 8.0
    straggler_fraction: float = 0.01
    policy: Policy = Policy.LATENCY
    deadline_ms: int = 340
    n_queue_max: int = 64
    with_orders: bool = False  # adds a service for requests that run at most once

    def script(self) -> dict[str, object]:
        """Return the fields of the script of each backend server."""
        return {
            "n_slots": self.n_slots,
            "max_connections": self.max_connections,
            "connect_ms": self.connect_ms,
            "median_ms": self.median_ms,
            "straggler_fraction": self.straggler_fraction,
            "n_queue_max": self.n_queue_max,
        }


# The largest fan-out of the design, 140 shards, with slots and connections of archivo.
FANOUT = Shape("fanout", 140)
ARCHIVO = Shape("archivo", 10, median_ms=12.0)
TRENDBOOK = Shape(
    "trendbook", 15, max_connections=60, median_ms=12.0, policy=Policy.COVERAGE
)


def replica_names(shape: Shape) -> list[str]:
    """Return the names of all replicas; the last letter is that of the domain."""
    services = [f"{shape.name}-{n:03d}" for n in range(shape.n_services)]
    names = [f"{service}-{letter}" for service in services for letter in "abc"]
    if shape.with_orders:
        names += [f"orders-000-{letter}" for letter in "abc"]
    return names


def in_domain(shape: Shape, letter: str) -> list[str]:
    """Return the names of the replicas in one failure domain."""
    return [name for name in replica_names(shape) if name.endswith(f"-{letter}")]


def object_set(shape: Shape, ports: dict[str, int], version: int = 1) -> ObjectSet:
    """Return the object set of a shape, with replicas on loopback ports by name."""
    services = {}
    replicas = {}
    for name, port in ports.items():
        service = name.rpartition("-")[0]
        group = service.rpartition("-")[0]
        services[service] = Service(service, group)
        domain = DOMAINS["abc".index(name[-1])]
        replicas[name] = Replica(name, service, "127.0.0.1", port, domain)
    groups = {
        shape.name: Group(
            shape.name, shape.n_slots, shape.max_connections, shape.connect_ms
        )
    }
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    objects = ObjectSet(
        generation=1,
        digest="",
        departments={"design": Department("design")},
        callers={
            "load": Caller("load", "design", digest, shape.policy, classes=("public",))
        },
        groups=groups,
        services=services,
        replicas=replicas,
        snapshots=snapshots(shape, version),
        routes={
            ROUTE: Route(
                ROUTE,
                shape.name,
                ("design",),
                deadline_ms=shape.deadline_ms,
                classes=("public",),
            )
        },
    )
    if shape.with_orders:
        groups["orders"] = Group("orders", 3, 200, 1.0)
        objects.routes[ONCE_ROUTE] = Route(
            ONCE_ROUTE,
            "orders",
            ("design",),
            repeatable=False,
            deadline_ms=2000,
            classes=("public",),
        )
        shard = (Shard("once", "orders-000"),)
        objects.snapshots["orders-1"] = Snapshot("orders-1", "orders", 1, shard)
    return objects


def snapshots(shape: Shape, version: int) -> dict[str, Snapshot]:
    """Return the snapshot of a version and the one before it."""
    names = [f"{shape.name}-{n:03d}" for n in range(shape.n_services)]
    shards = tuple(Shard(f"s{n:03d}", service) for n, service in enumerate(names))
    found = {}
    for v in range(max(1, version - 1), version + 1):
        name = f"{shape.name}-v{v}"
        found[name] = Snapshot(name, shape.name, v, shards)
    return found


def with_version(objects: ObjectSet, shape: Shape, version: int) -> ObjectSet:
    """Return the set with the snapshot of a version as the newest."""
    others = {n: s for n, s in objects.snapshots.items() if s.group != shape.name}
    return replace(objects, snapshots={**others, **snapshots(shape, version)})


def with_weight(objects: ObjectSet, weight: float) -> ObjectSet:
    """Return the set with another weight of its department."""
    return replace(objects, departments={"design": Department("design", weight)})
