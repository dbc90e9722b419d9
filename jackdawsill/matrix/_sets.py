"""Object sets that the matrix publishes."""

import hashlib
from dataclasses import replace

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

DOMAINS = ("bogota", "medellin", "cali")
N_SERVICES = 4
TOKENS = {"ana": "token-ana", "kai": "token-kai"}
CLASSES = ("approved-proof", "draft")


def first_set() -> ObjectSet:
    """Return generation 1, which every scenario starts with."""
    services = [f"archivo-{n:02d}" for n in range(1, N_SERVICES + 1)]
    replicas = [
        Replica(f"{service}-{domain}", service, "10.1.0.1", 9000, domain)
        for service in [*services, "pedidos"]
        for domain in DOMAINS
    ]
    return build_set(
        1,
        callers=[
            caller("ana", Policy.LATENCY),
            caller("kai", Policy.COVERAGE),
        ],
        services=[Service(name, "archivo") for name in services]
        + [Service("pedidos", "pedidos")],
        replicas=replicas,
        snapshots=[
            Snapshot(
                "archivo-1",
                "archivo",
                1,
                tuple(Shard(f"s{n}", s) for n, s in enumerate(services)),
            ),
            Snapshot("pedidos-1", "pedidos", 1, (Shard("p0", "pedidos"),)),
        ],
    )


def caller(name: str, policy: Policy) -> Caller:
    """Return a caller in the department design, which may use all routes."""
    digest = hashlib.sha256(TOKENS[name].encode()).hexdigest()
    return Caller(name, "design", digest, policy, 0.5, CLASSES)


def build_set(
    generation: int,
    callers: list[Caller],
    services: list[Service],
    replicas: list[Replica],
    snapshots: list[Snapshot],
) -> ObjectSet:
    """Return a set with the fixed departments, groups and routes."""
    departments = [Department("design"), Department("finance")]
    groups = [
        Group("archivo", n_slots=2, max_connections=50, connect_ms=6),
        Group("pedidos", n_slots=3, max_connections=200, connect_ms=1),
    ]
    routes = [
        Route("search", "archivo", ("design",), (), True, 340, CLASSES),
        Route("print-order", "pedidos", ("design",), (), False, 340, CLASSES),
    ]
    return ObjectSet(
        generation,
        f"digest-{generation}",
        {d.name: d for d in departments},
        {c.name: c for c in callers},
        {g.name: g for g in groups},
        {s.name: s for s in services},
        {r.name: r for r in replicas},
        {s.name: s for s in snapshots},
        {r.name: r for r in routes},
    )


def rebuild(
    objects: ObjectSet,
    callers: list[Caller] | None = None,
    snapshots: list[Snapshot] | None = None,
) -> ObjectSet:
    """Return a set of the same generation with some objects replaced."""
    return build_set(
        objects.generation,
        callers or list(objects.callers.values()),
        list(objects.services.values()),
        list(objects.replicas.values()),
        snapshots or list(objects.snapshots.values()),
    )


def next_generation(objects: ObjectSet) -> ObjectSet:
    """Return a set with the same objects and the next generation number."""
    return build_set(
        objects.generation + 1,
        list(objects.callers.values()),
        list(objects.services.values()),
        list(objects.replicas.values()),
        list(objects.snapshots.values()),
    )


def add_repartition(objects: ObjectSet) -> ObjectSet:
    """Return the set with a newer snapshot of half as many shards."""
    services = sorted(s for s in objects.services if s.startswith("archivo"))
    shards = tuple(Shard(f"t{n}", s) for n, s in enumerate(services[::2]))
    newer = Snapshot("archivo-2", "archivo", 2, shards)
    kept = [s for s in objects.snapshots.values() if s.name != newer.name]
    return rebuild(objects, snapshots=[*kept, newer])


def move_caller(objects: ObjectSet) -> ObjectSet:
    """Return the set with caller ana in a department without access to any route."""
    moved = replace(objects.callers["ana"], department="finance")
    others = [c for c in objects.callers.values() if c.name != "ana"]
    return rebuild(objects, callers=[moved, *others])
