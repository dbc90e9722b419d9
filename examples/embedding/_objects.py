"""Small set of objects for the examples."""

from hashlib import sha256

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

TOKEN = "token-of-ana"


def make_objects(max_connections: int = 50) -> ObjectSet:
    """Return a set with a group to search, a group for orders, and one caller."""
    services = ("proofs-1", "proofs-2", "orders")
    replicas = [
        Replica(f"{service}-{k}", service, f"10.0.{n}.{k + 1}", 8000, f"d{k}")
        for n, service in enumerate(services)
        for k in range(3)
    ]
    shards = tuple(Shard(f"s{n}", name) for n, name in enumerate(services[:2]))
    digest = sha256(TOKEN.encode()).hexdigest()
    return ObjectSet(
        1,
        "",
        departments={"design": Department("design")},
        callers={"ana": Caller("ana", "design", digest, classes=("proof",))},
        groups={
            "proofs": Group("proofs", 2, max_connections, 6.0),
            "orders": Group("orders", 3, 200, 1.0),
        },
        services={
            "proofs-1": Service("proofs-1", "proofs"),
            "proofs-2": Service("proofs-2", "proofs"),
            "orders": Service("orders", "orders"),
        },
        replicas={replica.name: replica for replica in replicas},
        snapshots={
            "v1": Snapshot("v1", "proofs", 1, shards),
            "o1": Snapshot("o1", "orders", 1, (Shard("o1", "orders"),)),
        },
        routes={
            "find": Route("find", "proofs", ("design",), (), True, 340, ("proof",)),
            "order": Route("order", "orders", ("design",), (), False, 340, ("proof",)),
        },
    )
