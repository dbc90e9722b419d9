"""Named objects: model, reading, checking, bundling and comparing sets."""

from jackdawsill.objects._model import (
    Caller,
    Department,
    Group,
    Objective,
    ObjectSet,
    Replica,
    Route,
    Service,
    Shard,
    Snapshot,
)

__all__ = [
    "Caller",
    "Department",
    "Group",
    "ObjectSet",
    "Objective",
    "Replica",
    "Route",
    "Service",
    "Shard",
    "Snapshot",
]
